"""Counts the requests for keys at their owner, by bucket. Pure."""

import math

from tamarackhaven.fleet._model import BUCKET_KEYS

# Busy keys change within seconds: with a longer half-life, keys would be moved that are
# no longer busy; with a shorter one, the rates would follow chance.
RATE_HALF_LIFE_S = 1.5
# Buckets with a lower rate than this are soon removed.
MIN_RATE_PER_S = 0.15
# With tens of thousands of keys that are each requested now and then, full reports
# would be most of the bytes between zones. The busiest buckets decide which keys move;
# the others count as spread evenly.
MAX_REPORTED_BUCKETS = 64


class KeyLoad:
    """Decaying request counts, with an entry for each recently requested bucket."""

    def __init__(self):
        self._count_by_bucket = {}
        self._decayed_s = None

    def count(self, key, now):
        """Count a request for ``key``."""
        self._decay(now)
        bucket = key // BUCKET_KEYS
        self._count_by_bucket[bucket] = self._count_by_bucket.get(bucket, 0.0) + 1

    def _decay(self, now):
        if self._decayed_s is None:
            self._decayed_s = now
        # Decaying at intervals is accurate enough: the loss within one is a few
        # percent.
        elapsed_s = now - self._decayed_s
        if elapsed_s < RATE_HALF_LIFE_S / 16:
            return
        factor = 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)
        self._decayed_s = now
        self._count_by_bucket = {
            bucket: count * factor
            for bucket, count in self._count_by_bucket.items()
            if count * factor > MIN_RATE_PER_S / 4
        }

    def rates(self, now):
        """Return the request rates, in requests per second.

        Returns
        -------
        tuple of (tuple of (int, float), float)
            The busiest buckets with their rates, and the total rate of all others.
        """
        self._decay(now)
        per_s = math.log(2) / RATE_HALF_LIFE_S
        rates = sorted(
            (
                (count * per_s, bucket)
                for bucket, count in self._count_by_bucket.items()
            ),
            reverse=True,
        )
        busiest = tuple(
            (bucket, round(rate, 2)) for rate, bucket in rates[:MAX_REPORTED_BUCKETS]
        )
        other_rate = sum(rate for rate, _ in rates[MAX_REPORTED_BUCKETS:])
        return busiest, round(other_rate, 2)
