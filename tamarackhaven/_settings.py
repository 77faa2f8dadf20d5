"""Settings classes, each of which validates its own values.

``_settings_file`` reads them from TOML. Each component gets its settings class as a
whole. The suffix of a name, such as ``_ms``, is its unit.
"""

import attrs
from attrs.validators import and_, deep_iterable, ge, instance_of, le, min_len

MAX_PORT = 65535


def _int_field(default, low, high):
    """Return an ``attrs`` field for an integer from ``low`` to ``high``."""
    return attrs.field(
        default=default, validator=[_reject_bool, instance_of(int), ge(low), le(high)]
    )


def _number_field(default, low, high):
    """Return an ``attrs`` field for an integer or float from ``low`` to ``high``."""
    return attrs.field(
        default=default,
        validator=[_reject_bool, instance_of((int, float)), ge(low), le(high)],
    )


def _str_field(default=attrs.NOTHING):
    """Return an ``attrs`` field for a non-empty string."""
    return attrs.field(default=default, validator=and_(instance_of(str), min_len(1)))


def _reject_bool(instance, attribute, value):
    """Reject true and false for a number; ``bool`` is a subclass of ``int``."""
    if isinstance(value, bool):
        raise TypeError(f"{attribute.name} must be a number, not true or false")


def _port_field():
    return _int_field(attrs.NOTHING, 0, MAX_PORT)


@attrs.frozen
class Listen:
    """Address that a process listens on; port 0 selects any free port."""

    host: str = _str_field()
    port: int = _port_field()


@attrs.frozen
class ControlMember:
    """Name and address of a control VM: TCP port for calls, UDP port for leases."""

    name: str = _str_field()
    host: str = _str_field()
    port: int = _port_field()
    lease_port: int = _port_field()


@attrs.frozen
class LeaseSettings:
    """Timing of quorum leases; must be equal on all control VMs and daemons.

    Parameters
    ----------
    lease_ms : int
        Validity of a renewal, counted from the moment the daemon sent it.
    renew_ms : int
        Time between renewals; at most a third of ``lease_ms``, so that one lost
        datagram doesn't end the lease.
    drift : float
        Maximum tolerated difference between the rates of two clocks, as a fraction
        of 1.
    zone_grace_ms : int
        How long a target keeps serving after its availability zone was taken out,
        so that its shards can be moved in batches.
    """

    lease_ms: int = _int_field(550, 50, 10_000)
    renew_ms: int = _int_field(180, 10, 2_000)
    drift: float = _number_field(0.01, 0.0, 0.2)
    zone_grace_ms: int = _int_field(2000, 0, 60_000)


@attrs.frozen
class RaftSettings:
    """Timeouts and size limits of the Raft group.

    Parameters
    ----------
    heartbeat_ms : int
        Time between two heartbeats of the leader.
    election_ms : int
        Minimum election timeout. A member that receives nothing from a leader for a
        time between this and twice this starts an election.
    first_election_ms : int
        Minimum election timeout of a member that has just started; 0 uses
        ``election_ms``.
    batch_entries : int
        Maximum number of log entries in one message.
    snapshot_entries : int
        Log length, in entries, at which the log is compacted into a snapshot.
    chunk_bytes : int
        Size of the chunks in which a snapshot is sent to a member.
    """

    heartbeat_ms: int = _int_field(50, 5, 5_000)
    election_ms: int = _int_field(300, 50, 30_000)
    first_election_ms: int = _int_field(0, 0, 30_000)
    batch_entries: int = _int_field(256, 1, 10_000)
    snapshot_entries: int = _int_field(4096, 16, 1_000_000)
    chunk_bytes: int = _int_field(256 * 1024, 1024, 4 * 1024 * 1024)


@attrs.frozen
class GateSettings:
    """Admission control for one target.

    Parameters
    ----------
    max_connections : int
        Maximum number of connections to the target.
    queue_requests : int
        Maximum queue length, which bounds memory. With 64, a dozen slots and 67 ms of
        work per request, requests were refused that would have started in 0.4 s.
    queue_ms : int
        Maximum wait, in milliseconds; a request's deadline or the throughput of the
        queue can shorten it.
    cold_requests : int
        Maximum number of concurrent requests to a target that has just started.
    cold_s : float
        Time that a target needs under load to warm up, in seconds.
    key_share, caller_share : float
        Maximum fraction of the queue and the slots for one key, and for one caller,
        while requests of others wait.
    """

    max_connections: int = _int_field(130, 1, 10_000)
    queue_requests: int = _int_field(256, 0, 100_000)
    queue_ms: int = _int_field(2000, 0, 60_000)
    cold_requests: int = _int_field(1, 1, 1_000)
    cold_s: float = _number_field(10.0, 0.0, 3600.0)
    key_share: float = _number_field(0.5, 0.01, 1.0)
    caller_share: float = _number_field(0.5, 0.01, 1.0)


