"""Messages between daemons and control VMs, and between control VMs."""

import attrs

from tamarackhaven.fleet._model import GrantId, Hold, KeyRange, Release, Target
from tamarackhaven.net import Codec
from tamarackhaven.routing import Configuration, Edit


@attrs.frozen
class MemberHello:
    """A control VM opens a link to another one and says how to answer it."""

    name: str
    host: str
    port: int


@attrs.frozen
class ConsensusBatch:
    """Consensus messages, packed by ``_raft_wire``."""

    messages: tuple[bytes, ...]


@attrs.frozen
class JoinGroup:
    """A control VM that is no member asks to be added.

    Parameters
    ----------
    name : str
        Never used before with another disk.
    host, port : str, int
        Where it takes links.
    """

    name: str
    host: str
    port: int


@attrs.frozen
class GroupHint:
    """Answers ``JoinGroup``: whom else to ask.

    Parameters
    ----------
    control : tuple
        Addresses where other control VMs take links, as far as the sender knows.
    """

    control: tuple[tuple[str, int], ...]


@attrs.frozen
class Known:
    """The parts of the replicated state that a daemon has.

    Parameters
    ----------
    configuration, zones : int
        Log index of each, -1 for none.
    keys : tuple of (str, int)
        Services and the log index of their keys' owners.
    """

    configuration: int = -1
    zones: int = -1
    keys: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class DaemonHello:
    """A daemon asks who leads, and says who it is.

    Parameters
    ----------
    daemon : str
        Host and port of its links.
    boot : str
        Random name of this run of the process.
    known : Known
        What it needs not be sent again.
    """

    daemon: str
    boot: str
    known: Known = Known()


@attrs.frozen
class LeaderHint:
    """Answers ``DaemonHello``.

    Parameters
    ----------
    is_leader : bool
        Whether the sender leads.
    term : int
        Its term.
    leader : tuple of (str, int) or None
        Address of the leader, if known.
    control : tuple
        Addresses of all control VMs.
    """

    is_leader: bool
    term: int
    leader: tuple[str, int] | None
    control: tuple[tuple[str, int], ...]


@attrs.frozen
class Report:
    """A daemon tells about its target, and asks for its lease.

    Parameters
    ----------
    number : int
        Rises with each report of a run.
    target : Target or None
        None as long as no target has announced itself.
    holds : tuple of Hold
        From the target's newest heartbeat.
    releases : tuple of Release
        What this life released and whose keys the daemon still sees unassigned.
    settled : GrantId
        The grant that the target had been told before its newest heartbeat.
    ended_lives : tuple of str
        Lives that certainly run no more on this VM.
    state_index : int
        Index of the newest replicated state that the daemon has.
    key_load : tuple of (int, float)
        Number of a bucket of keys, and requests a second for it; the busiest ones.
    key_rest : float
        Requests a second for all other keys that the target owns.
    refused : tuple of Hold
        What the target won't hold under its present token.
    knows_holds : bool
        Whether ``holds`` is what the target may hold; else it may hold anything.
    """

    number: int
    target: Target | None = None
    holds: tuple[Hold, ...] = ()
    releases: tuple[Release, ...] = ()
    settled: GrantId = GrantId()
    ended_lives: tuple[str, ...] = ()
    state_index: int = 0
    key_load: tuple[tuple[int, float], ...] = ()
    key_rest: float = 0.0
    refused: tuple[Hold, ...] = ()
    knows_holds: bool = True


@attrs.frozen
class LeaseGrant:
    """Answers ``Report`` once a quorum has confirmed the leader.

    Parameters
    ----------
    number : int
        Of the report; the lease counts from when that report was sent.
    grant : GrantId
        Orders the grants.
    lease_s : float
        How long it holds.
    life : str
        Which life of the target it is for.
    ranges : tuple of KeyRange
        All that this life may hold.
    keys_index : int
        Log index of the service's owners that the leader went by.
    """

    number: int
    grant: GrantId
    lease_s: float
    life: str = ""
    ranges: tuple[KeyRange, ...] = ()
    keys_index: int = -1


@attrs.frozen
class ConfigurationView:
    """The configuration in force as of log index ``index``."""

    index: int
    configuration: Configuration


@attrs.frozen
class ConfigurationChange:
    """What changed since the configuration that the daemon has.

    With hundreds of routes and several changes a second, whole configurations would
    fill the link of a small VM.
    """

    index: int
    edit: Edit


@attrs.frozen
class ZonesView:
    """Availability zones that take nothing new, as of log index ``index``."""

    index: int
    zones_out: tuple[str, ...]


@attrs.frozen
class KeysView:
    """Owners of a service's keys as of log index ``index``.

    Parameters
    ----------
    is_whole : bool
        Whether ``ranges`` cover all keys; else they replace what they overlap.
    """

    index: int
    service: str
    ranges: tuple[KeyRange, ...]
    is_whole: bool = True


@attrs.frozen
class TargetsView:
    """Targets that came or changed, and lives that are gone.

    Parameters
    ----------
    term : int
        Of the leader.
    """

    term: int
    targets: tuple[Target, ...]
    gone: tuple[str, ...] = ()


CONTROL_CODEC = Codec(
    (
        MemberHello,
        ConsensusBatch,
        JoinGroup,
        GroupHint,
        DaemonHello,
        LeaderHint,
        Report,
        LeaseGrant,
        ConfigurationView,
        ConfigurationChange,
        ZonesView,
        KeysView,
        TargetsView,
    ),
    compressed=(
        Report,
        LeaseGrant,
        ConfigurationView,
        ConfigurationChange,
        KeysView,
        TargetsView,
    ),
)
