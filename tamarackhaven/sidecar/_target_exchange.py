"""Sends requests that the gate has started to the target, and reads its replies."""

import asyncio
import itertools

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind
from tamarackhaven.sidecar._dialect import Verdict
from tamarackhaven.sidecar._messages import Answered
from tamarackhaven.sidecar._target_client import SendEnd

# The target gets a deadline that is earlier by this time: what it answers at its own
# deadline then still arrives in time, and its connection stays usable.
TARGET_DEADLINE_MARGIN_S = 0.02
# A target has ended if it has refused this many connections over this time and has sent
# no heartbeat since the first one: nothing listens on its port.
MIN_REFUSED_CONNECTIONS = 3
MIN_REFUSING_TIME_S = 0.5


class TargetExchange:
    """Sends requests to the target and learns from its replies.

    Parameters
    ----------
    state : TargetState
        State of the target.
    dialect : Dialect
        Writes headers for the target and interprets its replies.
    client : TargetClient
        Connections to the target.
    load : callable
        ``load(route)`` returns the ``GateLoad`` for requests of a route.
    results : Results
        Builds the results of requests that got no answer.
    notices : TargetNotices
        Acts on what the target reports of itself.
    ends : TargetEnds
        Finds out whether the target has ended.
    metrics : Metrics
        Metrics of the process.

    Attributes
    ----------
    on_ended : callable
        Called when the target has ended.
    """

    def __init__(self, state, dialect, client, load, results, notices, ends, metrics):
        self._state = state
        self._dialect = dialect
        self.client = client
        self._load = load
        self._results = results
        self._notices = notices
        self._ends = ends
        self._metrics = metrics
        self._numbers = itertools.count()
        self._refused_since_s = None
        self._connection_refusals = 0
        client.on_stale_reply = self._record_stale_reply
        self.on_ended = lambda: None

    async def send(self, forward, body, deadline_s):
        """Send a request; return its ``Answered``, ``NotRun`` or ``Lost``.

        Parameters
        ----------
        forward : Forward
            The request.
        body : bytes
            Its whole body.
        deadline_s : float
            When it must be answered, in seconds of the boot clock.
        """
        left_s = deadline_s - boot_s() - TARGET_DEADLINE_MARGIN_S
        if left_s <= 0:
            return self._results.not_run(forward, ErrorKind.DEADLINE_PAST)
        name = self._state.heartbeat.name if self._state.heartbeat else ""
        headers = self._dialect.target_headers(forward, name, left_s * 1000)
        number = next(self._numbers)
        self._ends.begin(number, forward)
        try:
            return await self._exchange(forward, body, headers, left_s, number)
        finally:
            # Anything but an answer: its caller has left, or its time is over.
            self._ends.unanswered(number)

    async def _exchange(self, forward, body, headers, left_s, number):
        started_s = boot_s()
        try:
            sent = await asyncio.wait_for(
                self.client.send(
                    forward.method,
                    forward.target,
                    headers,
                    body,
                    forward.attempt_id,
                    self._dialect.read_attempt_id,
                ),
                left_s + TARGET_DEADLINE_MARGIN_S,
            )
        except TimeoutError:
            self._count_sent(forward)
            return self._results.lost(forward, ErrorKind.ANSWER_TIMEOUT, started_s)
        if sent.end is not SendEnd.UNANSWERED:
            self._ends.close(number)
        self._record_connection_refusal(sent)
        if sent.end is SendEnd.NOT_SENT:
            return self._results.not_run(
                forward, ErrorKind.TARGET_UNREACHABLE, detail=sent.detail
            )
        self._count_sent(forward)
        if sent.is_too_large:
            return self._results.lost(
                forward, ErrorKind.ANSWER_TOO_LARGE, started_s, sent.detail
            )
        if sent.end is SendEnd.UNANSWERED:
            has_ended = await self._ends.has_ended(forward.life)
            ended = forward.life if has_ended else ""
            return self._results.lost(
                forward,
                ErrorKind.TARGET_SENT_NOTHING,
                started_s,
                sent.detail,
                ended,
            )
        return self._result_from_reply(forward, sent.reply, started_s)

    def _record_stale_reply(self, reply, attempt_id):
        answered_id = self._dialect.read_attempt_id(reply)
        self._results.stale_reply(attempt_id, answered_id, reply.status)

    def _count_sent(self, forward):
        self._metrics.count("tamarackhaven_gate_sent_total", service=forward.service)

    def _result_from_reply(self, forward, reply, started_s):
        verdict = self._dialect.classify_reply(reply, forward.attempt_id)
        if verdict in (Verdict.ANSWERED, Verdict.REFUSED):
            self._notices.apply_reply(forward, reply, started_s)
        if verdict is Verdict.ANSWERED:
            self._metrics.observe(
                boot_s() - started_s, service=forward.service, part="target"
            )
            return Answered(
                forward.number,
                reply.status,
                reply.headers,
                reply.body,
                self._load(forward.route),
                worked_ms=round((boot_s() - started_s) * 1000, 1),
            )
        if verdict is Verdict.REFUSED:
            return self._results.not_run(
                forward, ErrorKind.TARGET_REFUSED, offered=True
            )
        if verdict is Verdict.NOT_HERE:
            return self._results.not_run(forward, ErrorKind.NOT_OWNER, offered=True)
        detail = f"status {reply.status}"
        return self._results.lost(forward, ErrorKind.ANSWER_MISMATCH, started_s, detail)

    def _record_connection_refusal(self, sent):
        """Detect that the target has ended, before its lease expires."""
        if not sent.is_refused:
            self._refused_since_s = None
            self._connection_refusals = 0
            return
        now = boot_s()
        if self._refused_since_s is None:
            self._refused_since_s = now
        self._connection_refusals += 1
        is_long_enough = now - self._refused_since_s >= MIN_REFUSING_TIME_S
        has_no_heartbeat = self._state.heartbeat_received_s < self._refused_since_s
        if (
            is_long_enough
            and has_no_heartbeat
            and self._connection_refusals >= MIN_REFUSED_CONNECTIONS
        ):
            self._ends.life_ended(self._state.life, "refused connections")
            self._state.end()
            self._refused_since_s = None
            self.on_ended()
