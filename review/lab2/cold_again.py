"""Case: a backend becomes cold right after a heartbeat."""

import asyncio
import collections
import sys
import time

from review.lab2.case import main
from review.lab2.fleet import Fleet, Service, skewed_keys

COLD_S = 3.0
COLD_PER_S = 12.0
OVERSHOOT = 1.5
SLACK = 5
MAX_IN_A_SECOND = COLD_PER_S * OVERSHOOT + SLACK


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
        if len(arrivals) > MAX_IN_A_SECOND and not self.broken:
            text = (
                f"{backend.name} is cold and got {len(arrivals)} requests in one"
                f" second; {MAX_IN_A_SECOND:g} are the most"
            )
            self.broken.append(text)
            self._record.line("RULE BROKEN FAILBACK", detail=text)


async def scenario(record, has_trouble):
    """Let a backend become cold between two heartbeats, under the usual traffic."""
    fleet = Fleet([Service("tracker", 4, True, "safe", lambda: 0.16)], record)
    watch = ColdWatch(record)
    tasks = []
    try:
        await fleet.start()
        keys, weights = skewed_keys()
        tasks = [asyncio.create_task(fleet.load("tracker", 127.0, keys, weights))]
        await asyncio.sleep(6.0)
        for backend in fleet.backends:
            beat_s = backend.last_beat_s
            while backend.last_beat_s == beat_s:
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.05)
            if has_trouble:
                backend.cold_until_s = time.monotonic() + COLD_S
                record.line("backend is cold again", backend=backend.name, for_s=COLD_S)
            await asyncio.sleep(COLD_S + 3.0)
        return watch.broken
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


if __name__ == "__main__":
    main(scenario, sys.argv[1])
