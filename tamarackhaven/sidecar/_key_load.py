"""Counts the requests for keys at their owner, by bucket. Pure."""

import math

from tamarackhaven.fleet._model import BUCKET_KEYS

# Load: busy keys change within seconds. Harm: a long memory moves keys that are no
# longer busy, a short one follows chance. Limit: a count loses half in this time.
HALF_LIFE_S = 1.5
# A bucket with less than this many requests a second decides nothing.
LEAST_RATE = 0.15


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
        if elapsed_s < HALF_LIFE_S / 16:
            return
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._decayed_s = now
        self._count_by_bucket = {
            bucket: count * factor
            for bucket, count in self._count_by_bucket.items()
            if count * factor > LEAST_RATE / 4
        }

    def rates(self, now):
        """Return (bucket, requests a second) pairs of what is asked for."""
        self._decay(now)
        per_s = math.log(2) / HALF_LIFE_S
        return tuple(
            (bucket, round(count * per_s, 3))
            for bucket, count in self._count_by_bucket.items()
            if count * per_s >= LEAST_RATE
        )
