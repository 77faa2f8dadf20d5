"""Tracks the load of each eligible target while a placement step is planned."""

import heapq
import math

MIN_WARMTH_FRACTION = 0.05
"""Minimum warmth that is assumed: a target warms only under load, so it needs some."""


class TargetLoads:
    """Loads, capacities and pinned keys of the eligible targets.

    A shard's load counts at the target that will own it once every move has ended.

    Parameters
    ----------
    members : list of TargetMember
        The eligible targets.
    warmth_by_target : dict of str to float
        Fraction of its capacity that a cold target may use now; 1 where missing.
    total : float
        Load of all shards of the service, in any unit.
    slack : float
        Tolerated excess over the mean load, as a fraction of the mean; 1 for twice
        the mean.
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
        """Order the targets by load; call it once the current loads have been added."""
        self._heap = [
            (self.relative_load(name), name) for name in self.capacity_by_target
        ]
        heapq.heapify(self._heap)

    def add(self, target, load, pinned):
        """Count a shard that ``target`` owns or that is moving there."""
        self.load_by_target[target] += load
        self.pins_by_target[target] += pinned

    def add_moved(self, target, load, pinned=False):
        """Count a shard that this plan moves to ``target``."""
        self.add(target, load, pinned)
        heapq.heappush(self._heap, (self.relative_load(target), target))

    def remove_moved(self, target, load, pinned=False):
        """Count a shard that this plan moves off ``target``."""
        self.add_moved(target, -load, -pinned)

    def relative_load(self, target):
        """Return the load per unit of the target's current capacity."""
        return self.load_by_target[target] / self.weight_by_target[target]

    def excess(self, target):
        """Return the excess over the mean load; 1 is an excess of the whole mean.

        This uses the full capacity also for a cold target: a target is cold for seconds
        only, its gate refuses the excess, and moving shards away and back would cost
        two changes of owner each.
        """
        if not self.mean:
            return 0.0
        load = self.load_by_target[target] / self.capacity_by_target[target]
        return load / self.mean - 1.0

    def imbalance(self):
        """Return the largest excess of any target, 0 or more."""
        return max((self.excess(t) for t in self.capacity_by_target), default=0.0)

    def load_to_limit(self, target):
        """Return the load that the target can take before it exceeds the slack."""
        limit = self.mean * self.weight_by_target[target] * (1.0 + self.slack)
        return limit - self.load_by_target[target]

    def load_to_mean(self, target):
        """Return the load that the target needs to reach the mean."""
        return self.mean * self.weight_by_target[target] - self.load_by_target[target]

    def load_to_slack(self, target):
        """Return the load that the target needs to come within the slack."""
        min_load = self.mean * self.weight_by_target[target] * (1.0 - self.slack)
        return min_load - self.load_by_target[target]

    def can_take(self, target, load):
        """Return whether a move may add this load to the target.

        When a zone is out, its shards move to targets that may have just started. A
        cold target fails under a full share, and its shards move again. So it gets only
        the part of its fair share that it can take now. One shard is always accepted,
        otherwise a target whose share is less than one shard would never warm up.
        """
        if self.warmth_by_target[target] >= 1.0 or not self.load_by_target[target]:
            return True
        return load <= self.load_to_limit(target)

    def least_loaded(self):
        """Return the target with the least relative load, first by name, or None."""
        while self._heap:
            relative_load, name = self._heap[0]
            if relative_load == self.relative_load(name):
                return name
            heapq.heappop(self._heap)
        return None

    def least_loaded_with_capacity(self, load):
        """Return the least loaded target that can take ``load``, or None."""
        skipped = []
        name = self.least_loaded()
        while name is not None and not self.can_take(name, load):
            skipped.append(heapq.heappop(self._heap))
            name = self.least_loaded()
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return name

    def fair_pin_count(self, target):
        """Return the fair number of pinned keys for a target, by its capacity."""
        share = self.capacity_by_target[target] / self.capacity
        return math.ceil(self.total_pins * share)

    def can_take_pin(self, target):
        """Return whether the target has fewer than its fair number of pinned keys."""
        return self.pins_by_target[target] < self.fair_pin_count(target)

    def best_for_pin(self, load):
        """Return the best target that can take a pinned key, or None.

        Each of the hottest keys has the load of many shards. Two of them at one target,
        or one at a target that is already overloaded, slow down every key there. Each
        target gets a fair number by capacity, since there may be more hot keys than
        targets.
        """
        candidates = [t for t in self.capacity_by_target if self.can_take(t, load)]
        return min(candidates, key=self._pin_rank, default=None)

    def _pin_rank(self, target):
        pins = self.pins_by_target[target] / self.capacity_by_target[target]
        is_overloaded = self.excess(target) > self.slack
        is_pin_count_full = not self.can_take_pin(target)
        return (
            is_pin_count_full,
            is_overloaded,
            pins,
            self.relative_load(target),
            target,
        )


def _clip(warmth):
    return min(1.0, max(MIN_WARMTH_FRACTION, warmth))
