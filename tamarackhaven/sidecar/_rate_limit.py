"""Limits the starts of requests to a rate. Pure."""

import collections

# Random arrivals at nearly the rate would often be refused if unused starts were lost.
# Those of this time are kept, and at least one.
BURST_S = 0.5
# Times are sums of fractions: a start that is due counts as due despite rounding.
_ROUNDING = 1e-9


class RateLimit:
    """A token bucket, empty at first.

    What a target got before a limit began, or before the daemon that counts was
    restarted, isn't known. As the bucket is empty at first, no window has more starts
    than one of a full bucket.

    Parameters
    ----------
    per_s : float
        Starts per second, above 0.
    now : float
        Seconds of the boot clock.
    """

    def __init__(self, per_s, now):
        self.per_s = per_s
        self._tokens = 0.0
        self._updated_s = now

    def set_rate(self, per_s, now):
        """Change the rate; unused starts above the new burst are lost."""
        self._refill(now)
        self.per_s = per_s
        self._tokens = min(self._tokens, self._max_tokens)

    def wait_s(self, now, ahead=0):
        """Return the seconds until a start is allowed, after ``ahead`` other starts."""
        self._refill(now)
        missing = ahead + 1 - self._tokens - _ROUNDING
        return max(missing / self.per_s, 0.0)

    def take(self, now):
        """Count a start."""
        self._refill(now)
        self._tokens -= 1.0

    @property
    def _max_tokens(self):
        return max(BURST_S * self.per_s, 1.0)

    def _refill(self, now):
        gained = (now - self._updated_s) * self.per_s
        self._tokens = min(self._tokens + gained, self._max_tokens)
        self._updated_s = now


class RecentStarts:
    """Counts the starts of the last seconds, in all and by key.

    Parameters
    ----------
    window_s : float
        For how many seconds a start counts.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._starts = collections.deque()
        self._count_by_key = collections.Counter()

    def add(self, key, now):
        """Count a start."""
        self._drop_old(now)
        self._starts.append((now, key))
        self._count_by_key[key] += 1

    def count(self, now):
        """Return the number of all recent starts."""
        self._drop_old(now)
        return len(self._starts)

    def count_of(self, key, now):
        """Return the number of recent starts of a key."""
        self._drop_old(now)
        return self._count_by_key[key]

    def _drop_old(self, now):
        while self._starts and now - self._starts[0][0] >= self._window_s:
            _, key = self._starts.popleft()
            self._count_by_key[key] -= 1
            if not self._count_by_key[key]:
                del self._count_by_key[key]
