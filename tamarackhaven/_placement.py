"""Placement: which shard goes to which target, one bounded step at a time.

``plan`` is a pure function, so the same inputs give the same plan on every control VM
and in every test. It passes the shards through five filters in order: aim moves again
whose destination is gone, grant shards without an owner, empty targets that are
leaving or out, set pinned keys apart, and balance.
"""

import bisect
import enum
import heapq

import attrs

from tamarackhaven._changes import MoveShards, ShardMove
from tamarackhaven._model import (
    AvailabilityZone,
    OwnershipPolicy,
    PolicyMode,
    Service,
    ShardGrant,
    TargetMember,
    TargetState,
    ZoneState,
)
from tamarackhaven._target_loads import TargetLoads

DEFAULT_LOAD = 1.0


class MoveCause(enum.Enum):
    """Why a shard moves."""

    NO_OWNER = "the shard has no owner"
    DESTINATION_GONE = "the target it was moving to can no longer take it"
    LEAVING = "its owner is leaving"
    ZONE_OUT = "the availability zone of its owner is out"
    HOT_KEY = "hot keys are kept apart"
    BALANCE = "its owner is over the mean load"


class HoldCause(enum.Enum):
    """Why a shard that ought to move stays for now."""

    NO_TARGET = "no target can take it"
    NO_ROOM = "no target can bear it yet"
    BATCH_FULL = "as many shards as the policy allows are on the move"
    OWNER_LOST = "its owner is lost but not yet retired"
    NO_GAIN = "no move would lower the highest load"


@attrs.frozen
class PlacementInputs:
    """What a placement step is decided from.

    Parameters
    ----------
    members : list of TargetMember
        Targets in any state; those of other services are ignored.
    grants_by_shard : dict of int to ShardGrant
        A missing shard counts as one that was never granted.
    loads_by_shard : dict of int to float
        Load of each shard in any unit; 1 where missing.
    warmth_by_target : dict of str to float
        Share of its capacity, 0 to 1, that a cold target can take now; 1 where
        missing.
    """

    service: Service
    policy: OwnershipPolicy
    zones_by_name: dict[str, AvailabilityZone]
    members: list[TargetMember]
    grants_by_shard: dict[int, ShardGrant]
    loads_by_shard: dict[int, float] = attrs.field(factory=dict)
    warmth_by_target: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Hold:
    """Shards that ought to move and don't: the first one, how many, and why."""

    cause: HoldCause
    shard: int
    count: int


