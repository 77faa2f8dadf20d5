"""The last two filters of placement: relieve full targets, then fill empty ones."""

import bisect
import heapq

from tamarackhaven._plan import HoldCause, MoveCause


class OwnedShards:
    """The shards of one owner that may move, by rising load.

    Parameters
    ----------
    grants_by_load : list of tuple of float, int, ShardGrant
        Load, shard and grant.
    """

    def __init__(self, grants_by_load):
        self.rows = sorted(grants_by_load, key=lambda row: row[:2])
        self.sizes = [row[0] for row in self.rows]
        self.total = sum(self.sizes)

    def __bool__(self):
        return bool(self.rows)

    def first(self):
        """Return the grant of the lightest shard."""
        return self.rows[0][2]

    def mean(self):
        """Return the mean load of a shard."""
        return self.total / len(self.sizes)

    def choose(self, most, enough, pin_allowed):
        """Return the index of the shard to move, -1 if there is none.

        The lightest of at least ``enough``, or else the heaviest, but not over
        ``most``; a pinned key only if ``pin_allowed``.
        """
        last = bisect.bisect_right(self.sizes, most) - 1
        index = min(bisect.bisect_left(self.sizes, enough), last)
        while index >= 0 and not pin_allowed and self.rows[index][2].key_hash:
            index -= 1
        return index

    def pop(self, index):
        """Remove the row at ``index`` and return its grant."""
        self.total -= self.sizes.pop(index)
        return self.rows.pop(index)[2]


def balance(draft):
    """Relieve targets above the slack, then fill those below it.

    Load: skewed demand, or targets that joined or returned.
    Harm: the fullest target is the slowest, and an empty one is capacity that is
    missing at the next loss; but each move makes a key wait.
    Limit: nothing moves between mean minus slack and mean plus slack, and a move must
    lower the higher of the two loads, so that no shard is sent to and fro.
    """
    loads = draft.loads
    names = loads.capacity_by_target
    donors = [name for name in names if loads.excess(name) > loads.slack]
    takers = [name for name in names if loads.deficit(name) > 0.0]
    if draft.budget <= 0 or not (donors or takers):
        return
    shards_by_owner = draft.settled_by_owner()
    for donor in sorted(donors, key=lambda name: (-loads.excess(name), name)):
        _relieve(draft, donor, shards_by_owner[donor])
    _fill(draft, takers, shards_by_owner)


def _relieve(draft, donor, shards):
    """Move shards off ``donor`` until it is within the slack.

    Only to a target below the mean. Failure: the targets of a zone that has returned
    are cold and have all that they can bear. Symptom: full targets pass shards to each
    other, step after step, until those are warm.
    """
    loads = draft.loads
    while shards and draft.budget > 0 and loads.excess(donor) > loads.slack:
        target = loads.lightest_bearing(shards.mean())
        if target is None or loads.relative(target) >= loads.mean:
            draft.hold(shards.first(), HoldCause.NO_ROOM)
            return
        room = max(loads.room(target), shards.sizes[0])
        index = shards.choose(room, -loads.room(donor), loads.has_pin_room(target))
        if not _move(draft, donor, target, shards, index):
            return


def _fill(draft, takers, shards_by_owner):
    """Move shards from the fullest targets to those below the slack.

    A cold target waits until it has room for a shard of the donor's mean load. What it
    can take grows a little each step, so it would else be filled with the lightest
    shards, and many of them.
    """
    loads = draft.loads
    fullest = [(-loads.excess(name), name) for name in shards_by_owner]
    heapq.heapify(fullest)
    for target in sorted(takers, key=lambda name: (loads.relative(name), name)):
        while draft.budget > 0 and loads.deficit(target) > 0.0:
            donor = fullest[0][1]
            shards = shards_by_owner[donor]
            if not shards:
                return
            if not loads.can_bear(target, shards.mean()):
                break
            most = min(loads.below_mean(target), -loads.deficit(donor))
            most = max(most, shards.sizes[0])
            index = shards.choose(most, most, loads.has_pin_room(target))
            if not _move(draft, donor, target, shards, index):
                return
            heapq.heapreplace(fullest, (-loads.excess(donor), donor))


def _move(draft, donor, target, shards, index):
    """Move the chosen shard if that lowers the higher load; return whether it did."""
    if not shards:
        return False
    if index < 0 or not _gains(draft.loads, donor, target, shards.sizes[index]):
        draft.hold(shards.first(), HoldCause.NO_GAIN)
        return False
    draft.take_and_move(shards.pop(index), target, MoveCause.BALANCE)
    return True


def _gains(loads, donor, target, load):
    """Return whether the target, with the load, stays under what the donor had."""
    after = (loads.load_by_target[target] + load) / loads.weight_by_target[target]
    before = loads.load_by_target[donor] / loads.capacity_by_target[donor]
    return loads.can_bear(target, load) and after < before
