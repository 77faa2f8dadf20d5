"""Takes each request through identification, location and serving or forwarding."""

import itertools
import threading
import traceback
import uuid

from tamarackhaven import _metrics
from tamarackhaven._answer import answer_error
from tamarackhaven._identify import identify, read_request_id
from tamarackhaven._locate import locate
from tamarackhaven._model import PolicyMode
from tamarackhaven._numbers import read_digits
from tamarackhaven._refusals import Refusal, RefusalRecord
from tamarackhaven._shared_route import locate_at_member, refuse_booking
from tamarackhaven._verify import is_owner
from tamarackhaven.errors import ErrorKind, TamarackhavenError

MAX_GRANT = (1 << 63) - 1

_TRACEBACK_LIMIT = -5  # negative: the innermost frames
_FORWARDED_HOPS = 1


class RequestPath:
    """Runs the filters of one daemon, in order, on each request.

    Parameters
    ----------
    view : View
        The shared state as this daemon knows it.
    exclusive : OwnerRoute
        For services whose keys have one owner.
    shared : SharedRoute
        For services where any target serves any key.
    status : callable
        Returns this daemon's ``DaemonStatus``.
    metrics : Metrics
        Counts answers and refusals.
    log : Log
        Log of the request path.
    clock : Clock
        Used to check deadlines and to date refusals.
    """

    def __init__(self, view, exclusive, shared, status, metrics, log, clock):
        self._view = view
        self._exclusive = exclusive
        self._shared = shared
        self._status = status
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self.refusals = RefusalRecord()
        self._id_prefix = uuid.uuid4().hex[:12]
        self._request_numbers = itertools.count(1)
        self._idle = threading.Condition()
        self._in_flight = 0

    @property
    def waiting(self):
        """Number of requests that wait for a newer grant of their keys."""
        return self._exclusive.waiting

    def from_caller(self, raw, gone):
        """Answer a request of a caller, serving or forwarding it."""
        return self._answer(raw, gone, self._route_caller)

    def from_peer(self, raw, gone):
        """Answer a request that another daemon forwarded; never forward it again."""
        return self._answer(raw, gone, self._route_peer)

    def wait_idle(self, timeout_s):
        """Wait until no request is in flight; return False after ``timeout_s``."""
        with self._idle:
            return self._idle.wait_for(lambda: not self._in_flight, timeout_s)

    def _answer(self, raw, gone, route):
        with self._idle:
            self._in_flight += 1
        try:
            return self._answer_request(raw, gone, route)
        finally:
            with self._idle:
                self._in_flight -= 1
                self._idle.notify_all()

    def _answer_request(self, raw, gone, route):
        request_id = ""
        decision_id = self._make_id()
        try:
            request_id = read_request_id(raw) or decision_id
            request = identify(raw, request_id, decision_id)
            if raw.overloaded:
                raise TamarackhavenError(ErrorKind.QUEUE_FULL, "All threads are busy.")
            answer = route(request, raw, gone)
        except TamarackhavenError as error:
            return self._answer_refusal(error, request_id, decision_id)
        except Exception as error:
            trace = traceback.format_exc(limit=_TRACEBACK_LIMIT)
            self._log.say("unexpected error", request_id, decision_id, trace=trace)
            internal = TamarackhavenError(ErrorKind.INTERNAL, type(error).__name__)
            return self._answer_refusal(internal, request_id, decision_id)
        self._metrics.count(_metrics.ANSWERS, status=answer.status)
        return answer

    def _answer_refusal(self, error, request_id, decision_id):
        self._metrics.count(_metrics.REFUSALS, kind=error.kind.name)
        self.refusals.add(
            Refusal(
                request_id,
                decision_id,
                self._clock.unix_s(),
                error.kind.value,
                error.kind.name,
                error.detail,
                self._view.version,
            )
        )
        sentence = f"request refused as {error.kind.name}"
        self._log.say(sentence, request_id, decision_id, detail=error.detail)
        return answer_error(error, request_id, error.answer.ran, decision_id)

    def _make_id(self):
        return f"{self._id_prefix}-{next(self._request_numbers)}"

    def _route_caller(self, request, raw, gone):
        if request.hops:
            raise TamarackhavenError(
                ErrorKind.FORWARD_LOOP,
                "A forwarded request arrived at the port for callers.",
            )
        request, located = self._locate(request)
        if located.mode is PolicyMode.SHARED:
            return self._shared.answer(request, located, gone)
        return self._exclusive.answer(request, located, gone)

    def _route_peer(self, request, raw, gone):
        if request.hops != _FORWARDED_HOPS:
            raise TamarackhavenError(
                ErrorKind.FORWARD_LOOP,
                f"The request has passed {request.hops} daemons.",
            )
        request, located = self._locate(request)
        if located.mode is PolicyMode.SHARED:
            located = self._locate_at_own_target(request, located)
        elif not is_owner(located, self._status()) and _forwarder_has_newer_grant(
            raw, located
        ):
            located = (
                self._exclusive.wait_for_newer_grant(request, located, gone) or located
            )
        return self._exclusive.serve(request, located, gone)

    def _locate_at_own_target(self, request, located):
        """Return ``located`` with this daemon's target as the one to serve at."""
        refuse_booking(request)
        status = self._status()
        member = self._view.member(status.service, status.target)
        if member is None or status.service != request.service:
            raise TamarackhavenError(
                ErrorKind.NOT_OWNER, "This daemon's target doesn't serve this service."
            )
        return locate_at_member(located, member)

    def _locate(self, request):
        request, located = locate(request, self._view)
        if request.deadline_s <= self._clock.boot_s():
            raise TamarackhavenError(ErrorKind.DEADLINE_PAST)
        return request, located


def _forwarder_has_newer_grant(raw, located):
    """Return whether the forwarding daemon's grant is newer than this daemon's."""
    value = raw.headers.get("tamarackhaven-epoch", "")
    number = read_digits(value, MAX_GRANT)
    return number is not None and number > located.grant.grant
