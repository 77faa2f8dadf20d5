"""Limits retries at targets of one service, within a budget shared by daemons. Pure."""

import collections

# The daemons don't coordinate: each uses its own share. Calls made by a retried run
# count as retries at their services, too, so some of the budget is left for them.
DIRECT_RETRY_FRACTION = 0.6


class ServiceRetryBudget:
    """Counts requests and retries of one service in a sliding window.

    Parameters
    ----------
    settings : BudgetSettings
        Ratio, window and slack over all daemons.
    started_s : float
        When this daemon was started, in seconds of the boot clock.
    """

    def __init__(self, settings, started_s):
        self._settings = settings
        self._started_s = started_s
        self._requests = collections.deque()
        self._retries = collections.deque()

    def count_request(self, now):
        """Count a caller's request."""
        self._requests.append(now)

    def try_spend(self, daemon_count, now):
        """Count a retry if the budget allows one; return whether it did.

        Parameters
        ----------
        daemon_count : int
            Daemons that share the slack.
        now : float
            Seconds of the boot clock.
        """
        window_s = self._settings.window_s
        for times in (self._requests, self._retries):
            while times and now - times[0] > window_s:
                times.popleft()
        allowed = DIRECT_RETRY_FRACTION * (
            self._settings.ratio * len(self._requests) + self._slack(now) / daemon_count
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _slack(self, now):
        # A daemon that has just started doesn't know what it spent before. If it had
        # its share of the slack at once, restarts in series would spend many shares
        # within one window.
        if now - self._started_s < self._settings.window_s:
            return 0
        return self._settings.slack
