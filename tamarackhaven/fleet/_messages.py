"""Messages between daemons and control VMs, and between control VMs."""

import attrs

from tamarackhaven._digests import record_digest, set_digest
from tamarackhaven.fleet._model import GrantId, Hold, KeyRange, Release, Target
from tamarackhaven.fleet._suspects import RequestAnswers, SuspectRequest, TargetEnd
from tamarackhaven.net import Codec
from tamarackhaven.routing import Configuration, Edit


@attrs.frozen
class MemberHello:
    """First message on a link between control VMs, with the sender's link address."""

    name: str
    host: str
    port: int


@attrs.frozen
class ConsensusBatch:
    """Consensus messages, each packed by ``_raft_wire``."""

    messages: tuple[bytes, ...]


@attrs.frozen
class JoinGroup:
    """Asks to add a control VM as a member.

    Parameters
    ----------
    name : str
        Never used before with another disk.
    host, port : str, int
        Its link address.
    """

    name: str
    host: str
    port: int


@attrs.frozen
class GroupHint:
    """Answers ``JoinGroup`` with further control VMs to ask.

    Parameters
    ----------
    control : tuple of (str, int)
        Link addresses of all other control VMs that the sender knows.
    """

    control: tuple[tuple[str, int], ...]


# Log index of a part of the replicated state that a process doesn't have, and base of
# an update that contains the whole part.
NO_INDEX = -1
# Names of parts of the replicated state. The owners of each service's keys are another
# part, see ``keys_part``.
CONFIGURATION_PART = "configuration"
ZONES_PART = "zones"
SUSPECTS_PART = "suspects"


def keys_part(service):
    """Return the name of the part that says who owns the keys of a service."""
    return f"keys {service}"


@attrs.frozen
class PartVersion:
    """What a process has of one part of the replicated state.

    Parameters
    ----------
    part : str
        Its name.
    index : int
        Log index of its last change.
    digest : int
        Of its content.
    """

    part: str
    index: int
    digest: int


# Parts whose changes a daemon is sent at once. It tells callers by them what doesn't
# exist or may not run. Owners of keys may be held back, see ``Session``.
CONFIRMED_PARTS = (CONFIGURATION_PART, ZONES_PART, SUSPECTS_PART)


@attrs.frozen
class ViewVersion:
    """What a process has of all ``CONFIRMED_PARTS``.

    Parameters
    ----------
    index : int
        Log index of the newest change of any of them.
    digest : int
        Of the index and content of each.
    """

    index: int = NO_INDEX
    digest: int = 0


def view_version(version_by_part):
    """Return the ``ViewVersion`` of parts, each a ``PartVersion`` by name."""
    versions = [
        version_by_part.get(part, PartVersion(part, NO_INDEX, 0))
        for part in CONFIRMED_PARTS
    ]
    digests = (record_digest(each.part, each.index, each.digest) for each in versions)
    return ViewVersion(max(each.index for each in versions), set_digest(digests))


@attrs.frozen
class DaemonHello:
    """Identifies a daemon and asks which control VM leads.

    Parameters
    ----------
    daemon : str
        Host and port of its links.
    boot : str
        Random name of this run of the process.
    """

    daemon: str
    boot: str


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
        Link address of the leader, if known.
    control : tuple of (str, int)
        Link addresses of all control VMs that the sender knows.
    """

    is_leader: bool
    term: int
    leader: tuple[str, int] | None
    control: tuple[tuple[str, int], ...]


@attrs.frozen
class Report:
    """Reports a daemon's target, and requests a lease for it.

    Parameters
    ----------
    number : int
        Increases with each report of a run.
    target : Target or None
        None until a target has announced itself.
    holds : tuple of Hold
        From the target's newest heartbeat.
    releases : tuple of Release
        Releases of this life whose keys have no new owner yet, as the daemon knows.
    settled : GrantId
        The newest grant that the target had received before its newest heartbeat.
    ended_lives : tuple of str
        Lives that have certainly ended on this VM.
    state_index : int
        Log index of the newest replicated state that the daemon has.
    key_load : tuple of (int, float)
        Number of a bucket of keys, and requests a second for it; the busiest buckets.
    key_rest : float
        Requests a second for all other keys that the target owns.
    refused : tuple of Hold
        Ranges that the target refuses to hold under their present token.
    knows_holds : bool
        Whether ``holds`` is all that the target may hold; else it may hold any key.
    known : tuple of PartVersion
        The parts of the replicated state that the daemon has: all of them in the first
        report of a session, then those that the leader hasn't been told.
    refused_parts : tuple of str
        Parts of which the daemon has refused an update since its former report, because
        the update changes another version than the daemon's.
    ends : tuple of TargetEnd
        Ends of targets and daemons that the daemon has seen and that aren't in the
        suspects that it has.
    answers : tuple of RequestAnswers
        How often its target has answered suspects since the former report.
    trials : tuple of bytes
        Digests of the suspects that the daemon has a permit for, or that its target may
        be running.
    wanted_trials : tuple of bytes
        Digests of the suspects that the daemon's callers wait to run.
    is_behind : bool
        Whether the view differed from the leader's at its newest answer. Then ``known``
        has all ``CONFIRMED_PARTS``.
    leaving : tuple of str
        Lives that have announced that they leave, and of which the daemon doesn't know
        that this is recorded in the replicated state.
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
    known: tuple[PartVersion, ...] = ()
    refused_parts: tuple[str, ...] = ()
    ends: tuple[TargetEnd, ...] = ()
    answers: tuple[RequestAnswers, ...] = ()
    trials: tuple[bytes, ...] = ()
    wanted_trials: tuple[bytes, ...] = ()
    is_behind: bool = False
    leaving: tuple[str, ...] = ()


