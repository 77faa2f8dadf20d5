"""Real processes: which version daemons serve by after a change was acknowledged."""

import asyncio

from tests.fleet.moving_fleet import MovingFleet
from tests.fleet.real_fleet import run

NET = 92
SERVICES = ("owned", "shared") * 4
CONTROLS = 5
TOLERATED_LOSSES = 2
ROUNDS = 3
STALL_S = 5.0
# Until the leader whose disk stalled votes again.
RECOVERY_S = 2.0


def test_no_daemon_follows_a_leader_whose_disk_stalls_past_an_acknowledgement(tmp_path):
    # Guards against: daemons go on with a leader whose log is stuck, and serve by an
    # older version than the one that the next leader has acknowledged.
    async def test(fleet):
        await fleet.move("shared")
        judge = asyncio.create_task(fleet.judge())
        for number in range(ROUNDS):
            leader = fleet.controls[await fleet.leader()]
            leader.stall()
            await fleet.move(("owned", "shared")[number % 2])
            await asyncio.sleep(STALL_S)
            leader.unstall()
            await asyncio.sleep(RECOVERY_S)
        judge.cancel()
        assert fleet.wrong == [], f"{len(fleet.wrong)} of {fleet.watch.judged}"
        assert fleet.watch.judged > 100

    run(test, (tmp_path, SERVICES, NET, CONTROLS, TOLERATED_LOSSES), MovingFleet)
