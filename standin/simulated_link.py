"""A VM's link in simulated time: parts that are asked for come one behind another."""

import heapq
import itertools

import attrs

from tamarackhaven.sidecar._arrivals import BodyTransfers


@attrs.frozen
class Patience:
    """A gate whose requests all work for the same time, in seconds."""

    work_s: float = 0.0

    def latest_start_s(self, offer):
        """Return until when a request must start to be in time."""
        return offer.objective_s - self.work_s

    def longest_wait_s(self, offer, now):
        """Return how long a request may wait for its start."""
        return self.latest_start_s(offer) - now


@attrs.define
class SimulatedLink:
    """The bodies on their way to one VM, and the link that carries them.

    Parameters
    ----------
    bytes_per_s : float
        What the link carries.
    way_s : float
        From the question for a part to its first byte.
    arrivals : BodyTransfers
        Under test.
    """

    bytes_per_s: float
    way_s: float = 0.002
    arrivals: BodyTransfers = attrs.field(factory=lambda: BodyTransfers(Patience()))
    now: float = 0.0
    came_bytes: int = 0
    longest_queue_s: float = 0.0
    whole_s_by_key: dict = attrs.field(factory=dict)
    _free_s: float = 0.0
    _on_way: list = attrs.field(factory=list)
    _order: object = attrs.field(factory=itertools.count)

    @property
    def queue_s(self):
        """How long a short message that is sent now stands behind parts."""
        return max(self._free_s - self.now - self.way_s, 0.0)

    def _ask(self):
        for part in self.arrivals.next_parts(self.now):
            begins_s = max(self._free_s, self.now + self.way_s)
            self.longest_queue_s = max(self.longest_queue_s, begins_s - self.now)
            self._free_s = begins_s + part.count / self.bytes_per_s
            heapq.heappush(self._on_way, (self._free_s, next(self._order), part))

    def run(self, until_s):
        """Let parts come until a time."""
        self._ask()
        while self._on_way and self._on_way[0][0] <= until_s:
            self.now, _, part = heapq.heappop(self._on_way)
            self._take(part)
            self._ask()
        self.now = until_s

    def _take(self, part):
        # What is on its way of a body that was given up comes all the same.
        is_wanted = self.arrivals.remaining_bytes_of(part.key) > 0
        came = self.arrivals.part_received(part.key, part.offset, part.count, self.now)
        assert came is is_wanted
        if came:
            self.came_bytes += part.count
        if came and not self.arrivals.remaining_bytes_of(part.key):
            self.whole_s_by_key[part.key] = self.now
            self.arrivals.drop(part.key)
