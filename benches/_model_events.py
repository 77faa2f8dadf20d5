"""A discrete-event simulation: runs events in the order of their simulated time."""

import heapq
import itertools


class Simulation:
    """Simulated time in seconds, and the scheduled events.

    Parameters
    ----------
    rng : random.Random
        The only source of randomness of a run.
    """

    def __init__(self, rng):
        self.now = 0.0
        self.rng = rng
        self._events = []
        self._order = itertools.count()

    def after(self, delay_s, action, *args):
        """Schedule ``action(*args)`` after ``delay_s`` simulated seconds."""
        event = (self.now + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def run(self, until_s):
        """Run all events that are due up to ``until_s``."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
