"""Filter: threads around the pure gate. A request's thread waits on a future."""

import itertools
import math
import threading
from concurrent.futures import Future, TimeoutError as FutureTimeout

from tamarackhaven._gate_messages import Admit, Finish, Offer, Refuse, Wait
from tamarackhaven.errors import ErrorKind, TamarackhavenError

GONE_POLL_S = 0.05
_LONGEST_SLEEP_S = 1.0


class Admission:
    """Runs one gate; every method may be called from any thread.

    Parameters
    ----------
    gate : Gate
        Decides. It is called under one lock, with rising times.
    clock : Clock
        The gate's time is ``boot_s``.
    """

    def __init__(self, gate, clock):
        self._gate = gate
        self._clock = clock
        self._changed = threading.Condition()
        self._future_by_id = {}
        self._numbers = itertools.count(1)
        self._closed = False
        self._thread = threading.Thread(target=self._tick, name="gate", daemon=True)
        self._thread.start()

    def enter(self, request, gone):
        """Wait until the request may be sent; return its decision id.

        Parameters
        ----------
        request : Request
            With its deadline.
        gone : callable
            Says whether the caller has hung up; its queued request is withdrawn.

        Raises
        ------
        TamarackhavenError
            What the gate refused it for, or CALLER_GONE; it did not run.
        """
        # Callers choose request ids and may choose one twice; the gate needs its own.
        decision_id = f"{request.decision_id}.{next(self._numbers)}"
        offer = Offer(decision_id, request.key_hash, request.caller, request.deadline_s)
        future = Future()
        with self._changed:
            self._future_by_id[decision_id] = future
            self._settle([self._gate.offer(offer, self._clock.boot_s())])
        decision = self._result(decision_id, future, gone)
        if isinstance(decision, Refuse):
            raise TamarackhavenError(decision.kind, "", decision.retry_after_s)
        return decision_id

    def leave(self, decision_id, end, latency_s):
        """Tell the gate how an admitted request ended."""
        with self._changed:
            finish = Finish(decision_id, end, latency_s)
            self._settle(self._gate.finish(finish, self._clock.boot_s()))

    def report(self, report):
        """Pass on what the target says of itself."""
        with self._changed:
            self._gate.report(report, self._clock.boot_s())
            self._settle(self._gate.tick(self._clock.boot_s()))

    def stop(self, kind):
        """Refuse what waits and what comes with ``kind``; what runs goes on."""
        with self._changed:
            self._settle(self._gate.stop(kind))

    def open(self, cold):
        """Take work again."""
        with self._changed:
            self._gate.open(self._clock.boot_s(), cold)

    def close(self):
        """End the thread."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join()

    def gauges(self):
        """Return running, waiting and limit of the gate, by name."""
        with self._changed:
            return {
                "running": self._gate.running,
                "waiting": self._gate.waiting,
                "limit": self._gate.limit,
                "cold": int(self._gate.cold),
            }

    def _result(self, decision_id, future, gone):
        while True:
            try:
                return future.result(GONE_POLL_S)
            except FutureTimeout:
                if gone():
                    return self._withdraw(decision_id, future)

    def _withdraw(self, decision_id, future):
        with self._changed:
            if future.done():
                return future.result()
            del self._future_by_id[decision_id]
            self._settle(self._gate.withdraw(decision_id, self._clock.boot_s()))
        return Refuse(decision_id, ErrorKind.CALLER_GONE, 0.0)

    def _settle(self, decisions):
        for decision in decisions:
            if isinstance(decision, Wait):
                continue
            assert isinstance(decision, Admit | Refuse)
            future = self._future_by_id.pop(decision.request_id, None)
            if future is not None:
                future.set_result(decision)
        # Only a waiting request needs the thread; waking it for each one that passes
        # would cost two switches of threads a request.
        if self._future_by_id:
            self._changed.notify()

    def _tick(self):
        with self._changed:
            while not self._closed:
                now = self._clock.boot_s()
                due = self._gate.next_tick(now)
                if due <= now:
                    self._settle(self._gate.tick(now))
                    due = self._gate.next_tick(now)
                sleep_s = None if math.isinf(due) else max(0.001, due - now)
                self._changed.wait(min(sleep_s or _LONGEST_SLEEP_S, _LONGEST_SLEEP_S))
