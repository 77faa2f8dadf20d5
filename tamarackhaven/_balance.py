"""The last two placement passes: relieve overloaded targets, fill underloaded ones."""

import bisect
import heapq

from tamarackhaven._plan import HoldCause, MoveCause


class OwnedShards:
    """The movable shards of one owner, in order of rising load.

    Parameters
    ----------
    grants_by_load : list of tuple of float, int, ShardGrant
        Load, shard number and grant.
    """

    def __init__(self, grants_by_load):
        self.rows = sorted(grants_by_load, key=lambda row: row[:2])
        self.shard_loads = [row[0] for row in self.rows]
        self.total = sum(self.shard_loads)

    def __bool__(self):
        return bool(self.rows)

    def first(self):
        """Return the grant of the lightest shard."""
        return self.rows[0][2]

    def mean(self):
        """Return the mean load per shard."""
        return self.total / len(self.shard_loads)

    def choose(self, max_load, preferred_load, pin_allowed):
        """Return the index of the shard to move, -1 if there is none.

        This is the lightest shard of at least ``preferred_load``, or else the heaviest
        one, but never one over ``max_load``; a pinned key only if ``pin_allowed``.
        """
        last = bisect.bisect_right(self.shard_loads, max_load) - 1
        index = min(bisect.bisect_left(self.shard_loads, preferred_load), last)
        while index >= 0 and not pin_allowed and self.rows[index][2].key_hash:
            index -= 1
        return index

    def pop(self, index):
        """Remove the row at ``index`` and return its grant."""
        self.total -= self.shard_loads.pop(index)
        return self.rows.pop(index)[2]


def balance(planner):
    """Relieve targets above the slack, then fill those below it.

    Demand may be skewed, and targets join or return. The most loaded target is the
    slowest one, and the capacity of an empty one is missing at the next loss; but each
    move makes requests for a key wait. So nothing moves between mean minus slack and
    mean plus slack, and a move must lower the higher of the two loads, so that no shard
    moves back and forth.
    """
    loads = planner.loads
    names = loads.capacity_by_target
    donors = [name for name in names if loads.excess(name) > loads.slack]
    receivers = [name for name in names if loads.load_to_slack(name) > 0.0]
    if planner.budget <= 0 or not (donors or receivers):
        return
    shards_by_owner = planner.settled_by_owner()
    for donor in sorted(donors, key=lambda name: (-loads.excess(name), name)):
        _relieve(planner, donor, shards_by_owner[donor])
    _fill(planner, receivers, shards_by_owner)


def _relieve(planner, donor, shards):
    """Move shards off ``donor``, to targets below the mean, until within the slack.

    When the targets of a returned zone are cold and can take no more load, overloaded
    targets would otherwise move shards to each other in every step until those are
    warm.
    """
    loads = planner.loads
    while shards and planner.budget > 0 and loads.excess(donor) > loads.slack:
        target = loads.least_loaded_with_capacity(shards.mean())
        if target is None or loads.relative_load(target) >= loads.mean:
            planner.hold(shards.first(), HoldCause.NO_ROOM)
            return
        room = max(loads.load_to_limit(target), shards.shard_loads[0])
        index = shards.choose(
            room, -loads.load_to_limit(donor), loads.can_take_pin(target)
        )
        if not _move(planner, donor, target, shards, index):
            return


def _fill(planner, receivers, shards_by_owner):
    """Move shards from the most loaded targets to those below the slack.

    A cold target waits until it has capacity for a shard of the donor's mean load. Its
    capacity grows a little in each step, so it would otherwise be filled with many of
    the lightest shards.
    """
    loads = planner.loads
    most_loaded = [(-loads.excess(name), name) for name in shards_by_owner]
    heapq.heapify(most_loaded)
    for target in sorted(receivers, key=lambda name: (loads.relative_load(name), name)):
        while planner.budget > 0 and loads.load_to_slack(target) > 0.0:
            donor = most_loaded[0][1]
            shards = shards_by_owner[donor]
            if not shards:
                return
            if not loads.can_take(target, shards.mean()):
                break
            max_load = min(loads.load_to_mean(target), -loads.load_to_slack(donor))
            max_load = max(max_load, shards.shard_loads[0])
            index = shards.choose(max_load, max_load, loads.can_take_pin(target))
            if not _move(planner, donor, target, shards, index):
                return
            heapq.heapreplace(most_loaded, (-loads.excess(donor), donor))


def _move(planner, donor, target, shards, index):
    """Move the chosen shard if that lowers the higher load; return whether it moved."""
    if not shards:
        return False
    if index < 0 or not _lowers_higher_load(
        planner.loads, donor, target, shards.shard_loads[index]
    ):
        planner.hold(shards.first(), HoldCause.NO_GAIN)
        return False
    planner.move_from_owner(shards.pop(index), target, MoveCause.BALANCE)
    return True


def _lowers_higher_load(loads, donor, target, load):
    """Return whether the target can take ``load``.

    With it, the target must also stay below the donor's present load.
    """
    after = (loads.load_by_target[target] + load) / loads.weight_by_target[target]
    before = loads.load_by_target[donor] / loads.capacity_by_target[donor]
    return loads.can_take(target, load) and after < before
