"""Filter that runs the gate; the thread of each request waits on a future."""

import itertools
import math
import threading
from concurrent.futures import Future, TimeoutError as FutureTimeout

from tamarackhaven._gate_messages import Admit, Finish, Offer, Refuse, Wait
from tamarackhaven.errors import ErrorKind, TamarackhavenError

CALLER_GONE_POLL_INTERVAL_S = 0.05
_MAX_SLEEP_S = 1.0


class Admission:
    """Runs one gate for many threads; all methods are thread-safe.

    Parameters
    ----------
    gate : Gate
        Makes the decisions. It is called under one lock, with increasing times.
    clock : Clock
        ``boot_s`` is the time of the gate.
    """

    def __init__(self, gate, clock):
        self._gate = gate
        self._clock = clock
        self._changed = threading.Condition()
        self._future_by_id = {}
        self._request_numbers = itertools.count(1)
        self._closed = False
        self._thread = threading.Thread(
            target=self._run_ticks, name="gate", daemon=True
        )
        self._thread.start()

    def enter(self, request, gone):
        """Wait until the request may be sent; return its decision id.

        Parameters
        ----------
        request : Request
            A request whose deadline is set.
        gone : callable
            Returns whether the caller has disconnected; its queued request is then
            withdrawn.

        Raises
        ------
        TamarackhavenError
            The kind that the gate refused it with, or CALLER_GONE; it did not run.
        """
        # Callers choose request ids, possibly the same one twice; the gate needs unique
        # ids.
        decision_id = f"{request.decision_id}.{next(self._request_numbers)}"
        offer = Offer(decision_id, request.key_hash, request.caller, request.deadline_s)
        future = Future()
        with self._changed:
            self._future_by_id[decision_id] = future
            self._resolve_futures([self._gate.offer(offer, self._clock.boot_s())])
        decision = self._wait_for_decision(decision_id, future, gone)
        if isinstance(decision, Refuse):
            raise TamarackhavenError(decision.kind, "", decision.retry_after_s)
        return decision_id

    def leave(self, decision_id, end, latency_s):
        """Report to the gate how an admitted request ended, and after how long."""
        with self._changed:
            finish = Finish(decision_id, end, latency_s)
            self._resolve_futures(self._gate.finish(finish, self._clock.boot_s()))

    def report(self, report):
        """Pass a load report of the target to the gate."""
        with self._changed:
            self._gate.report(report, self._clock.boot_s())
            self._resolve_futures(self._gate.tick(self._clock.boot_s()))

    def stop(self, kind):
        """Refuse queued and new requests with ``kind``; running ones continue."""
        with self._changed:
            self._resolve_futures(self._gate.stop(kind))

    def open(self, cold):
        """Admit requests again; ``cold`` says whether the target has just started."""
        with self._changed:
            self._gate.open(self._clock.boot_s(), cold)

    def close(self):
        """Stop the gate's thread and wait for its end."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join()

    def gauges(self):
        """Return the gate's running, waiting, limit and cold values by name."""
        with self._changed:
            return {
                "running": self._gate.running,
                "waiting": self._gate.waiting,
                "limit": self._gate.limit,
                "cold": int(self._gate.cold),
            }

    def _wait_for_decision(self, decision_id, future, gone):
        while True:
            try:
                return future.result(CALLER_GONE_POLL_INTERVAL_S)
            except FutureTimeout:
                if gone():
                    return self._withdraw(decision_id, future)

    def _withdraw(self, decision_id, future):
        with self._changed:
            if future.done():
                return future.result()
            del self._future_by_id[decision_id]
            self._resolve_futures(
                self._gate.withdraw(decision_id, self._clock.boot_s())
            )
        return Refuse(decision_id, ErrorKind.CALLER_GONE, 0.0)

    def _resolve_futures(self, decisions):
        for decision in decisions:
            if isinstance(decision, Wait):
                continue
            assert isinstance(decision, Admit | Refuse)
            future = self._future_by_id.pop(decision.request_id, None)
            if future is not None:
                future.set_result(decision)
        # Only queued requests need the gate's thread; waking it for each admitted
        # request would cost two thread switches a request.
        if self._future_by_id:
            self._changed.notify()

    def _run_ticks(self):
        with self._changed:
            while not self._closed:
                now = self._clock.boot_s()
                due_s = self._gate.next_tick(now)
                if due_s <= now:
                    self._resolve_futures(self._gate.tick(now))
                    due_s = self._gate.next_tick(now)
                sleep_s = None if math.isinf(due_s) else max(0.001, due_s - now)
                self._changed.wait(min(sleep_s or _MAX_SLEEP_S, _MAX_SLEEP_S))
