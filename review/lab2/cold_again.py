"""Case: a backend becomes cold between two heartbeats while many users come."""

import asyncio
import collections
import sys
import time

from review.lab2.case import main
from review.lab2.fleet import Fleet, Service

COLD_S = 3.0
COLD_PER_S = 12.0
OVERSHOOT = 1.5
SLACK = 5
MAX_IN_A_SECOND = COLD_PER_S * OVERSHOOT + SLACK
# Requests a second for the service by the users' page, and how many times as many come.
USUAL_PER_S = 67.9
BURST = 1.7
BURST_S = 3.0
AFTER_BEAT_S = 0.1


class ColdWatch:
    """Checks the rule FAILBACK for the requests that reach cold backends.

    Parameters
    ----------
    record : Record
        Gets what breaks the rule.
    """

    def __init__(self, record):
        self._record = record
        self._arrivals_by_backend = collections.defaultdict(collections.deque)
        self._told = set()
        self.broken = []
        record.on_arrived = self._on_arrived

    def _on_arrived(self, backend):
        now = time.monotonic()
        if now >= backend.cold_until_s:
            return
        arrivals = self._arrivals_by_backend[backend.name]
        arrivals.append(now)
        while now - arrivals[0] >= 1.0:
            arrivals.popleft()
        if len(arrivals) > MAX_IN_A_SECOND and backend.name not in self._told:
            self._told.add(backend.name)
            text = (
                f"{backend.name} is cold and got {len(arrivals)} requests in one"
                f" second; {MAX_IN_A_SECOND:g} are the most"
            )
            self.broken.append(text)
            self._record.line("RULE BROKEN FAILBACK", detail=text)
            # "It crashes at a rate well above that. The rules specify the bound."
            asyncio.get_running_loop().create_task(self._crash(backend))

    async def _crash(self, backend):
        running = backend.attempts_at_work()
        await backend.crash()
        self._record.line("requests lost", backend=backend.name, requests=running)


async def scenario(record, has_trouble):
    """Let a backend become cold right after a heartbeat, in a burst."""
    fleet = Fleet(
        [
            Service("tracker", 2, True, "safe", lambda: 0.16),
            Service("bookings", 3, False, "unsafe", lambda: 0.21),
        ],
        record,
    )
    watch = ColdWatch(record)
    tasks = []
    try:
        await fleet.start()
        tasks = [asyncio.create_task(fleet.load("bookings", USUAL_PER_S))]
        await asyncio.sleep(6.0)
        for backend in fleet.backends_of("bookings"):
            more = (BURST - 1) * USUAL_PER_S
            burst = asyncio.create_task(fleet.load("bookings", more))
            record.line("many users come", times=BURST)
            await asyncio.sleep(BURST_S / 3)
            await _next_beat(backend)
            await asyncio.sleep(AFTER_BEAT_S)
            if has_trouble:
                backend.cold_until_s = time.monotonic() + COLD_S
                record.line("backend is cold again", backend=backend.name, for_s=COLD_S)
            await asyncio.sleep(BURST_S / 3)
            burst.cancel()
            await asyncio.sleep(COLD_S + 2.0)
        return watch.broken
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


async def _next_beat(backend):
    sent_s = backend.last_beat_s
    while backend.last_beat_s == sent_s:
        await asyncio.sleep(0.002)


if __name__ == "__main__":
    main(scenario, sys.argv[1])
