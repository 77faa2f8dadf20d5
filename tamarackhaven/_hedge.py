"""A second try beside a slow first one, for idempotent requests of shared services.

Load: a target is a straggler for moments, which its reports reveal only late.
Harm: one request in a hundred waits ten times as long; but a second try for each slow
request would double the load of a system that is slow because it is full.
Limit: only after the time in which nearly all requests are answered, out of the retry
budget of the daemon, one second try at most, and the loser is cancelled.
"""

import attrs

from tamarackhaven._model import PolicyMode
from tamarackhaven._retry import RetryReason


@attrs.frozen
class HedgeSettings:
    """When a second try starts.

    Parameters
    ----------
    min_delay_s : float
        Shortest wait for the first try, in seconds, however fast the service is.
    min_left_s : float
        Least time before the deadline that makes a second try worth while.
    """

    min_delay_s: float = 0.002
    min_left_s: float = 0.005


@attrs.frozen
class Settled:
    """Answer the caller with that of ``winner``, and cancel the try at ``cancel``.

    ``cancel`` is empty if no other try is running.
    """

    winner: str
    cancel: str = ""


def hedge_delay(mode, idempotent, latency_s, settings):
    """Return when to start a second try, in seconds after the first, or None.

    Parameters
    ----------
    mode : PolicyMode
        Keys of an exclusive service have one owner, so there is no other target.
    idempotent : bool
        A request that may not run twice never has a second try beside the first.
    latency_s : float
        A high quantile, such as the 95th percentile, of the service's latency.
    settings : HedgeSettings
        Bounds the delay.
    """
    if mode is PolicyMode.EXCLUSIVE or not idempotent:
        return None
    return max(settings.min_delay_s, latency_s)


def may_hedge(budget, now, deadline_s, settings):
    """Return whether the second try may start now; if so it is paid for."""
    if deadline_s - now < settings.min_left_s:
        return False
    return budget.spend(RetryReason.HEDGE, now)


class HedgedRequest:
    """The one or two tries of one request.

    Parameters
    ----------
    first : str
        Target of the first try.
    """

    def __init__(self, first):
        self.running = [first]
        self.settled = None

    def hedge(self, target):
        """Note that the second try has started; only one may."""
        if self.settled or target in self.running or len(self.running) != 1:
            raise ValueError("a second try needs one first try that is running")
        self.running.append(target)

    def ended(self, target, answered):
        """Note the end of a try.

        Returns
        -------
        Settled or None
            None while another try is running, and for anything after the answer: a
            late answer of the loser must not reach the caller as a second one.
        """
        if self.settled or target not in self.running:
            return None
        self.running.remove(target)
        if not answered and self.running:
            return None
        cancel = self.running[0] if self.running else ""
        self.settled = Settled(target, cancel)
        return self.settled
