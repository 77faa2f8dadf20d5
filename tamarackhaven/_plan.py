"""Inputs and result of a placement step."""

import enum

import attrs

from tamarackhaven._changes import MoveShards, ShardMove
from tamarackhaven._model import (
    AvailabilityZone,
    OwnershipPolicy,
    Service,
    ShardGrant,
    TargetMember,
)


class MoveCause(enum.Enum):
    """Why a shard moves."""

    NO_OWNER = "the shard has no owner"
    DESTINATION_GONE = "the target it was moving to can no longer take it"
    LEAVING = "its owner is leaving"
    ZONE_OUT = "the availability zone of its owner is out"
    HOT_KEY = "hot keys are kept apart"
    BALANCE = "its owner is over the mean load"


class HoldCause(enum.Enum):
    """Why a shard that should move stays for now."""

    NO_TARGET = "no target can take it"
    NO_ROOM = "no target can bear it yet"
    BATCH_FULL = "as many shards as the policy allows are on the move"
    OWNER_LOST = "its owner is lost but not yet retired"
    NO_GAIN = "no move would lower the highest load"


@attrs.frozen
class PlacementInputs:
    """The inputs of a placement step.

    Parameters
    ----------
    members : list of TargetMember
        Targets in any state; those of other services are ignored.
    grants_by_shard : dict of int to ShardGrant
        A missing shard is one that was never granted.
    loads_by_shard : dict of int to float
        Load of each shard in any unit; 1 where missing.
    warmth_by_target : dict of str to float
        Fraction of its capacity, 0 to 1, that a cold target can use now; 1 where
        missing.
    urgent_targets : frozenset of str
        Targets that are about to stop accepting work although they own shards.
    fixed_shards : frozenset of int
        Shards that must not move for balance or as hot keys, such as pinned keys that
        are about to be unpinned: they would otherwise move away and back repeatedly.
    """

    service: Service
    policy: OwnershipPolicy
    zones_by_name: dict[str, AvailabilityZone]
    members: list[TargetMember]
    grants_by_shard: dict[int, ShardGrant]
    loads_by_shard: dict[int, float] = attrs.field(factory=dict)
    warmth_by_target: dict[str, float] = attrs.field(factory=dict)
    urgent_targets: frozenset[str] = frozenset()
    fixed_shards: frozenset[int] = frozenset()


@attrs.frozen
class Hold:
    """Shards that should move and don't: why, the first one, and how many."""

    cause: HoldCause
    shard: int
    count: int


@attrs.frozen
class Plan:
    """One placement step.

    Parameters
    ----------
    service : str
        Name of the service.
    moves : list of ShardMove
        At most one for each shard. A move to the current owner cancels a move.
    causes_by_shard : dict of int to MoveCause
        Why each shard moves.
    holds : list of Hold
        At most one for each cause, for ``explain``.
    imbalance_before, imbalance_after : float
        Largest excess over the mean load, as a fraction of the mean (1 for twice the
        mean), once all moves have ended.
    """

    service: str
    moves: list[ShardMove] = attrs.field(factory=list)
    causes_by_shard: dict[int, MoveCause] = attrs.field(factory=dict)
    holds: list[Hold] = attrs.field(factory=list)
    imbalance_before: float = 0.0
    imbalance_after: float = 0.0

    def changes(self):
        """Return the moves as changes for the log, one for each cause."""
        moves_by_cause = {}
        for move in self.moves:
            cause = self.causes_by_shard[move.shard]
            moves_by_cause.setdefault(cause, []).append(move)
        return [
            MoveShards(self.service, moves, cause.value)
            for cause, moves in moves_by_cause.items()
        ]
