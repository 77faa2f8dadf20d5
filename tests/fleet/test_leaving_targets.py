"""Real processes: what was acknowledged to a target that leaves, when processes end."""

import asyncio
import itertools

import pytest

from tests.fleet.real_fleet import run

NETS = itertools.count(2)
SERVICES = ("owned", "shared", "shared", "shared")
LEAVING = 1
REQUESTS = 60


async def ends(fleet, names):
    """Kill processes at once and start them again; ``names`` says which."""
    leader = await fleet.leader()
    processes = {
        "daemon": [fleet.daemons[LEAVING]],
        "leader": [fleet.controls[leader]],
        "controls": fleet.controls,
        "daemons": fleet.daemons,
    }
    ended = [process for name in names for process in processes[name]]
    for process in ended:
        process.kill()
    await asyncio.sleep(0.5)
    for process in ended:
        process.start()


async def restarted_daemon_knows_its_target(fleet, lines_before):
    lines = fleet.daemons[LEAVING].lines[lines_before:]
    return any(each.get("sentence") == "daemon: target told" for each in lines)


@pytest.mark.parametrize("says", ["send_leave", "send_draining"])
@pytest.mark.parametrize(
    "names",
    [("daemon", "leader"), ("daemons", "controls"), ("daemon", "controls")],
    ids=str,
)
def test_a_target_whose_leave_was_acknowledged_gets_nothing_after_a_kill(
    tmp_path, says, names
):
    # Guards against: those who remember that a target leaves are killed together, and
    # a late heartbeat makes it one that is ready.
    async def test(fleet):
        leaving = fleet.targets[LEAVING]
        assert await getattr(leaving, says)()
        lines_before = len(fleet.daemons[LEAVING].lines)
        await ends(fleet, names)
        await fleet.until(
            lambda: restarted_daemon_knows_its_target(fleet, lines_before), 20.0
        )
        await fleet.until(lambda: serves(fleet), 20.0)
        begun = len(leaving.begun)
        for number in range(REQUESTS):
            answer = await fleet.ask("/shared/", None, number % len(SERVICES))
            assert answer.status == 200
            await asyncio.sleep(0.05)
        assert len(leaving.begun) == begun

    run(test, (tmp_path, SERVICES, next(NETS)))


async def serves(fleet):
    answers = [await fleet.ask("/shared/", None, at) for at in range(len(SERVICES))]
    return all(answer.status == 200 for answer in answers)


@pytest.mark.parametrize("says", ["send_leave", "send_draining"])
def test_a_leave_that_nobody_can_record_is_not_acknowledged(tmp_path, says):
    # Guards against: a promise in a daemon's memory alone.
    async def test(fleet):
        for control in fleet.controls:
            control.kill()
        leaving = fleet.targets[LEAVING]
        assert not await getattr(leaving, says)()
        for control in fleet.controls:
            control.start()

        async def is_acknowledged():
            return await getattr(leaving, says)()

        await fleet.until(is_acknowledged, 20.0)

    run(test, (tmp_path, SERVICES, next(NETS)))
