"""Records of the replicated state: resources, targets and shard grants.

All are frozen ``attrs`` classes, so that threads can share a record and each change
makes a new one. ``version`` is the index of the log entry that last changed the record;
0 means that it was never committed.
"""

import enum

import attrs


class ZoneState(enum.Enum):
    """Whether operators allow new work in an availability zone."""

    IN = "in"
    OUT = "out"


class PolicyMode(enum.Enum):
    """How many targets may serve one key."""

    EXCLUSIVE = "exclusive"  # one owner per key
    SHARED = "shared"  # any target serves any key


class TargetState(enum.Enum):
    """State of a target, as announced by it or decided by the control group."""

    ACTIVE = "active"
    LEAVING = "leaving"  # finishes what is in flight, gets no new shard
    LOST = "lost"  # its epoch is fenced by a majority


@attrs.frozen
class AvailabilityZone:
    """An availability zone; operators take it out and in again."""

    name: str
    region: str = ""
    state: ZoneState = ZoneState.IN
    version: int = 0


@attrs.frozen
class OwnershipPolicy:
    """How keys are owned, and how many shards may move at once.

    Parameters
    ----------
    name : str
        Name that services refer to.
    mode : PolicyMode
        Exclusive or shared.
    min_targets : int
        Minimum number of active targets in zones that are in; a change that would
        leave fewer is refused. With 0, a service can be created before its targets
        announce themselves.
    move_batch : int
        Maximum number of shards that move at once in one service.
    max_pinned_keys : int
        Maximum number of hot keys pinned at once in one service.
    """

    name: str
    mode: PolicyMode = PolicyMode.EXCLUSIVE
    min_targets: int = 0
    move_batch: int = 8
    max_pinned_keys: int = 32
    version: int = 0


@attrs.frozen
class Service:
    """A service whose targets hold state for each key.

    Parameters
    ----------
    name : str
        First part of every request's path.
    policy : str
        Name of the ownership policy.
    shard_count : int
        Number of shards, a power of two from 1 to 65,536; fixed at creation.
    default_deadline_ms : int
        Deadline for requests without one, in milliseconds.
    max_body_bytes : int
        Maximum size of a request or answer body, in bytes.
    slots : int
        Declared number of requests that one warm target can run at once.
    booking_window_s : int
        How long a booking's first answer is kept, in seconds.
    """

    name: str
    policy: str
    shard_count: int = 64
    default_deadline_ms: int = 2000
    max_body_bytes: int = 1 << 20
    slots: int = 12
    booking_window_s: int = 600
    version: int = 0


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int


@attrs.frozen
class TargetMember:
    """A target that announced itself through the daemon on its VM.

    Parameters
    ----------
    service, target : str
        The target's name is unique within its service.
    zone : str
        Availability zone of its VM.
    instance : str
        Random name of the daemon process; each process has its own.
    incarnation : str
        Value that the target reports for its start; a new one means a cold target.
    epoch : int
        Index of the log entry that admitted this instance; fences older ones.
    peer : Address
        Address to which other daemons forward requests.
    capacity : int
        Relative capacity, 1 or more.
    """

    service: str
    target: str
    zone: str
    instance: str
    incarnation: str
    peer: Address
    capacity: int = 1
    state: TargetState = TargetState.ACTIVE
    epoch: int = 0
    version: int = 0


@attrs.frozen
class ShardGrant:
    """Ownership of one shard; a pinned key has its own shard.

    A grant ends only when the owner releases it or a majority fences the owner's epoch.
    So a daemon with an outdated map but a valid lease still has correct information on
    what it owns.

    Parameters
    ----------
    shard : int
        0 to ``shard_count - 1``, or a higher number for a pinned key.
    owner : str
        Name of the owning target, empty if none.
    epoch : int
        The owner's epoch at the time of the grant.
    grant : int
        Index of the log entry that granted it; increases with each change of owner.
    moving_to : str
        Name of the target that gets the shard once its owner releases it, or empty.
    key_hash : int
        64-bit hash of the pinned key, 0 for an ordinary shard.
    previous : int
        ``grant`` number directly before this one, 0 if there was none. A ledger of
        bookings that is handed over is complete only if it belongs to that grant.
    """

    service: str
    shard: int
    owner: str = ""
    epoch: int = 0
    grant: int = 0
    moving_to: str = ""
    key_hash: int = 0
    previous: int = 0
    version: int = 0


Resource = AvailabilityZone | OwnershipPolicy | Service
