"""Case: two backends end twice while the time of day jumps ahead and back."""

import asyncio
import sys

from review.lab2.case import main
from review.lab2.fleet import Fleet, Service, skewed_keys
from review.lab2.owners import OwnerWatch

CLOCK_STEP_S = 2.4
DOWN_S = 0.75
OBSERVED_S = 20.0


async def scenario(record, has_trouble):
    """Start backends while the clock is ahead, and again when it's back."""
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
            asyncio.create_task(fleet.load("tracker", 60.0, keys, weights)),
            asyncio.create_task(fleet.load("bookings", 10.0)),
        ]
        await asyncio.sleep(4.0)
        stepped = fleet.backends_of("tracker")[:2]
        _step(stepped, CLOCK_STEP_S if has_trouble else 0.0, record)
        for backend in stepped:
            await _restart(backend)
        _step(stepped, 0.0, record)
        for backend in stepped:
            await _restart(backend)
        await asyncio.sleep(OBSERVED_S)
        return watch.broken
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


def _step(backends, offset_s, record):
    for backend in backends:
        backend.clock_offset_s = offset_s
        record.line("time of day", backend=backend.name, off_by_s=offset_s)


async def _restart(backend):
    await backend.crash()
    await asyncio.sleep(DOWN_S)
    await backend.start()

    await asyncio.sleep(0.05)


if __name__ == "__main__":
    main(scenario, sys.argv[1])
