"""Routes callers' requests to a service and a target, and retries after a refusal."""

import asyncio
import itertools
import random

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.net import HttpResponse
from tamarackhaven.routing import RequestKind, Splitter
from tamarackhaven.sidecar._budget import RepeatBudget
from tamarackhaven.sidecar._choice import Chooser, has_failed
from tamarackhaven.sidecar._messages import (
    Answered,
    Forward,
    GateLoad,
    NotRun,
    WaitQuery,
)
from tamarackhaven.sidecar._offers import Ask, Offers

# The answer to a caller is sent this long before the caller's deadline.
ANSWER_MARGIN_S = 0.015
# A daemon without a configuration, or without a target of a service, usually receives
# one within this time. It's also the retry time that refused callers are given.
UNKNOWN_RETRY_S = 0.3
# Keys whose owner is lost have no owner until its lease expires, and callers would wait
# for an answer that can't come. They wait for this fraction of the time left: a move of
# keys takes about a heartbeat, which fits; replacing a lost VM doesn't.
OWNER_PATIENCE = 0.5
OWNER_RETRY_S = 0.5
# In a rolling restart each daemon is away for about a second. Callers for its target's
# keys would time out just before it is back, and their retries would come too late. An
# announced restart is over soon, so they wait for this larger fraction of the time
# left.
RESTART_PATIENCE = 0.7
# A request that was refused because its key is moving is sent again after this time, or
# when the view changes.
OWNER_POLL_S = 0.1
# A request is retried only if this fraction of its objective is left until its
# deadline: less than half of all requests are answered in a shorter time.
REPEAT_LEFT_PART = 0.3
# A request to a shared service is refused after this many targets have refused it.
MOST_REFUSALS = 3
# Kinds of refusals after which another target may have capacity for the request.
_FULL = frozenset({ErrorKind.QUEUE_FULL.name, ErrorKind.TARGET_COLD.name})
# Kinds of refusals that mean that the target or its daemon is unreachable for now.
_AWAY = frozenset({ErrorKind.OWNER_UNREACHABLE.name, ErrorKind.TARGET_UNREACHABLE.name})
# Kinds that are internal to the fleet, each with the kind that callers get instead.
_KIND_FOR_CALLERS = {
    ErrorKind.NOT_OWNER: ErrorKind.MOVING,
    ErrorKind.DEADLINE_PAST: ErrorKind.QUEUE_TIMEOUT,
}


