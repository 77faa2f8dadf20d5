"""Placement: which shard goes to which target, one bounded step at a time.

``plan`` is a pure function, so the same inputs give the same plan on every control VM
and in every test. It passes the shards through six filters in order: aim moves again
whose destination is gone, grant shards without an owner, empty targets that are
leaving or out, set pinned keys apart, relieve full targets, and fill empty ones.
"""

import heapq

from tamarackhaven import _balance
from tamarackhaven._changes import ShardMove
from tamarackhaven._model import PolicyMode, ShardGrant, TargetState, ZoneState
from tamarackhaven._plan import Hold, HoldCause, MoveCause, Plan
from tamarackhaven._target_loads import TargetLoads

DEFAULT_LOAD = 1.0

MIN_LOAD_SHARE = 0.05
"""Least load of a shard, as a part of the mean one.

Shards without a request would else weigh nothing and all go to one target, which would
be flooded once their callers come.
"""


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
        self.load_by_shard = self._weigh()
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
        self._sort_in_all()
        self.loads.start()
        before = self.loads.imbalance()
        self._aim_again()
        self._grant_unowned()
        self._empty_targets()
        self._set_pins_apart()
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

    def _weigh(self):
        """Return the load of each shard by its number."""
        known = self.inputs.loads_by_shard.get
        shards = [grant.shard for grant in self.grants]
        loads = [known(shard, DEFAULT_LOAD) for shard in shards]
        mean = sum(loads) / max(1, len(loads))
        least = mean * MIN_LOAD_SHARE or DEFAULT_LOAD
        return {
            shard: load if load > least else least
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

    def _sort_in_all(self):
        """Count all shards; settled ordinary ones, nearly all, take the short way."""
        load_by_target = self.loads.load_by_target
        load_by_shard = self.load_by_shard
        for grant in self.grants:
            owner = grant.owner
            if grant.moving_to or grant.key_hash or owner not in load_by_target:
                self._sort_in(grant)
            else:
                load_by_target[owner] += load_by_shard[grant.shard]

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

    def hold(self, grant, cause, count=1):
        """Note that a shard stays although it ought to move."""
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
                self.hold(grant, self._no_target_cause())
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
                self.hold(grant, HoldCause.NO_TARGET)
            else:
                self._move(grant, target, MoveCause.NO_OWNER)

    def _empty_targets(self):
        """Move shards off targets that are leaving or in a zone that is out.

        Load: an availability zone is taken out and all its shards must go.
        Harm: all at once would flood the remaining targets with keys whose state
        they don't hold yet.
        Limit: ``move_batch`` on the move at once; heaviest first, since their callers
        are the most. When their owner is about to take no more work, shards go even to
        targets that can't bear them yet: the gates there refuse what is too much,
        and otherwise nobody would serve any of it.
        """
        movable = [grant for grant in self.stranded if self._is_movable(grant)]
        room = max(0, self.budget)
        for grant in heapq.nsmallest(room, movable, key=self._heaviest_first):
            target = self._best(grant)
            if target is None and grant.owner in self.inputs.urgent_targets:
                target = self.loads.lightest()
            if target is None:
                self.hold(grant, self._no_target_cause())
                continue
            self._move(grant, target, self._leave_cause(grant))
            self.budget -= 1
        if len(movable) > room:
            self.hold(movable[0], HoldCause.BATCH_FULL, len(movable) - room)

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
        """Return whether the shard rests at an eligible owner and may move."""
        if grant.shard in self.inputs.fixed_shards:
            return False
        resting = not grant.moving_to and grant.owner in self.loads
        return resting and grant.shard not in self.moves_by_shard

    def _set_pins_apart(self):
        """Move a pinned key off a target that has more than its fair number."""
        settled = [grant for grant in self.pinned if self.is_settled(grant)]
        for grant in sorted(settled, key=self._heaviest_first):
            owner = grant.owner
            fair = self.loads.pins_allowed(owner)
            if self.loads.pins_by_target[owner] <= fair:
                continue
            target = self._best(grant)
            if target is None or not self.loads.has_pin_room(target):
                self.hold(grant, HoldCause.NO_ROOM)
            elif self.budget <= 0:
                self.hold(grant, HoldCause.BATCH_FULL)
            else:
                self.take_and_move(grant, target, MoveCause.HOT_KEY)

    def take_and_move(self, grant, target, cause):
        """Plan a move away from an eligible owner, counted in the batch."""
        self.loads.take(grant.owner, self._load(grant), grant.key_hash != 0)
        self._move(grant, target, cause)
        self.budget -= 1

    def settled_by_owner(self):
        """Return the settled shards of each eligible target."""
        rows_by_owner = {name: [] for name in self.loads.capacity_by_target}
        for grant in self.grants:
            if self.is_settled(grant):
                row = self._load(grant), grant.shard, grant
                rows_by_owner[grant.owner].append(row)
        return {
            owner: _balance.OwnedShards(rows) for owner, rows in rows_by_owner.items()
        }
