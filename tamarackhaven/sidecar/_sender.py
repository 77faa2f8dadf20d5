"""Sends a caller's request to a target, and records how each send ended."""

import itertools

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind
from tamarackhaven.routing import RequestKind
from tamarackhaven.sidecar._choice import has_failed
from tamarackhaven.sidecar._messages import Answered, Forward, GateLoad, Lost, NotRun

# Retry time of a request whose time has run out before it was sent.
EXPIRED_RETRY_S = 0.5
# Kinds of refusals that mean that the target or its daemon is unreachable for now.
_UNREACHABLE_KINDS = frozenset(
    {ErrorKind.OWNER_UNREACHABLE.name, ErrorKind.TARGET_UNREACHABLE.name}
)


@attrs.define
class PendingRequest:
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
    stamp : ConfigurationStamp
        The configuration by which route and service were chosen.
    sends : int
        How many times a target has received it.
    failed : Answered or None
        The newest answer of a target that ran it and failed.
    lost : Lost or None
        The newest result after which it's unknown whether it ran.
    has_permit : bool
        Whether it may be sent once although it's a suspect.
    unsent_bytes : int
        Bytes queued on this daemon's links when it was last sent to a peer.
    """

    request: object
    route: object
    spec: object
    arrived_s: float
    deadline_s: float
    objective_s: float
    stamp: object
    sends: int = 0
    failed: object = None
    lost: object = None
    has_permit: bool = False
    unsent_bytes: int = 0

    @property
    def is_safe(self):
        """Whether it may run more than once."""
        return self.route.kind is RequestKind.SAFE


class RequestSender:
    """Sends requests to targets, beside this daemon or another one.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    state : TargetState
        State of the target beside this daemon.
    dialect : Dialect
        Reads the headers of answers.
    runs : Runs
        Runs requests at the target beside this daemon.
    peers : Peers
        Links to other daemons.
    chooser : Chooser
        Learns from each result.
    notices : NoticeMemory
        Remembers what answers said of their targets.
    suspects : KnownSuspects
        Learns under which requests targets have ended.
    log : Log
        Log of the part ``caller``.
    """

    def __init__(
        self, settings, state, dialect, runs, peers, chooser, notices, suspects, log
    ):
        self._settings = settings
        self._state = state
        self._dialect = dialect
        self._runs = runs
        self._peers = peers
        self._chooser = chooser
        self._notices = notices
        self._suspects = suspects
        self._log = log
        self._forward_numbers = itertools.count(1)

    async def send(self, pending, target, waits=True):
        """Send the request to ``target``.

        Return its ``Answered``, ``NotRun`` or ``Lost``.
        """
        now = boot_s()
        if now >= pending.deadline_s:
            return NotRun(0, ErrorKind.QUEUE_TIMEOUT.name, EXPIRED_RETRY_S)
        forward = self._build_forward(pending, target, now, waits)
        self._chooser.record_sent(target.life)
        result = None
        try:
            if target.life == self._state.life:
                result = await self._runs.run(("", forward.number), forward)
            else:
                result = await self._send_to_peer(pending, target, forward)
        finally:
            self._record_result(pending, target, result)
        if isinstance(result, Answered):
            self._record_notice(pending, target, result, now)
        return result

    def _record_notice(self, pending, target, answered, sent_s):
        notice = self._dialect.read_notice(answered.headers)
        if self._notices.record(target.life, notice, sent_s, boot_s()):
            attempt_id = pending.request.attempt_id
            self._log.say("target leaves", request_id=attempt_id, life=target.life)

    async def _send_to_peer(self, pending, target, forward):
        address = target.host, target.port
        pending.unsent_bytes = self._peers.unsent_bytes()
        return await self._peers.run(
            address, forward, pending.deadline_s, pending.objective_s
        )

    def _build_forward(self, pending, target, now, waits):
        request = pending.request
        return Forward(
            number=next(self._forward_numbers),
            life=target.life,
            service=pending.spec.name,
            route=pending.route.name,
            key=request.key if pending.spec.sharded else -1,
            attempt_id=request.attempt_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            caller_service=self._settings.service,
            is_safe=pending.is_safe,
            priority=pending.route.priority,
            left_ms=(pending.deadline_s - now) * 1000,
            objective_ms=(pending.objective_s - now) * 1000,
            waits=waits,
            limit_per_s=self._notices.known_limit_per_s(target.life, now),
            digest=request.digest,
            has_permit=pending.has_permit,
        )

    def _record_result(self, pending, target, result):
        """Record the result of a send, None if the caller disconnected."""
        now = boot_s()
        if result is None:
            self._chooser.record_result(
                target.life, pending.route.name, None, None, now
            )
            return
        is_unreachable = (
            result.kind in _UNREACHABLE_KINDS if isinstance(result, NotRun) else False
        )
        if (
            isinstance(result, Answered)
            or not isinstance(result, NotRun)
            or result.was_offered
        ):
            pending.sends += 1
        if isinstance(result, Lost):
            pending.lost = result
            if result.ended:
                is_unreachable = True
                self._suspects.record_end(result.ended, (pending.request.digest,), now)
        elif isinstance(result, Answered):
            self._suspects.note_answer(pending.request.digest)
            if result.status >= 500:
                pending.failed = result
        # A result that this daemon created itself, for example after a broken link,
        # doesn't include the target's load.
        load = result.load if result.load != GateLoad() else None
        self._chooser.record_result(
            target.life, pending.route.name, load, has_failed(result), now
        )
        if is_unreachable:
            self._chooser.record_unreachable(target.life, now)
        after_s = now - pending.arrived_s
        waited_s = getattr(result, "waited_ms", 0.0) / 1000
        worked_s = getattr(result, "worked_ms", 0.0) / 1000
        self._log.say(
            "ended",
            permit=pending.has_permit,
            request_id=pending.request.attempt_id,
            request=pending.request.digest.hex(),
            route=pending.route.name,
            life=target.life,
            end=type(result).__name__,
            kind=getattr(result, "kind", str(getattr(result, "status", ""))),
            after_s=round(after_s, 3),
            objective_s=pending.route.objective_s,
            waited_s=round(waited_s, 3),
            worked_s=round(worked_s, 3),
            brought_s=round(getattr(result, "brought_ms", 0.0) / 1000, 3),
            between_s=round(after_s - waited_s - worked_s, 3),
            body_bytes=len(pending.request.body),
            unsent_bytes=pending.unsent_bytes,
            arriving_bytes=result.load.arriving_bytes,
            load=[result.load.running, result.load.waiting, result.load.slots],
            service=pending.spec.name,
            **pending.stamp.log_fields(),
        )
