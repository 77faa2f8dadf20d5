"""The changes that go through the replicated log, and the outcome of one.

``_state.ClusterState.apply`` gives each its meaning. Every change is decided from
the state at its own index alone, so that all members reach the same outcome.
"""

import attrs

from tamarackhaven._model import (
    Address,
    AvailabilityZone,
    OwnershipPolicy,
    Service,
    ShardGrant,
    TargetMember,
)


@attrs.frozen
class PutResource:
    """Create (``expected_version`` 0) or change a resource.

    Parameters
    ----------
    change_id : str
        Chosen by the operator; a resent change gets its first outcome.
    expected_version : int
        The version the operator saw.
    allow_last_zone_out : bool
        The explicit word needed to take out the last availability zone.
    """

    change_id: str
    resource: AvailabilityZone | OwnershipPolicy | Service
    expected_version: int = 0
    allow_last_zone_out: bool = False


@attrs.frozen
class DeleteResource:
    """Delete the resource of class name ``kind``, named ``name``."""

    change_id: str
    kind: str
    name: str
    expected_version: int


@attrs.frozen
class JoinTarget:
    """A daemon announces its target; the outcome holds its epoch.

    Refused while another process holds the name: of two claimants the one that
    renews its lease keeps it, and the other gets in once that one is retired.
    """

    service: str
    target: str
    zone: str
    instance: str
    incarnation: str
    peer: Address
    capacity: int = 1


@attrs.frozen
class LeaveTarget:
    """A daemon announces that its target is leaving."""

    service: str
    target: str
    epoch: int


@attrs.frozen
class RetireTarget:
    """The leader found that a majority fenced this epoch; its shards are free.

    Proposed only after a majority fenced the epoch, or after the daemon itself
    said that it holds nothing any more.
    """

    service: str
    target: str
    epoch: int
    cause: str = ""


@attrs.frozen
class ShardMove:
    """Move one shard; ignored unless the shard still has this grant."""

    shard: int
    grant: int
    to_target: str


@attrs.frozen
class MoveShards:
    """The leader's placement step.

    A shard without an owner is granted at once; an owned one gets ``moving_to``
    and changes hands when its owner releases it.
    """

    service: str
    moves: list[ShardMove]
    cause: str = ""


@attrs.frozen
class ReleaseShards:
    """An owner admits nothing more for these shards and has nothing in flight.

    Parameters
    ----------
    grants : list of ShardGrant
        What the owner releases; those whose ``grant`` is not current are ignored.
    """

    service: str
    target: str
    epoch: int
    grants: list[ShardGrant]


@attrs.frozen
class PinKey:
    """Give a hot key a shard of its own, first with the same owner."""

    service: str
    key_hash: int
    cause: str = ""


@attrs.frozen
class UnpinKey:
    """Fold a pinned key back into its shard, once both have the same owner."""

    service: str
    key_hash: int
    cause: str = ""


Change = (
    PutResource
    | DeleteResource
    | JoinTarget
    | LeaveTarget
    | RetireTarget
    | MoveShards
    | ReleaseShards
    | PinKey
    | UnpinKey
)


@attrs.frozen
class Command:
    """What a log entry holds: a change, and when the leader took it.

    Parameters
    ----------
    at_unix_s : float
        Wall-clock time at the leader, in seconds; only told to people.
    """

    change: Change
    at_unix_s: float = 0.0


@attrs.frozen
class Outcome:
    """What became of a change.

    Parameters
    ----------
    code : str
        Empty if it was applied, else the value of an ``ErrorKind``.
    detail : str
        For people.
    version : int
        Version in force after the change: of the resource it names (with a
        conflict, the present one), else the log index.
    member : TargetMember or None
        The admitted target, for ``JoinTarget``.
    """

    code: str = ""
    detail: str = ""
    version: int = 0
    member: TargetMember | None = None
