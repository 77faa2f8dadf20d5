"""Thread-safe retry budget of a daemon, with retries counted in its metrics."""

import random
import threading

from tamarackhaven import _metrics
from tamarackhaven._hedge import may_hedge
from tamarackhaven._retry import (
    FailedTry,
    NoRetry,
    RetryBudget,
    RetryReason,
    RetryRefusal,
    RetrySettings,
)
from tamarackhaven.errors import Ran


def owner_retries(threads):
    """Return the ``RetrySettings`` of exclusive services.

    A shard may move, or lose its owner, while every thread has a request for it. Only
    a retry at the new owner can then reach a target, and the budget of shared services
    would refuse all requests beyond its burst.

    Therefore each request may be retried once, and the burst allows ten retries for
    each thread. If two daemons disagree about the owner for longer, they use up the
    budget, and further callers are answered immediately.
    """
    return RetrySettings(ratio=0.5, floor_per_s=20.0, burst=10.0 * threads, attempts=2)


class Retries:
    """A thread-safe ``RetryBudget`` that counts retries.

    Parameters
    ----------
    settings : RetrySettings
        Settings of the budget.
    mode : PolicyMode
        Ownership mode of the services that use the budget.
    metrics : Metrics
        Counts retries and refused retries by reason.
    clock : Clock
        Gives the time of the budget by ``boot_s``.
    """

    def __init__(self, settings, mode, metrics, clock):
        self._budget = RetryBudget(settings, clock.boot_s())
        self._mode = mode
        self._metrics = metrics
        self._clock = clock
        self._rng = random.Random()
        self._lock = threading.Lock()

    def succeeded(self):
        """Earn retry tokens for a request that succeeded at its first try."""
        with self._lock:
            self._budget.succeeded()

    def allows(self, error, request, attempts):
        """Return whether a failed request may be retried; if so, spend a token."""
        failed = FailedTry(
            kind=error.kind,
            mode=self._mode,
            is_idempotent=not request.is_booking,
            attempts=attempts,
            deadline_s=request.deadline_s,
            retry_after_s=error.retry_after_s,
        )
        with self._lock:
            decision = self._budget.may_retry(
                failed, self._clock.boot_s(), self._rng.random()
            )
        if isinstance(decision, NoRetry):
            self.count_refusal(decision.refusal)
            return False
        return True

    def count_refusal(self, refusal):
        """Count a refused retry by its reason, a ``RetryRefusal``."""
        self._metrics.count(_metrics.RETRIES_REFUSED, reason=refusal.value)

    def started(self, error):
        """Count the start of a retry that ``allows`` permitted."""
        self._metrics.count(_metrics.RETRIES, reason=error.kind.name)

    def refund(self):
        """Return the token that ``allows`` spent, as there was nowhere to retry."""
        with self._lock:
            self._budget.refund()

    def may_hedge(self, deadline_s, settings):
        """Return whether a hedge may start; spend a token and count it if so."""
        now = self._clock.boot_s()
        with self._lock:
            allowed = may_hedge(self._budget, now, deadline_s, settings)
        if allowed:
            self._metrics.count(_metrics.RETRIES, reason=RetryReason.HEDGE.name)
        else:
            is_late = deadline_s - now < settings.min_left_s
            self.count_refusal(
                RetryRefusal.DEADLINE if is_late else RetryRefusal.BUDGET
            )
        return allowed


def least_certain_error(earlier, later):
    """Return the one of two errors that leaves more doubt whether the request ran.

    If the first try was lost on its way and the second was refused, the second error
    alone would tell the caller that the request did not run. If it is unknown for any
    try whether it ran, it is unknown for the request.
    """
    if earlier is not None and later.answer.ran is Ran.NO:
        return earlier if earlier.answer.ran is not Ran.NO else later
    return later
