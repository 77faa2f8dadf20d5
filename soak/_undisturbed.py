"""Faults that excuse no daemon: stalled disks of leaders, and odd heartbeats."""

import asyncio
import random

from soak._faults import Fault, inject
from standin.odd_heartbeat import HUGE, NESTED_TEXT, odd_heartbeat, write

STALL_COUNT = 2
# Long enough for another leader to be elected, and for orders to it.
MIN_STALL_S = 1.0
MAX_STALL_S = 5.0
MAX_PAUSE_S = 2.0
ODD_HEARTBEAT_COUNT = 6
# How another writer's heartbeat differs from the target's.
ODD_FIELDS = (
    {"sequence": HUGE},
    {"sequence": 500_000},
    {"born": HUGE},
    {"max_concurrency": HUGE},
    {"cold_s_time": 1e300},
    {"state": NESTED_TEXT},
    {"service": NESTED_TEXT},
    {"sequence": -1},
)


class StallLeader(Fault):
    """Blocks the disk syncs of the leader; daemons have to follow the next one."""


class OddHeartbeat(Fault):
    """Sends one heartbeat of another writer in a target's name."""


@inject.register
async def _(fault: StallLeader, fleet):
    control = fleet.leading_control()
    if control is None:
        return
    control.stall()
    await asyncio.sleep(fault.duration_s)
    control.unstall()


@inject.register
async def _(fault: OddHeartbeat, fleet):
    target = fleet.target_vm(fault.selector).target
    rng = random.Random(fault.selector)
    await write(target, odd_heartbeat(target, **rng.choice(ODD_FIELDS)))


def draw_undisturbed_run_faults(seed, seconds):
    """Return the faults of a run in which all daemons are in touch all the while.

    Whoever leads stalls again and again, so that terms follow each other.
    """
    rng = random.Random(f"undisturbed run {seed}")
    faults = []
    at_s = 0.0
    while at_s < seconds:
        duration_s = round(rng.uniform(MIN_STALL_S, MAX_STALL_S), 3)
        faults.append(StallLeader(round(at_s, 3), rng.randrange(1 << 30), duration_s))
        odd_s = round(at_s + rng.uniform(0.0, duration_s), 3)
        faults.append(OddHeartbeat(odd_s, rng.randrange(1 << 30), 0.0))
        at_s += duration_s + rng.uniform(0.0, MAX_PAUSE_S)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_undisturbing_faults(seed, seconds):
    """Return the stalls of leaders and odd heartbeats of a run.

    They have their own generator.
    """
    rng = random.Random(f"undisturbed {seed}")
    faults = []
    for kind, count in (
        (StallLeader, STALL_COUNT),
        (OddHeartbeat, ODD_HEARTBEAT_COUNT),
    ):
        for _ in range(count):
            at_s = round(rng.uniform(0.0, seconds), 3)
            duration_s = round(rng.uniform(MIN_STALL_S, MAX_STALL_S), 3)
            faults.append(kind(at_s, rng.randrange(1 << 30), duration_s))
    return faults
