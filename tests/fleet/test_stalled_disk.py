"""A leading control VM whose disk answers nothing while keys move, real processes."""

import asyncio
import collections

from standin.fleet import Fleet

NET = 63
STALL_S = 4.0
# Part of a core that a leader without a disk may use; it has nothing to do.
MOST_BUSY = 0.5
# Changes that others have made void; each of two services has one open at a time.
MOST_VOID = 4


async def started(folder):
    fleet = Fleet(folder, ("owned", "owned", "owned", "shared"), NET)
    for control in fleet.controls:
        control.may_stall()
    await fleet.start()
    return fleet


def void_changes(fleet):
    """Return how many changes of owners each control VM saw come to nothing."""
    counts = collections.Counter()
    for control in fleet.controls:
        for line in control.lines:
            is_change = line.get("command") == "AssignKeys"
            if is_change and line["outcome"] == "STALE_GRANT":
                counts[control.name] += 1
    return counts


def test_a_leader_without_a_disk_neither_proposes_nor_works_without_end(tmp_path):
    # Guards against: a leader that fills its processor and its log with the same
    # changes while its disk stalls, so that nobody serves the keys that move.
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
            assert used_s < MOST_BUSY * STALL_S
            assert max(void_changes(fleet).values(), default=0) <= MOST_VOID
            for key in range(0, 65536, 4099):
                owners = [each for each in fleet.targets if each.holds(key)]
                assert owners == [fleet.targets[2]]
        finally:
            await fleet.stop()

    asyncio.run(main())
