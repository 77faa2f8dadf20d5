"""What a daemon needs to know about the HTTP headers of callers and targets.

A deployment gives an implementation; the rest of the daemon knows no header's name.
"""

import abc
import enum

import attrs


@attrs.frozen
class CallerRequest:
    """What a caller asks for.

    Parameters
    ----------
    attempt_id : str
        Names this attempt; at most one run of an unsafe request has it.
    deadline_ms : float or None
        How long the caller waits, from when it sent the request.
    key : int or None
        Key of the request, for sharded services.
    host, method, target : str
        As sent.
    headers : tuple of (bytes, bytes)
        Those that are passed on.
    body : bytes
        Whole.
    """

    attempt_id: str
    deadline_ms: float | None
    key: int | None
    host: str
    method: str
    target: str
    headers: tuple
    body: bytes


class Verdict(enum.Enum):
    """What a target's reply says of a request."""

    ANSWERED = "answered"  # it ran; the reply goes to the caller
    REFUSED = "refused"  # it did not run: no room
    NOT_HERE = "not here"  # it did not run: another target, or not its key
    INVALID = "invalid"  # nothing is certain; the reply can't be passed on


@attrs.frozen
class TargetCall:
    """A call to the target that is no caller's request."""

    method: str
    target: str
    headers: tuple
    body: bytes


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
    def is_reply_to(self, reply, attempt_id):
        """Tell whether a reply belongs to the attempt, as far as it says."""

    @abc.abstractmethod
    def judge(self, reply, attempt_id):
        """Return the ``Verdict`` on a ``Reply``."""

    @abc.abstractmethod
    def refusal(self, error):
        """Return the ``HttpResponse`` for a ``TamarackhavenError``."""

    @abc.abstractmethod
    def order_call(self, order, target_name):
        """Return the ``TargetCall`` for a ``GrantOrder`` or ``ReleaseOrder``."""

    @abc.abstractmethod
    def order_end(self, order, reply):
        """Return the ``OrderEnd`` that a ``Reply`` means, and a handover or ""."""
