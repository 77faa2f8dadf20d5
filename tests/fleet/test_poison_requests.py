"""Real processes: requests that end the targets that run them.

Three control VMs and ten daemons beside stand-in targets; callers send such a request
again under new ids, at several daemons.
"""

import asyncio
import copy
import itertools

import pytest

from standin.fleet import CONFIGURATION, Fleet
from standin.poison import MAX_ENDS, Poison, PoisonWatch
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(92)
SERVICES = ("owned",) * 3 + ("shared",) * 7
MAX_ATTEMPTS = 3
KEY = 7
TRIES = 8
# Between a caller's tries.
PAUSE_S = 0.1
INNOCENT_INTERVAL_S = 0.02


class RetryingFleet(Fleet):
    """A fleet whose daemons have retries to spend soon after their start."""

    def _daemon(self, target, seeds):
        process = super()._daemon(target, seeds)
        slack = "slack = 100\n"
        process.write(process.settings.replace(slack, f"{slack}window_s = 1.0\n"))
        return process


def run(test, tmp_path):
    real_fleet.run(
        test, (tmp_path, SERVICES, next(NETWORK_NUMBERS)), fleet_class=RetryingFleet
    )


async def declare_safe_routes(fleet):
    """Let requests of both services run up to ``MAX_ATTEMPTS`` times."""
    document = copy.deepcopy(CONFIGURATION)
    document["version"] = "r2"
    routes = document["virtual_hosts"][0]["path_routes"]
    for route in routes:
        route.update(kind="safe", max_attempts=MAX_ATTEMPTS)
    answer = await fleet.order("/api/config/replace", document, "r1")
    assert answer.status == 200

    async def is_in_force():
        return all(
            any(
                line.get("sentence") == "daemon: configuration taken"
                and line["version"] == 2
                for line in daemon.lines
            )
            for daemon in fleet.daemons
        )

    await fleet.until(is_in_force)


async def ask_again(fleet, prefix, key, body, first_at=0, tries=TRIES):
    """Send a request again and again, each time at the next daemon; return answers."""
    answers = []
    for number in range(tries):
        at = (first_at + number) % len(fleet.daemons)
        answers.append(await fleet.ask(prefix, key, at, body=body))
        await asyncio.sleep(PAUSE_S)
    return answers


@pytest.mark.parametrize(
    ("poison", "prefix", "key", "body"),
    [
        pytest.param(
            Poison(path="/shared/poison"), "/shared/poison", None, b"b", id="path"
        ),
    ],
)
def test_a_request_that_ends_its_targets_ends_three_at_most(
    tmp_path, poison, prefix, key, body
):
    # Guards against: what was learned of a request is lost with its attempt, so that
    # each try of its caller, at any daemon, ends further targets.
    async def test(fleet):
        await declare_safe_routes(fleet)
        watch = PoisonWatch(poison, fleet.targets)
        answers = await ask_again(fleet, prefix, key, body)
        assert len(watch.ends) <= MAX_ENDS, watch
        assert not watch.late_arrivals(), watch
        sends = watch.sends_by_attempt()
        assert max(sends.values()) <= MAX_ATTEMPTS, sends
        assert {answer.status for answer in answers} <= {502, 503, 504}

    run(test, tmp_path)
