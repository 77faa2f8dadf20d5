"""The retry budget of a daemon under a lock, with its counts on the metrics page."""

import random
import threading

from tamarackhaven import _metrics
from tamarackhaven._hedge import may_hedge
from tamarackhaven._retry import (
    FailedTry,
    GiveUp,
    RetryBudget,
    RetryReason,
    RetryRefusal,
    RetrySettings,
)
from tamarackhaven.errors import Ran


def owner_retries(threads):
    """Return the ``RetrySettings`` of exclusive services.

    Load: a shard moves, or its owner is lost, while every thread has a request for it.
    Harm of the budget of shared services: all but its burst would be refused, though a
    try at the new owner is the only one that reaches a target. Limit: one more try for
    each thread, ten rounds of them saved up; two daemons that disagree for longer than
    that use up the budget, and callers hear at once.
    """
    return RetrySettings(ratio=0.5, floor_per_s=20.0, burst=10.0 * threads, attempts=2)


class Retries:
    """One ``RetryBudget``; every method may be called from any thread.

    Parameters
    ----------
    settings : RetrySettings
        Of the budget.
    mode : PolicyMode
        Of the services that it is for.
    metrics : Metrics
        Counts tries and refusals by reason.
    clock : Clock
        ``boot_s`` is the time of the budget.
    """

    def __init__(self, settings, mode, metrics, clock):
        self._budget = RetryBudget(settings, clock.boot_s())
        self._mode = mode
        self._metrics = metrics
        self._clock = clock
        self._rng = random.Random()
        self._lock = threading.Lock()

    def succeeded(self):
        """Count a request that succeeded at its first try."""
        with self._lock:
            self._budget.succeeded()

    def allows(self, error, request, attempts):
        """Return whether a failed request may be tried again; if so it is paid for."""
        failed = FailedTry(
            kind=error.kind,
            mode=self._mode,
            idempotent=not request.is_booking,
            attempts=attempts,
            deadline_s=request.deadline_s,
            retry_after_s=error.retry_after_s,
        )
        with self._lock:
            verdict = self._budget.may_retry(
                failed, self._clock.boot_s(), self._rng.random()
            )
        if isinstance(verdict, GiveUp):
            self.refuse(verdict.refusal)
            return False
        return True

    def refuse(self, refusal):
        """Count a ``RetryRefusal``."""
        self._metrics.count(_metrics.RETRIES_REFUSED, reason=refusal.value)

    def started(self, error):
        """Count the retry that ``allows`` has paid for."""
        self._metrics.count(_metrics.RETRIES, reason=error.kind.name)

    def give_back(self):
        """Take back what ``allows`` paid: there was nowhere to try."""
        with self._lock:
            self._budget.give_back()

    def may_hedge(self, deadline_s, settings):
        """Return whether a second try may start beside the first; pays and counts."""
        now = self._clock.boot_s()
        with self._lock:
            allowed = may_hedge(self._budget, now, deadline_s, settings)
        if allowed:
            self._metrics.count(_metrics.RETRIES, reason=RetryReason.HEDGE.name)
        else:
            late = deadline_s - now < settings.min_left_s
            self.refuse(RetryRefusal.DEADLINE if late else RetryRefusal.BUDGET)
        return allowed


def doubtful(earlier, later):
    """Return of two errors of one request the one that doubts most whether it ran.

    Failure: the first try was lost half-way and the second refused unrun. Symptom: the
    caller hears "did not run". Enough, because one try in doubt leaves the request in
    doubt.
    """
    if earlier is not None and later.answer.ran is Ran.NO:
        return earlier if earlier.answer.ran is not Ran.NO else later
    return later
