"""Hedges slow tries of idempotent requests to shared services with a second try.

A target may be slow for short periods that its load reports show only late, and then
one request in a hundred takes ten times as long. A second try for every slow request,
however, would double the load on a system that is slow because it is overloaded.
Therefore a hedge starts only after the time in which nearly all requests are answered,
is paid for from the daemon's retry budget, and is the only one of its request. The
slower try is cancelled.
"""

import attrs

from tamarackhaven._model import PolicyMode
from tamarackhaven._retry import RetryReason


@attrs.frozen
class HedgeSettings:
    """Limits on when a second try starts.

    Parameters
    ----------
    min_delay_s : float
        Minimum delay after the first try, in seconds, even if the service is faster.
    min_left_s : float
        Minimum time left before the deadline for a second try, in seconds.
    """

    min_delay_s: float = 0.002
    min_left_s: float = 0.005


@attrs.frozen
class Settled:
    """Answer the caller with the answer of ``winner``; cancel the try at ``cancel``.

    ``cancel`` is empty if no other try is running.
    """

    winner: str
    cancel: str = ""


def hedge_delay(mode, is_idempotent, latency_s, settings):
    """Return the delay of a second try after the first, in seconds, or None.

    Parameters
    ----------
    mode : PolicyMode
        Ownership mode. A key of an exclusive service has no other target to try.
    is_idempotent : bool
        Whether the request may run twice; otherwise it is never hedged.
    latency_s : float
        A high quantile, such as the 95th percentile, of the service's latency.
    settings : HedgeSettings
        Gives the minimum delay.
    """
    if mode is PolicyMode.EXCLUSIVE or not is_idempotent:
        return None
    return max(settings.min_delay_s, latency_s)


def may_hedge(budget, now, deadline_s, settings):
    """Return whether a second try may start now; if so, spend a retry token."""
    if deadline_s - now < settings.min_left_s:
        return False
    return budget.spend(RetryReason.HEDGE, now)


class HedgedRequest:
    """Tracks the one or two tries of a request.

    Parameters
    ----------
    first : str
        Target of the first try.
    """

    def __init__(self, first):
        self.running = [first]
        self.settled = None

    def hedge(self, target):
        """Record the start of the second try.

        Raises
        ------
        ValueError
            There was a second try already, or the first isn't running.
        """
        if self.settled or target in self.running or len(self.running) != 1:
            raise ValueError("a second try requires that only the first one is running")
        self.running.append(target)

    def ended(self, target, answered):
        """Record the end of a try.

        Returns
        -------
        Settled or None
            None while another try may still answer, and for each try that ends after
            the request was settled, so that the caller gets one answer only.
        """
        if self.settled or target not in self.running:
            return None
        self.running.remove(target)
        if not answered and self.running:
            return None
        cancel = self.running[0] if self.running else ""
        self.settled = Settled(target, cancel)
        return self.settled
