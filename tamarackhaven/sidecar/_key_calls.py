"""Carries out the calls by which a target is told its keys."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._called_holds import (
    CALL_TIMEOUT_S,
    MAX_OPEN_GRANTS,
    RELEASE_TIMEOUT_S,
    CalledHolds,
    OrderEnd,
    ReleaseOrder,
)
from tamarackhaven.sidecar._target_client import SendEnd, any_reply

# What is due without any event: renewals, and calls that failed.
POLL_INTERVAL_S = 0.1


class KeyCalls:
    """Makes the calls that ``CalledHolds`` says are due, side by side.

    Parameters
    ----------
    state : TargetState
        Of the target.
    client : TargetClient
        Its connections for requests; releases go over them, too.
    grants_client : TargetClient
        Connections that carry nothing but calls to hold keys.
    dialect : Dialect
        Writes calls and reads their answers.
    log : Log
        Of the part ``keys``.
    metrics : Metrics
        Of the process.
    on_held, on_released : callable
        Called once the target holds keys, and once it has let go of some.
    """

    def __init__(
        self, state, client, grants_client, dialect, log, metrics, on_held, on_released
    ):
        self._state = state
        self._client = client
        self._grants_client = grants_client
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._on_held = on_held
        self._on_released = on_released
        self._tasks = set()

    async def run(self):
        """Look for due calls until cancelled."""
        try:
            while True:
                self.kick()
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            for task in self._tasks:
                task.cancel()

    def heard(self):
        """Be ready to call the life that a heartbeat has just come from.

        Load: all slots of a target are busy, and so are the connections to it. Harm:
        a new owner gets no call through, as a fresh connection may lead to another
        life. Limit: connections of their own for as many calls as go side by side.
        """
        if isinstance(self._state.keys, CalledHolds):
            self._start(self._grants_client.keep(MAX_OPEN_GRANTS))

    def kick(self):
        """Make the calls that are due now."""
        keys = self._state.keys
        if not isinstance(keys, CalledHolds):
            return
        for order in keys.due(boot_s()):
            self._start(self._execute(keys, order))

    def _start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, keys, order):
        end, handover, detail = OrderEnd.UNANSWERED, "", ""
        try:
            end, handover, detail = await self._call(order)
        finally:
            now = boot_s()
            keys.ended(order, end, now, handover)
        kind = type(order).__name__
        self._metrics.count(
            "tamarackhaven_key_calls_total", call=kind, outcome=end.name
        )
        is_release = isinstance(order, ReleaseOrder)
        if is_release or end is not OrderEnd.DONE:
            self._log.say(
                "call ended",
                call=kind,
                end=end.name,
                life=self._state.life,
                first=order.first,
                last=order.last,
                fence=order.fence,
                after_s=round(now - order.made_s, 3),
                detail=detail,
            )
        if end is OrderEnd.DONE:
            if is_release:
                self._on_released()
            else:
                self._on_held()
            self.kick()

    async def _call(self, order):
        """Make one call; return its ``OrderEnd``, the handover and a detail."""
        beat = self._state.heartbeat
        name = beat.name if beat else ""
        call = self._dialect.order_call(order, name)
        is_release = isinstance(order, ReleaseOrder)
        request = call.method, call.target, call.headers, call.body
        if is_release:
            # A later life holds nothing of the former one: to let go does no harm.
            sending = self._client.send(*request, any_reply)
        else:
            sending = self._grants_client.send_to_life(*request, self._state.heard_s)
        timeout_s = RELEASE_TIMEOUT_S if is_release else CALL_TIMEOUT_S
        try:
            # Cancelled by the timeout, it closes its connection, so that nothing that
            # was not taken in by now still arrives.
            sent = await asyncio.wait_for(sending, timeout_s)
        except TimeoutError:
            return OrderEnd.UNANSWERED, "", "timeout"
        if sent.end is SendEnd.NOT_SENT:
            return OrderEnd.NOT_SENT, "", sent.detail
        if sent.end is SendEnd.UNANSWERED:
            return OrderEnd.UNANSWERED, "", sent.detail
        end, handover = self._dialect.order_end(order, sent.reply)
        return end, handover, f"status {sent.reply.status}"
