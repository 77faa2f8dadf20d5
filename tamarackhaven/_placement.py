"""Plans which shard is owned by which target, one bounded step at a time.

``plan`` is a pure function, so the same inputs give the same plan on every control VM
and in every test. It runs six passes over the shards in order: redirect moves whose
destination is gone, grant shards without an owner, empty targets that are leaving or
out, spread pinned keys, relieve overloaded targets, and fill underloaded ones.
"""

import heapq

from tamarackhaven import _balance
from tamarackhaven._changes import ShardMove
from tamarackhaven._model import PolicyMode, ShardGrant, TargetState, ZoneState
from tamarackhaven._plan import Hold, HoldCause, MoveCause, Plan
from tamarackhaven._target_loads import TargetLoads

DEFAULT_LOAD = 1.0

MIN_LOAD_FRACTION = 0.05
"""Minimum load that is assumed for a shard, as a fraction of the mean shard load.

Otherwise shards without requests would have no load and would all be granted to one
target, which would be overloaded once their callers send requests.
"""


def plan(inputs, settings):
    """Return the next placement step of one service.

    Parameters
    ----------
    inputs : PlacementInputs
        State at one log index, with the last reported loads and warmth.
    settings : PlacementSettings
        Sets the imbalance up to which nothing is moved.

    Returns
    -------
    Plan
        Empty for a shared service, which has no owners.
    """
    if inputs.policy.mode is PolicyMode.SHARED:
        return Plan(inputs.service.name)
    return _Planner(inputs, settings).run()


def is_eligible(member, zones_by_name):
    """Return whether shards may be granted or moved to a target."""
    zone = zones_by_name.get(member.zone)
    is_in = zone is not None and zone.state is ZoneState.IN
    return is_in and member.state is TargetState.ACTIVE


