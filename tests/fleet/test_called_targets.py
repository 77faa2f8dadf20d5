"""Real processes: targets that are told their keys by calls and give answers twice."""

import asyncio
import copy
import itertools
import random

from standin.called_target import CalledTarget
from standin.fleet import CONFIGURATION, Fleet
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(37)
CALLERS = 8
WORK_S = 0.25
LOAD_S = 5.0
DRAIN_AFTER_S = 1.0


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
        statuses = []

        async def load(number):
            rng = random.Random(number)
            while True:
                key = rng.randrange(65536)
                answer = await fleet.ask("/owned/", key, number % 2)
                statuses.append(answer.status)

        callers = [asyncio.create_task(load(number)) for number in range(CALLERS)]
        await asyncio.sleep(DRAIN_AFTER_S)
        fleet.targets[0].state = "draining"
        await asyncio.sleep(LOAD_S)
        for caller in callers:
            caller.cancel()
        assert fleet.targets[0].releases > 0
        assert not violations
        assert statuses.count(200) > len(statuses) / 2

    settings = tmp_path, ("owned", "owned", "shared"), next(NETWORK_NUMBERS)
    real_fleet.run(test, settings, CalledFleet)
