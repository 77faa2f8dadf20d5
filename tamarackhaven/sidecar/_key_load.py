"""Counts the requests for keys at their owner, by bucket. Pure."""

import math

from tamarackhaven.fleet._model import BUCKET_KEYS

# Load: busy keys change within seconds. Harm: a long memory moves keys that are no
# longer busy, a short one follows chance. Limit: a count loses half in this time.
RATE_HALF_LIFE_S = 1.5
# A bucket with less than this many requests a second is soon forgotten.
MIN_RATE_PER_S = 0.15
# Load: tens of thousands of keys, each asked for now and then. Harm: all of them in
# each report are most of the bytes between zones. Limit: the busiest decide which keys
# move; the others count as spread evenly.
MAX_REPORTED_BUCKETS = 64


class KeyLoad:
    """Decaying counts; one entry for each bucket that was asked for of late."""

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
        # Once a while is enough: the loss within it is a few parts in a hundred.
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
        """Return what is asked for, in requests a second.

        Returns
        -------
        tuple of (tuple of (int, float), float)
            The busiest buckets with their rates, and the rate of all others.
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
