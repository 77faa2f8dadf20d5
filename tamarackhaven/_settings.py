"""The settings of every part, each an ``attrs`` class that checks its own values.

``_settings_file`` reads them from TOML. Each class is passed whole to the part it is
for. Times are in the unit that ends the name.
"""

import attrs
from attrs.validators import and_, deep_iterable, ge, instance_of, le, min_len

PORT_MAX = 65535


def _whole(default, low, high):
    """Return a field for a whole number from ``low`` to ``high``."""
    return attrs.field(
        default=default, validator=[_not_bool, instance_of(int), ge(low), le(high)]
    )


def _number(default, low, high):
    """Return a field for a number from ``low`` to ``high``."""
    return attrs.field(
        default=default,
        validator=[_not_bool, instance_of((int, float)), ge(low), le(high)],
    )


def _text(default=attrs.NOTHING):
    """Return a field for a non-empty text."""
    return attrs.field(default=default, validator=and_(instance_of(str), min_len(1)))


def _not_bool(instance, attribute, value):
    """Refuse true and false where a number is wanted; bool is an int in Python."""
    if isinstance(value, bool):
        raise TypeError(f"{attribute.name} must be a number")


def _port():
    return _whole(attrs.NOTHING, 0, PORT_MAX)


@attrs.frozen
class Listen:
    """Where a process listens; port 0 takes any free one."""

    host: str = _text()
    port: int = _port()


@attrs.frozen
class ControlMember:
    """One control VM: its name, its TCP port for calls, its UDP port for leases."""

    name: str = _text()
    host: str = _text()
    port: int = _port()
    lease_port: int = _port()


@attrs.frozen
class LeaseSettings:
    """Quorum leases; the same on all control VMs and daemons.

    Parameters
    ----------
    lease_ms : int
        How long a renewal holds, from the moment the daemon sent it.
    renew_ms : int
        Time between renewals; a third of the lease or less, so that one lost
        datagram costs no lease.
    drift : float
        Largest difference of two clocks' rates that is tolerated, as a part of 1.
    zone_grace_ms : int
        How long a target goes on after its availability zone was taken out, so that
        its shards can leave in steps.
    """

    lease_ms: int = _whole(550, 50, 10_000)
    renew_ms: int = _whole(180, 10, 2_000)
    drift: float = _number(0.01, 0.0, 0.2)
    zone_grace_ms: int = _whole(2000, 0, 60_000)


@attrs.frozen
class RaftSettings:
    """Timings and sizes of the consensus group.

    Parameters
    ----------
    heartbeat_ms, election_ms : int
        An election starts after ``election_ms`` to twice that without a leader.
    first_election_ms : int
        The same for a member that has just started; 0 for no difference.
    batch_entries : int
        Most entries in one message.
    snapshot_entries : int
        Log length at which a snapshot replaces the log.
    chunk_bytes : int
        Size of one piece of a snapshot on the way to a member.
    """

    heartbeat_ms: int = _whole(50, 5, 5_000)
    election_ms: int = _whole(300, 50, 30_000)
    first_election_ms: int = _whole(0, 0, 30_000)
    batch_entries: int = _whole(256, 1, 10_000)
    snapshot_entries: int = _whole(4096, 16, 1_000_000)
    chunk_bytes: int = _whole(256 * 1024, 1024, 4 * 1024 * 1024)


@attrs.frozen
class GateSettings:
    """The gate of one target.

    Parameters
    ----------
    max_connections : int
        Hard bound on connections to the target.
    queue_requests : int
        Most requests that wait at once: a memory bound. With 64, a dozen slots and
        work of 67 ms a request was refused that would have started in 0.4 s.
    queue_ms : int
        Longest wait, in milliseconds; a deadline or the pace of the queue makes it
        shorter.
    cold_requests : int
        Concurrency of a target that has just started.
    cold_s : float
        Time from cold to warm under load, in seconds.
    key_share, caller_share : float
        Largest part of the queue and slots for one key, and for one caller, while
        others wait.
    """

    max_connections: int = _whole(130, 1, 10_000)
    queue_requests: int = _whole(256, 0, 100_000)
    queue_ms: int = _whole(2000, 0, 60_000)
    cold_requests: int = _whole(1, 1, 1_000)
    cold_s: float = _number(10.0, 0.0, 3600.0)
    key_share: float = _number(0.5, 0.01, 1.0)
    caller_share: float = _number(0.5, 0.01, 1.0)


@attrs.frozen
class BookingSettings:
    """The ledger of bookings.

    Parameters
    ----------
    ledger_entries : int
        Most bookings remembered; more are refused, never forgotten early.
    caller_clock_margin_s : float
        How far a caller's clock may be off.
    """

    ledger_entries: int = _whole(20_000, 16, 10_000_000)
    caller_clock_margin_s: float = _number(2.0, 0.0, 60.0)