@attrs.frozen
class Plan:
    """One placement step.

    Parameters
    ----------
    service : str
        The service it is for.
    moves : list of ShardMove
        At most one for each shard. A move to the present owner cancels a move.
    causes_by_shard : dict of int to MoveCause
        Why each of them moves.
    holds : list of Hold
        At most one for each cause, for ``explain``.
    imbalance_before, imbalance_after : float
        Largest excess over the mean load, as a part of 1, once moves have ended.
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


def plan(inputs, settings):
    """Return the next placement step of one service.

    Parameters
    ----------
    inputs : PlacementInputs
        State at one log index, with loads and warmth as last reported.
    settings : PlacementSettings
        Sets the imbalance that is left alone.

    Returns
    -------
    Plan
        Empty for a shared service, which has no owners.
    """
    if inputs.policy.mode is PolicyMode.SHARED:
        return Plan(inputs.service.name)
    return _Planner(inputs, settings).run()


def is_eligible(member, zones_by_name):
    """Return whether a target may be given shards."""
    zone = zones_by_name.get(member.zone)
    is_in = zone is not None and zone.state is ZoneState.IN
    return is_in and member.state is TargetState.ACTIVE


class _Planner:
    """The state of one run of ``plan``."""

    def __init__(self, inputs, settings):
        self.inputs = inputs
        self.members_by_name = {
            member.target: member
            for member in sorted(inputs.members, key=lambda m: m.target)
            if member.service == inputs.service.name
        }
        self.grants = self._all_grants()
        self.load_by_shard = inputs.loads_by_shard
        self.loads = self._target_loads(settings)
        self.budget = inputs.policy.move_batch
        self.moves_by_shard = {}
        self.causes_by_shard = {}
        self.holds_by_cause = {}
        self.unowned = []
        self.astray = []
        self.stranded = []
        self.pinned = []

    def run(self):
        """Return the plan."""
        for grant in self.grants:
            self._sort_in(grant)
        self.loads.start()
        before = self.loads.imbalance()
        self._aim_again()
        self._grant_unowned()
        self._empty_targets()
        self._set_pins_apart()
        self._balance()
        return Plan(
            self.inputs.service.name,
            list(self.moves_by_shard.values()),
            self.causes_by_shard,
            list(self.holds_by_cause.values()),
            before,
            self.loads.imbalance(),
        )

    def _all_grants(self):
        name = self.inputs.service.name
        count = self.inputs.service.shard_count
        by_shard = self.inputs.grants_by_shard
        ordinary = [by_shard.get(s) or ShardGrant(name, s) for s in range(count)]
        pinned = [by_shard[s] for s in sorted(by_shard) if s >= count]
        return ordinary + pinned

    def _target_loads(self, settings):
        zones = self.inputs.zones_by_name
        members = self.members_by_name.values()
        eligible = [m for m in members if is_eligible(m, zones)]
        total = sum(self._load(grant) for grant in self.grants)
        warmth = self.inputs.warmth_by_target
        return TargetLoads(eligible, warmth, total, settings.imbalance)

    def _load(self, grant):
        return self.load_by_shard.get(grant.shard, DEFAULT_LOAD)

    def _sort_in(self, grant):
        """Count a shard at its destination, and note what must happen to it."""
        pinned = grant.key_hash != 0
        self.loads.total_pins += pinned
        moving = bool(grant.owner and grant.moving_to)
        self.budget -= moving
        destination = grant.moving_to if moving else grant.owner
        if destination in self.loads:
            self.loads.enter(destination, self._load(grant), pinned)
        elif not grant.owner:
            self.unowned.append(grant)
        elif moving:
            self.astray.append(grant)
        else:
            self.stranded.append(grant)
        if pinned:
            self.pinned.append(grant)

    def _best(self, grant):
        """Return the target that can best bear the shard, or None."""
        if grant.key_hash:
            return self.loads.best_for_pin(self._load(grant))
        return self.loads.lightest_bearing(self._load(grant))

    def _move(self, grant, target, cause):
        self.loads.give(target, self._load(grant), grant.key_hash != 0)
        self.moves_by_shard[grant.shard] = ShardMove(grant.shard, grant.grant, target)
        self.causes_by_shard[grant.shard] = cause

    def _hold(self, grant, cause, count=1):
        held = self.holds_by_cause.get(cause)
        first = held.shard if held else grant.shard
        count += held.count if held else 0
        self.holds_by_cause[cause] = Hold(cause, first, count)

    def _heaviest_first(self, grant):
        return -self._load(grant), grant.shard

    def _aim_again(self):
        """Give a new destination to moves whose destination is gone.

        Failure: the destination of a move leaves, is lost or goes out half-way.
        Symptom: the owner releases the shard to a target that serves nothing.
        Back to the owner where it can keep the shard, since that costs no change of
        owner; the shard is already counted among those on the move.
        """
        for grant in self.astray:
            target = grant.owner if grant.owner in self.loads else self._best(grant)
            if target is None:
                self._hold(grant, self._no_target_cause())
            else:
                self._move(grant, target, MoveCause.DESTINATION_GONE)

    def _grant_unowned(self):
        """Grant all shards without an owner, spread by what targets can take now.

        Load: a target or a zone is lost and its shards come at once.
        Harm: each shard that waits for a later step is unavailable meanwhile.
        No limit by batch, since nobody serves these shards; cold targets get a part
        by their warmth, and their gates refuse what is too much even so.
        """
        for grant in sorted(self.unowned, key=self._heaviest_first):
            target = self._best(grant) if grant.key_hash else None
            target = target or self.loads.lightest()
            if target is None:
                self._hold(grant, HoldCause.NO_TARGET)
            else:
                self._move(grant, target, MoveCause.NO_OWNER)

    def _empty_targets(self):
        """Move shards off targets that are leaving or in a zone that is out.

        Load: an availability zone is taken out and all its shards must go.
        Harm: all at once would flood the remaining targets with keys whose state
        they don't hold yet.
        Limit: ``move_batch`` on the move at once; heaviest first, since their callers
        are the most.
        """
        movable = [grant for grant in self.stranded if self._is_movable(grant)]
        room = max(0, self.budget)
        for grant in heapq.nsmallest(room, movable, key=self._heaviest_first):
            target = self._best(grant)
            if target is None:
                self._hold(grant, self._no_target_cause())
                continue
            self._move(grant, target, self._leave_cause(grant))
            self.budget -= 1
        if len(movable) > room:
            self._hold(movable[0], HoldCause.BATCH_FULL, len(movable) - room)

    def _is_movable(self, grant):
        """Return whether the owner can still release the shard."""
        owner = self.members_by_name.get(grant.owner)
        if owner is not None and owner.state is not TargetState.LOST:
            return True
        self._hold(grant, HoldCause.OWNER_LOST)
        return False

    def _leave_cause(self, grant):
        owner = self.members_by_name[grant.owner]
        if owner.state is TargetState.LEAVING:
            return MoveCause.LEAVING
        return MoveCause.ZONE_OUT

    def _no_target_cause(self):
        if self.loads.capacity_by_target:
            return HoldCause.NO_ROOM
        return HoldCause.NO_TARGET

    def _is_settled(self, grant):
        """Return whether the shard rests at an eligible owner and isn't in the plan."""
        resting = not grant.moving_to and grant.owner in self.loads
        return resting and grant.shard not in self.moves_by_shard

    def _set_pins_apart(self):
        """Move a pinned key off a target that has more than its fair number."""
        settled = [grant for grant in self.pinned if self._is_settled(grant)]
        for grant in sorted(settled, key=self._heaviest_first):
            owner = grant.owner
            fair = self.loads.pins_allowed(owner)
            if self.loads.pins_by_target[owner] <= fair:
                continue
            target = self._best(grant)
            if target is None or not self.loads.has_pin_room(target):
                self._hold(grant, HoldCause.NO_ROOM)
            elif self.budget <= 0:
                self._hold(grant, HoldCause.BATCH_FULL)
            else:
                self._take_and_move(grant, target, MoveCause.HOT_KEY)

    def _take_and_move(self, grant, target, cause):
        self.loads.take(grant.owner, self._load(grant), grant.key_hash != 0)
        self._move(grant, target, cause)
        self.budget -= 1

    def _balance(self):
        """Move shards off targets that are over the mean by more than the slack.

        Load: skewed demand, or a target that has joined.
        Harm: the fullest target is the slowest; but each move makes a key wait.
        Limit: nothing moves below the slack, a move must lower the higher of the two
        loads, and it stops as soon as the donor is within the slack.
        """
        loads = self.loads
        donors = [t for t in loads.load_by_target if loads.excess(t) > loads.slack]
        if not donors or self.budget <= 0:
            return
        donors.sort(key=lambda t: (-loads.excess(t), t))
        grants_by_donor = {donor: [] for donor in donors}
        for grant in self.grants:
            if grant.owner in grants_by_donor and self._is_settled(grant):
                grants_by_donor[grant.owner].append(grant)
        for donor in donors:
            self._relieve(donor, sorted(grants_by_donor[donor], key=self._light_first))

    def _light_first(self, grant):
        return self._load(grant), -grant.shard

    def _relieve(self, donor, grants):
        loads = self.loads
        while grants and self.budget > 0 and loads.excess(donor) > loads.slack:
            target = loads.lightest()
            grant = self._choose(donor, target, grants)
            if grant is None:
                self._hold(grants[0], HoldCause.NO_GAIN)
                return
            grants.remove(grant)
            self._take_and_move(grant, target, MoveCause.BALANCE)

    def _choose(self, donor, target, grants):
        """Return the shard that best relieves ``donor``, or None.

        The smallest that brings the donor within the slack in one move, else the
        largest that the target has room for, else the smallest if that still lowers
        the higher load.
        """
        if not self.loads.has_pin_room(target):
            grants = [grant for grant in grants if not grant.key_hash]
        sizes = [self._load(grant) for grant in grants]
        room = bisect.bisect_right(sizes, self.loads.room(target))
        enough = bisect.bisect_left(sizes, -self.loads.room(donor))
        index = min(enough, room - 1) if room else 0
        if not grants or not self._gains(donor, target, sizes[index]):
            return None
        return grants[index]

    def _gains(self, donor, target, load):
        loads = self.loads
        after = (loads.load_by_target[target] + load) / loads.weight_by_target[target]
        capacity = loads.capacity_by_target[donor]
        before = loads.load_by_target[donor] / capacity
        return loads.can_bear(target, load) and after < before
