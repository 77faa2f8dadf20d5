"""Routes callers' requests to a service and a target, and retries after a refusal."""

import asyncio
import random

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind, Ran, TamarackhavenError
from tamarackhaven.fleet._suspects import MAX_ENDS
from tamarackhaven.net import HttpResponse
from tamarackhaven.routing import Splitter
from tamarackhaven.sidecar._choice import Chooser
from tamarackhaven.sidecar._final_refusals import (
    UNKNOWN_STATE_RETRY_S,
    confirmed_refusal,
)
from tamarackhaven.sidecar._messages import Answered, NotRun, WaitQuery
from tamarackhaven.sidecar._notice_memory import NoticeMemory
from tamarackhaven.sidecar._offers import Ask, Offers
from tamarackhaven.sidecar._permits import SUSPECT_RETRY_S
from tamarackhaven.sidecar._retries import Retries
from tamarackhaven.sidecar._sender import PendingRequest, RequestSender

# The answer to a caller is sent this long before the caller's deadline.
ANSWER_MARGIN_S = 0.015
# Keys whose owner is lost have no owner until its lease expires, and callers would wait
# for an answer that can't come. They wait for this fraction of the time left: a move of
# keys takes about a heartbeat, which fits; replacing a lost VM doesn't.
OWNER_WAIT_FRACTION = 0.5
OWNER_RETRY_S = 0.5
# In a rolling restart each daemon is away for about a second. Callers for its target's
# keys would time out just before it is back, and their retries would come too late. An
# announced restart is over soon, so they wait for this larger fraction of the time
# left.
RESTART_WAIT_FRACTION = 0.7
# A request that was refused because its key is moving is sent again after this time, or
# when the view changes.
OWNER_POLL_INTERVAL_S = 0.1
# A request to a shared service is refused after this many refusals that didn't count
# against its attempts; busy replies to requests that may not wait don't count.
MAX_REFUSALS = 3
# Kinds of refusals after which another target may have capacity for the request.
_NO_CAPACITY_KINDS = frozenset(
    {
        ErrorKind.QUEUE_FULL.name,
        ErrorKind.TARGET_COLD.name,
        ErrorKind.TARGET_LIMITED.name,
    }
)
# Kinds that callers must not get, each with its replacement: they refer to single
# targets, and the caller may send the request again.
_CALLER_KIND_BY_KIND = {
    ErrorKind.NOT_OWNER: ErrorKind.MOVING,
    ErrorKind.DEADLINE_PAST: ErrorKind.QUEUE_TIMEOUT,
}


