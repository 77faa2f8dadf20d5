"""When a daemon asks a control VM for news of the map.

Answers to renewals and hints say which version there is, so a daemon whose renewals
are answered needs no poll: a fetch that finds nothing costs some 490 bytes with TCP's
headers and acknowledgements, a quarter of what control may take in a second.
"""

# While nobody confirms the map: no lease yet, or renewals without answers.
FETCH_EVERY_S = 1.0
# While answers confirm it; only keeps the connection warm.
QUIET_EVERY_S = 15.0
# While a newer version is known of: the control VM that was asked lags by a moment.
RETRY_S = 0.05
UNCONFIRMED_S = 1.0


class FetchPace:
    """Decides whether a fetch is due; times in seconds of one clock."""

    def __init__(self):
        self._asked_at = float("-inf")

    def asked(self, now):
        """Note that a fetch begins."""
        self._asked_at = now

    def is_due(self, now, is_behind, has_lease, confirmed_at):
        """Return whether to ask now.

        Parameters
        ----------
        now : float
            Present time.
        is_behind : bool
            Whether a version newer than the map's is known of.
        has_lease : bool
            Whether there is an epoch that is renewed.
        confirmed_at : float
            When a majority of control VMs last had nothing newer.
        """
        return now - self._asked_at >= _pause_s(
            is_behind, has_lease and now - confirmed_at < UNCONFIRMED_S
        )


def _pause_s(is_behind, is_confirmed):
    if is_behind:
        return RETRY_S
    return QUIET_EVERY_S if is_confirmed else FETCH_EVERY_S
