"""Whether a daemon may try a failed request again, by a closed rule.

Load: a target or a daemon is lost, or all are full, and many requests fail at once.
Harm: retries multiply the load just when there is too much of it; and a request that
ran and is sent again runs twice.
Limit: only requests that did not run, or idempotent ones; a budget tied to the rate of
successes, so that retries dry up as successes do; never past the deadline.
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
"""Nothing ran, and the key may have another owner by now."""

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
"""Nothing ran at this target; another one may have room."""

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
    """Why a request is tried again; each is counted."""

    RELOCATED = "relocated"
    REFUSED = "refused"
    LOST = "lost"
    HEDGE = "hedge"


class RetryRefusal(enum.Enum):
    """Why a request is not tried again; each is counted."""

    NOT_RETRYABLE = "not-retryable"
    MAY_HAVE_RUN = "may-have-run"
    ONLY_OWNER = "only-owner"  # a busy owner, and no other target may run it
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


class RetryPlace(enum.Enum):
    """Where the next try goes."""

    OWNER = "owner"  # the present owner, looked up again
    ELSEWHERE = "elsewhere"  # a target that did not have the request yet


@attrs.frozen
class RetrySettings:
    """The retry budget of one daemon and the pauses between tries.

    Parameters
    ----------
    ratio : float
        Retries earned by each success.
    floor_per_s : float
        Retries a second earned in any case, so that a quiet service may retry.
    burst : float
        Most retries saved up.
    attempts : int
        Most tries of one request, the first one included.
    pause_s : float
        Pause before the first retry at an owner; it doubles with each.
    min_left_s : float
        Least time before the deadline that makes a try worth while.
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    burst: float = 20.0
    attempts: int = 3
    pause_s: float = 0.02
    min_left_s: float = 0.005


@attrs.frozen
class FailedTry:
    """A try that has failed.

    Parameters
    ----------
    kind : ErrorKind
        How it failed.
    mode : PolicyMode
        Of the service.
    idempotent : bool
        Whether the request may run twice without harm.
    attempts : int
        Tries so far, this one included.
    deadline_s : float
        Of the request, on the same clock as ``now``.
    retry_after_s : float
        What the failed try said about coming back.
    """

    kind: ErrorKind
    mode: PolicyMode
    idempotent: bool
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
class GiveUp:
    """Answer the caller at once with ``kind``."""

    kind: ErrorKind
    retry_after_s: float
    refusal: RetryRefusal


class RetryBudget:
    """A token bucket filled by successes, shared by all requests of a daemon.

    Parameters
    ----------
    settings : RetrySettings
    now : float
        In seconds.
    """

    def __init__(self, settings=None, now=0.0):
        self.settings = settings or RetrySettings()
        self.tokens = self.settings.burst
        self.counts_by_reason = collections.Counter()
        self.counts_by_refusal = collections.Counter()
        self._filled_at = now

    def succeeded(self):
        """Count a request that succeeded at its first try."""
        self._add(self.settings.ratio)

    def spend(self, reason, now):
        """Take one token for ``reason``; return whether there was one."""
        passed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._add(passed * self.settings.floor_per_s)
        if self.tokens < 1.0:
            self.counts_by_refusal[RetryRefusal.BUDGET] += 1
            return False
        self.tokens -= 1.0
        self.counts_by_reason[reason] += 1
        return True

    def give_back(self):
        """Return a token that was spent for a try which then was not made."""
        self._add(1.0)

    def may_retry(self, failed, now, draw):
        """Return what becomes of a failed try.

        Parameters
        ----------
        failed : FailedTry
            What failed, and how.
        now : float
            In seconds.
        draw : float
            Random number from 0 to 1; spreads the retries of many requests that
            failed together.

        Returns
        -------
        Retry or GiveUp
        """
        reason, refusal = _rule(failed)
        pause = self._pause(failed, reason, draw)
        if refusal is None and failed.attempts >= self.settings.attempts:
            refusal = RetryRefusal.ATTEMPTS
        left = failed.deadline_s - now - pause
        if refusal is None and left < self.settings.min_left_s:
            refusal = RetryRefusal.DEADLINE
        if refusal is not None:
            self.counts_by_refusal[refusal] += 1
        elif not self.spend(reason, now):
            refusal = RetryRefusal.BUDGET
        if refusal is not None:
            return GiveUp(failed.kind, failed.retry_after_s, refusal)
        return Retry(_place(failed), pause, reason)

    def _add(self, tokens):
        self.tokens = min(self.settings.burst, self.tokens + tokens)

    def _pause(self, failed, reason, draw):
        """Return the pause: none elsewhere, else time for the owner to change."""
        if _place(failed) is RetryPlace.ELSEWHERE:
            return 0.0
        longest = self.settings.pause_s * 2.0 ** (failed.attempts - 1)
        return longest * (0.5 + 0.5 * draw)


def _place(failed):
    if failed.mode is PolicyMode.EXCLUSIVE:
        return RetryPlace.OWNER
    return RetryPlace.ELSEWHERE


def _rule(failed):
    """Return the reason for a retry, or None and the refusal.

    Failure: a booking is sent again after an answer was lost. Symptom: it runs twice.
    Enough, because the kinds that say "did not run" are the only ones that a request
    that isn't idempotent is ever repeated for.
    """
    if failed.kind in RELOCATED_KINDS:
        return RetryReason.RELOCATED, None
    if failed.kind in REFUSED_KINDS:
        if failed.mode is PolicyMode.EXCLUSIVE:
            return None, RetryRefusal.ONLY_OWNER
        return RetryReason.REFUSED, None
    if failed.kind in LOST_KINDS:
        if not failed.idempotent and ANSWER_BY_KIND[failed.kind].ran is not Ran.NO:
            return None, RetryRefusal.MAY_HAVE_RUN
        return RetryReason.LOST, None
    return None, RetryRefusal.NOT_RETRYABLE
