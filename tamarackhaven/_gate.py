"""The gate of one target: which request starts, waits or is refused, and when.

Pure: the daemon passes in requests, ends, reports and the time, and carries out the
decisions. All numbers of one target are decided here and nowhere else, so no counter
is shared between processes.
"""

import collections
import math

import attrs

from tamarackhaven._cold_start import ColdStart, RestartSigns
from tamarackhaven._fair_queue import FairQueue
from tamarackhaven._gate_messages import Admit, End, Refuse, Wait
from tamarackhaven._limit import REPORT_LIFE_S, LearnedLimit, Shift
from tamarackhaven._retry_after import ComeBackTimes, EmptyingRate
from tamarackhaven.errors import ErrorKind

# A request that its caller gave up on may run on at the target. Its place stays taken
# for this many mean holding times, unless a later report shows that it has ended.
ABANDONED_HOLDS = 4.0
# Failure: the tick that next_tick asks for comes, and by rounding refuses nobody.
# Symptom: it is due again at once, for ever. More than a rounding error of clock times.
ROUNDING_S = 1e-6
# Bounds of that time: no target that honours deadlines runs on for longer.
ABANDONED_MIN_S = 0.05
ABANDONED_MAX_S = 2.0


@attrs.frozen
class _Abandoned:
    """A place at the target that may still be taken."""

    since_s: float
    until_s: float


