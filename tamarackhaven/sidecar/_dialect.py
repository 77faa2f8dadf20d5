"""Interface to the HTTP headers and calls of a deployment.

A deployment provides an implementation; the rest of the daemon contains no header
names.
"""

import abc
import enum
import functools

import attrs

from tamarackhaven.sidecar._request_digest import request_digest


@attrs.frozen
class CallerRequest:
    """A caller's request.

    Parameters
    ----------
    attempt_id : str
        Identifies this attempt. An unsafe request runs at most once with the same one.
    deadline_ms : float or None
        How long the caller waits, in milliseconds from when it sent the request.
    key : int or None
        Key of the request, for sharded services.
    host, method, target : str
        As received.
    headers : tuple of (bytes, bytes)
        Those that are forwarded to the target.
    body : bytes
        The complete body.
    """

    attempt_id: str
    deadline_ms: float | None
    key: int | None
    host: str
    method: str
    target: str
    headers: tuple
    body: bytes

    @functools.cached_property
    def digest(self):
        """What it asks for, as bytes that are equal for equal requests."""
        return request_digest(self)


class Verdict(enum.Enum):
    """Meaning of a target's reply to a request."""

    ANSWERED = "answered"  # it ran; the reply is returned to the caller
    REFUSED = "refused"  # it did not run: the target is at capacity
    NOT_HERE = "not here"  # it did not run: other target, or key not held
    INVALID = "invalid"  # it may have run; the reply can't be returned


@attrs.frozen
class TargetNotice:
    """State that a target reports of itself in the headers of a reply.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that it accepts from all daemons together; None if it named
        no limit.
    is_limit_unreadable : bool
        Whether it named a limit that can't be interpreted, so that the one before
        remains in force.
    is_leaving : bool
        Whether it leaves.
    headers : tuple of (str, str)
        Names and values of the headers that say so.
    bad_headers : tuple of (str, str)
        Those of ``headers`` that can't be interpreted.
    unknown_headers : tuple of str
        Names of all headers that this program doesn't know.
    """

    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    is_leaving: bool = False
    headers: tuple = ()
    bad_headers: tuple = ()
    unknown_headers: tuple = ()


@attrs.frozen
class TargetCall:
    """A call of the daemon itself to the target."""

    method: str
    target: str
    headers: tuple
    body: bytes


@attrs.frozen
class TargetHealth:
    """What a target says of itself in the reply to a health check.

    Parameters
    ----------
    name : str
        Its name, empty if it gave none.
    cold_s : float
        For how many more seconds it is cold, 0 if it isn't.
    """

    name: str = ""
    cold_s: float = 0.0


class Dialect(abc.ABC):
    """Reads and writes the headers and calls of one deployment."""

    @abc.abstractmethod
    def read_request(self, request):
        """Return the ``CallerRequest`` of an ``HttpRequest``.

        Raises
        ------
        TamarackhavenError
            BAD_HEADER.
        """

    @abc.abstractmethod
    def target_headers(self, forward, target_name, left_ms):
        """Return the headers of a request to the target, as (bytes, bytes) pairs."""

    @abc.abstractmethod
    def read_attempt_id(self, reply):
        """Return the attempt id that a ``Reply`` names, None if it names none."""

    @abc.abstractmethod
    def classify_reply(self, reply, attempt_id):
        """Return the ``Verdict`` for a ``Reply`` to the attempt."""

    @abc.abstractmethod
    def read_notice(self, headers):
        """Return the ``TargetNotice`` in the headers of a target's reply."""

    @abc.abstractmethod
    def health_call(self, path, check_id):
        """Return the ``TargetCall`` of a health check; ``check_id`` is unique."""

    @abc.abstractmethod
    def read_health(self, reply):
        """Return the ``TargetHealth`` in a ``Reply`` to a health check."""

    @abc.abstractmethod
    def refusal(self, error):
        """Return the ``HttpResponse`` for a ``TamarackhavenError``."""

    @abc.abstractmethod
    def order_call(self, order, target_name):
        """Return the ``TargetCall`` for a ``GrantOrder`` or ``ReleaseOrder``."""

    @abc.abstractmethod
    def order_end(self, order, reply):
        """Return the ``OrderEnd`` that a ``Reply`` means, and its handover, else ""."""
