"""Filter that finds the owner of a request's key in the daemon's view. No I/O."""

import attrs

from tamarackhaven._model import TargetState
from tamarackhaven.errors import ErrorKind, TamarackhavenError


def locate(request, view):
    """Return the request with its deadline, and the owner of its key.

    Parameters
    ----------
    request : Request
        An identified request.
    view : View
        The state as this daemon knows it.

    Returns
    -------
    (Request, Located)
        The owner is None if it is lost and the key has no new owner yet.

    Raises
    ------
    TamarackhavenError
        UNKNOWN_SERVICE or BODY_TOO_LARGE.
    """
    located = view.locate(request.service, request.key_hash)
    service = located.service
    if service is None:
        raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, request.service)
    if len(request.body) > service.max_body_bytes:
        raise TamarackhavenError(
            ErrorKind.BODY_TOO_LARGE,
            f"The service accepts at most {service.max_body_bytes} bytes.",
        )
    if request.deadline_s is None:
        deadline_s = request.received_s + service.default_deadline_ms / 1000
        request = attrs.evolve(request, deadline_s=deadline_s)
    if located.owner is not None and located.owner.state is TargetState.LOST:
        located = attrs.evolve(located, owner=None)
    return request, located
