"""The way of a request: identify, locate, forward or serve, answer."""

import itertools
import threading
import traceback
import uuid

from tamarackhaven import _metrics
from tamarackhaven._answer import answer_error
from tamarackhaven._forward import MOVABLE
from tamarackhaven._identify import identify, read_request_id
from tamarackhaven._locate import locate
from tamarackhaven._verify import is_owner
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_OWNER_RETRY_S = 0.5
_WAIT_STEP_S = 0.01
_TRACE_LIMIT = -5
_FORWARDED_HOPS = 1


class RequestPath:
    """All filters of one daemon, in order.

    Parameters
    ----------
    settings : DaemonSettings
        For ``forward_wait_ms`` and ``threads``.
    view : View
        The state.
    owner : Owner
        Serves what this daemon's target owns.
    forwarder : Forwarder
        Hands on the rest.
    standing : callable
        Returns this daemon's ``Standing``.
    metrics : Metrics
        Counts answers and refusals.
    log : Log
        Of this part.
    clock : Clock
        Both clocks.
    """

    def __init__(self, settings, view, owner, forwarder, standing, metrics, log, clock):
        self._settings = settings
        self._view = view
        self._owner = owner
        self._forwarder = forwarder
        self._standing = standing
        self._metrics = metrics
        self._log = log
        self._clock = clock
        # A key without an owner makes all its callers wait. Were every thread to
        # wait, requests for all other keys would be late too, so half of them may.
        self._most_waiting = max(1, settings.threads // 2)
        self.waiting = 0
        self._id_prefix = uuid.uuid4().hex[:12]
        self._numbers = itertools.count(1)
        self._idle = threading.Condition()
        self._in_flight = 0

    def from_caller(self, raw, gone):
        """Answer a caller's request; serve or forward it."""
        return self._answer(raw, gone, self._route_caller)

    def from_peer(self, raw, gone):
        """Answer a request that another daemon forwarded; never forward it again."""
        return self._answer(raw, gone, self._route_peer)

    def wait_idle(self, timeout_s):
        """Return whether no request was in flight within ``timeout_s``."""
        with self._idle:
            return self._idle.wait_for(lambda: not self._in_flight, timeout_s)

    def _answer(self, raw, gone, route):
        with self._idle:
            self._in_flight += 1
        try:
            return self._answer_counted(raw, gone, route)
        finally:
            with self._idle:
                self._in_flight -= 1
                self._idle.notify_all()

    def _answer_counted(self, raw, gone, route):
        request_id = ""
        decision_id = self._make_id()
        try:
            request_id = read_request_id(raw) or decision_id
            request = identify(raw, request_id, decision_id)
            if raw.overloaded:
                raise TamarackhavenError(ErrorKind.QUEUE_FULL, "All threads are busy.")
            answer = route(request, raw, gone)
        except TamarackhavenError as error:
            return self._refused(error, request_id, decision_id)
        except Exception as error:
            trace = traceback.format_exc(limit=_TRACE_LIMIT)
            self._log.say("unexpected error", request_id, decision_id, trace=trace)
            internal = TamarackhavenError(ErrorKind.INTERNAL, type(error).__name__)
            return self._refused(internal, request_id, decision_id)
        self._metrics.count(_metrics.ANSWERS, status=answer.status)
        return answer

    def _refused(self, error, request_id, decision_id):
        self._metrics.count(_metrics.REFUSALS, kind=error.kind.name)
        sentence = f"request refused as {error.kind.name}"
        self._log.say(sentence, request_id, decision_id, detail=error.detail)
        return answer_error(error, request_id, error.answer.ran, decision_id)

    def _make_id(self):
        return f"{self._id_prefix}-{next(self._numbers)}"

    def _route_caller(self, request, raw, gone):
        if request.hops:
            raise TamarackhavenError(
                ErrorKind.FORWARD_LOOP, "A daemon forwarded to a port for callers."
            )
        request, located = self._locate(request)
        try:
            return self._once(request, located, gone)
        except TamarackhavenError as error:
            if error.kind not in MOVABLE:
                raise
            newer = self._newer(request, located, gone)
            if newer is None:
                raise
            self._metrics.count(_metrics.RETRIES, reason=error.kind.name)
        # It did not run, so one more try does no harm; a third would hold the caller
        # while two daemons disagree.
        return self._once(request, newer, gone)

    def _route_peer(self, request, raw, gone):
        if request.hops != _FORWARDED_HOPS:
            raise TamarackhavenError(
                ErrorKind.FORWARD_LOOP, f"It has passed {request.hops} daemons."
            )
        request, located = self._locate(request)
        if not is_owner(located, self._standing()) and _expects(raw, located):
            located = self._newer(request, located, gone) or located
        return self._timed(request, located, self._owner.serve, gone)

    def _locate(self, request):
        request, located = locate(request, self._view)
        if request.deadline_s <= self._clock.boot_s():
            raise TamarackhavenError(ErrorKind.DEADLINE_PAST)
        return request, located

    def _once(self, request, located, gone):
        if located.owner is None:
            detail = f"Shard {located.grant.shard}."
            raise TamarackhavenError(ErrorKind.NO_OWNER, detail, NO_OWNER_RETRY_S)
        if is_owner(located, self._standing()):
            return self._timed(request, located, self._owner.serve, gone)
        if located.owner.target == self._settings.target and (
            located.owner.service == self._settings.service
        ):
            raise TamarackhavenError(ErrorKind.FORWARD_LOOP)
        return self._timed(request, located, self._forwarder.forward, gone)

    def _timed(self, request, located, step, gone):
        """Run the step and record the latency under the target that answered."""
        answer = step(request, located, gone)
        seconds = self._clock.boot_s() - request.received_s
        target = located.grant.owner
        self._metrics.observe(seconds, service=request.service, target=target)
        return answer

    def _newer(self, request, located, gone):
        """Wait a bounded time for another grant of the key; None if none came."""
        with self._idle:
            if self.waiting >= self._most_waiting:
                return None
            self.waiting += 1
        try:
            return self._wait_for_newer(request, located, gone)
        finally:
            with self._idle:
                self.waiting -= 1

    def _wait_for_newer(self, request, located, gone):
        wait_s = self._settings.forward_wait_ms / 1000
        until_s = min(self._clock.boot_s() + wait_s, request.deadline_s)
        pause = threading.Event()
        while self._clock.boot_s() < until_s and not gone():
            newer = self._view.locate(request.service, request.key_hash)
            if newer.owner is not None and newer.grant.grant > located.grant.grant:
                return newer
            pause.wait(_WAIT_STEP_S)
        return None


def _expects(raw, located):
    """Return whether the forwarding daemon knew a newer grant than this one does."""
    value = raw.headers.get("tamarackhaven-epoch", "")
    return value.isdigit() and int(value) > located.grant.grant
