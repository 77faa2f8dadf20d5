"""Real processes: requests that end the targets that run them.

Three control VMs and ten daemons beside stand-in targets; callers send such a request
again under new ids, at several daemons.
"""

import asyncio
import copy
import itertools
import json

import pytest

from standin.call import call
from standin.fleet import CONFIGURATION, Fleet
from standin.fleet_target import PORTS
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
# Twice at each daemon.
TRIES_ALL_OVER = 20
# By the first, a daemon has links to some of the others; by the second, to nearly all.
WARM_UP_ROUNDS = 4, 60


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
        pytest.param(Poison(body=b"poison"), "/shared/", None, b"poison", id="body"),
        pytest.param(Poison(key=KEY), "/owned/", KEY, b"b", id="key"),
        pytest.param(
            Poison(path="/shared/poison", after_s=0.3),
            "/shared/poison",
            None,
            b"b",
            id="later",
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
        assert 1 <= len(watch.ends) <= MAX_ENDS, watch
        assert not watch.late_arrivals(), watch
        sends = watch.sends_by_attempt()
        assert max(sends.values()) <= MAX_ATTEMPTS, sends
        assert {answer.status for answer in answers} <= {502, 503, 504}

    run(test, tmp_path)


def test_many_callers_of_one_such_request_end_no_more_targets_once_three_have_ended(
    tmp_path,
):
    # Guards against: daemons that each count for themselves try the same request.
    poison = Poison(path="/shared/poison")

    async def test(fleet):
        await declare_safe_routes(fleet)
        watch = PoisonWatch(poison, fleet.targets)
        await asyncio.gather(
            *(ask_again(fleet, "/shared/poison", None, b"b", at, 20) for at in range(6))
        )
        assert watch.ends
        assert not watch.late_arrivals(), watch

    run(test, tmp_path)


@pytest.mark.parametrize("warm_up_rounds", WARM_UP_ROUNDS)
def test_without_a_leader_such_a_request_ends_three_targets_at_most(
    tmp_path, warm_up_rounds
):
    # Guards against: while nobody leads, daemons learn of ends by their own requests
    # and links only, and let the request end one more target each.
    poison = Poison(path="/shared/poison")

    async def test(fleet):
        await declare_safe_routes(fleet)
        for _ in range(warm_up_rounds):
            await asyncio.gather(
                *(fleet.ask("/shared/", None, at) for at in range(len(fleet.daemons)))
            )
        watch = PoisonWatch(poison, fleet.targets)
        for control in fleet.controls:
            control.kill()
        await ask_again(fleet, "/shared/poison", None, b"b", tries=TRIES_ALL_OVER)
        assert 1 <= len(watch.ends) <= MAX_ENDS, watch

    run(test, tmp_path)


def test_innocent_requests_beside_such_a_request_are_served(tmp_path):
    # Guards against: one caller's request takes all targets of a service away from the
    # others, or theirs are refused with it.
    poison = Poison(path="/shared/poison")

    async def test(fleet):
        await declare_safe_routes(fleet)
        watch = PoisonWatch(poison, fleet.targets)
        tasks = []
        again = asyncio.create_task(
            ask_again(fleet, "/shared/poison", None, b"b", tries=30)
        )
        for number in itertools.count():
            if again.done():
                break
            at = number % len(fleet.daemons)
            tasks.append(asyncio.create_task(fleet.ask("/shared/", None, at)))
            await asyncio.sleep(INNOCENT_INTERVAL_S)
        statuses = [answer.status for answer in await asyncio.gather(*tasks)]
        served = statuses.count(200) / len(statuses)
        assert 1 <= len(watch.ends) <= MAX_ENDS, watch
        assert served >= 0.97, f"{served:.3f} served; {watch}"

    run(test, tmp_path)


async def suspects(fleet):
    """Return what the leader says of suspects, by request."""
    leader = fleet.control_hosts[await fleet.leader()]
    answer = await call(
        leader, PORTS["operators"], "GET", "/api/suspects", [("Host", "x")]
    )
    rows = json.loads(answer.body)["suspects"]
    return {row["request"]: row for row in rows}


def test_a_quarantine_outlives_the_leader_all_control_vms_and_daemons(tmp_path):
    # Guards against: whoever remembers a request under which targets ended is gone, and
    # the next process starts from nothing.
    poison = Poison(path="/shared/poison")

    async def test(fleet):
        await declare_safe_routes(fleet)
        watch = PoisonWatch(poison, fleet.targets)

        async def send_all_over():
            await asyncio.gather(
                *(
                    fleet.ask("/shared/poison", None, at)
                    for at in range(len(fleet.daemons))
                )
            )

        await ask_again(fleet, "/shared/poison", None, b"b")
        assert len(watch.ends) == MAX_ENDS, watch
        ((request, row),) = (await suspects(fleet)).items()
        assert row["phase"] == "quarantined"
        arrivals = len(watch.arrivals)
        fleet.controls[await fleet.leader()].kill()
        await send_all_over()
        for process in (*fleet.controls, *fleet.daemons):
            process.kill()
        for process in (*fleet.controls, *fleet.daemons):
            process.start()
        await fleet.until(fleet._serves, 20.0)
        await send_all_over()
        assert len(watch.arrivals) == arrivals, watch
        # Operators say that it may run again.
        await fleet.order(f"/api/suspects/{request}/forget")

        async def runs_again():
            await fleet.ask("/shared/poison", None, 0)
            return len(watch.arrivals) > arrivals

        await fleet.until(runs_again)

    run(test, tmp_path)