class Gate:
    """Admits requests to one target.

    Starts cold: a new daemon can't know what its target has been through.

    Parameters
    ----------
    settings : GateSettings
        Bounds and shares.
    slots : int
        Requests that the target can run at once when warm, as declared.
    now : float
        Seconds of the clock that every later call uses.
    rng : random.Random
        Gives numbers from 0 to 1 by ``random()``, to spread the come-back times.
    """

    def __init__(self, settings, slots, now, rng):
        self._settings = settings
        self._rng = rng
        self._limit = LearnedLimit(slots)
        self._cold = ColdStart(settings, slots)
        self._signs = RestartSigns()
        self._queue = FairQueue(settings)
        self._rate = EmptyingRate()
        self._come_back = ComeBackTimes()
        self._offer_by_id = {}
        self._abandoned = []
        self._stopped = None
        self._now = now
        self.admitted = 0
        self.refused_by_kind = collections.Counter()
        self._cold.begin(now)

    @property
    def running(self):
        """Requests that were admitted and haven't ended."""
        return len(self._offer_by_id)

    @property
    def waiting(self):
        """Requests that wait."""
        return len(self._queue)

    @property
    def cold(self):
        """Whether the target counts as cold."""
        return self._cold.cold

    @property
    def limit(self):
        """Most requests at the target at once, as of the last call."""
        learned = self._limit.value(self._now)
        return int(min(learned, self._cold.ceiling, self._settings.max_connections))

    @property
    def taken(self):
        """Places taken at the target: running, and given up but perhaps running."""
        return self.running + len(self._abandoned)

    def offer(self, offer, now):
        """Decide on a new request; return Admit, Wait or Refuse."""
        self._advance(now)
        kind = self._refusal(offer)
        if kind is not None:
            return self._refuse(offer, kind)
        if not self._queue and self._has_room():
            return self._admit(offer, queued=False)
        self._queue.push(offer, self._start_by(offer))
        return Wait(offer.request_id)

    def _refusal(self, offer):
        """Return why ``offer`` can neither start nor wait, or None."""
        if self._stopped is not None:
            return self._stopped
        if offer.deadline_s <= self._now:
            return ErrorKind.DEADLINE_PAST
        if not self._queue and self._has_room():
            return None
        if self._queue.full:
            return self._full_kind()
        if self._queue.key_over_share(offer):
            return ErrorKind.KEY_SHARE
        if self._queue.caller_over_share(offer):
            return ErrorKind.CALLER_SHARE
        if self._starts_late(offer):
            return self._late_kind()
        return None

    def _starts_late(self, offer):
        """Whether ``offer`` would wait past its latest start.

        Load: more demand than slots. Harm prevented: callers are held for an answer
        that can't come, and the slots go to work that is late when it starts.
        """
        place = self._queue.place_of(offer)
        wait_s = self._rate.wait_s(place, self.limit, self._now)
        return self._now + wait_s > self._start_by(offer)

    def _start_by(self, offer):
        """Return the latest useful start: the work must still fit.

        Load: demand above the limit, or a cold target. Harm prevented: places go to
        work that is given up at its deadline. The mean holding time is the limit: by
        the fastest work, a cold target that takes twice as long ran what came late.
        """
        work_s = max(self._limit.base_s, self._rate.hold_s)
        useful = offer.deadline_s - work_s
        return min(useful, self._now + self._settings.queue_ms / 1000)

    def _full_kind(self):
        if self._cold.cold:
            return ErrorKind.TARGET_COLD
        if self.taken >= self._settings.max_connections:
            return ErrorKind.CONNECTIONS_FULL
        return ErrorKind.QUEUE_FULL

    def _late_kind(self):
        return ErrorKind.TARGET_COLD if self._cold.cold else ErrorKind.QUEUE_TIMEOUT

    def _has_room(self):
        return self.taken < self.limit

    def _admit(self, offer, queued):
        if not self._offer_by_id:
            self._rate.began(self._now)
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
        backlog_s = self._rate.wait_s(self.waiting, self.limit, self._now)
        interval_s = self._rate.interval_s(self.limit)
        return self._come_back.next_s(
            backlog_s, interval_s, self._now, offer.deadline_s, self._rng.random()
        )

    def finish(self, finish, now):
        """Take in the end of an admitted request; return what it lets happen.

        An unknown or repeated id changes nothing: a late answer can't free a place
        twice.
        """
        self._advance(now)
        offer = self._offer_by_id.get(finish.request_id)
        if offer is None:
            return []
        self._learn(finish)
        del self._offer_by_id[finish.request_id]
        self._queue.ended(offer)
        return self._settle()

    def _learn(self, finish):
        if finish.end is End.ANSWERED:
            self._learn_answer(finish.latency_s)
        elif finish.end is End.SHED:
            self._limit.shed(self.taken)
            self._learn_failure(suspected=True)
        elif finish.end is End.UNREACHABLE:
            # Nothing listens: whatever listens next has just started.
            self._learn_failure(suspected=False)
        else:
            self._learn_abandoned(finish.latency_s)
        # Failure: a target falls over and is back cold before any report says so.
        # Symptom: all its places free themselves at once and it is overrun. Cut
        # connections without an answer in between are its first sign.
        if finish.end is End.FAILED:
            self._learn_failure(suspected=False)

    def _learn_answer(self, latency_s):
        self._signs.answered()
        self._rate.ended(latency_s, self._now)
        self._cold.succeeded(self._now)
        shift = self._limit.answered(latency_s, self.taken, self._now)
        if shift is Shift.SLOWER:
            self._signs.slower(self._now)
        elif shift is Shift.FASTER:
            self._signs.faster()

    def _learn_failure(self, suspected):
        burst = self._signs.failed(self._now)
        if burst and not (suspected and self._cold.cold):
            self._cold.begin(self._now, suspected)
        else:
            self._cold.shed(self._now)

    def _learn_abandoned(self, latency_s):
        """Keep the place taken: the target may still run the request.

        Failure: callers with short deadlines give up on a slow target and others take
        their places. Symptom: the target runs twice its limit and slows further. The
        place is kept until a report or a few holding times say that it is free.
        """
        self._rate.ended(max(latency_s, self._rate.hold_s), self._now)
        hold_s = ABANDONED_HOLDS * self._rate.hold_s
        life_s = min(max(hold_s, ABANDONED_MIN_S), ABANDONED_MAX_S)
        self._abandoned.append(_Abandoned(self._now, self._now + life_s))

    def tick(self, now):
        """Let time pass; return who starts now and who waited too long."""
        self._advance(now)
        return self._settle()

    def _advance(self, now):
        self._now = max(now, self._now)
        self._abandoned = [a for a in self._abandoned if a.until_s > self._now]

    def _settle(self):
        """Start what has room, then refuse what can no longer start in time."""
        decisions = self._expire(at_once=False)
        while self._queue and self._has_room():
            entry = self._queue.pop(self.limit)
            decisions.append(self._admit(entry.offer, queued=True))
        return decisions + self._expire(at_once=True)

    def _expire(self, at_once):
        """Refuse the waiting requests that are too late.

        With ``at_once`` also those that will be: when the limit falls or the target
        is silent, who can't start any more hears it now and not at its deadline.
        """
        limit = self.limit
        pace_s = self._rate.interval_s(limit) if at_once else 0.0
        next_start = self._now + ROUNDING_S
        if at_once:
            next_start += self._rate.stalled_s(limit, self._now)
        decisions = []
        for entry in self._queue.entries:
            if next_start >= entry.start_by_s:
                self._queue.remove(entry)
                decisions.append(self._refuse(entry.offer, self._late_kind()))
            else:
                next_start += pace_s
        return decisions

    def withdraw(self, request_id, now):
        """Forget a waiting request whose caller hung up; return what follows."""
        self._advance(now)
        entry = self._queue.find(request_id)
        if entry is not None:
            self._queue.remove(entry)
            self.refused_by_kind[ErrorKind.CALLER_GONE] += 1
        return self._settle()

    def report(self, report, now):
        """Take in what the target says of itself.

        A report may be old or wrong, so it only ever does two things: a sign of a
        restart makes the target cold, and a recent number of slots bounds the limit
        where the gate hasn't seen better itself. A low number of running requests
        never admits more: the gate counts its own.
        """
        self._advance(now)
        if self._signs.report(report, now):
            self._limit.restart()
            self._cold.begin(now)
        if report.age_s <= REPORT_LIFE_S:
            self._limit.report(report.slots, now - report.age_s)
            self._free_abandoned(report, now - report.age_s)

    def _free_abandoned(self, report, made_at):
        """Free places that a report, made after they were given up, shows free."""
        ended = max(0, self.taken - report.running)
        older = [a for a in self._abandoned if a.since_s < made_at]
        for place in older[:ended]:
            self._abandoned.remove(place)

    def stop(self, kind):
        """Refuse everything that waits and all that comes; return the refusals.

        What runs goes on: a stop cuts off nothing in flight.
        """
        self._stopped = kind
        decisions = []
        for entry in self._queue.entries:
            self._queue.remove(entry)
            decisions.append(self._refuse(entry.offer, kind))
        return decisions

    def open(self, now, cold):
        """Take work again; ``cold`` if the target may have lost its warmth."""
        self._advance(now)
        self._stopped = None
        if cold:
            self._cold.begin(now)
        else:
            self._cold.end()

    def next_tick(self, now):
        """Return when ``tick`` is due, in seconds; infinite if nothing waits."""
        if not self._queue:
            return math.inf
        if self._has_room():
            return now
        pace_s = self._rate.interval_s(self.limit)
        first = min(
            entry.start_by_s - place * pace_s
            for place, entry in enumerate(self._queue.entries)
        )
        first = self._rate.known_at(first)
        freed = min((a.until_s for a in self._abandoned), default=math.inf)
        return max(now, min(first, freed))
