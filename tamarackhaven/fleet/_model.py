"""Targets, key ranges and grants, as exchanged by control VMs and daemons."""

import enum
import functools

import attrs

from tamarackhaven._digests import record_digest

# Keys are 16-bit numbers.
KEY_COUNT = 1 << 16
# Load is counted for buckets of this many adjacent keys: a hot run of some dozens of
# keys can still be split, and a report stays below a few kilobytes.
BUCKET_KEYS = 16


# Without a report for this long, a target doesn't count as running any more. Callers
# detect by themselves that its daemon is gone, and a daemon that is only partitioned
# from the control VMs keeps serving.
SILENT_TARGET_TTL_S = 20.0


class TargetPhase(enum.Enum):
    """The phase that a target reports."""

    READY = "ready"
    # Serves the keys it holds for a while, accepts no other new requests.
    DRAINING = "draining"


@attrs.frozen
class KeyRange:
    """Keys that one target owns.

    Parameters
    ----------
    first, last : int
        First and last key, both included.
    fence : int
        Fencing token; increases with each change of owner.
    owner : str
        Life of the owning target (``Target.life``), empty if none.
    handover : str
        Handover token with which the former owner released the keys, for a warm start;
        may be empty.
    """

    first: int
    last: int
    fence: int = 0
    owner: str = ""
    handover: str = ""

    @functools.cached_property
    def digest(self):
        """The digest of all fields, an integer."""
        return record_digest(
            self.first, self.last, self.fence, self.owner, self.handover
        )


@attrs.frozen
class Hold:
    """Keys that a target reports to hold or to be still working on."""

    first: int
    last: int
    fence: int


@attrs.frozen
class Release:
    """Keys that a target has released, with the handover token for the next owner."""

    first: int
    last: int
    handover: str


@attrs.frozen
class Target:
    """One life of a target, with its daemon's address; a restart begins another life.

    Parameters
    ----------
    life : str
        The target's name, start time and daemon, as from ``life_of``.
    name : str
        As the target announced.
    born_ms : int
        Start of this life, Unix milliseconds by the target's clock.
    service, zone : str
        As the target announced.
    host, port : str, int
        Address at which its daemon accepts forwarded requests.
    slots : int
        Requests that it runs concurrently.
    phase : TargetPhase
        Ready or draining.
    load : float
        Requests running and waiting at its gate, per slot.
    work_s : float
        Mean time to process a request, in seconds; 0 before the first one.
    is_cold : bool
        Whether it can serve only the service's cold rate for now.
    limit_per_s : float or None
        Requests per second that it named as its limit; None without one.
    is_leaving : bool
        Whether it announced that it leaves. A life never takes that back; a target that
        is draining since it is silent may be ready again.
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
    limit_per_s: float | None = None
    is_leaving: bool = False

    def with_known_leaving(self, known):
        """Return this target, leaving if ``known``, an earlier report of it, was.

        ``known`` may be None.
        """
        if known is None or not known.is_leaving:
            return self
        return self.as_leaving()

    def as_leaving(self):
        """Return this target as one that leaves."""
        if self.is_leaving:
            return self
        return attrs.evolve(self, phase=TargetPhase.DRAINING, is_leaving=True)


def life_of(name, born_ms, daemon):
    """Return the identifier of one life of a target.

    Parameters
    ----------
    name : str
        As the target announced.
    born_ms : int
        Start of the life, Unix milliseconds by the target's clock.
    daemon : str
        Its daemon's host and port; a later life with the same daemon ends this one.
    """
    return f"{name}@{born_ms}@{daemon}"


def daemon_and_start(life):
    """Return the daemon of a life, and its start in Unix milliseconds."""
    _, born_ms, daemon = life.rsplit("@", 2)
    return daemon, int(born_ms)


@attrs.frozen(order=True)
class GrantId:
    """Identifies and orders the grants of all leaders.

    A later leader has a higher term.
    """

    term: int = 0
    number: int = 0
