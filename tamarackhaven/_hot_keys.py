"""Finds the hottest keys of a stream in bounded memory.

This is the Space-Saving sketch of Metwally, Agrawal and El Abbadi, "Efficient
Computation of Frequent and Top-k Elements in Data Streams", ICDT 2005, with exponential
decay. The maintained library for it, datasketches, isn't used because it depends on
numpy, which would take memory that a daemon of 64 MB needs for its tables.
"""

import heapq

import attrs

from tamarackhaven._events import HotKey

MAX_WEIGHT = 1e12
"""Weight of one request above which all counts are scaled down, for precision."""


@attrs.frozen
class HotKeySettings:
    """Size and memory of the sketch.

    Parameters
    ----------
    counters : int
        Number of keys counted at the same time, 1 or more. No count is too high by more
        than the number of all requests divided by this.
    half_life_s : float
        Time after which a request has half of its weight, in seconds.
    """

    counters: int = attrs.field(default=256, validator=attrs.validators.ge(1))
    half_life_s: float = attrs.field(default=30.0, validator=attrs.validators.gt(0))


@attrs.define
class _Counter:
    """Count of one key; at most ``error`` of it was taken over from another key."""

    key_hash: int
    count: float
    error: float
    order: int


class HotKeys:
    """A Space-Saving sketch with exponential decay.

    Instead of reducing all earlier counts, later requests get a higher weight, so that
    the cost of an offer doesn't depend on the time that has passed.

    Parameters
    ----------
    settings : HotKeySettings
    now : float
        Time of the first request, in seconds.
    """

    def __init__(self, settings=None, now=0.0):
        self.settings = settings or HotKeySettings()
        self._started_at_s = now
        self._weight = 1.0
        self._total = 0.0
        self._last_order = 0
        self._by_key_hash = {}
        self._heap = []

    def __len__(self):
        return len(self._by_key_hash)

    def offer(self, key_hash, now):
        """Count one request for a key at time ``now``, in seconds."""
        self._raise_weight(now)
        self._total += self._weight
        counter = self._by_key_hash.get(key_hash)
        if counter is None:
            counter = self._admit(key_hash)
        counter.count += self._weight

    def hottest(self, n):
        """Return at most ``n`` keys, most requests first.

        Each share is a lower bound, the key's count minus its error, so that a rare key
        that took over a counter doesn't seem hot.

        Returns
        -------
        list of HotKey
        """
        rows = [(c.count - c.error, -c.key_hash) for c in self._by_key_hash.values()]
        return [
            HotKey(-negated_key_hash, min_count / self._total)
            for min_count, negated_key_hash in heapq.nlargest(n, rows)
        ]

    def error_bound(self):
        """Return the maximum by which a share can be too low, 0 to 1."""
        return 1.0 / self.settings.counters

    def _raise_weight(self, now):
        """Raise the weight of new requests to that at ``now``, in seconds."""
        age_s = max(0.0, now - self._started_at_s)
        self._weight = max(self._weight, self._weight_at(age_s))
        if self._weight > MAX_WEIGHT:
            self._rescale(now)

    def _weight_at(self, age_s):
        exponent = age_s / self.settings.half_life_s
        return 2.0 ** min(exponent, 1000.0)

    def _rescale(self, now):
        """Divide all counts by the current weight; very old ones become 0."""
        for counter in self._by_key_hash.values():
            counter.count /= self._weight
            counter.error /= self._weight
        self._total /= self._weight
        self._weight = 1.0
        self._started_at_s = now
        self._heap = self._entries()

    def _admit(self, key_hash):
        """Return a counter for a new key, replacing the rarest if all are in use."""
        rarest = None
        if len(self._by_key_hash) >= self.settings.counters:
            rarest = self._pop_rarest()
        count = rarest.count if rarest else 0.0
        self._last_order += 1
        counter = _Counter(key_hash, count, count, self._last_order)
        self._by_key_hash[key_hash] = counter
        heapq.heappush(self._heap, (count, self._last_order, key_hash))
        return counter

    def _pop_rarest(self):
        """Remove and return the counter with the lowest count.

        A heap entry may be lower than the count of its counter, never higher; such an
        entry is replaced by one with the current count.
        """
        while True:
            count, order, key_hash = self._heap[0]
            counter = self._by_key_hash[key_hash]
            if count == counter.count:
                heapq.heappop(self._heap)
                return self._by_key_hash.pop(key_hash)
            heapq.heapreplace(self._heap, (counter.count, order, key_hash))

    def _entries(self):
        rows = [(c.count, c.order, c.key_hash) for c in self._by_key_hash.values()]
        heapq.heapify(rows)
        return rows
