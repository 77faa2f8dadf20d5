"""Simulates a VM's link on a virtual clock: requested parts arrive in FIFO order."""

import heapq
import itertools

import attrs

from tamarackhaven.sidecar._arrivals import BodyTransfers
from tamarackhaven.sidecar._gate import WAIT_SAFETY_FACTOR


@attrs.frozen
class Patience:
    """A gate whose requests all take the same execution time, in seconds."""

    work_s: float = 0.0

    def latest_start_s(self, offer):
        """Return the latest start that meets the objective, in seconds."""
        return offer.objective_s - self.work_s

    def has_time_for(self, offer, wait_s, now):
        """Whether a request may wait for an estimated ``wait_s`` seconds."""
        return WAIT_SAFETY_FACTOR * wait_s <= self.latest_start_s(offer) - now


@attrs.define
class SimulatedLink:
    """A link with limited bandwidth and the bodies in flight to its VM.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth of the link.
    way_s : float
        Time from the request for a part to its first byte, on an idle link.
    arrivals : BodyTransfers
        Object under test.
    """

    bytes_per_s: float
    way_s: float = 0.002
    arrivals: BodyTransfers = attrs.field(factory=lambda: BodyTransfers(Patience()))
    now: float = 0.0
    came_bytes: int = 0
    longest_queue_s: float = 0.0
    whole_s_by_key: dict = attrs.field(factory=dict)
    _idle_at_s: float = 0.0
    _in_flight: list = attrs.field(factory=list)
    _order: object = attrs.field(factory=itertools.count)

    @property
    def queue_s(self):
        """Queueing delay behind parts of a short message sent now, in seconds."""
        return max(self._idle_at_s - self.now - self.way_s, 0.0)

    def _request_parts(self):
        for part in self.arrivals.next_parts(self.now):
            starts_s = max(self._idle_at_s, self.now + self.way_s)
            self.longest_queue_s = max(self.longest_queue_s, starts_s - self.now)
            self._idle_at_s = starts_s + part.count / self.bytes_per_s
            heapq.heappush(self._in_flight, (self._idle_at_s, next(self._order), part))

    def run(self, until_s):
        """Advance the clock to ``until_s`` and deliver the parts due by then."""
        self._request_parts()
        while self._in_flight and self._in_flight[0][0] <= until_s:
            self.now, _, part = heapq.heappop(self._in_flight)
            self._deliver(part)
            self._request_parts()
        self.now = until_s

    def _deliver(self, part):
        # Parts in flight still arrive after their body was dropped.
        is_wanted = self.arrivals.remaining_bytes_of(part.key) > 0
        is_used = self.arrivals.part_received(
            part.key, part.offset, part.count, self.now
        )
        assert is_used is is_wanted
        if is_used:
            self.came_bytes += part.count
        if is_used and not self.arrivals.remaining_bytes_of(part.key):
            self.whole_s_by_key[part.key] = self.now
            self.arrivals.drop(part.key)
