"""The records that the control group keeps: resources, targets and shard grants.

All are frozen ``attrs`` classes, so a record can be shared between threads and a
change is always a new record. ``version`` is the index of the log entry that last
changed the record; 0 means that it was never committed.
"""

import enum

import attrs


class ZoneState(enum.Enum):
    """Whether operators let an availability zone take new work."""

    IN = "in"
    OUT = "out"


class PolicyMode(enum.Enum):
    """How many targets may serve one key."""

    EXCLUSIVE = "exclusive"  # one owner per key
    SHARED = "shared"  # any target serves any key


class TargetState(enum.Enum):
    """What a target announced, or what the control group concluded."""

    ACTIVE = "active"
    LEAVING = "leaving"  # finishes what is in flight, takes no new shard
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
    """How keys are owned, and how fast ownership may move.

    Parameters
    ----------
    name : str
        Name that services refer to.
    mode : PolicyMode
        Exclusive or shared.
    min_targets : int
        Fewest active targets in zones that are in; a change that would leave
        fewer is refused. 0 accepts a service before its targets announce.
    move_batch : int
        Most shards that may be on the move at once in one service.
    max_pinned_keys : int
        Most hot keys pinned at once in one service.
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
        Name of its ownership policy.
    shard_count : int
        Number of shards, a power of two from 1 to 65,536; fixed at creation.
    default_deadline_ms : int
        Deadline for requests that state none, in milliseconds.
    max_body_bytes : int
        Largest request or answer body, in bytes.
    slots : int
        Requests that one target can run at once when warm, as declared.
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
    """A target that announced itself, with the daemon beside it.

    Parameters
    ----------
    service, target : str
        The target's name is unique within its service.
    zone : str
        Availability zone of its VM.
    instance : str
        Random name of the daemon process; another process has another one.
    incarnation : str
        What the target says of its own start; a new one means a cold target.
    epoch : int
        Index of the log entry that admitted this instance; fences older ones.
    peer : Address
        Where other daemons forward requests to.
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
    """Who owns one shard. A pinned key is a shard of its own.

    A grant ends in two ways only: the owner releases it, or the owner's epoch is
    fenced by a majority. So a daemon whose map is old but whose lease holds still
    knows truly what it owns.

    Parameters
    ----------
    shard : int
        0 to ``shard_count - 1``, or above that for a pinned key.
    owner : str
        Name of the owning target, empty if none.
    epoch : int
        The owner's epoch at the time of the grant.
    grant : int
        Index of the log entry that granted it; rises with each change of owner.
    moving_to : str
        Name of the target that gets it once the owner has released it, or empty.
    key_hash : int
        64-bit hash of the pinned key, 0 for an ordinary shard.
    previous : int
        Number of the grant right before this one, 0 if there was none. A ledger of
        bookings handed over is whole only if it is of that grant.
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
