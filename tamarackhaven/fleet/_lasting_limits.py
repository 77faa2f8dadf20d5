"""Limits of targets that have lasted, for the placement of keys. Pure.

A move leaves its keys unserved for some tenths of a second. So keys don't move for a
short need, and don't come back as soon as a need ends: it may return, and the same keys
would move again and again.
"""

import attrs

# A limit counts once it has been reported for this long.
MIN_LIMITED_S = 1.0
# An ended limit still counts for this long.
RECOVERY_S = 10.0


@attrs.define
class _Limit:
    """The limit of one life, and when it was first and last reported."""

    per_s: float
    since_s: float
    reported_s: float

    @property
    def has_lasted(self):
        return self.reported_s - self.since_s >= MIN_LIMITED_S


class LastingLimits:
    """Limits by the life of a target, in requests per second."""

    def __init__(self):
        self._limit_by_life = {}

    def record(self, life, per_s, now):
        """Record a report; ``per_s`` is None without a limit."""
        known = self._limit_by_life.get(life)
        if per_s is None:
            if known is not None and not self._counts(known, now):
                del self._limit_by_life[life]
        elif known is None:
            self._limit_by_life[life] = _Limit(per_s, now, now)
        else:
            known.per_s = per_s
            known.reported_s = now

    def per_s(self, life, now):
        """Return the limit that counts for a life, None if there is none."""
        known = self._limit_by_life.get(life)
        if known is None or not self._counts(known, now):
            return None
        return known.per_s

    def _counts(self, limit, now):
        return limit.has_lasted and now - limit.reported_s <= RECOVERY_S

    def forget(self, life):
        """Forget a life that is gone."""
        self._limit_by_life.pop(life, None)
