"""Events for watchers: changed records, each with its version.

Events of one version arrive together. A view that has applied version ``v`` ignores
events up to ``v``, so a late or repeated delivery can't revert it.
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
    """A target was removed, as it was lost long ago and lost ones are limited."""

    version: int
    service: str
    target: str


@attrs.frozen
class ShardChanged:
    """A shard's grant changed: its owner, or the target that it is moving to."""

    version: int
    grant: ShardGrant


@attrs.frozen
class ShardRemoved:
    """A shard was removed, such as that of a pinned key."""

    version: int
    service: str
    shard: int


@attrs.frozen
class MembershipChanged:
    """The membership of the consensus group changed."""

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
    """A frequent key of a gate; ``share`` is its fraction of all requests, 0 to 1."""

    key_hash: int
    share: float


@attrs.frozen
class LoadReport:
    """Load of a target, which its daemon reports to the leader a few times a minute.

    Parameters
    ----------
    requests_per_s : float
        Rate of admitted requests, per second.
    limit : int
        Present concurrency limit of the gate.
    cold : bool
        Whether the gate still applies its cold-start limit.
    hot_keys : list of HotKey
        The most frequent keys, in descending order of ``share``.
    """

    service: str
    target: str
    epoch: int
    requests_per_s: float
    limit: int
    cold: bool
    hot_keys: list[HotKey] = attrs.field(factory=list)
