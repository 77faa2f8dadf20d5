"""Real processes: targets that are told their keys by calls and give answers twice."""

import asyncio
import copy
import itertools
import random

from standin.called_target import CalledTarget
from standin.fleet import CONFIGURATION, Fleet
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(37)
CALLERS = 3
# Leaves idle connections behind, on each of which a second copy is due.
BURST = 16
# Long enough for a grant that comes too early to find the former holder at work.
WORK_S = 0.9
LOAD_S = 6.0
KEYS = range(0, 65536, 9001)
DRAIN_AFTER_S = 0.2


class CalledFleet(Fleet):
    """A fleet whose sharded service is told its keys by calls."""

    target_class = CalledTarget
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["services"][0]["lease_grants"] = "call"


def test_no_key_is_granted_while_its_former_holder_is_at_work(tmp_path):
    # Guards against a release that a copy of a request's answer ends.
    async def test(fleet):
        violations = []

        def on_granted(granted, first, last):
            for other in fleet.targets:
                if other is not granted and other.is_at_work(first, last):
                    violations.append((granted.name, other.name, first, last))

        for target in fleet.targets:
            target.gives_twice = lambda attempt: bool(attempt)
            target.on_granted = on_granted
            target.work_s = WORK_S

        async def load(number):
            rng = random.Random(number)
            while True:
                key = rng.randrange(65536)
                await fleet.ask("/owned/", key, number % 2)

        async def served_by_the_other():
            name = fleet.targets[1].name.encode()
            answers = [await fleet.ask("/owned/", key, 0) for key in KEYS]
            return all(each.body.startswith(name) for each in answers)

        burst = (fleet.ask("/owned/", key * 4096, key % 2) for key in range(BURST))
        await asyncio.gather(*burst)
        callers = [asyncio.create_task(load(number)) for number in range(CALLERS)]
        await asyncio.sleep(DRAIN_AFTER_S)
        fleet.targets[0].state = "draining"
        await asyncio.sleep(LOAD_S)
        for caller in callers:
            caller.cancel()
        assert fleet.targets[0].releases > 0
        assert not violations
        await fleet.until(served_by_the_other, 20.0)

    settings = tmp_path, ("owned", "owned", "shared"), next(NETWORK_NUMBERS)
    real_fleet.run(test, settings, CalledFleet)
