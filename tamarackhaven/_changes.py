"""Changes that are replicated in the log, and the outcome of a change.

``_state.ClusterState.apply`` applies them. The outcome of a change depends only on the
state before its index, so that all members reach the same outcome.
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
        Chosen by the operator; a change resent under it returns the first outcome.
    expected_version : int
        Version of the resource that the operator read, 0 to create it.
    allow_last_zone_out : bool
        Must be true to take out the last availability zone.
    """

    change_id: str
    resource: AvailabilityZone | OwnershipPolicy | Service
    expected_version: int = 0
    allow_last_zone_out: bool = False


@attrs.frozen
class DeleteResource:
    """Delete the resource with class name ``kind`` and name ``name``."""

    change_id: str
    kind: str
    name: str
    expected_version: int


@attrs.frozen
class JoinTarget:
    """A daemon announces its target; the outcome holds the new epoch.

    Refused while another process holds the name. Of two processes with one name, the
    one that renews its lease keeps it; the other is admitted once the first is retired.
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
    """The leader marks a target as lost, which frees its shards.

    Proposed only after a majority has fenced the epoch, or after the daemon itself has
    reported that it holds nothing any more.
    """

    service: str
    target: str
    epoch: int
    cause: str = ""


@attrs.frozen
class ShardMove:
    """Move of one shard; ignored unless ``grant`` is its current grant."""

    shard: int
    grant: int
    to_target: str


@attrs.frozen
class MoveShards:
    """Moves of shards that the leader's placement has planned.

    A shard without an owner is granted at once. For an owned one ``moving_to`` is set,
    and the owner changes when the present one releases the shard.
    """

    service: str
    moves: list[ShardMove]
    cause: str = ""


@attrs.frozen
class ReleaseShards:
    """An owner releases shards, for which it admits nothing and has nothing in flight.

    Parameters
    ----------
    grants : list of ShardGrant
        Grants to release; those whose ``grant`` isn't current are ignored.
    """

    service: str
    target: str
    epoch: int
    grants: list[ShardGrant]


@attrs.frozen
class PinKey:
    """Give a hot key its own shard, initially with the same owner."""

    service: str
    key_hash: int
    cause: str = ""


@attrs.frozen
class UnpinKey:
    """Merge a pinned key back into its base shard; both must have the same owner."""

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
    """Content of a log entry: a change, and when the leader accepted it.

    Parameters
    ----------
    at_unix_s : float
        Unix time at the leader, in seconds; only shown to operators.
    """

    change: Change
    at_unix_s: float = 0.0


@attrs.frozen
class Outcome:
    """Result of a change.

    Parameters
    ----------
    code : str
        Empty if the change was applied, else the value of an ``ErrorKind``.
    detail : str
        Explanation for operators.
    version : int
        Version after the change: that of the resource it names (the current one if
        there is a conflict), else the log index.
    member : TargetMember or None
        The admitted target, for ``JoinTarget``.
    """

    code: str = ""
    detail: str = ""
    version: int = 0
    member: TargetMember | None = None
