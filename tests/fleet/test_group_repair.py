"""Real processes: control VMs that are gone, replaced, or without their disk."""

import asyncio
import itertools

from tests.fleet import real_fleet

NETS = itertools.count(61)
# The group must be whole again by then, so that the next loss is borne.
CATCH_UP_S = 4.0


def run(test, tmp_path):
    real_fleet.run(test, (tmp_path, ("owned", "owned", "shared"), next(NETS)))


def test_a_replaced_control_vm_that_is_not_told_the_leader_bears_the_next_lost_disk(
    tmp_path,
):
    # Guards against: a newcomer asks only addresses that don't lead, is never let in,
    # and the next lost disk ends the group.
    async def test(fleet):
        leader = await fleet.leader()
        gone, follower = [n for n in range(3) if n != leader]
        told = [fleet.control_hosts[gone], fleet.control_hosts[follower]]
        fleet.replace_control(gone, told)
        await asyncio.sleep(CATCH_UP_S)
        fleet.wipe_control(fleet.controls[leader])
        answer = await fleet.order("/api/config/read")
        assert b'"version":"r1"' in answer.body

    run(test, tmp_path)
