"""Faults about what daemons believe of their targets: which runs, leaves, is cold."""

import asyncio
import contextlib
import random
import time

from soak._faults import Fault, inject
from standin.fleet_target import HEARTBEAT_S
from standin.odd_heartbeat import odd_heartbeat, write

LIFE_FAULT_COUNT = 2
LATE_S = 1.0
MIN_COLD_S = 1.0
MAX_COLD_S = 3.0
MAX_SERVED_ON_S = 3.0
# Heartbeats of another writer that come while the target's own is late.
ODD_LIVES = (
    ("i-other", {"address": None}),
    ("i-other", {"address": "10.0.0.9:8080"}),
    ("i-other", {"version": None}),
    ("i-other", {"zone": "elsewhere"}),
    ("i-other", {}),
    (None, {}),
)


class OddLife(Fault):
    """Delays a target's heartbeat; another writer's names a later life meanwhile."""


class ForgetLeave(Fault):
    """Kills a daemon and the leader once its target's leave is acknowledged."""


class BecomeCold(Fault):
    """Makes a target cold right after a heartbeat."""


@inject.register
async def _(fault: OddLife, fleet):
    target = fleet.target_vm(fault.selector).target
    name, fields = random.Random(fault.selector).choice(ODD_LIVES)
    target.next_heartbeat_late_s = LATE_S
    await asyncio.sleep(2 * HEARTBEAT_S + 0.4 * LATE_S)
    later = {"born": target.born_ms + 1, "sequence": 1} | fields
    await write(target, odd_heartbeat(target, **later), name)


@inject.register
async def _(fault: ForgetLeave, fleet):
    async with fleet.taken(fleet.target_vm(fault.selector)) as vm:
        if await vm.target.send_leave():
            await _kill_who_knows(fleet, vm)
        # Its heartbeats say that it's ready, as those do that come late.
        served_on_s = random.Random(fault.selector).uniform(0.0, MAX_SERVED_ON_S)
        await asyncio.sleep(fleet.records.drain_s + served_on_s)
        await vm.target.crash()
        await fleet.restart_target(vm)


async def _kill_who_knows(fleet, vm):
    """Kill the daemon beside a target and the leader at once, and start them again."""
    daemon = fleet.daemons[fleet.target_vms.index(vm)]
    leader = fleet.leading_control()
    async with contextlib.AsyncExitStack() as stack:
        killed = [
            each for each in (daemon, leader) if each and not fleet.is_taken(each)
        ]
        for each in killed:
            await stack.enter_async_context(fleet.taken(each))
        await asyncio.gather(*(asyncio.to_thread(each.kill) for each in killed))
        await asyncio.gather(*(asyncio.to_thread(each.start) for each in killed))


@inject.register
async def _(fault: BecomeCold, fleet):
    target = fleet.target_vm(fault.selector).target
    sequence = target.sequence
    until_s = time.monotonic() + 2 * HEARTBEAT_S
    while target.sequence == sequence and time.monotonic() < until_s:
        await asyncio.sleep(0.002)
    target.become_cold(fault.duration_s)


def draw_life_faults(seed, seconds):
    """Return a run's faults about targets' lives; they have their own generator."""
    rng = random.Random(f"lives {seed}")
    faults = []
    for kind in (OddLife, ForgetLeave, BecomeCold):
        for _ in range(LIFE_FAULT_COUNT):
            at_s = round(rng.uniform(0.0, seconds), 3)
            duration_s = round(rng.uniform(MIN_COLD_S, MAX_COLD_S), 3)
            faults.append(kind(at_s, rng.randrange(1 << 30), duration_s))
    return faults
