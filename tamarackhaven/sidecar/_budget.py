"""Second sends to targets of one service, within a budget that daemons share. Pure."""

import collections

# The daemons don't ask each other: each takes its own part. What a repeated run calls
# counts as repeated there, too, so some room is left for that.
DIRECT_RETRY_FRACTION = 0.6


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window.

    Parameters
    ----------
    settings : BudgetSettings
        Ratio, window and slack over all daemons.
    """

    def __init__(self, settings):
        self._settings = settings
        self._requests = collections.deque()
        self._retries = collections.deque()

    def request(self, now):
        """Count a caller's request."""
        self._requests.append(now)

    def take(self, daemon_count, now):
        """Take one repeat if there is room for it; tell whether there was."""
        window_s = self._settings.window_s
        for times in (self._requests, self._retries):
            while times and now - times[0] > window_s:
                times.popleft()
        allowed = DIRECT_RETRY_FRACTION * (
            self._settings.ratio * len(self._requests)
            + self._settings.slack / daemon_count
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True
