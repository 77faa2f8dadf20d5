"""Real processes on loopback: start of the group, keys, restarts, kills.

Each test starts three control VMs and a daemon beside each stand-in target.
"""

import asyncio
import itertools
import signal

import pytest

from standin.call import call
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(41)


def run(test, tmp_path, services=("owned", "owned", "shared")):
    real_fleet.run(test, (tmp_path, services, next(NETWORK_NUMBERS)))


def owners(fleet, key):
    return [target for target in fleet.targets if target.holds(key)]


def test_requests_reach_the_owner_of_their_key_from_any_daemon(tmp_path):
    async def test(fleet):
        for key in range(0, 65536, 4099):
            (owner,) = owners(fleet, key)
            for daemon in range(3):
                answer = await fleet.ask("/owned/", key, daemon)
                assert answer.body.decode() == f"{owner.name} /owned/x b"

    run(test, tmp_path)


def test_no_key_loses_its_owner_when_the_leader_is_killed(tmp_path):
    # The leading control VM is killed. Targets keep their keys, another control VM is
    # elected within a second, and orders are accepted again.
    async def test(fleet):
        before = {key: owners(fleet, key)[0] for key in range(0, 65536, 4099)}
        leader = await fleet.leader()
        fleet.controls[leader].kill()
        for _ in range(20):
            for key, owner in before.items():
                answer = await fleet.ask("/owned/", key, 2)
                assert answer.status == 200
                assert answer.body.startswith(owner.name.encode())
            await asyncio.sleep(0.05)
        answer = await fleet.order("/api/evacuation/elsewhere/start")
        assert answer.status == 200
        fleet.controls[leader].start()

    run(test, tmp_path)


def test_a_daemons_restart_moves_no_key(tmp_path):
    async def test(fleet):
        key = next(k for k in range(65536) if owners(fleet, k)[0] is fleet.targets[0])
        fences = dict(fleet.targets[0].held_by_range)
        fleet.daemons[0].kill()
        fleet.daemons[0].start()

        async def serves():
            return (await fleet.ask("/owned/", key, 1)).status == 200

        await fleet.until(serves)
        assert fleet.targets[0].held_by_range == fences

    run(test, tmp_path)


def test_keys_of_a_crashed_target_go_to_the_other_one(tmp_path):
    # A target crashes and its port refuses connections. The other one serves its keys
    # long before the lease expires, and never do both.
    async def test(fleet):
        key = next(k for k in range(65536) if owners(fleet, k)[0] is fleet.targets[0])
        await fleet.targets[0].stop()

        async def serves():
            return (await fleet.ask("/owned/", key, 2)).status == 200

        await fleet.until(serves, 8.0)
        assert owners(fleet, key) == [fleet.targets[1]]

    run(test, tmp_path)


def test_keys_of_a_draining_target_move_without_a_failed_request(tmp_path):
    async def test(fleet):
        key = next(k for k in range(65536) if owners(fleet, k)[0] is fleet.targets[0])
        fleet.targets[0].state = "draining"
        statuses = []
        for _ in range(40):
            statuses.append((await fleet.ask("/owned/", key, 2)).status)
            await asyncio.sleep(0.05)
        assert set(statuses) == {200}
        assert owners(fleet, key) == [fleet.targets[1]]

    run(test, tmp_path)


def test_a_stopping_daemon_finishes_running_requests(tmp_path):
    async def test(fleet):
        fleet.targets[2].work_s = 1.0
        waiting = [asyncio.ensure_future(fleet.ask("/shared/", None, 2)) for _ in "abc"]
        await asyncio.sleep(0.3)
        fleet.daemons[2].send(signal.SIGTERM)
        answers = await asyncio.gather(*waiting)
        assert [answer.status for answer in answers] == [200, 200, 200]

    run(test, tmp_path)


def test_a_booking_whose_daemon_is_killed_runs_once_and_may_have_run(tmp_path):
    # The target's daemon is killed while the target runs a booking. The caller must not
    # be told that it did not run, since it may have.
    async def test(fleet):
        fleet.targets[2].work_s = 0.5
        waiting = asyncio.ensure_future(fleet.ask("/shared/", None, 0, "booking"))
        while "booking" not in fleet.targets[2].begun:
            await asyncio.sleep(0.01)
        fleet.daemons[2].kill()
        answer = await waiting
        assert answer.status in (502, 504)
        fleet.daemons[2].start()
        await asyncio.sleep(1.0)
        assert fleet.targets[2].begun.count("booking") == 1

    run(test, tmp_path)


def test_an_accepted_order_survives_a_kill_of_all_control_vms(tmp_path):
    # All control VMs are killed right after an order was accepted, and restarted.
    async def test(fleet):
        answer = await fleet.order("/api/evacuation/zone-x/start")
        assert answer.status == 200
        for control in fleet.controls:
            control.kill()
        for control in fleet.controls:
            control.start()
        answer = await fleet.order("/api/config/read")
        assert b'"version":"r1"' in answer.body

    run(test, tmp_path)


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_calls_of_unknown_paths_are_refused(tmp_path, method):
    async def test(fleet):
        host = fleet.control_hosts[0]
        answer = await call(host, 18620, method, "/api/none", [("Host", "x")])
        assert answer.status == 404

    run(test, tmp_path, services=("owned", "shared"))
