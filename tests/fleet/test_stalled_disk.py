"""Real processes: a leading control VM whose disk stalls while keys move."""

import asyncio
import collections

from standin.fleet import Fleet

NETWORK_NUMBER = 63
STALL_S = 4.0
# Fraction of a core that a leader with a stalled disk may use; it has no work to do.
MAX_CPU_FRACTION = 0.5
# Changes that may be void because others superseded them. Each of two services has one
# open at a time.
MAX_VOID_CHANGES = 4


async def started(folder):
    fleet = Fleet(folder, ("owned", "owned", "owned", "shared"), NETWORK_NUMBER)
    for control in fleet.controls:
        control.may_stall()
    await fleet.start()
    return fleet


def void_changes(fleet):
    """Return the number of void changes of owners that each control VM applied."""
    counts = collections.Counter()
    for control in fleet.controls:
        for line in control.lines:
            is_change = line.get("command") == "AssignKeys"
            if is_change and line["outcome"] == "STALE_GRANT":
                counts[control.name] += 1
    return counts


def test_a_leader_with_a_stalled_disk_does_not_repeat_its_proposals(tmp_path):
    # Guards against a leader that saturates its CPU and its log with the same changes
    # while its disk stalls, so that no target serves the keys that move.
    async def main():
        fleet = await started(tmp_path)
        try:
            leader = fleet.controls[await fleet.leader()]
            before_s = leader.processor_s
            leader.stall()
            fleet.targets[0].state = "draining"
            await fleet.targets[1].stop()
            await asyncio.sleep(STALL_S)
            used_s = leader.processor_s - before_s
            leader.unstall()
            await fleet.until(fleet._serves, 20.0)
            await asyncio.sleep(1.0)
            assert used_s < MAX_CPU_FRACTION * STALL_S
            assert max(void_changes(fleet).values(), default=0) <= MAX_VOID_CHANGES
            for key in range(0, 65536, 4099):
                owners = [each for each in fleet.targets if each.holds(key)]
                assert owners == [fleet.targets[2]]
        finally:
            await fleet.stop()

    asyncio.run(main())
