"""The hottest keys of a stream, in bounded memory.

The Space-Saving sketch of Metwally, Agrawal and El Abbadi, "Efficient Computation of
Frequent and Top-k Elements in Data Streams", ICDT 2005, with exponential decay. It is
written here because the well-kept library for it, datasketches, brings numpy along,
which would take memory that a daemon of 64 MB needs for its tables.
"""

import heapq

import attrs

from tamarackhaven._events import HotKey

MAX_WEIGHT = 1e12
"""Weight of one request at which all counts are scaled down, to keep precision."""


@attrs.frozen
class HotKeySettings:
    """Size and memory of the sketch.

    Parameters
    ----------
    counters : int
        Keys counted at once, 1 or more. No count is too high by more than all
        requests divided by this.
    half_life_s : float
        Time in which a request loses half of its weight, in seconds.
    """

    counters: int = attrs.field(default=256, validator=attrs.validators.ge(1))
    half_life_s: float = attrs.field(default=30.0, validator=attrs.validators.gt(0))


@attrs.define
class _Counter:
    """Count of one key; ``error`` is what it may have taken over from another."""

    key_hash: int
    count: float
    error: float
    order: int


class HotKeys:
    """A Space-Saving sketch with decay.

    A later request weighs more instead of all earlier ones less, so that an offer
    costs the same however much time has passed.

    Parameters
    ----------
    settings : HotKeySettings
    now : float
        Time of the first request, in seconds.
    """

    def __init__(self, settings=None, now=0.0):
        self.settings = settings or HotKeySettings()
        self._started = now
        self._weight = 1.0
        self._total = 0.0
        self._orders = 0
        self._by_key_hash = {}
        self._heap = []

    def __len__(self):
        return len(self._by_key_hash)

    def offer(self, key_hash, now):
        """Count one request for a key at time ``now``, in seconds."""
        self._age(now)
        self._total += self._weight
        counter = self._by_key_hash.get(key_hash)
        if counter is None:
            counter = self._admit(key_hash)
        counter.count += self._weight

    def hottest(self, n):
        """Return at most ``n`` keys, most requests first.

        Each share is what the key has for certain: its count less its error, so a
        rare key that took over a counter isn't taken for a hot one.

        Returns
        -------
        list of HotKey
        """
        rows = [(c.count - c.error, -c.key_hash) for c in self._by_key_hash.values()]
        return [
            HotKey(-negated, sure / self._total)
            for sure, negated in heapq.nlargest(n, rows)
        ]

    def error_bound(self):
        """Return the most by which a share can be too low, 0 to 1."""
        return 1.0 / self.settings.counters

    def _age(self, now):
        """Raise the weight of requests to that of ``now``."""
        age = max(0.0, now - self._started)
        self._weight = max(self._weight, self._weight_at(age))
        if self._weight > MAX_WEIGHT:
            self._rescale(now)

    def _weight_at(self, age):
        exponent = age / self.settings.half_life_s
        return 2.0 ** min(exponent, 1000.0)

    def _rescale(self, now):
        """Divide all by the present weight; what is long past becomes nothing."""
        for counter in self._by_key_hash.values():
            counter.count /= self._weight
            counter.error /= self._weight
        self._total /= self._weight
        self._weight = 1.0
        self._started = now
        self._heap = self._entries()

    def _admit(self, key_hash):
        """Return a counter for a new key, that of the rarest key if all are in use."""
        rarest = None
        if len(self._by_key_hash) >= self.settings.counters:
            rarest = self._pop_rarest()
        count = rarest.count if rarest else 0.0
        self._orders += 1
        counter = _Counter(key_hash, count, count, self._orders)
        self._by_key_hash[key_hash] = counter
        heapq.heappush(self._heap, (count, self._orders, key_hash))
        return counter

    def _pop_rarest(self):
        """Remove the counter with the least count.

        A heap entry may be lower than its counter by now, never higher: such an entry
        is put back with the present count.
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