class _Planner:
    """Holds the state of one call of ``plan``."""

    def __init__(self, inputs, settings):
        self.inputs = inputs
        self.members_by_name = {
            member.target: member
            for member in sorted(inputs.members, key=lambda m: m.target)
            if member.service == inputs.service.name
        }
        self.grants = self._all_grants()
        self.load_by_shard = self._shard_loads()
        self.loads = self._target_loads(settings)
        self.budget = inputs.policy.move_batch
        self.moves_by_shard = {}
        self.causes_by_shard = {}
        self.holds_by_cause = {}
        self.unowned = []
        self.misdirected = []
        self.on_stopping_targets = []
        self.pinned = []

    def run(self):
        """Return the plan."""
        self._count_all()
        self.loads.start()
        before = self.loads.imbalance()
        self._redirect_moves()
        self._grant_unowned()
        self._empty_targets()
        self._spread_pins()
        _balance.balance(self)
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

    def _shard_loads(self):
        """Return the load of each shard by shard number."""
        known = self.inputs.loads_by_shard.get
        shards = [grant.shard for grant in self.grants]
        loads = [known(shard, DEFAULT_LOAD) for shard in shards]
        mean = sum(loads) / max(1, len(loads))
        min_load = mean * MIN_LOAD_FRACTION or DEFAULT_LOAD
        return {
            shard: load if load > min_load else min_load
            for shard, load in zip(shards, loads, strict=True)
        }

    def _target_loads(self, settings):
        zones = self.inputs.zones_by_name
        members = self.members_by_name.values()
        eligible = [m for m in members if is_eligible(m, zones)]
        warmth = self.inputs.warmth_by_target
        total = sum(self.load_by_shard.values())
        return TargetLoads(eligible, warmth, total, settings.imbalance)

    def _load(self, grant):
        return self.load_by_shard[grant.shard]

    def _count_all(self):
        """Count all shards, with a fast path for settled ordinary ones, nearly all."""
        load_by_target = self.loads.load_by_target
        load_by_shard = self.load_by_shard
        for grant in self.grants:
            owner = grant.owner
            if grant.moving_to or grant.key_hash or owner not in load_by_target:
                self._count(grant)
            else:
                load_by_target[owner] += load_by_shard[grant.shard]

    def _count(self, grant):
        """Count a shard at its destination, and add it to the list of its kind."""
        pinned = grant.key_hash != 0
        self.loads.total_pins += pinned
        moving = bool(grant.owner and grant.moving_to)
        self.budget -= moving
        destination = grant.moving_to if moving else grant.owner
        if destination in self.loads:
            self.loads.add(destination, self._load(grant), pinned)
        elif not grant.owner:
            self.unowned.append(grant)
        elif moving:
            self.misdirected.append(grant)
        else:
            self.on_stopping_targets.append(grant)
        if pinned:
            self.pinned.append(grant)

    def _best_target(self, grant):
        """Return the best target with capacity for the shard, or None."""
        if grant.key_hash:
            return self.loads.best_for_pin(self._load(grant))
        return self.loads.least_loaded_with_capacity(self._load(grant))

    def _move(self, grant, target, cause):
        self.loads.add_moved(target, self._load(grant), grant.key_hash != 0)
        self.moves_by_shard[grant.shard] = ShardMove(grant.shard, grant.grant, target)
        self.causes_by_shard[grant.shard] = cause

    def hold(self, grant, cause, count=1):
        """Record that ``count`` shards stay although they should move."""
        held = self.holds_by_cause.get(cause)
        first = held.shard if held else grant.shard
        count += held.count if held else 0
        self.holds_by_cause[cause] = Hold(cause, first, count)

    def _heaviest_first(self, grant):
        return -self._load(grant), grant.shard

    def _redirect_moves(self):
        """Redirect moves whose destination is gone.

        The destination of a move may leave, be lost or be in a zone taken out during
        the move; the owner would then release the shard to a target that serves no
        requests. The shard returns to its owner if that can keep it, which needs no
        change of owner. It is already counted among the moving shards.
        """
        for grant in self.misdirected:
            target = (
                grant.owner if grant.owner in self.loads else self._best_target(grant)
            )
            if target is None:
                self.hold(grant, self._no_target_cause())
            else:
                self._move(grant, target, MoveCause.DESTINATION_GONE)

    def _grant_unowned(self):
        """Grant all shards without an owner, by the targets' current capacity.

        When a target or a zone is lost, all its shards need an owner at the same time,
        and each one that waits for a later step is unavailable meanwhile. The batch
        limit doesn't apply, since no target serves these shards. Cold targets get a
        share by their warmth, and their gates refuse any excess.
        """
        for grant in sorted(self.unowned, key=self._heaviest_first):
            target = self._best_target(grant) if grant.key_hash else None
            target = target or self.loads.least_loaded()
            if target is None:
                self.hold(grant, HoldCause.NO_TARGET)
            else:
                self._move(grant, target, MoveCause.NO_OWNER)

    def _empty_targets(self):
        """Move shards off targets that are leaving or in a zone that is out.

        When an availability zone is taken out, all its shards must move. Moved all at
        once, they would overload the remaining targets with keys whose state these
        don't hold yet. So at most ``move_batch`` shards move at the same time, heaviest
        first, since those have the most callers. When their owner is about to stop
        accepting work, shards move even to targets without capacity for them: the gates
        there refuse the excess, and otherwise no target would serve any of it.
        """
        movable = [
            grant for grant in self.on_stopping_targets if self._is_movable(grant)
        ]
        max_moves = max(0, self.budget)
        for grant in heapq.nsmallest(max_moves, movable, key=self._heaviest_first):
            target = self._best_target(grant)
            if target is None and grant.owner in self.inputs.urgent_targets:
                target = self.loads.least_loaded()
            if target is None:
                self.hold(grant, self._no_target_cause())
                continue
            self._move(grant, target, self._leave_cause(grant))
            self.budget -= 1
        if len(movable) > max_moves:
            self.hold(movable[0], HoldCause.BATCH_FULL, len(movable) - max_moves)

    def _is_movable(self, grant):
        """Return whether the owner can still release the shard."""
        owner = self.members_by_name.get(grant.owner)
        if owner is not None and owner.state is not TargetState.LOST:
            return True
        self.hold(grant, HoldCause.OWNER_LOST)
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

    def is_settled(self, grant):
        """Return whether an eligible target owns the shard and it is free to move."""
        if grant.shard in self.inputs.fixed_shards:
            return False
        is_at_owner = not grant.moving_to and grant.owner in self.loads
        return is_at_owner and grant.shard not in self.moves_by_shard

    def _spread_pins(self):
        """Move pinned keys off targets that have more than their fair number."""
        settled = [grant for grant in self.pinned if self.is_settled(grant)]
        for grant in sorted(settled, key=self._heaviest_first):
            owner = grant.owner
            fair = self.loads.fair_pin_count(owner)
            if self.loads.pins_by_target[owner] <= fair:
                continue
            target = self._best_target(grant)
            if target is None or not self.loads.can_take_pin(target):
                self.hold(grant, HoldCause.NO_ROOM)
            elif self.budget <= 0:
                self.hold(grant, HoldCause.BATCH_FULL)
            else:
                self.move_from_owner(grant, target, MoveCause.HOT_KEY)

    def move_from_owner(self, grant, target, cause):
        """Plan a move away from an eligible owner, and count it in the batch."""
        self.loads.remove_moved(grant.owner, self._load(grant), grant.key_hash != 0)
        self._move(grant, target, cause)
        self.budget -= 1

    def settled_by_owner(self):
        """Return the settled shards by eligible target, as ``OwnedShards``."""
        rows_by_owner = {name: [] for name in self.loads.capacity_by_target}
        for grant in self.grants:
            if self.is_settled(grant):
                row = self._load(grant), grant.shard, grant
                rows_by_owner[grant.owner].append(row)
        return {
            owner: _balance.OwnedShards(rows) for owner, rows in rows_by_owner.items()
        }
