"""The load of each eligible target while a placement step is being planned."""

import heapq
import math

MIN_WARMTH = 0.05
"""Least warmth counted; a target warms only under load, so it must get some."""


class TargetLoads:
    """Loads, capacities and pinned keys of the eligible targets.

    A target's load counts where shards will be once every move has ended.

    Parameters
    ----------
    members : list of TargetMember
        The eligible targets.
    warmth_by_target : dict of str to float
        Share of its capacity that a cold target may take now; 1 where missing.
    total : float
        Load of all shards of the service.
    slack : float
        Excess over the mean, as a part of 1, that is left alone.
    """

    def __init__(self, members, warmth_by_target, total, slack):
        self.slack = slack
        self.total_pins = 0
        self.capacity_by_target = {m.target: m.capacity for m in members}
        self.warmth_by_target = {
            m.target: _clip(warmth_by_target.get(m.target, 1.0)) for m in members
        }
        self.weight_by_target = {
            name: capacity * self.warmth_by_target[name]
            for name, capacity in self.capacity_by_target.items()
        }
        self.load_by_target = dict.fromkeys(self.capacity_by_target, 0.0)
        self.pins_by_target = dict.fromkeys(self.capacity_by_target, 0)
        self.capacity = sum(self.capacity_by_target.values())
        self.mean = total / self.capacity if self.capacity else 0.0
        self._heap = []

    def __contains__(self, target):
        return target in self.capacity_by_target

    def start(self):
        """Order the targets by load, once the present loads have been entered."""
        self._heap = [(self.relative(name), name) for name in self.capacity_by_target]
        heapq.heapify(self._heap)

    def enter(self, target, load, pinned):
        """Count a shard that is at ``target``, or on its way there."""
        self.load_by_target[target] += load
        self.pins_by_target[target] += pinned

    def give(self, target, load, pinned=False):
        """Count a shard that this plan sends to ``target``."""
        self.enter(target, load, pinned)
        heapq.heappush(self._heap, (self.relative(target), target))

    def take(self, target, load, pinned=False):
        """Count a shard that this plan takes from ``target``."""
        self.give(target, -load, -pinned)

    def relative(self, target):
        """Return the load for each unit of what the target can take now."""
        return self.load_by_target[target] / self.weight_by_target[target]

    def excess(self, target):
        """Return the excess over the mean load, as a part of 1.

        By full capacity, also for a cold target: a cold spell lasts seconds, the gate
        refuses what is too much, and to move shards away and back would cost each of
        them two changes of owner.
        """
        if not self.mean:
            return 0.0
        load = self.load_by_target[target] / self.capacity_by_target[target]
        return load / self.mean - 1.0

    def imbalance(self):
        """Return the largest excess of all targets, 0 or more."""
        return max((self.excess(t) for t in self.capacity_by_target), default=0.0)

    def room(self, target):
        """Return the load that the target can take before it is over the slack."""
        limit = self.mean * self.weight_by_target[target] * (1.0 + self.slack)
        return limit - self.load_by_target[target]

    def below_mean(self, target):
        """Return the load that the target lacks to come to the mean."""
        return self.mean * self.weight_by_target[target] - self.load_by_target[target]

    def deficit(self, target):
        """Return the load that the target lacks to come within the slack."""
        least = self.mean * self.weight_by_target[target] * (1.0 - self.slack)
        return least - self.load_by_target[target]

    def can_bear(self, target, load):
        """Return whether the target may be given this load by a move.

        Load: a zone is out and its shards come on to targets that have just started.
        Harm: a cold target under a full share falls over, and its shards move again.
        Limit: the part of its fair share that it can take now. One shard is always
        borne, else a target whose share is less than one shard would never warm up.
        """
        if self.warmth_by_target[target] >= 1.0 or not self.load_by_target[target]:
            return True
        return load <= self.room(target)

    def lightest(self):
        """Return the target with the least relative load, first by name; or None."""
        while self._heap:
            relative, name = self._heap[0]
            if relative == self.relative(name):
                return name
            heapq.heappop(self._heap)
        return None

    def lightest_bearing(self, load):
        """Return the least loaded target that can bear ``load``, or None."""
        passed = []
        name = self.lightest()
        while name is not None and not self.can_bear(name, load):
            passed.append(heapq.heappop(self._heap))
            name = self.lightest()
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return name

    def pins_allowed(self, target):
        """Return the fair number of pinned keys for a target."""
        share = self.capacity_by_target[target] / self.capacity
        return math.ceil(self.total_pins * share)

    def has_pin_room(self, target):
        """Return whether one more pinned key leaves the pinned keys apart."""
        return self.pins_by_target[target] < self.pins_allowed(target)

    def best_for_pin(self, load):
        """Return the best target for a pinned key that can bear it, or None.

        Load: the hottest keys, each as heavy as many shards.
        Harm: two of them at one target, or one at a target that is already crowded,
        slow down every key there.
        Limit: a fair number by capacity, since there may be more hot keys than
        targets.
        """
        bearing = [t for t in self.capacity_by_target if self.can_bear(t, load)]
        return min(bearing, key=self._pin_rank, default=None)

    def _pin_rank(self, target):
        pins = self.pins_by_target[target] / self.capacity_by_target[target]
        crowded = self.excess(target) > self.slack
        full = not self.has_pin_room(target)
        return full, crowded, pins, self.relative(target), target


def _clip(warmth):
    return min(1.0, max(MIN_WARMTH, warmth))
