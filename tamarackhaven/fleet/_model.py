"""Targets, owned key ranges and leases, as control VMs and daemons tell each other."""

import enum

import attrs

# Keys are 16-bit numbers.
KEY_COUNT = 1 << 16
# Load is counted for so many neighbouring keys together: a hot run of some dozens of
# keys can still be split, and a report stays below a few kilobytes.
BUCKET_KEYS = 16


class TargetPhase(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"  # finishes what it has, takes nothing new


@attrs.frozen
class KeyRange:
    """Keys that one target owns.

    Parameters
    ----------
    first, last : int
        Both included.
    fence : int
        Fencing token; rises with each change of owner.
    owner : str
        Life of the owning target (``Target.life``), empty if none.
    handover : str
        What the former owner released the keys with, for a warm start; may be empty.
    """

    first: int
    last: int
    fence: int = 0
    owner: str = ""
    handover: str = ""


@attrs.frozen
class Hold:
    """Keys that a target says it holds or still works on."""

    first: int
    last: int
    fence: int


@attrs.frozen
class Release:
    """Keys that a target has let go of, with the token for its successor."""

    first: int
    last: int
    handover: str


@attrs.frozen
class Target:
    """One life of a target, with the daemon beside it.

    Parameters
    ----------
    life : str
        Name, start and place of the target; a restart is another life.
    name : str
        What the target calls itself.
    born_ms : int
        Start of this life, Unix milliseconds by the target's clock.
    service, zone : str
        As the target announced.
    host, port : str, int
        Where its daemon takes forwarded requests.
    slots : int
        Requests that it runs at once.
    phase : TargetPhase
        Ready or draining.
    load : float
        Requests running and waiting at its gate, for each slot.
    work_s : float
        Mean time that it takes for a request, in seconds; 0 before the first one.
    is_cold : bool
        Whether it bears only the service's cold rate for now.
    """

    life: str
    name: str
    born_ms: int
    service: str
    zone: str
    host: str
    port: int
    slots: int
    phase: TargetPhase = TargetPhase.READY
    load: float = 0.0
    work_s: float = 0.0
    is_cold: bool = False


def life_of(name, born_ms, daemon):
    """Return the name of one life of a target.

    Parameters
    ----------
    name : str
        What the target calls itself.
    born_ms : int
        Start of the life.
    daemon : str
        Its daemon's host and port; a later life at the same place ends this one.
    """
    return f"{name}@{born_ms}@{daemon}"


def daemon_and_start(life):
    """Return the place of a life, and its start in milliseconds."""
    _, born_ms, daemon = life.rsplit("@", 2)
    return daemon, int(born_ms)


@attrs.frozen(order=True)
class GrantId:
    """Orders the grants of all leaders: a later leader has a higher term."""

    term: int = 0
    number: int = 0
