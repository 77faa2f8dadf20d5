"""Decides whether and where a daemon retries a failed request.

When a target or daemon is lost, or all are full, many requests fail at once. Unlimited
retries would then multiply the load during an overload, and a request that ran would
run twice. Therefore only requests that did not run, or idempotent ones, are retried,
within a budget that is earned by successes, so that retries stop when successes do,
and never past the deadline.
"""

import collections
import enum

import attrs

from tamarackhaven._model import PolicyMode
from tamarackhaven.errors import ANSWER_BY_KIND, ErrorKind, Ran

_K = ErrorKind

RELOCATED_KINDS = frozenset(
    {
        _K.NO_OWNER,
        _K.NOT_OWNER,
        _K.FORWARD_LOOP,
        _K.OWNER_UNREACHABLE,
        _K.LEASE_LOST,
        _K.MOVING,
        _K.DRAINING,
        _K.ZONE_OUT,
    }
)
"""The request did not run, and its key may have another owner by now."""

REFUSED_KINDS = frozenset(
    {
        _K.QUEUE_FULL,
        _K.QUEUE_TIMEOUT,
        _K.TARGET_COLD,
        _K.CONNECTIONS_FULL,
        _K.TARGET_UNREACHABLE,
        _K.TARGET_REFUSED,
        _K.STATE_STALE,
    }
)
"""The request did not run at this target; another one may have capacity."""

LOST_KINDS = frozenset(
    {
        _K.FORWARD_LOST,
        _K.TARGET_SENT_NOTHING,
        _K.ANSWER_SHORT,
        _K.ANSWER_MISMATCH,
        _K.CANCELLED,
    }
)
"""The request may have run."""


class RetryReason(enum.Enum):
    """Reason for a retry, counted by value."""

    RELOCATED = "relocated"
    REFUSED = "refused"
    LOST = "lost"
    HEDGE = "hedge"


class RetryRefusal(enum.Enum):
    """Reason why a request is not retried, counted by value."""

    NOT_RETRYABLE = "not-retryable"
    MAY_HAVE_RUN = "may-have-run"
    ONLY_OWNER = "only-owner"  # the owner is busy, and no other target may run it
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


class RetryPlace(enum.Enum):
    """Destination of the next try."""

    OWNER = "owner"  # the current owner of the key, located again
    ELSEWHERE = "elsewhere"  # a target that the request was not sent to before


@attrs.frozen
class RetrySettings:
    """The retry budget of one daemon and the pauses between tries.

    Parameters
    ----------
    ratio : float
        Tokens earned by each success; a retry costs one.
    floor_per_s : float
        Tokens earned each second regardless of successes, so that a service with
        few requests may retry.
    burst : float
        Maximum number of tokens saved.
    attempts : int
        Maximum number of tries of one request, including the first.
    pause_s : float
        Pause in seconds before the first retry at an owner; it doubles with each
        retry.
    min_left_s : float
        Minimum time left before the deadline for a retry, in seconds.
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    burst: float = 20.0
    attempts: int = 3
    pause_s: float = 0.02
    min_left_s: float = 0.005


@attrs.frozen
class FailedTry:
    """A failed try of a request.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the failure.
    mode : PolicyMode
        Ownership mode of the service.
    is_idempotent : bool
        Whether the request may safely run twice.
    attempts : int
        Number of tries so far, including this one.
    deadline_s : float
        Deadline of the request, in seconds of the clock of ``now``.
    retry_after_s : float
        Retry-After of the failed try, in seconds.
    """

    kind: ErrorKind
    mode: PolicyMode
    is_idempotent: bool
    attempts: int
    deadline_s: float
    retry_after_s: float = 0.0


@attrs.frozen
class Retry:
    """Try again at ``place`` after ``pause_s`` seconds."""

    place: RetryPlace
    pause_s: float
    reason: RetryReason


@attrs.frozen
class NoRetry:
    """Answer the caller immediately with ``kind``; don't retry."""

    kind: ErrorKind
    retry_after_s: float
    refusal: RetryRefusal


