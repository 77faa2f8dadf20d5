"""Sends the calls about keys to the target; each has a connection of its own.

Answers to calls don't name their call. On a connection that has carried a request or a
call before, a second copy of an earlier answer would be taken for the answer to this
one, and keys would count as released while the target still holds them.
"""

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._target_client import (
    ANY_TIME,
    SendEnd,
    SendResult,
    TargetClient,
)

# A target that crashes right after a heartbeat can't be running again within this time.
MIN_RESTART_S = 0.1
# Spare connections for grants of which releases leave so many.
MIN_SPARE_FOR_GRANTS = 4
MAX_SPARE = 32


class CallClient:
    """Opens a connection for each call, and keeps spare ones ready.

    Parameters
    ----------
    host, port : str, int
        Address of the target.
    """

    def __init__(self, host, port):
        self._spare = TargetClient(host, port)
        self._is_opening = False

    async def release(self, call):
        """Send a ``TargetCall`` to any life; return a ``SendResult``.

        A later life holds no keys of the former one, so a release does it no harm.
        """
        if self._spare.idle_count > MIN_SPARE_FOR_GRANTS:
            return await self._spare.send_once(call, ANY_TIME)
        return await self._spare.send_once(call, ANY_TIME, prefers_new=True)

    async def grant(self, call, heartbeat_received_s):
        """Send a call to the life with a heartbeat at ``heartbeat_received_s``.

        If a target crashes, its next life may listen on the same address before its
        first heartbeat, and would be told to hold keys with the fence of the former
        life. So the call is sent only on a connection that was open when the heartbeat
        was received, or was opened right after it; a connection to a former life is
        closed by then. ``heartbeat_received_s`` is in seconds of the boot clock.

        Return a ``SendResult``. It's NOT_SENT also if there is no such connection
        before the next heartbeat.
        """
        opened_by_s = heartbeat_received_s + MIN_RESTART_S
        if boot_s() <= opened_by_s:
            # The spare ones have to last until the next heartbeat.
            return await self._spare.send_once(call, opened_by_s, prefers_new=True)
        if not self._spare.has_idle(opened_by_s):
            return SendResult(SendEnd.NOT_SENT, None, "no connection to this life")
        return await self._spare.send_once(call, opened_by_s)

    async def keep(self, count):
        """Open connections until ``count`` are idle, ``MAX_SPARE`` at most.

        They are open when the next heartbeat arrives, so ``grant`` can use them from
        then on.
        """
        if self._is_opening:
            return
        self._is_opening = True
        try:
            await self._spare.keep(min(count, MAX_SPARE))
        finally:
            self._is_opening = False

    def close(self):
        """Close the idle connections."""
        self._spare.close()
