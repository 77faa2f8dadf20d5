"""Makes the calls by which a target is told its keys."""

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
from tamarackhaven.sidecar._target_client import SendEnd

# How often due calls are looked for without any event: renewals and retries.
POLL_INTERVAL_S = 0.1


class KeyCalls:
    """Makes the calls that ``CalledHolds`` says are due, concurrently.

    Parameters
    ----------
    state : TargetState
        Of the target.
    client : CallClient
        Its connections for calls.
    dialect : Dialect
        Encodes calls and decodes their answers.
    log : Log
        Of the part ``keys``.
    metrics : Metrics
        Of the process.
    on_held, on_released : callable
        Called once the target holds keys, and once it has released some.
    """

    def __init__(self, state, client, dialect, log, metrics, on_held, on_released):
        self._state = state
        self._client = client
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._on_held = on_held
        self._on_released = on_released
        self._tasks = set()

    async def run(self):
        """Make due calls until cancelled."""
        try:
            while True:
                self.start_due_calls()
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            for task in self._tasks:
                task.cancel()

    def open_connections(self):
        """Open the connections for calls to the life that just sent a heartbeat.

        While all slots of a target and the connections to it are busy, a new owner
        would get no call through, as a new connection may lead to another life. So
        there are spare connections, enough to renew each range once.
        """
        keys = self._state.keys
        if isinstance(keys, CalledHolds):
            self._start(self._client.keep(keys.range_count + MAX_OPEN_GRANTS))

    def start_due_calls(self):
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
            self.start_due_calls()

    async def _call(self, order):
        """Make one call; return its ``OrderEnd``, the handover and a detail."""
        heartbeat = self._state.heartbeat
        name = heartbeat.name if heartbeat else ""
        call = self._dialect.order_call(order, name)
        is_release = isinstance(order, ReleaseOrder)
        if is_release:
            sending = self._client.release(call)
        else:
            sending = self._client.grant(call, self._state.heartbeat_received_s)
        timeout_s = RELEASE_TIMEOUT_S if is_release else CALL_TIMEOUT_S
        try:
            # Cancelled by the timeout, the client closes its connection, so that bytes
            # the target hasn't read by now don't arrive later.
            sent = await asyncio.wait_for(sending, timeout_s)
        except TimeoutError:
            return OrderEnd.UNANSWERED, "", "timeout"
        if sent.end is SendEnd.NOT_SENT:
            return OrderEnd.NOT_SENT, "", sent.detail
        if sent.end is SendEnd.UNANSWERED:
            return OrderEnd.UNANSWERED, "", sent.detail
        end, handover = self._dialect.order_end(order, sent.reply)
        return end, handover, f"status {sent.reply.status}"