class RetryBudget:
    """A token bucket filled by successes, shared by all requests of one mode.

    Parameters
    ----------
    settings : RetrySettings
    now : float
        Time of creation, in seconds.
    """

    def __init__(self, settings=None, now=0.0):
        self.settings = settings or RetrySettings()
        self.tokens = self.settings.burst
        self.counts_by_reason = collections.Counter()
        self.counts_by_refusal = collections.Counter()
        self._refilled_at_s = now

    def succeeded(self):
        """Add tokens for a request that succeeded at its first try."""
        self._add(self.settings.ratio)

    def spend(self, reason, now):
        """Spend one token for ``reason``; return whether one was available."""
        elapsed_s = max(0.0, now - self._refilled_at_s)
        self._refilled_at_s = max(now, self._refilled_at_s)
        self._add(elapsed_s * self.settings.floor_per_s)
        if self.tokens < 1.0:
            self.counts_by_refusal[RetryRefusal.BUDGET] += 1
            return False
        self.tokens -= 1.0
        self.counts_by_reason[reason] += 1
        return True

    def refund(self):
        """Return a token that was spent for a try that was not started."""
        self._add(1.0)

    def may_retry(self, failed, now, random_part):
        """Decide whether to retry a failed try.

        Parameters
        ----------
        failed : FailedTry
            The failed try.
        now : float
            Current time, in seconds.
        random_part : float
            Random number from 0 to 1 that spreads the retries of requests which
            failed together.

        Returns
        -------
        Retry or NoRetry
        """
        reason, refusal = _classify(failed)
        pause_s = self._pause(failed, reason, random_part)
        if refusal is None and failed.attempts >= self.settings.attempts:
            refusal = RetryRefusal.ATTEMPTS
        left_s = failed.deadline_s - now - pause_s
        if refusal is None and left_s < self.settings.min_left_s:
            refusal = RetryRefusal.DEADLINE
        if refusal is not None:
            self.counts_by_refusal[refusal] += 1
        elif not self.spend(reason, now):
            refusal = RetryRefusal.BUDGET
        if refusal is not None:
            return NoRetry(failed.kind, failed.retry_after_s, refusal)
        return Retry(_retry_place(failed), pause_s, reason)

    def _add(self, tokens):
        self.tokens = min(self.settings.burst, self.tokens + tokens)

    def _pause(self, failed, reason, random_part):
        """Return the pause in seconds; only retries at the owner have one.

        It gives the key time to get another owner.
        """
        if _retry_place(failed) is RetryPlace.ELSEWHERE:
            return 0.0
        max_pause_s = self.settings.pause_s * 2.0 ** (failed.attempts - 1)
        return max_pause_s * (0.5 + 0.5 * random_part)


def _retry_place(failed):
    if failed.mode is PolicyMode.EXCLUSIVE:
        return RetryPlace.OWNER
    return RetryPlace.ELSEWHERE


def _classify(failed):
    """Return the reason for a retry and None, or None and the reason against one.

    A booking that is retried after its answer was lost could run twice. Therefore a
    request that isn't idempotent is retried only after errors that say that it did not
    run.
    """
    if failed.kind in RELOCATED_KINDS:
        return RetryReason.RELOCATED, None
    if failed.kind in REFUSED_KINDS:
        if failed.mode is PolicyMode.EXCLUSIVE:
            return None, RetryRefusal.ONLY_OWNER
        return RetryReason.REFUSED, None
    if failed.kind in LOST_KINDS:
        if not failed.is_idempotent and ANSWER_BY_KIND[failed.kind].ran is not Ran.NO:
            return None, RetryRefusal.MAY_HAVE_RUN
        return RetryReason.LOST, None
    return None, RetryRefusal.NOT_RETRYABLE