@attrs.define
class _Asked:
    """A caller's request that hasn't been answered yet.

    Parameters
    ----------
    request : CallerRequest
        As the caller sent it.
    route, spec : Route, ServiceSpec
        Its route, and the service that was picked from it.
    arrived_s, deadline_s, objective_s : float
        When it arrived, when it must be answered, and until when its answer is in time,
        in seconds of the boot clock.
    sends : int
        How many times a target has received it.
    unsent_bytes : int
        Bytes queued on this daemon's links when it was last sent to a peer.
    """

    request: object
    route: object
    spec: object
    arrived_s: float
    deadline_s: float
    objective_s: float
    sends: int = 0
    unsent_bytes: int = 0

    @property
    def is_safe(self):
        """Whether it may run more than once."""
        return self.route.kind is RequestKind.SAFE


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
    log : Log
        Log of the part ``caller``.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, settings, view, state, dialect, runs, peers, log, metrics):
        self._settings = settings
        self._view = view
        self._state = state
        self._dialect = dialect
        self._runs = runs
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._splitter = Splitter()
        self._chooser = Chooser(
            settings.zone, random.random, lambda life: life == state.life
        )
        self._budget_by_service = {}
        self._numbers = itertools.count(1)
        self.is_closing = False

    async def handle(self, request):
        """Return the ``HttpResponse`` to an ``HttpRequest``."""
        attempt_id = ""
        service = ""
        route = ""
        try:
            asked = await self._read(request)
            attempt_id = asked.request.attempt_id
            service = asked.spec.name
            route = asked.route.name
            answer = await self._serve(asked)
        except TamarackhavenError as error:
            self._note_refusal(request, attempt_id, service, route, error)
            return self._dialect.refusal(error)
        self._metrics.count("tamarackhaven_answers_total", status=answer.status)
        self._metrics.observe(
            boot_s() - request.arrived_s, service=service, part="whole"
        )
        return HttpResponse(answer.status, answer.headers, answer.body)

    def _note_refusal(self, request, attempt_id, service, route, error):
        self._metrics.count("tamarackhaven_refusals_total", kind=error.kind.name)
        self._log.say(
            "refused",
            request_id=attempt_id,
            kind=error.kind.name,
            detail=error.detail,
            service=service,
            route=route,
            retry_after_s=round(error.retry_after_s, 3),
            after_s=round(boot_s() - request.arrived_s, 3),
            configuration=self._version(),
            state_index=self._view.state_index,
        )

    def _version(self):
        table = self._view.table
        return table.configuration.version if table else 0

    async def _read(self, request):
        """Return the ``_PendingRequest`` for an ``HttpRequest``.

        Raises
        ------
        TamarackhavenError
            DRAINING, BAD_HEADER, STATE_STALE, UNKNOWN_SERVICE or MISSING_KEY.
        """
        if self.is_closing:
            raise TamarackhavenError(ErrorKind.DRAINING, "", UNKNOWN_RETRY_S)
        caller = self._dialect.read_request(request)
        table = await self._table(request, caller)
        route = table.find(caller.host, request.path)
        if route is None:
            raise self._no_route(request.path)
        spec = table.service_by_name[self._splitter.pick(route)]
        if spec.sharded and caller.key is None:
            raise TamarackhavenError(ErrorKind.MISSING_KEY, spec.name)
        left_s = route.timeout_s
        if caller.deadline_ms is not None:
            left_s = min(left_s, caller.deadline_ms / 1000)
        deadline_s = request.arrived_s + left_s - ANSWER_MARGIN_S
        objective_s = request.arrived_s + route.objective_s
        return _Asked(caller, route, spec, request.arrived_s, deadline_s, objective_s)

    def _no_route(self, path):
        """Return the error for a path without a route.

        If a new route is accepted while this daemon's link to the leader is congested,
        UNKNOWN_SERVICE would make the caller stop trying. A daemon whose view isn't
        confirmed returns STATE_STALE instead, after which the caller retries.
        """
        if self._view.is_confirmed(boot_s()):
            return TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, path)
        return TamarackhavenError(
            ErrorKind.STATE_STALE,
            f"no route to {path}, and no word from the leader of late",
            UNKNOWN_RETRY_S,
        )

    async def _table(self, request, caller):
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
        time_s = UNKNOWN_RETRY_S
        if caller.deadline_ms is not None:
            time_s = OWNER_PATIENCE * caller.deadline_ms / 1000
        patience_s = request.arrived_s + time_s
        while self._view.table is None:
            if boot_s() >= patience_s:
                raise TamarackhavenError(
                    ErrorKind.STATE_STALE,
                    "no configuration is known yet",
                    UNKNOWN_RETRY_S,
                )
            await self._view.changed(patience_s - boot_s())
        return self._view.table

    async def _serve(self, asked):
        """Run a request at a target; return its ``Answered``.

        Raises
        ------
        TamarackhavenError
            The kind of the last refusal or loss.
        """
        self._budget(asked.spec.name).request(boot_s())
        if asked.spec.sharded:
            return await self._serve_owned(asked)
        return await self._serve_shared(asked)

    def _budget(self, service):
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(self._settings.budget)
            self._budget_by_service[service] = budget
        return budget

    # Sharded services.

    async def _serve_owned(self, asked):
        """Run a request at the owner of its key; wait for an owner if it has none."""
        now = boot_s()
        left_s = asked.deadline_s - now
        patience_s = now + OWNER_PATIENCE * left_s
        kind = ErrorKind.NO_OWNER
        while True:
            target = self._view.owner(asked.spec.name, asked.request.key)
            if target is not None:
                end = await self._forward(asked, target)
                if isinstance(end, Answered):
                    return end
                kind = ErrorKind[end.kind]
                if not isinstance(end, NotRun) or end.was_offered:
                    if not self._may_repeat(asked, end):
                        raise _error(end)
                elif end.kind in _FULL:
                    raise _error(end)
                if self._peers.is_restarting((target.host, target.port)):
                    patience_s = now + RESTART_PATIENCE * left_s
            if boot_s() >= patience_s:
                raise TamarackhavenError(
                    _for_caller(kind), f"key {asked.request.key}", OWNER_RETRY_S
                )
            await self._view.changed(min(OWNER_POLL_S, patience_s - boot_s()))

    # Shared services.

    async def _serve_shared(self, asked):
        """Run a request at one of the targets of a shared service."""
        offers = Offers(self._chooser, asked.route.name, len(asked.request.body))
        refusals = 0
        failed = None
        end = None
        while True:
            send = await self._next_send(asked, offers)
            if send is None:
                return _failed_or_error(failed, end)
            target = send.target
            end = await self._forward(asked, target, send.waits)
            if not send.waits and isinstance(end, NotRun) and end.kind in _FULL:
                offers.busy(target, end.retry_after_s)
                continue
            offers.close(target)
            if isinstance(end, Answered):
                if end.status < 500:
                    return end
                failed = end
            if not isinstance(end, NotRun) or end.was_offered:
                if not self._may_repeat(asked, end):
                    return _failed_or_error(failed, end)
                continue
            refusals += 1
            if end.kind in _FULL:
                self._chooser.pause(target.life, end.retry_after_s, boot_s())
            if refusals >= MOST_REFUSALS:
                return _failed_or_error(failed, end)

    async def _next_send(self, asked, offers):
        """Return the next ``Send`` of a request, None if no target is left.

        Raises
        ------
        TamarackhavenError
            NO_OWNER if the service has no target at all.
        """
        waits_until_s = min(boot_s() + UNKNOWN_RETRY_S, asked.deadline_s)
        while True:
            targets = [
                target
                for target in self._view.choices(asked.spec.name)
                if not self._peers.is_leaving((target.host, target.port))
            ]
            step = offers.next(targets, boot_s())
            if isinstance(step, Ask):
                await self._ask(asked, offers, step.targets)
            elif step is not None or offers.has_closed:
                return step
            elif boot_s() > waits_until_s:
                raise TamarackhavenError(
                    ErrorKind.NO_OWNER,
                    f"no target of {asked.spec.name} takes requests",
                    OWNER_RETRY_S,
                )
            else:
                await self._view.changed(OWNER_POLL_S)

    async def _ask(self, asked, offers, targets):
        """Query the expected waits at targets concurrently; skip those without one."""
        objective_ms = (asked.objective_s - boot_s()) * 1000
        query = WaitQuery(
            0,
            asked.route.name,
            asked.route.priority,
            objective_ms,
            len(asked.request.body),
        )
        waits_s = await asyncio.gather(
            *(self._wait_at(each, query) for each in targets)
        )
        for target, wait_s in zip(targets, waits_s, strict=True):
            if wait_s is not None:
                offers.busy(target, wait_s)

    async def _wait_at(self, target, query):
        if target.life == self._state.life:
            return self._runs.expected_wait_s(attrs.evolve(query, body_bytes=0))
        return await self._peers.ask((target.host, target.port), query)

    def _may_repeat(self, asked, end):
        """Whether a request that a target has received may be sent again.

        When many requests fail at once, their retries add to the load that made them
        fail. Retries are limited by the route's ``max_attempts``, by a budget that is
        shared out among the daemons, and by the time left for an answer.
        """
        if not asked.is_safe and not isinstance(end, NotRun):
            return False
        if asked.sends >= asked.route.max_attempts:
            return False
        # A retry that can't be answered in time would only add load.
        least_s = REPEAT_LEFT_PART * asked.route.objective_s
        if boot_s() + least_s >= asked.deadline_s:
            return False
        allowed = self._budget(asked.spec.name).take(
            self._view.daemon_count(), boot_s()
        )
        reason = getattr(end, "kind", "STATUS")
        self._metrics.count(
            "tamarackhaven_retries_total"
            if allowed
            else "tamarackhaven_retries_refused_total",
            reason=reason,
        )
        self._log.say(
            "sent again" if allowed else "not sent again: budget",
            request_id=asked.request.attempt_id,
            reason=reason,
            sends=asked.sends,
        )
        return allowed

    # A single attempt.

    async def _forward(self, asked, target, waits=True):
        """Send the request to ``target``.

        Return its ``Answered``, ``NotRun`` or ``Lost``.
        """
        now = boot_s()
        if now >= asked.deadline_s:
            return NotRun(0, ErrorKind.QUEUE_TIMEOUT.name, OWNER_RETRY_S)
        forward = self._make_forward(asked, target, now, waits)
        self._chooser.sent(target.life)
        end = None
        try:
            if target.life == self._state.life:
                end = await self._runs.run(("", forward.number), forward)
            else:
                end = await self._at_peer(asked, target, forward)
        finally:
            self._note_end(asked, target, end)
        return end

    async def _at_peer(self, asked, target, forward):
        address = target.host, target.port
        asked.unsent_bytes = self._peers.unsent_bytes()
        return await self._peers.run(
            address, forward, asked.deadline_s, asked.objective_s
        )

    def _make_forward(self, asked, target, now, waits):
        request = asked.request
        return Forward(
            number=next(self._numbers),
            life=target.life,
            service=asked.spec.name,
            route=asked.route.name,
            key=request.key if asked.spec.sharded else -1,
            attempt_id=request.attempt_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            caller_service=self._settings.service,
            is_safe=asked.is_safe,
            priority=asked.route.priority,
            left_ms=(asked.deadline_s - now) * 1000,
            objective_ms=(asked.objective_s - now) * 1000,
            waits=waits,
        )

    def _note_end(self, asked, target, end):
        """Record the result of an attempt, None if the caller disconnected."""
        now = boot_s()
        if end is None:
            self._chooser.ended(target.life, asked.route.name, None, None, now)
            return
        is_away = end.kind in _AWAY if isinstance(end, NotRun) else False
        if isinstance(end, Answered) or not isinstance(end, NotRun) or end.was_offered:
            asked.sends += 1
        # A result that this daemon created itself, for example after a broken link,
        # doesn't include the target's load.
        load = end.load if end.load != GateLoad() else None
        self._chooser.ended(target.life, asked.route.name, load, has_failed(end), now)
        if is_away:
            self._chooser.unreachable(target.life, now)
        after_s = now - asked.arrived_s
        waited_s = getattr(end, "waited_ms", 0.0) / 1000
        worked_s = getattr(end, "worked_ms", 0.0) / 1000
        self._log.say(
            "ended",
            request_id=asked.request.attempt_id,
            route=asked.route.name,
            life=target.life,
            end=type(end).__name__,
            kind=getattr(end, "kind", str(getattr(end, "status", ""))),
            after_s=round(after_s, 3),
            objective_s=asked.route.objective_s,
            waited_s=round(waited_s, 3),
            worked_s=round(worked_s, 3),
            brought_s=round(getattr(end, "brought_ms", 0.0) / 1000, 3),
            between_s=round(after_s - waited_s - worked_s, 3),
            body_bytes=len(asked.request.body),
            unsent_bytes=asked.unsent_bytes,
            arriving_bytes=end.load.arriving_bytes,
            load=[end.load.running, end.load.waiting, end.load.slots],
        )


def _error(end):
    """Return the error for the caller of a request that wasn't answered."""
    return TamarackhavenError(
        _for_caller(ErrorKind[end.kind]),
        "",
        getattr(end, "retry_after_s", 0.0) or OWNER_RETRY_S,
    )


def _failed_or_error(failed, end):
    """Return the target's error answer to an earlier attempt, else raise an error."""
    if failed is None:
        raise _error(end)
    return failed


def _for_caller(kind):
    """Return the kind to put into the answer to a caller."""
    return _KIND_FOR_CALLERS.get(kind, kind)
