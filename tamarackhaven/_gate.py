"""Admission control for one target: which requests start, wait or are refused.

Does no input or output: the daemon passes in requests, outcomes, reports and the time,
and carries out the decisions. All limits of one target are computed here only, so
processes share no counters.
"""

import collections
import math

import attrs

from tamarackhaven._cold_start import ColdStart, RestartDetector
from tamarackhaven._fair_queue import FairQueue
from tamarackhaven._gate_messages import Admit, End, Refuse, Wait
from tamarackhaven._limit import MAX_TARGET_REPORT_AGE_S, LatencyShift, LearnedLimit
from tamarackhaven._retry_after import DequeueRate, RetryDelays
from tamarackhaven.errors import ErrorKind

# The target may still run a request that its caller has abandoned. Its slot stays
# reserved for this many mean holding times, unless a later report shows it is free.
ABANDONED_HOLDING_TIMES = 4.0
# Without this tolerance, rounding can keep a request whose tick is due, so that the
# same tick is due again at once and its thread spins. The value is larger than the
# rounding error of clock times.
CLOCK_TOLERANCE_S = 1e-6
# Bounds of the reservation: a target that honours deadlines stops within the maximum.
MIN_ABANDONED_S = 0.05
MAX_ABANDONED_S = 2.0


@attrs.frozen
class _Abandoned:
    """A slot that an abandoned request may still occupy at the target."""

    since_s: float
    until_s: float


