"""Input and output types of a target's gate."""

import enum

import attrs

from tamarackhaven.errors import ErrorKind


@attrs.frozen
class Offer:
    """A request that asks for admission.

    Parameters
    ----------
    request_id : str
        Unique at this gate.
    key_hash : int
        Hash of the request's key.
    caller : str
        Identity for fair shares: the caller's address or the name that it gave.
    deadline_s : float
        Time of the latest useful answer, in seconds of the gate's clock.
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
    """The request is queued; a later call admits or refuses it."""

    request_id: str


@attrs.frozen
class Refuse:
    """Answer at once that the request did not run; retry after ``retry_after_s``."""

    request_id: str
    kind: ErrorKind
    retry_after_s: float


Decision = Admit | Wait | Refuse


class End(enum.Enum):
    """How an admitted request ended at the target."""

    ANSWERED = "answered"
    SHED = "shed"  # the target reported that it did not run the request
    UNREACHABLE = "unreachable"  # no byte was sent to the target
    FAILED = "failed"  # any other failure
    GIVEN_UP = "given-up"  # the deadline passed or the caller hung up


@attrs.frozen
class Finish:
    """The end of an admitted request and its latency, in seconds."""

    request_id: str
    end: End
    latency_s: float


@attrs.frozen
class TargetReport:
    """The last load report of a target, which may be old or wrong.

    Parameters
    ----------
    age_s : float
        Age of the report, in seconds.
    running : int
        Number of requests running, as the target reports it.
    slots : int
        Number of requests that the target reports it can run at once.
    uptime_s : float
        Time since the target's start, in seconds.
    incarnation : str
        Identifies one start of the target; differs after each start.
    served : int
        Requests served since the start; decreases only after a restart.
    """

    age_s: float
    running: int
    slots: int
    uptime_s: float
    incarnation: str
    served: int