@attrs.frozen
class PlacementSettings:
    """How the leader places shards.

    Parameters
    ----------
    tick_ms : int
        Time between two steps of the leader. Well below the lease, so that noticing
        a silent target adds little to the time without an owner; a step looks at
        members, and at shards only after a change.
    imbalance : float
        Excess over the mean load, as a part of 1, that is left alone.
    pin_share, unpin_share : float
        A key is pinned above the one and unpinned below the other.
    pin_rate : float
        Fewest requests a second of a key that is pinned.
    pin_hold_s : float
        Shortest life of a pin, in seconds.
    """

    tick_ms: int = _whole(20, 10, 10_000)
    imbalance: float = _number(0.1, 0.0, 10.0)
    pin_share: float = _number(0.05, 0.0, 1.0)
    unpin_share: float = _number(0.02, 0.0, 1.0)
    pin_rate: float = _number(50.0, 0.0, 1_000_000.0)
    pin_hold_s: float = _number(60.0, 0.0, 3600.0)


@attrs.frozen
class LogSettings:
    """Logs: a file below the data folder, or standard error if empty."""

    file: str = attrs.field(default="", validator=instance_of(str))
    repeats_per_minute: int = _whole(60, 1, 100_000)


@attrs.frozen
class DaemonSettings:
    """A daemon beside a target.

    Parameters
    ----------
    caller, peer, announce, metrics : Listen
        Ports for callers, for other daemons, for the target, and for scrapers.
    target_address : Listen
        Where the target takes requests. An announcement of another address is refused;
        port 0 leaves the port to the announcement.
    forward_wait_ms : int
        Longest time a request waits for a key on the move.
    stale_s : float
        State unconfirmed for longer is not acted on.
    target_silent_s : float
        A target with requests in flight that neither reports nor answers for longer
        is given up; 0 for never.
    """

    service: str = _text()
    target: str = _text()
    zone: str = _text()
    data_folder: str = _text()
    caller: Listen = attrs.field(validator=instance_of(Listen))
    peer: Listen = attrs.field(validator=instance_of(Listen))
    announce: Listen = attrs.field(validator=instance_of(Listen))
    metrics: Listen = attrs.field(validator=instance_of(Listen))
    target_address: Listen = attrs.field(validator=instance_of(Listen))
    control: list[ControlMember] = attrs.field(
        validator=deep_iterable(instance_of(ControlMember), and_(min_len(1)))
    )
    capacity: int = _whole(1, 1, 1_000)
    # Load: callers wait in the gate's queue, each on a thread. Harm: with fewer threads
    # than slots and some waiting the line forms before the gate, where nobody looks at
    # deadlines, fair shares or Retry-After. Limit: a dozen slots and 64 that wait, on
    # each of two ports; that many keep a daemon below its 64 MB under load.
    threads: int = _whole(80, 1, 512)
    forward_wait_ms: int = _whole(300, 0, 60_000)
    stale_s: float = _number(3.0, 0.1, 60.0)
    drain_s: float = _number(30.0, 0.0, 3600.0)
    target_silent_s: float = _number(3.0, 0.0, 3600.0)
    lease: LeaseSettings = attrs.field(factory=LeaseSettings)
    gate: GateSettings = attrs.field(factory=GateSettings)
    bookings: BookingSettings = attrs.field(factory=BookingSettings)
    logs: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class ControlSettings:
    """A control VM.

    Parameters
    ----------
    name : str
        Its name among ``members``.
    members : list of ControlMember
        The group at its first start, this one included. Afterwards the replicated
        log says who is a member.
    join : bool
        True for a member that is added to a running group: it starts as a learner
        with an empty folder.
    """

    name: str = _text()
    zone: str = _text()
    data_folder: str = _text()
    metrics: Listen = attrs.field(validator=instance_of(Listen))
    members: list[ControlMember] = attrs.field(
        validator=deep_iterable(instance_of(ControlMember), and_(min_len(1)))
    )
    join: bool = attrs.field(default=False, validator=instance_of(bool))
    lease: LeaseSettings = attrs.field(factory=LeaseSettings)
    raft: RaftSettings = attrs.field(factory=RaftSettings)
    placement: PlacementSettings = attrs.field(factory=PlacementSettings)
    logs: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class OperatorSettings:
    """The operators' commands: which control VMs to ask.

    Parameters
    ----------
    data_folder : str
        Where the program unpacks itself.
    """

    data_folder: str = _text()
    control: list[ControlMember] = attrs.field(
        validator=deep_iterable(instance_of(ControlMember), and_(min_len(1)))
    )
    timeout_ms: int = _whole(5_000, 100, 600_000)
