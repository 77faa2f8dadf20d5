"""Case: another writer's heartbeat lacks fields, and ends a backend that runs."""

import asyncio
import sys
import time

from review.lab2.case import main
from review.lab2.fleet import HEARTBEAT_S, CannotRunError, Fleet, Service, skewed_keys
from review.lab2.owners import OwnerWatch

LATE_S = 1.0
OBSERVED_S = 12.0


async def scenario(record, has_trouble):
    """One heartbeat is late, and another writer's comes meanwhile."""
    fleet = Fleet(
        [
            Service("tracker", 4, True, "safe", lambda: 0.16),
            Service("bookings", 2, False, "unsafe", lambda: 0.21),
        ],
        record,
    )
    watch = OwnerWatch(fleet, record)
    tasks = []
    try:
        await fleet.start()
        keys, weights = skewed_keys()
        tasks = [
            asyncio.create_task(watch.run()),
            asyncio.create_task(fleet.load("tracker", 40.0, keys, weights)),
            asyncio.create_task(fleet.load("bookings", 15.0)),
        ]
        await asyncio.sleep(5.0)
        victim = fleet.backends_of("tracker")[0]
        victim.next_beat_late_s = LATE_S
        while victim.late_since_s is None:
            await asyncio.sleep(0.005)
        await asyncio.sleep(HEARTBEAT_S + 0.4 * LATE_S)
        if has_trouble:
            await _write_odd_beat(victim, record)
        await asyncio.sleep(OBSERVED_S)
        return watch.broken
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


async def _write_odd_beat(victim, record):
    """Send a heartbeat that names no backend to use: its address is missing."""
    document = {
        "born": int(time.time() * 1000),
        "info": {
            "service": victim.machine["service"],
            "version": "v1",
            "zone": victim.machine["zone"],
            "max_concurrency": victim.slots,
        },
        "status": {"state": "ready", "sequence": 1, "cold_s_time": 0},
        "active_holds": [],
        "released": [],
    }
    answer = await victim.post("heartbeat", document, "i-other")
    status = answer.status if answer is not None else 0
    record.line("heartbeat of another writer", document=document, status=status)
    if not status:
        raise CannotRunError("the daemon didn't answer the other writer")


if __name__ == "__main__":
    main(scenario, sys.argv[1])