class Callers:
    """Handles the requests of callers on this daemon's VM.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    view : View
        Configuration, owners of keys and targets, as received from the control group.
    state : TargetState
        State of the target beside this daemon.
    dialect : Dialect
        Reads and writes the headers of callers.
    runs : Runs
        Runs requests at the target beside this daemon.
    peers : Peers
        Links to other daemons.
    suspects : KnownSuspects
        Learns under which requests targets have ended.
    permits : Permits
        Permits to send these requests on.
    log : Log
        Log of the part ``caller``.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(
        self,
        settings,
        view,
        state,
        dialect,
        runs,
        peers,
        suspects,
        permits,
        log,
        metrics,
    ):
        self._view = view
        self._state = state
        self._dialect = dialect
        self._runs = runs
        self._peers = peers
        self._suspects = suspects
        self._permits = permits
        self._log = log
        self._metrics = metrics
        self._splitter = Splitter()
        self._chooser = Chooser(
            settings.zone, random.random, lambda life: life == state.life
        )
        self._retries = Retries(settings, view, log, metrics)
        self._notices = NoticeMemory(settings.drain_s)
        self._sender = RequestSender(
            settings,
            state,
            dialect,
            runs,
            peers,
            self._chooser,
            self._notices,
            suspects,
            log,
        )
        self.is_closing = False

    async def handle(self, request):
        """Return the ``HttpResponse`` to an ``HttpRequest``."""
        pending = None
        try:
            pending = await self._parse(request)
            answer = await self._serve(pending)
        except TamarackhavenError as found:
            error = self.confirmed_refusal(found)
            self._record_refusal(request, pending, error)
            return self._dialect.refusal(error)
        self._metrics.count("tamarackhaven_answers_total", status=answer.status)
        self._metrics.observe(
            boot_s() - request.arrived_s, service=pending.spec.name, part="whole"
        )
        return HttpResponse(answer.status, answer.headers, answer.body)

    def confirmed_refusal(self, error):
        """Return the error to send for one found by the configuration in force."""
        return confirmed_refusal(error, self._view.is_confirmed(boot_s()))

    def _record_refusal(self, request, pending, error):
        """Count and log a refusal; ``pending`` is None if no route was chosen."""
        self._metrics.count("tamarackhaven_refusals_total", kind=error.kind.name)
        self._log.say(
            "refused",
            request_id=pending.request.attempt_id if pending else "",
            request=pending.request.digest.hex() if pending else "",
            kind=error.kind.name,
            detail=error.detail,
            service=pending.spec.name if pending else "",
            route=pending.route.name if pending else "",
            retry_after_s=round(error.retry_after_s, 3),
            after_s=round(boot_s() - request.arrived_s, 3),
            state_index=self._view.state_index,
            **self._view.configuration_stamp(boot_s()).log_fields(),
        )

    async def _parse(self, request):
        """Return the ``PendingRequest`` for an ``HttpRequest``.

        Raises
        ------
        TamarackhavenError
            DRAINING, BAD_HEADER, STATE_STALE, UNKNOWN_SERVICE or MISSING_KEY.
        """
        if self.is_closing:
            raise TamarackhavenError(ErrorKind.DRAINING, "", UNKNOWN_STATE_RETRY_S)
        caller_request = self._dialect.read_request(request)
        table = await self._wait_for_table(request, caller_request)
        route = table.find(caller_request.host, request.path)
        if route is None:
            raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, request.path)
        spec = table.service_by_name[self._splitter.pick(route)]
        if spec.sharded and caller_request.key is None:
            raise TamarackhavenError(ErrorKind.MISSING_KEY, spec.name)
        left_s = route.timeout_s
        if caller_request.deadline_ms is not None:
            left_s = min(left_s, caller_request.deadline_ms / 1000)
        deadline_s = request.arrived_s + left_s - ANSWER_MARGIN_S
        objective_s = request.arrived_s + route.objective_s
        return PendingRequest(
            caller_request,
            route,
            spec,
            request.arrived_s,
            deadline_s,
            objective_s,
            self._view.configuration_stamp(boot_s()),
        )

    async def _wait_for_table(self, request, caller_request):
        """Return the ``RouteTable``; wait for the first one.

        When all daemons start at once, each needs some tenths of a second to receive
        the configuration. Refusing every caller meanwhile would fail those that don't
        retry, so a request waits for up to half of its caller's time, or for 0.3 s if
        the caller names no deadline.

        Raises
        ------
        TamarackhavenError
            STATE_STALE if no configuration arrives in that time.
        """
        wait_s = UNKNOWN_STATE_RETRY_S
        if caller_request.deadline_ms is not None:
            wait_s = OWNER_WAIT_FRACTION * caller_request.deadline_ms / 1000
        wait_until_s = request.arrived_s + wait_s
        while self._view.table is None:
            if boot_s() >= wait_until_s:
                raise TamarackhavenError(
                    ErrorKind.STATE_STALE,
                    "no configuration received yet",
                    UNKNOWN_STATE_RETRY_S,
                )
            await self._view.changed(wait_until_s - boot_s())
        return self._view.table

    async def _serve(self, pending):
        """Run a request at a target; return its ``Answered``.

        Raises
        ------
        TamarackhavenError
            The kind of the last refusal or loss; that of a loss if there was any.
        """
        self._retries.count_request(pending.spec.name)
        try:
            if pending.spec.sharded:
                return await self._serve_sharded(pending)
            return await self._serve_shared(pending)
        except TamarackhavenError as error:
            return _failed_or_raise(pending, error)
        finally:
            self._release_permit(pending)

    # Suspects.

    async def _require_permit(self, pending):
        """Wait for a permit if the request is a suspect and has none.

        Raises
        ------
        TamarackhavenError
            REQUEST_QUARANTINED or REQUEST_SUSPECT.
        """
        if pending.has_permit:
            self._permits.check(pending.request.digest)
        else:
            pending.has_permit = await self._permits.acquire(pending)

    def _release_permit(self, pending):
        """Give the permit back; it's for one run."""
        if pending.has_permit:
            pending.has_permit = False
            self._permits.release(pending.request.digest)

    async def _send(self, pending, target, waits=True):
        """Send the request to ``target``; return its result.

        Raises
        ------
        TamarackhavenError
            REQUEST_QUARANTINED.
        """
        result = await self._sender.send(pending, target, waits)
        if not isinstance(result, NotRun) or result.was_offered:
            self._release_permit(pending)
        elif result.kind == ErrorKind.REQUEST_QUARANTINED.name:
            raise _error_for(result)
        elif _lacks_permit(pending, result):
            self._permits.note_suspect(pending.request.digest)
        return result

    # Sharded services.

    async def _serve_sharded(self, pending):
        """Run a request at the owner of its key; wait for an owner if it has none."""
        now = boot_s()
        left_s = pending.deadline_s - now
        wait_until_s = now + OWNER_WAIT_FRACTION * left_s
        kind = ErrorKind.NO_OWNER
        while True:
            target = self._view.owner(pending.spec.name, pending.request.key)
            if target is not None and not self._accepts_new(target, True):
                kind = ErrorKind.DRAINING
            elif target is not None:
                await self._require_permit(pending)
                result = await self._send(pending, target)
                if isinstance(result, Answered):
                    return result
                kind = ErrorKind[result.kind]
                if not isinstance(result, NotRun) or result.was_offered:
                    if not self._retries.may_retry(pending, result):
                        raise _error_for(result)
                elif result.kind in _NO_CAPACITY_KINDS:
                    raise _error_for(result)
                if self._peers.is_restarting((target.host, target.port)):
                    wait_until_s = now + RESTART_WAIT_FRACTION * left_s
            if boot_s() >= wait_until_s:
                raise TamarackhavenError(
                    _kind_for_caller(kind), f"key {pending.request.key}", OWNER_RETRY_S
                )
            await self._view.changed(
                min(OWNER_POLL_INTERVAL_S, wait_until_s - boot_s())
            )

    def _accepts_new(self, target, is_sharded):
        """Whether a target hasn't told this daemon's callers that it leaves."""
        return self._notices.accepts_new(target.life, is_sharded, boot_s())

    # Shared services.

    async def _serve_shared(self, pending):
        """Run a request at one of the targets of a shared service."""
        offers = Offers(self._chooser, pending.route.name, len(pending.request.body))
        refusals = 0
        result = None
        while True:
            await self._require_permit(pending)
            send = await self._next_send(pending, offers)
            if send is None:
                return _answer_or_raise(result)
            target = send.target
            result = await self._send(pending, target, send.waits)
            if (
                not send.waits
                and isinstance(result, NotRun)
                and result.kind in _NO_CAPACITY_KINDS
            ):
                offers.busy(target, result.retry_after_s)
                continue
            if _lacks_permit(pending, result):
                continue
            offers.close(target)
            if isinstance(result, Answered) and result.status < 500:
                return result
            if not isinstance(result, NotRun) or result.was_offered:
                if not self._retries.may_retry(pending, result):
                    return _answer_or_raise(result)
                continue
            refusals += 1
            if result.kind in _NO_CAPACITY_KINDS:
                self._chooser.pause(target.life, result.retry_after_s, boot_s())
            if refusals >= MAX_REFUSALS:
                return _answer_or_raise(result)

    async def _next_send(self, pending, offers):
        """Return the next ``Send`` of a request, None if no target is left.

        Raises
        ------
        TamarackhavenError
            NO_OWNER if the service has no target at all.
        """
        wait_until_s = min(boot_s() + UNKNOWN_STATE_RETRY_S, pending.deadline_s)
        while True:
            targets = [
                target
                for target in self._view.available_targets(pending.spec.name)
                if self._accepts_new(target, False)
                and not self._peers.is_leaving((target.host, target.port))
            ]
            self._spare_last_target(pending, targets)
            step = offers.next(targets, boot_s())
            if isinstance(step, Ask):
                await self._query_waits(pending, offers, step.targets)
            elif step is not None or offers.has_closed:
                return step
            elif boot_s() > wait_until_s:
                raise TamarackhavenError(
                    ErrorKind.NO_OWNER,
                    f"no target of {pending.spec.name} accepts requests",
                    OWNER_RETRY_S,
                )
            else:
                await self._view.changed(OWNER_POLL_INTERVAL_S)

    def _spare_last_target(self, pending, targets):
        """Don't send a request that several targets ended under to the last one.

        Raises
        ------
        TamarackhavenError
            REQUEST_SUSPECT.
        """
        digest = pending.request.digest
        if len(targets) > 1 or not pending.has_permit:
            return
        if self._suspects.end_count(digest, boot_s()) >= MAX_ENDS - 1:
            raise TamarackhavenError(
                ErrorKind.REQUEST_SUSPECT, digest.hex(), SUSPECT_RETRY_S
            )

    async def _query_waits(self, pending, offers, targets):
        """Query the expected waits at targets concurrently; skip those without one."""
        objective_ms = (pending.objective_s - boot_s()) * 1000
        query = WaitQuery(
            0,
            pending.route.name,
            pending.route.priority,
            objective_ms,
            len(pending.request.body),
        )
        waits_s = await asyncio.gather(
            *(self._expected_wait_s(each, query) for each in targets)
        )
        for target, wait_s in zip(targets, waits_s, strict=True):
            if wait_s is not None:
                offers.busy(target, wait_s)

    async def _expected_wait_s(self, target, query):
        if target.life == self._state.life:
            return self._runs.expected_wait_s(attrs.evolve(query, body_bytes=0))
        return await self._peers.query_wait((target.host, target.port), query)


def _lacks_permit(pending, result):
    """Whether a target's daemon knows a suspect that this daemon doesn't know yet."""
    is_suspect = (
        isinstance(result, NotRun) and result.kind == ErrorKind.REQUEST_SUSPECT.name
    )
    return is_suspect and not pending.has_permit


def _error_for(result):
    """Return the error for the caller of a request that wasn't answered."""
    return TamarackhavenError(
        _kind_for_caller(ErrorKind[result.kind]),
        "",
        getattr(result, "retry_after_s", 0.0) or OWNER_RETRY_S,
    )


def _answer_or_raise(result):
    """Return the result if it's an ``Answered``, else raise the error for it."""
    if isinstance(result, Answered):
        return result
    raise _error_for(result)


def _failed_or_raise(pending, error):
    """Return a target's error answer to an earlier send, else raise an error.

    A refusal of the last send says only that this send did not run. The caller of a
    request that may have run before must not be told that it did not.
    """
    if pending.failed is not None:
        return pending.failed
    if pending.lost is not None and error.answer.ran is Ran.NO:
        raise _error_for(pending.lost) from error
    raise error


def _kind_for_caller(kind):
    """Return the kind to put into the answer to a caller."""
    return _CALLER_KIND_BY_KIND.get(kind, kind)
