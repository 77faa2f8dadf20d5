"""Modelled daemons: one with the gate and the ledger, and simpler ones to compare."""

import collections

import attrs
from _model_target import MAX_CONNECTIONS

from tamarackhaven._gate import Gate
from tamarackhaven._gate_messages import Admit, End, Finish, Offer, Refuse
from tamarackhaven._ledger import (
    BookingAnswer,
    BookingEnd,
    BookingTry,
    Ledger,
    Replay,
    Run,
)
from tamarackhaven._settings import BookingSettings, GateSettings
from tamarackhaven.errors import ErrorKind

KIND_BY_END = {
    End.ANSWERED: None,
    End.SHED: ErrorKind.TARGET_REFUSED,
    End.UNREACHABLE: ErrorKind.TARGET_UNREACHABLE,
    End.FAILED: ErrorKind.TARGET_SENT_NOTHING,
}
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 1.0
BOOKING_WINDOW_S = 600.0
MAX_FIXED_QUEUE = 64


class NaiveDaemon:
    """A first-in, first-out queue before a fixed concurrency limit.

    Parameters
    ----------
    limit : int
        Maximum number of requests that run at the target.
    queue : float
        Maximum number of waiting requests; infinite for no limit.
    """

    def __init__(self, sim, target, limit, queue):
        self.target = target
        self._sim = sim
        self._limit = limit
        self._max_queued = queue
        self._queue = collections.deque()
        self._running = 0

    def handle(self, request, shard, reply):
        """Handle one try; call ``reply(kind, retry_after_s)`` once."""
        if self._running < self._limit:
            self._start(request, reply)
        elif len(self._queue) < self._max_queued:
            self._queue.append((request, reply))
        else:
            reply(ErrorKind.QUEUE_FULL, 0.0)

    def _start(self, request, reply):
        self._running += 1
        self.target.start(request, lambda end, s: self._finish(reply, end))

    def _finish(self, reply, end):
        self._running -= 1
        reply(KIND_BY_END[end], 0.0)
        if self._queue and self._running < self._limit:
            self._start(*self._queue.popleft())


@attrs.define
class _Try:
    request: object
    reply: object
    token: object
    done: bool = False


