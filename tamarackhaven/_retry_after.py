"""Estimates how fast a queue empties and when refused callers should retry."""

# Weight of a new holding time in the moving mean, which covers about 20 requests.
_NEW_SAMPLE_WEIGHT = 0.1
# A target is stalled after this many mean holding times without progress. A shorter
# silence may be one long request, especially at a cold target that runs one or two at
# once.
STALL_HOLD_FACTOR = 4.0
# A caller that retries sooner finds the queue unchanged.
MIN_RETRY_AFTER_S = 0.05
# After this time the present measurements no longer apply: a straggler may be fast
# again, a burst may be over. One refused try a second from each caller costs the daemon
# little.
MAX_RETRY_AFTER_S = 1.0
# Fraction of the time by which Retry-After is spread, as callers that were refused at
# the same moment would otherwise retry at the same moment.
JITTER_FRACTION = 0.5


class DequeueRate:
    """The rate at which a gate's queue empties, from the durations of its requests.

    It is computed from the holding time divided by the limit, not from completions a
    second, by which a target with few requests would look slow.
    """

    def __init__(self):
        self._hold_s = 0.0  # 0 until the first request ends
        self._last_progress_s = 0.0

    @property
    def hold_s(self):
        """Mean time that a request holds its slot, in seconds."""
        return self._hold_s

    def ended(self, latency_s, now):
        """Record the end of a request that held a slot for ``latency_s`` seconds."""
        weight = _NEW_SAMPLE_WEIGHT if self._hold_s else 1.0
        self._hold_s += weight * (latency_s - self._hold_s)
        self._last_progress_s = now

    def began(self, now):
        """Restart the measurement of silence as a request starts while none runs.

        Otherwise a quiet hour before a burst would count as a stall, and all requests
        that can't start immediately would be refused.
        """
        self._last_progress_s = now

    def interval_s(self, limit):
        """Return the expected time between two starts from the queue, in seconds."""
        return self._hold_s / max(1, limit)

    def stalled_s(self, limit, now):
        """Return for how many seconds the target has been stalled, 0 if it isn't."""
        if not self._hold_s:
            return 0.0
        return max(0.0, now - self._stall_starts_s())

    def _stall_starts_s(self):
        return self._last_progress_s + STALL_HOLD_FACTOR * self._hold_s

    def stall_detectable_at(self, start_by_s):
        """Return when silence shows that a request won't start by ``start_by_s``.

        It is used to refuse requests queued for a stalled target early, instead of
        near their deadlines. A silence is expected to last as long again.
        """
        if not self._hold_s:
            return start_by_s
        return (start_by_s + min(start_by_s, self._stall_starts_s())) / 2

    def wait_s(self, place, limit, now):
        """Return the expected wait behind ``place`` other requests, in seconds.

        A present stall is expected to last as long again.
        """
        return (place + 1) * self.interval_s(limit) + self.stalled_s(limit, now)


class RetryDelays:
    """Assigns the times after which refused callers should retry.

    When demand exceeds capacity for seconds, refused callers that all retry at the same
    time would be refused again. Each refusal is therefore assigned the next place in a
    virtual queue that advances at the rate at which the real one empties.
    """

    def __init__(self):
        self._queue_ends_s = 0.0

    def next_s(self, backlog_s, interval_s, now, deadline_s, random_part):
        """Return a Retry-After in seconds.

        A caller whose deadline comes first won't retry, so it gets no place. Otherwise
        the virtual queue would grow by callers that are gone, and callers that
        could still be answered would be told to retry after their deadlines while
        slots are free.

        Parameters
        ----------
        backlog_s : float
            Time until the present queue is empty.
        interval_s : float
            Time between two starts from the queue.
        now : float
            Current time in seconds of the gate's clock.
        deadline_s : float
            The caller's deadline, on the same clock.
        random_part : float
            A random number from 0 to 1.
        """
        queue_ends_s = max(self._queue_ends_s, now + backlog_s) + interval_s
        if queue_ends_s < deadline_s:
            self._queue_ends_s = queue_ends_s
        wait_s = min(queue_ends_s - now, MAX_RETRY_AFTER_S)
        spread_factor = 1.0 - JITTER_FRACTION / 2 + JITTER_FRACTION * random_part
        return max(MIN_RETRY_AFTER_S * (0.5 + random_part), wait_s * spread_factor)
