"""A simulated target that reports its grants and executions to the records."""

import asyncio
import random
import time

from standin.fleet_target import HEARTBEAT_S, Target
from standin.notice_watch import NoticeWatch, named_limit

# Simulates the slowest clock allowed for a target, by which its holds last longer.
HOLD_TIME_FACTOR = 1.02
# Time from the start of draining to the leave request, and from there to the stop.
DRAIN_DURATION_S = 1.5
# Requests in a second that a cold target is said to bear, and the most by the
# platform's rule: half as much again, and five more.
COLD_PER_S = 6.0
MAX_COLD_ARRIVALS = 14
# Makes the head of a heartbeat larger than any of a caller.
HEARTBEAT_PADDING = 1000


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
        self.head_padding = HEARTBEAT_PADDING
        self._records = records
        self.watch = NoticeWatch(records.drain_s)
        self.ends_under = lambda started: records.poisons.arrived(self, started)
        self.on_arrival = self._check_arrival
        self.is_up = False
        self.drain_end_s = None
        self._cold_arrivals_s = []

    async def start(self):
        """Listen and start sending heartbeats."""
        await super().start()
        self.is_up = True
        self._records.targets.append(self)

    def _check_arrival(self, attempt):
        now = time.monotonic()
        self._records.repeats.arrived(self.service, attempt, now)
        if not self.cold_s:
            return
        self._cold_arrivals_s = [t for t in self._cold_arrivals_s if now - t < 1.0]
        self._cold_arrivals_s.append(now)
        if len(self._cold_arrivals_s) > MAX_COLD_ARRIVALS:
            self._records.report_violation(
                "cold", f"{self.name} got {len(self._cold_arrivals_s)} in a second"
            )

    async def _end(self):
        self.is_up = False
        self._records.poisons.ended(self)
        await super()._end()

    async def crash(self):
        """Stop at once, without a leave request."""
        self.is_up = False
        await self.stop()

    async def send_leave(self):
        """Send a leave request; return whether it's acknowledged."""
        is_acknowledged = await super().send_leave()
        if is_acknowledged and self.drain_end_s is None:
            self.drain_end_s = time.monotonic() + self._records.drain_s
        return is_acknowledged

    def become_cold(self, seconds):
        """Bear little for so many seconds."""
        self._cold_arrivals_s = []
        self.cold_until_s = time.monotonic() + seconds

    async def leave(self):
        """Drain, send a leave request and stop; answers say so all the while."""
        self.state = "draining"
        self.is_announced = True
        await asyncio.sleep(DRAIN_DURATION_S + HEARTBEAT_S)
        await self.send_leave()
        await asyncio.sleep(DRAIN_DURATION_S)
        await self.crash()

    async def leave_by_answers(self, duration_s):
        """Announce the leaving in answers only, serve for a while and stop."""
        self.is_announced = True
        await asyncio.sleep(self._records.drain_s + duration_s)
        await self.crash()

    def name_limit(self, text):
        """Name a limit in all answers from now on; None ends it.

        A text that isn't a number changes nothing.
        """
        self.limit_text = text
        limit_per_s = None if text is None else named_limit(text)
        if text is None or limit_per_s is not None:
            self.watch.name_limit(limit_per_s, time.monotonic())

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
