"""What the gate of a target takes in and gives out; it does no input or output."""

import enum

import attrs

from tamarackhaven.errors import ErrorKind


@attrs.frozen
class Offer:
    """A request at the gate.

    Parameters
    ----------
    request_id : str
        Unique at this gate.
    key_hash : int
        Hash of its key.
    caller : str
        Who asks, for fair shares: the caller's address or its stated name.
    deadline_s : float
        Latest useful answer, in seconds of the gate's clock.
    """

    request_id: str
    key_hash: int
    caller: str
    deadline_s: float


@attrs.frozen
class Admit:
    """Send the request to the target now."""

    request_id: str


@attrs.frozen
class Wait:
    """The request waits; a later call admits or refuses it."""

    request_id: str


@attrs.frozen
class Refuse:
    """Answer at once that the request did not run; ``retry_after_s`` in seconds."""

    request_id: str
    kind: ErrorKind
    retry_after_s: float


Decision = Admit | Wait | Refuse


class End(enum.Enum):
    """How an admitted request ended at the target."""

    ANSWERED = "answered"
    SHED = "shed"  # the target's own word that it did not run
    UNREACHABLE = "unreachable"  # no byte reached the target
    FAILED = "failed"  # anything else
    GIVEN_UP = "given-up"  # deadline past or caller gone


@attrs.frozen
class Finish:
    """An admitted request has ended; ``latency_s`` in seconds."""

    request_id: str
    end: End
    latency_s: float


@attrs.frozen
class TargetReport:
    """What a target last said of itself; it may lag or mislead.

    Parameters
    ----------
    age_s : float
        Time since the target made it, in seconds.
    running : int
        Requests that it says are running.
    slots : int
        Requests that it says it can run at once.
    uptime_s : float
        Time since its start, in seconds.
    incarnation : str
        Differs after each start.
    served : int
        Requests since its start; falls only with a restart.
    """

    age_s: float
    running: int
    slots: int
    uptime_s: float
    incarnation: str
    served: int
