"""Intervals at which a daemon fetches updates of the map from a control VM.

Replies to lease renewals and hints contain the newest version, so a daemon that gets
such replies doesn't have to poll: a fetch without new events costs about 490 bytes with
TCP's headers and acknowledgements, a quarter of what control traffic may use a second.
"""

# Interval while the map isn't confirmed: no lease yet, or no replies to renewals.
UNCONFIRMED_INTERVAL_S = 1.0
# Interval while replies confirm the map; the fetch only keeps the connection open.
CONFIRMED_INTERVAL_S = 15.0
# Interval while a newer version is known, as the control VM may lag a little.
RETRY_S = 0.05
CONFIRMATION_TTL_S = 1.0


class FetchPace:
    """Decides whether a fetch is due; all times are in seconds of one clock."""

    def __init__(self):
        self._fetched_at_s = float("-inf")

    def asked(self, now):
        """Record that a fetch starts at ``now``."""
        self._fetched_at_s = now

    def is_due(self, now, is_behind, has_lease, confirmed_at):
        """Return whether to fetch now.

        Parameters
        ----------
        now : float
            Present time.
        is_behind : bool
            Whether a version newer than that of the map is known.
        has_lease : bool
            Whether the daemon has an epoch whose lease it renews.
        confirmed_at : float
            When a majority of control VMs last had no newer version.
        """
        return now - self._fetched_at_s >= _interval_s(
            is_behind, has_lease and now - confirmed_at < CONFIRMATION_TTL_S
        )


def _interval_s(is_behind, is_confirmed):
    if is_behind:
        return RETRY_S
    return CONFIRMED_INTERVAL_S if is_confirmed else UNCONFIRMED_INTERVAL_S
