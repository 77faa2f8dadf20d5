"""A simulated target that reports its grants and executions to the records."""

import asyncio
import random
import time

from standin.fleet import HEARTBEAT_S, Target

# Simulates the slowest clock allowed for a target, by which its holds last longer.
HOLD_TIME_FACTOR = 1.02
# Time from the start of draining to the leave request, and from there to the stop.
DRAIN_DURATION_S = 1.5


class SoakTarget(Target):
    """A simulated target whose grants and executions are checked.

    Parameters
    ----------
    records : Records
        Records of the run.
    """

    def __init__(self, host, service, zone, records):
        super().__init__(host, service, zone)
        self.name = f"i-{host}-{self.born_ms}"
        self._records = records
        self.is_up = False
        self.drain_end_s = None

    async def start(self):
        """Listen and start sending heartbeats."""
        await super().start()
        self.is_up = True
        self._records.targets.append(self)

    async def crash(self):
        """Stop at once, without a leave request."""
        self.is_up = False
        await self.stop()

    async def leave(self):
        """Drain, send a leave request and stop."""
        self.state = "draining"
        await asyncio.sleep(DRAIN_DURATION_S + HEARTBEAT_S)
        await self.send_leave()
        await asyncio.sleep(DRAIN_DURATION_S)
        await self.crash()

    def _apply_grants(self, response, sent_s):
        if self.state == "draining" and self.drain_end_s is None:
            self.drain_end_s = time.monotonic() + self._records.drain_s
        if "active_holds" in response:
            self._records.check_fences(self, response["active_holds"])
            response["hold_s"] *= HOLD_TIME_FACTOR
        return super()._apply_grants(response, sent_s)

    async def _answer(self, line, headers, body):
        self.work_s = random.uniform(0.01, 0.4)
        return await super()._answer(line, headers, body)

    def _record_start(self, attempt, key):
        super()._record_start(attempt, key)
        self._records.check_start(
            self, attempt, key if self.service == "owned" else None
        )