@attrs.frozen
class BookingSettings:
    """Limits of the ledger, which records bookings for deduplication.

    Parameters
    ----------
    ledger_entries : int
        Maximum number of recorded bookings. When the ledger is full, new bookings are
        refused; none is dropped before its time.
    caller_clock_margin_s : float
        Maximum tolerated error of a caller's clock, in seconds.
    """

    ledger_entries: int = _int_field(20_000, 16, 10_000_000)
    caller_clock_margin_s: float = _number_field(2.0, 0.0, 60.0)


@attrs.frozen
class PlacementSettings:
    """How the leader assigns shards to targets.

    Parameters
    ----------
    tick_ms : int
        Time between two placement steps. Well below the lease, so that detecting a
        silent target adds little to the time that its shards have no owner. A step
        checks the members, and the shards only after a change.
    imbalance : float
        Excess over the mean load up to which no shard is moved to balance the load,
        as a fraction of 1.
    pin_share, unpin_share : float
        A key is pinned above ``pin_share`` and unpinned below ``unpin_share``, both
        fractions of the load.
    pin_rate : float
        Minimum rate of a key to be pinned, in requests per second.
    pin_hold_s : float
        Minimum lifetime of a pin, in seconds.
    """

    tick_ms: int = _int_field(20, 10, 10_000)
    imbalance: float = _number_field(0.1, 0.0, 10.0)
    pin_share: float = _number_field(0.05, 0.0, 1.0)
    unpin_share: float = _number_field(0.02, 0.0, 1.0)
    pin_rate: float = _number_field(50.0, 0.0, 1_000_000.0)
    pin_hold_s: float = _number_field(60.0, 0.0, 3600.0)


@attrs.frozen
class LogSettings:
    """Where logs are written and how often a sentence may repeat.

    Parameters
    ----------
    file : str
        Path below the data folder; empty for standard error.
    repeats_per_minute : int
        Maximum number of lines with the same sentence in a minute.
    """

    file: str = attrs.field(default="", validator=instance_of(str))
    repeats_per_minute: int = _int_field(60, 1, 100_000)


@attrs.frozen
class DaemonSettings:
    """Settings of a daemon, which runs next to a target.

    Parameters
    ----------
    caller, peer, announce, metrics : Listen
        Addresses to listen on for callers, other daemons, the target, and scrapers.
    target_address : Listen
        Where the target accepts requests. An announcement of another address is
        refused; port 0 accepts any announced port.
    forward_wait_ms : int
        Maximum time that a request waits for a key that is being moved.
    stale_s : float
        State that was not confirmed for longer than this, in seconds, is not used.
    target_silent_s : float
        A target with requests in flight that neither reports nor answers for longer
        than this, in seconds, is considered failed; 0 disables the check.
    """

    service: str = _str_field()
    target: str = _str_field()
    zone: str = _str_field()
    data_folder: str = _str_field()
    caller: Listen = attrs.field(validator=instance_of(Listen))
    peer: Listen = attrs.field(validator=instance_of(Listen))
    announce: Listen = attrs.field(validator=instance_of(Listen))
    metrics: Listen = attrs.field(validator=instance_of(Listen))
    target_address: Listen = attrs.field(validator=instance_of(Listen))
    control: list[ControlMember] = attrs.field(
        validator=deep_iterable(instance_of(ControlMember), and_(min_len(1)))
    )
    capacity: int = _int_field(1, 1, 1_000)
    # Each caller in the gate's queue occupies a thread. With fewer threads than slots
    # and queued requests, requests queue up before the gate, where deadlines, fair
    # shares and Retry-After are not applied. On each of two ports, 80 threads suffice
    # for a dozen slots and 64 queued requests, and keep a daemon below its 64 MB under
    # load.
    threads: int = _int_field(80, 1, 512)
    forward_wait_ms: int = _int_field(300, 0, 60_000)
    stale_s: float = _number_field(3.0, 0.1, 60.0)
    drain_s: float = _number_field(30.0, 0.0, 3600.0)
    target_silent_s: float = _number_field(3.0, 0.0, 3600.0)
    lease: LeaseSettings = attrs.field(factory=LeaseSettings)
    gate: GateSettings = attrs.field(factory=GateSettings)
    bookings: BookingSettings = attrs.field(factory=BookingSettings)
    logs: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class ControlSettings:
    """Settings of a control VM.

    Parameters
    ----------
    name : str
        Name of this control VM; must be among ``members``.
    members : list of ControlMember
        Members of the group at its first start, including this one. Afterwards the
        replicated log defines the members.
    join : bool
        True for a member that is added to a running group. It starts as a learner with
        an empty data folder.
    """

    name: str = _str_field()
    zone: str = _str_field()
    data_folder: str = _str_field()
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
    """Settings of the operator commands: the control VMs and the timeout.

    Parameters
    ----------
    data_folder : str
        Folder into which the program unpacks itself.
    """

    data_folder: str = _str_field()
    control: list[ControlMember] = attrs.field(
        validator=deep_iterable(instance_of(ControlMember), and_(min_len(1)))
    )
    timeout_ms: int = _int_field(5_000, 100, 600_000)
