"""Real processes: control VMs that are lost, replaced, or have lost their disk."""

import asyncio
import itertools

from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(61)
# By then the group must have all its voters again, to survive the next loss.
REPAIR_TIMEOUT_S = 4.0


def run(test, tmp_path):
    real_fleet.run(
        test, (tmp_path, ("owned", "owned", "shared"), next(NETWORK_NUMBERS))
    )


def test_a_group_survives_a_lost_disk_after_a_newcomer_without_the_leaders_address(
    tmp_path,
):
    # A newcomer's seeds don't include the leader. If it asked only them, it would never
    # become a member, and the next lost disk would leave the group without a quorum.
    async def test(fleet):
        leader = await fleet.leader()
        gone, follower = [n for n in range(3) if n != leader]
        seeds = [fleet.control_hosts[gone], fleet.control_hosts[follower]]
        fleet.replace_control(gone, seeds)
        await asyncio.sleep(REPAIR_TIMEOUT_S)
        fleet.wipe_control(fleet.controls[leader])
        answer = await fleet.order("/api/config/read")
        assert b'"version":"r1"' in answer.body

    run(test, tmp_path)