class Gate:
    """Admits requests to one target.

    Starts cold, as a new daemon doesn't know whether its target is warm.

    Parameters
    ----------
    settings : GateSettings
        Queue bounds, cold-start settings and fair shares.
    slots : int
        Requests that the target can run at once when warm, as declared.
    now : float
        Current time in seconds, on the clock that every later call uses.
    rng : random.Random
        Its ``random()`` returns numbers from 0 to 1, to spread the retry delays.
    """

    def __init__(self, settings, slots, now, rng):
        self._settings = settings
        self._rng = rng
        self._limit = LearnedLimit(slots)
        self._cold = ColdStart(settings, slots)
        self._restart_detector = RestartDetector()
        self._queue = FairQueue(settings)
        self._dequeue_rate = DequeueRate()
        self._retry_delays = RetryDelays()
        self._offer_by_id = {}
        self._abandoned = []
        self._stopped = None
        self._now = now
        self.admitted = 0
        self.refused_by_kind = collections.Counter()
        self._cold.begin(now)

    @property
    def running(self):
        """Number of requests that were admitted and haven't ended."""
        return len(self._offer_by_id)

    @property
    def waiting(self):
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def cold(self):
        """Whether the cold-start limit applies."""
        return self._cold.cold

    @property
    def limit(self):
        """Concurrency limit of the target, as of the last call."""
        learned = self._limit.value(self._now)
        return int(min(learned, self._cold.ceiling, self._settings.max_connections))

    @property
    def taken(self):
        """Slots in use: running requests, and abandoned ones that may still run."""
        return self.running + len(self._abandoned)

    def offer(self, offer, now):
        """Decide on a new request and return ``Admit``, ``Wait`` or ``Refuse``."""
        self._advance(now)
        kind = self._refusal_kind(offer)
        if kind is not None:
            return self._refuse(offer, kind)
        if not self._queue and self._has_free_slot():
            return self._admit(offer, queued=False)
        self._queue.push(offer, self._start_by(offer))
        return Wait(offer.request_id)

    def _refusal_kind(self, offer):
        """Return why ``offer`` can neither start nor wait, or None."""
        if self._stopped is not None:
            return self._stopped
        if offer.deadline_s <= self._now:
            return ErrorKind.DEADLINE_PAST
        if not self._queue and self._has_free_slot():
            return None
        if self._queue.full:
            return self._queue_full_kind()
        if self._queue.key_over_share(offer):
            return ErrorKind.KEY_SHARE
        if self._queue.caller_over_share(offer):
            return ErrorKind.CALLER_SHARE
        if self._would_start_late(offer):
            return self._queue_timeout_kind()
        return None

    def _would_start_late(self, offer):
        """Return whether ``offer`` would wait past its latest useful start.

        With more demand than slots, callers would otherwise wait for an answer that
        can't arrive in time, and slots would go to requests that start too late.
        """
        position = self._queue.position_of(offer)
        wait_s = self._dequeue_rate.wait_s(position, self.limit, self._now)
        return self._now + wait_s > self._start_by(offer)

    def _start_by(self, offer):
        """Return the latest start, in seconds, that can meet the deadline of ``offer``.

        Above the limit, or at a cold target, slots would otherwise go to requests
        that are abandoned at their deadline. The mean holding time is used because
        by the base latency alone, a cold target that takes twice as long was sent
        requests that could no longer finish in time.
        """
        work_s = max(self._limit.base_s, self._dequeue_rate.hold_s)
        useful = offer.deadline_s - work_s
        return min(useful, self._now + self._settings.queue_ms / 1000)

    def _queue_full_kind(self):
        if self._cold.cold:
            return ErrorKind.TARGET_COLD
        if self.taken >= self._settings.max_connections:
            return ErrorKind.CONNECTIONS_FULL
        return ErrorKind.QUEUE_FULL

    def _queue_timeout_kind(self):
        return ErrorKind.TARGET_COLD if self._cold.cold else ErrorKind.QUEUE_TIMEOUT

    def _has_free_slot(self):
        return self.taken < self.limit

    def _admit(self, offer, queued):
        if not self._offer_by_id:
            self._dequeue_rate.began(self._now)
        self._offer_by_id[offer.request_id] = offer
        self._queue.started(offer, queued)
        self.admitted += 1
        return Admit(offer.request_id)

    def _refuse(self, offer, kind):
        self.refused_by_kind[kind] += 1
        return Refuse(offer.request_id, kind, self._retry_after_s(offer, kind))

    def _retry_after_s(self, offer, kind):
        if kind is ErrorKind.DEADLINE_PAST:
            return 0.0
        backlog_s = self._dequeue_rate.wait_s(self.waiting, self.limit, self._now)
        interval_s = self._dequeue_rate.interval_s(self.limit)
        return self._retry_delays.next_s(
            backlog_s, interval_s, self._now, offer.deadline_s, self._rng.random()
        )

    def finish(self, finish, now):
        """Record the end of an admitted request and return the decisions that follow.

        An unknown or repeated id changes nothing, so a late answer can't free a slot
        twice.
        """
        self._advance(now)
        offer = self._offer_by_id.get(finish.request_id)
        if offer is None:
            return []
        self._record_outcome(finish)
        del self._offer_by_id[finish.request_id]
        self._queue.ended(offer)
        return self._start_and_expire()

    def _record_outcome(self, finish):
        if finish.end is End.ANSWERED:
            self._record_answer(finish.latency_s)
        elif finish.end is End.SHED:
            self._limit.shed(self.taken)
            self._record_failure(suspected=True)
        elif finish.end is End.UNREACHABLE:
            # Nothing accepts connections, so the next process that does is new.
            self._record_failure(suspected=False)
        else:
            self._reserve_abandoned(finish.latency_s)
        # A target that crashes can be back cold before any report shows it. All its
        # slots are freed at once and it would be overloaded. Connections cut with no
        # answer in between are the first sign of such a restart.
        if finish.end is End.FAILED:
            self._record_failure(suspected=False)

    def _record_answer(self, latency_s):
        self._restart_detector.answered()
        self._dequeue_rate.ended(latency_s, self._now)
        self._cold.succeeded(self._now)
        shift = self._limit.answered(latency_s, self.taken, self._now)
        if shift is LatencyShift.SLOWER:
            self._restart_detector.slower(self._now)
        elif shift is LatencyShift.FASTER:
            self._restart_detector.faster()

    def _record_failure(self, suspected):
        burst = self._restart_detector.failed(self._now)
        if burst and not (suspected and self._cold.cold):
            self._cold.begin(self._now, suspected)
        else:
            self._cold.shed(self._now)

    def _reserve_abandoned(self, latency_s):
        """Keep the slot of an abandoned request reserved, as it may still run.

        Callers with short deadlines abandon requests at a slow target. If others took
        their slots at once, the target would run twice its limit and slow further.
        The slot is freed by a report or after a few mean holding times.
        """
        self._dequeue_rate.ended(max(latency_s, self._dequeue_rate.hold_s), self._now)
        expected_s = ABANDONED_HOLDING_TIMES * self._dequeue_rate.hold_s
        reserved_s = min(max(expected_s, MIN_ABANDONED_S), MAX_ABANDONED_S)
        self._abandoned.append(_Abandoned(self._now, self._now + reserved_s))

    def tick(self, now):
        """Advance the clock; return the requests that start and those that expire."""
        self._advance(now)
        return self._start_and_expire()

    def _advance(self, now):
        self._now = max(now, self._now)
        self._abandoned = [a for a in self._abandoned if a.until_s > self._now]

    def _start_and_expire(self):
        """Start queued requests while slots are free, then refuse the expired ones."""
        decisions = self._expire(early=False)
        while self._queue and self._has_free_slot():
            entry = self._queue.pop(self.limit)
            decisions.append(self._admit(entry.offer, queued=True))
        return decisions + self._expire(early=True)

    def _expire(self, early):
        """Refuse queued requests whose latest start has passed.

        With ``early``, also refuse those that will miss it at the present pace: when
        the limit falls or the target is silent, a request that can no longer start in
        time is refused now and not at its deadline.
        """
        limit = self.limit
        interval_s = self._dequeue_rate.interval_s(limit) if early else 0.0
        next_start_s = self._now + CLOCK_TOLERANCE_S
        if early:
            next_start_s += self._dequeue_rate.stalled_s(limit, self._now)
        decisions = []
        for entry in self._queue.entries:
            if next_start_s >= entry.start_by_s:
                self._queue.remove(entry)
                decisions.append(self._refuse(entry.offer, self._queue_timeout_kind()))
            else:
                next_start_s += interval_s
        return decisions

    def withdraw(self, request_id, now):
        """Drop a queued request whose caller hung up; return the next decisions."""
        self._advance(now)
        entry = self._queue.find(request_id)
        if entry is not None:
            self._queue.remove(entry)
            self.refused_by_kind[ErrorKind.CALLER_GONE] += 1
        return self._start_and_expire()

    def report(self, report, now):
        """Apply a load report of the target.

        A report may be old or wrong, so its effects are limited: a sign of a restart
        makes the target cold, and a recent number of slots bounds the limit unless
        the gate has itself seen more answered well. A low number of running requests
        frees the slots of abandoned requests only: the gate counts its own.
        """
        self._advance(now)
        if self._restart_detector.report(report, now):
            self._limit.restart()
            self._cold.begin(now)
        if report.age_s <= MAX_TARGET_REPORT_AGE_S:
            self._limit.report(report.slots, now - report.age_s)
            self._free_abandoned(report, now - report.age_s)

    def _free_abandoned(self, report, made_at):
        """Free slots of requests abandoned before ``made_at``, as the report shows."""
        freed_count = max(0, self.taken - report.running)
        older = [a for a in self._abandoned if a.since_s < made_at]
        for abandoned in older[:freed_count]:
            self._abandoned.remove(abandoned)

    def stop(self, kind):
        """Refuse all queued and later requests with ``kind``; return the refusals.

        Requests in flight at the target continue.
        """
        self._stopped = kind
        decisions = []
        for entry in self._queue.entries:
            self._queue.remove(entry)
            decisions.append(self._refuse(entry.offer, kind))
        return decisions

    def open(self, now, cold):
        """Admit requests again; ``cold`` if the target must warm up again."""
        self._advance(now)
        self._stopped = None
        if cold:
            self._cold.begin(now)
        else:
            self._cold.end()

    def next_tick(self, now):
        """Return when ``tick`` is due, in seconds; infinite if the queue is empty."""
        if not self._queue:
            return math.inf
        if self._has_free_slot():
            return now
        interval_s = self._dequeue_rate.interval_s(self.limit)
        due_at = min(
            entry.start_by_s - position * interval_s
            for position, entry in enumerate(self._queue.entries)
        )
        due_at = self._dequeue_rate.stall_detectable_at(due_at)
        freed_at = min((a.until_s for a in self._abandoned), default=math.inf)
        return max(now, min(due_at, freed_at))
