"""A target that tells the records what it is told and what it begins."""

import asyncio
import random
import time

from standin.fleet import HEARTBEAT_S, Target

# A target's clock runs this part slow at most, so that its holds last longer.
SLOW_CLOCK = 1.02
# A target that drains goes on for so long, and sends its goodbye then.
DRAINS_S = 1.5


class SoakTarget(Target):
    """A stand-in target under observation.

    Parameters
    ----------
    records : Records
        Of the run.
    """

    def __init__(self, host, service, zone, records):
        super().__init__(host, service, zone)
        self.name = f"i-{host}-{self.born_ms}"
        self._records = records
        self.is_up = False
        self.left_s = None

    async def start(self):
        """Listen and begin to send heartbeats."""
        await super().start()
        self.is_up = True
        self._records.targets.append(self)

    async def crash(self):
        """End at once."""
        self.is_up = False
        await self.stop()

    async def leave(self):
        """Drain, say goodbye and end."""
        self.state = "draining"
        await asyncio.sleep(DRAINS_S + HEARTBEAT_S)
        await self._tell("leave", {}, time.monotonic())
        await asyncio.sleep(DRAINS_S)
        await self.crash()

    def _take(self, told, sent):
        if self.state == "draining" and self.left_s is None:
            self.left_s = time.monotonic() + self._records.drain_s
        if "active_holds" in told:
            self._records.told(self, told["active_holds"])
            told["hold_s"] *= SLOW_CLOCK
        return super()._take(told, sent)

    async def _answer(self, line, headers, body):
        self.work_s = random.uniform(0.01, 0.4)
        return await super()._answer(line, headers, body)

    def _begin(self, attempt, key):
        super()._begin(attempt, key)
        self._records.begun(self, attempt, key if self.service == "owned" else None)
