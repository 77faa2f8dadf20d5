"""Real processes: targets that become cold between two heartbeats, under a burst."""

import asyncio
import copy
import itertools
import time

import pytest

from standin.fleet import CONFIGURATION, Fleet
from tests.fleet.real_fleet import run

NETS = itertools.count(11)
SERVICES = ("owned", "shared", "shared")
COLD_PER_S = 12.0
# By the platform's rule: half as much again, and five more.
MOST_PER_S = 23
RATE_PER_S = 38
COLD_S = 2.0
DURATION_S = 6.0


class ColdFleet(Fleet):
    """A fleet whose targets bear little while they are cold."""

    configuration = copy.deepcopy(CONFIGURATION)
    for service in configuration["services"]:
        service["cold_per_s"] = COLD_PER_S


def most_in_a_second(times_s):
    return max((sum(t - 1.0 < u <= t for u in times_s) for t in times_s), default=0)


async def load(fleet, target, keys):
    """Send requests at a steady rate; return the answers, and the arrivals while cold.

    ``target`` becomes cold in the middle, right after a heartbeat.
    """
    arrivals = []
    target.on_arrival = lambda attempt: (
        arrivals.append(time.monotonic()) if target.cold_s else None
    )
    targets = sum(each.service == target.service for each in fleet.targets)
    rate_per_s = RATE_PER_S * (1 if keys else targets)
    tasks = []
    for number in range(int(DURATION_S * rate_per_s)):
        key = keys[number % len(keys)] if keys else None
        prefix = "/owned/" if keys else "/shared/"
        at = number % len(fleet.targets)
        tasks.append(asyncio.create_task(fleet.ask(prefix, key, at)))
        if number == int(DURATION_S * rate_per_s / 2):
            sequence = target.sequence
            while target.sequence == sequence:
                await asyncio.sleep(0.002)
            target.cold_until_s = time.monotonic() + 0.03 + COLD_S
        await asyncio.sleep(1 / rate_per_s)
    return await asyncio.gather(*tasks), arrivals


@pytest.mark.parametrize("at", [0, 1])
def test_a_target_that_becomes_cold_after_a_heartbeat_is_spared(tmp_path, at):
    # Guards against: the daemon learns of it with the next heartbeat, and until then
    # sends what a warm target bears; the target crashes.
    async def test(fleet):
        target = fleet.targets[at]
        target.heartbeat_s = 1.5
        await asyncio.sleep(0.5)
        keys = [k for k in range(0, 65536, 257) if target.holds(k)] if at == 0 else ()
        answers, arrivals = await load(fleet, target, keys)
        assert arrivals
        assert most_in_a_second(arrivals) <= MOST_PER_S
        half = len(answers) // 2
        served = sum(each.status == 200 for each in answers[:half])
        assert served > 0.95 * half
        assert target.health_checks

    run(test, (tmp_path, SERVICES, next(NETS)), ColdFleet)
