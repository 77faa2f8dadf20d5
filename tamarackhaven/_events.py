"""What a watcher is told: changed records, each with its version.

Events of one version arrive together. A view that has applied version ``v`` ignores
events up to ``v``, so a late or repeated delivery can't take it back.
"""

import attrs

from tamarackhaven._members import Membership
from tamarackhaven._model import (
    AvailabilityZone,
    OwnershipPolicy,
    Service,
    ShardGrant,
    TargetMember,
)


@attrs.frozen
class ResourceChanged:
    """A resource was created or changed."""

    version: int
    resource: AvailabilityZone | OwnershipPolicy | Service


@attrs.frozen
class ResourceDeleted:
    """A resource was deleted; ``kind`` is its class name."""

    version: int
    kind: str
    name: str


@attrs.frozen
class TargetChanged:
    """A target joined, left or was lost."""

    version: int
    member: TargetMember


@attrs.frozen
class TargetRemoved:
    """A target that was lost long ago is forgotten."""

    version: int
    service: str
    target: str


@attrs.frozen
class ShardChanged:
    """A shard has another owner, or is about to."""

    version: int
    grant: ShardGrant


@attrs.frozen
class ShardRemoved:
    """A pinned key's own shard is gone."""

    version: int
    service: str
    shard: int


@attrs.frozen
class MembershipChanged:
    """The consensus group has other members."""

    version: int
    membership: Membership


Event = (
    ResourceChanged
    | ResourceDeleted
    | TargetChanged
    | TargetRemoved
    | ShardChanged
    | ShardRemoved
    | MembershipChanged
)


@attrs.frozen
class HotKey:
    """A key that a gate saw often; ``share`` is its part of all requests, 0 to 1."""

    key_hash: int
    share: float


@attrs.frozen
class LoadReport:
    """What a daemon tells the leader about its target, a few times a minute.

    Parameters
    ----------
    requests_per_s : float
        Requests admitted a second.
    limit : int
        Present concurrency limit of the gate.
    cold : bool
        Whether the gate still holds its cold-start ceiling.
    hot_keys : list of HotKey
        The hottest keys, most shared first.
    """

    service: str
    target: str
    epoch: int
    requests_per_s: float
    limit: int
    cold: bool
    hot_keys: list[HotKey] = attrs.field(factory=list)