@attrs.frozen
class UpdateTaken:
    """Says that a daemon handles new requests by a part, from an update or a later one.

    Parameters
    ----------
    part : str
        One of ``CONFIRMED_PARTS``.
    index : int
        Log index of the version that it has.
    """

    part: str
    index: int


@attrs.frozen
class LeaseGrant:
    """Answers ``Report`` once a quorum has confirmed the leader.

    Parameters
    ----------
    number : int
        Of the report; the lease counts from when that report was sent.
    grant : GrantId
        Orders the grants of all leaders.
    lease_s : float
        How long it is valid, in seconds.
    life : str
        The target's life that it is for.
    ranges : tuple of KeyRange
        All ranges that this life may hold.
    keys_index : int
        Log index of the service's owners that the grant is based on, -1 for none.
    trials : tuple of bytes
        Digests of the suspects that the daemon may run once.
    view : ViewVersion
        What the leader had when it answered. All changes up to it were sent on the
        same link before.
    recorded_leaving : tuple of str
        Those of the report's ``leaving`` that the replicated state has.
    """

    number: int
    grant: GrantId
    lease_s: float
    life: str = ""
    ranges: tuple[KeyRange, ...] = ()
    keys_index: int = -1
    trials: tuple[bytes, ...] = ()
    view: ViewVersion = ViewVersion()
    recorded_leaving: tuple[str, ...] = ()


@attrs.frozen
class ConfigurationView:
    """The configuration in force as of log index ``index``."""

    index: int
    configuration: Configuration

    @property
    def part(self):
        """The name of the part."""
        return CONFIGURATION_PART


@attrs.frozen
class ConfigurationChange:
    """The difference from the configuration of one log index to that of another.

    With hundreds of routes and several changes a second, whole configurations would
    saturate the link of a small VM.

    Parameters
    ----------
    base : int
        Log index of the configuration that it changes. A daemon that has another one
        refuses it: it would end with the new version's number and neither's routes.
    index : int
        Log index of the resulting configuration.
    edit : Edit
        The changes.
    """

    base: int
    index: int
    edit: Edit

    @property
    def part(self):
        """The name of the part."""
        return CONFIGURATION_PART


@attrs.frozen
class ZonesView:
    """Availability zones that accept no new requests, as of log index ``index``."""

    index: int
    zones_out: tuple[str, ...]

    @property
    def part(self):
        """The name of the part."""
        return ZONES_PART


@attrs.frozen
class KeysView:
    """Owners of a service's keys as of log index ``index``.

    Parameters
    ----------
    base : int
        Log index of the owners that it changes: ``ranges`` replace the keys that they
        cover. ``NO_INDEX`` if ``ranges`` cover all keys.
    """

    index: int
    service: str
    ranges: tuple[KeyRange, ...]
    base: int = NO_INDEX

    @property
    def part(self):
        """The name of the part."""
        return keys_part(self.service)


@attrs.frozen
class SuspectsView:
    """Requests under which targets have ended, as of log index ``index``.

    Parameters
    ----------
    suspects : tuple of SuspectRequest
        New or changed ones.
    gone : tuple of bytes
        Digests of those that are suspects no more.
    base : int
        Log index of the suspects that it changes, ``NO_INDEX`` if ``suspects`` are all.
    """

    index: int
    suspects: tuple[SuspectRequest, ...]
    gone: tuple[bytes, ...] = ()
    base: int = NO_INDEX

    @property
    def part(self):
        """The name of the part."""
        return SUSPECTS_PART


@attrs.frozen
class TargetsView:
    """Targets that are new or have changed, and lives that are gone.

    Parameters
    ----------
    term : int
        Of the leader.
    targets : tuple of Target
        New or changed.
    gone : tuple of str
        Lives of targets that are gone.
    is_whole : bool
        Whether ``targets`` are all that the leader knows. A new leader may not yet know
        some that run.
    """

    term: int
    targets: tuple[Target, ...]
    gone: tuple[str, ...] = ()
    is_whole: bool = False


CONTROL_CODEC = Codec(
    (
        MemberHello,
        ConsensusBatch,
        JoinGroup,
        GroupHint,
        DaemonHello,
        LeaderHint,
        Report,
        UpdateTaken,
        LeaseGrant,
        ConfigurationView,
        ConfigurationChange,
        ZonesView,
        KeysView,
        SuspectsView,
        TargetsView,
    ),
    compressed=(
        Report,
        LeaseGrant,
        ConfigurationView,
        ConfigurationChange,
        KeysView,
        SuspectsView,
        TargetsView,
    ),
)
