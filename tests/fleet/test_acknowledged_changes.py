"""Real processes: which version daemons serve by after a change was acknowledged."""

import asyncio

from soak._proxy import Direction
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
# Shorter than the silence after which a daemon looks for another leader.
DELAY_S = 0.7
# Within which operators must have an answer.
ACK_DEADLINE_S = 4.0


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


def test_a_change_is_acknowledged_once_a_daemon_with_slow_news_has_taken_it(tmp_path):
    # Guards against: an operator is told that a change is in force while a daemon in
    # touch still serves by the version before.
    async def test(fleet):
        daemon = fleet.daemons[0]
        for flow in fleet.flows_of(daemon, await fleet.leader()):
            flow.delay_s_by_direction[Direction.BACK] = DELAY_S
        for service in ("owned", "shared"):
            version, after_s = await fleet.move(service)
            assert fleet.has_taken(daemon, version)
            assert DELAY_S <= after_s < ACK_DEADLINE_S

    run(test, (tmp_path, SERVICES[:2], NET), MovingFleet)


def test_a_daemon_that_is_cut_off_holds_up_no_acknowledgement_for_long(tmp_path):
    # Guards against: operators get no answer while one daemon takes no news.
    async def test(fleet):
        cut_off, other = fleet.daemons
        for proxy in fleet.proxies:
            for flow in proxy.flows:
                silence(flow, cut_off)
            proxy.on_flow = lambda flow: silence(flow, cut_off)
        version, after_s = await fleet.move("shared")
        assert after_s < ACK_DEADLINE_S
        assert fleet.has_taken(other, version)
        assert not fleet.has_taken(cut_off, version)

    run(test, (tmp_path, SERVICES[:2], NET), MovingFleet)


def silence(flow, daemon):
    """Pass nothing on between a daemon and a control VM."""
    if daemon.name.encode() in flow.first_bytes:
        flow.silenced_directions = frozenset(Direction)
