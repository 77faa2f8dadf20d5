"""A discrete-event loop: events in order of their time, nothing ever waits."""

import heapq
import itertools


class Simulation:
    """Simulated time in seconds and the events that are due.

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
        """Call ``action(*args)`` after ``delay_s`` seconds."""
        event = (self.now + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def run(self, until_s):
        """Run all events up to ``until_s``."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