class GatedDaemon:
    """Drives the gate and the ledger as a real daemon does."""

    def __init__(self, sim, target, warm):
        self.target = target
        self._sim = sim
        self.gate = Gate(GateSettings(), target.slots, sim.now, sim.rng)
        if warm:
            self.gate.open(sim.now, cold=False)
        self.ledger = Ledger(BookingSettings())
        self.grant_by_shard = {}
        self._try_by_id = {}
        self._tries = 0
        self._next_tick_s = float("inf")
        sim.after(REPORT_INTERVAL_S, self._read_report)

    def adopt_shard(self, shard, grant, since_s):
        """Start to own a shard that no former owner handed over."""
        self.grant_by_shard[shard] = grant
        self.ledger.adopt("s", shard, grant, since_s)

    def import_shard(self, shard, grant, part):
        """Start to own a shard with the former owner's part of the ledger.

        Without that part, the shard counts as owned since now.
        """
        self.grant_by_shard[shard] = grant
        previous_grant = grant - 1
        if part is None:
            self.ledger.adopt("s", shard, grant, self._sim.now)
        else:
            self.ledger.import_(part, grant, previous_grant, self._sim.now)

    def release(self, shard):
        """Stop owning a shard; return its part of the ledger."""
        part = self.ledger.export("s", shard)
        self.ledger.drop("s", shard)
        self.grant_by_shard.pop(shard, None)
        return part

    def _read_report(self):
        if self.target.is_up:
            self._sim.after(REPORT_DELAY_S, self._report, self.target.report())
        self._sim.after(REPORT_INTERVAL_S, self._read_report)

    def _report(self, report):
        aged = attrs.evolve(report, age_s=REPORT_DELAY_S)
        self.gate.report(aged, self._sim.now)
        self._plan_tick()

    def handle(self, request, shard, reply):
        """Handle one try; call ``reply(kind, retry_after_s)`` once."""
        grant = self.grant_by_shard.get(shard)
        if grant is None:
            reply(ErrorKind.NOT_OWNER, 0.05)
            return
        token = None
        if request.is_booking:
            decision = self.ledger.begin(self._booking(request, shard, grant), self.now)
            if not isinstance(decision, Run):
                kind = None if isinstance(decision, Replay) else decision.kind
                reply(kind, 0.1)
                return
            token = decision.token
        self._tries += 1
        item = _Try(request, reply, token)
        self._try_by_id[str(self._tries)] = item
        offer = Offer(str(self._tries), request.key, request.caller, request.deadline_s)
        self._apply(self.gate.offer(offer, self.now))
        self._plan_tick()

    @property
    def now(self):
        """Simulated time, in seconds."""
        return self._sim.now

    def _booking(self, request, shard, grant):
        return BookingTry(
            "s",
            shard,
            grant,
            request.name,
            b"",
            request.sent_s,
            BOOKING_WINDOW_S,
        )

    def _apply(self, decision):
        item = self._try_by_id[decision.request_id]
        if isinstance(decision, Admit):
            self._start(decision.request_id, item)
        elif isinstance(decision, Refuse):
            del self._try_by_id[decision.request_id]
            self._end_booking(item, BookingEnd.DID_NOT_RUN)
            item.reply(decision.kind, decision.retry_after_s)

    def _start(self, try_id, item):
        self.target.start(
            item.request, lambda end, s: self._finish(try_id, item, end, s)
        )
        left_s = item.request.deadline_s - self.now
        self._sim.after(left_s, self._time_out, try_id, item)

    def _time_out(self, try_id, item):
        """Answer with a timeout at the deadline; the target's work goes on."""
        if item.done:
            return
        item.done = True
        elapsed_s = self.now - item.request.sent_s
        item.reply(ErrorKind.ANSWER_TIMEOUT, 0.0)
        self._finish_at_gate(try_id, End.GIVEN_UP, elapsed_s)

    def _finish(self, try_id, item, end, seconds):
        if end is End.ANSWERED:
            self._end_booking(item, BookingEnd.ANSWERED)
        elif end in (End.SHED, End.UNREACHABLE):
            self._end_booking(item, BookingEnd.DID_NOT_RUN)
        else:
            self._end_booking(item, BookingEnd.UNKNOWN)
        if item.done:
            return
        item.done = True
        item.reply(KIND_BY_END[end], self._retry_after_s(end))
        self._finish_at_gate(try_id, end, seconds)

    def _retry_after_s(self, end):
        return 0.0 if end is End.ANSWERED else 0.1 + 0.1 * self._sim.rng.random()

    def _end_booking(self, item, end):
        if item.token is not None:
            self.ledger.finish(item.token, end, BookingAnswer(200), self.now)

    def _finish_at_gate(self, try_id, end, seconds):
        del self._try_by_id[try_id]
        for decision in self.gate.finish(Finish(try_id, end, seconds), self.now):
            self._apply(decision)
        self._plan_tick()

    def stop(self, kind):
        """Refuse all waiting and all new requests with ``kind``."""
        for decision in self.gate.stop(kind):
            self._apply(decision)

    def open(self):
        """Admit requests again, with a cold target."""
        self.gate.open(self.now, cold=True)

    def _plan_tick(self):
        due = self.gate.next_tick(self.now)
        if due < self._next_tick_s:
            self._next_tick_s = due
            self._sim.after(due - self.now, self._tick)

    def _tick(self):
        self._next_tick_s = float("inf")
        for decision in self.gate.tick(self.now):
            self._apply(decision)
        self._plan_tick()


def unbounded_daemon(sim, target):
    """Return a daemon limited only by the connections, with an unlimited queue."""
    return NaiveDaemon(sim, target, MAX_CONNECTIONS, float("inf"))


def fixed_daemon(sim, target):
    """Return a daemon whose limit is the target's slots, with a bounded queue."""
    return NaiveDaemon(sim, target, target.slots, MAX_FIXED_QUEUE)
