"""Case: many processes are killed at once, after a backend said that it leaves."""

import asyncio
import sys
import time

from review.lab2.case import main
from review.lab2.fleet import BOUNDS, CannotRunError, Fleet, Service

DOWN_S = 0.8
LATE_BEAT_S = 3.0
CONTACT_S = BOUNDS["contact_s"]
DRAIN_S = BOUNDS["drain_deadline_s"]
# How long the backend goes on serving after its call to leave was acknowledged.
SERVES_ON_S = 6.0


class DrainWatch:
    """Checks the rule DRAIN for one backend.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    record : Record
        Gets what breaks the rule.
    """

    def __init__(self, fleet, record):
        self._fleet = fleet
        self._record = record
        self._backend = None
        self._acknowledged_s = None
        self._killed_until_s_by_machine = {}
        self._core_back_s = float("-inf")
        self._at_by_attempt = {}
        self.broken = []
        self.late = []
        record.on_begun_attempt = self._on_begun

    def acknowledged(self, backend):
        """Note that the backend's call to leave has just been acknowledged."""
        self._backend = backend
        self._acknowledged_s = time.monotonic()

    def back(self, machines):
        """Note that machines have just been started again."""
        now = time.monotonic()
        for machine in machines:
            self._killed_until_s_by_machine[machine.name] = now
            if machine in self._fleet.controls:
                self._core_back_s = now

    def is_in_touch(self, machine, now):
        """Whether a machine ran and the core was stable for ``CONTACT_S``."""
        back_s = self._killed_until_s_by_machine.get(machine.name, float("-inf"))
        return now - max(back_s, self._core_back_s) > CONTACT_S

    def _on_begun(self, backend, attempt):
        now = time.monotonic()
        if backend is not self._backend or now - self._acknowledged_s <= DRAIN_S:
            return
        at = self._fleet.machine_by_attempt.get(attempt)
        passed = [self._fleet.daemon_of(backend)]
        if at is not None:
            passed.append(self._fleet.daemons[at])
        if all(self.is_in_touch(machine, now) for machine in passed):
            self.late.append(attempt)
            after_s = round(now - self._acknowledged_s, 3)
            self._record.line("RULE BROKEN DRAIN", request=attempt, after_s=after_s)


async def scenario(record, has_trouble):
    """Let a backend leave, and kill the leader and half of the daemons."""
    fleet = Fleet(
        [
            Service("tracker", 3, True, "safe", lambda: 0.16),
            Service("bookings", 3, False, "unsafe", lambda: 0.21),
        ],
        record,
    )
    watch = DrainWatch(fleet, record)
    tasks = []
    try:
        await fleet.start()
        tasks = [asyncio.create_task(fleet.load("bookings", 40.0))]
        await asyncio.sleep(4.0)
        leaving = fleet.backends_of("bookings")[0]
        leader = await fleet.leader()
        beat = await _late_beat(leaving)
        tasks.append(asyncio.create_task(_send_late(leaving, beat, record)))
        await asyncio.sleep(0.2)
        answer = await leaving.post("leave", {"born": leaving.born_ms})
        if answer is None or answer.status != 200:
            raise CannotRunError("the call to leave wasn't acknowledged")
        watch.acknowledged(leaving)
        record.line("leave acknowledged", backend=leaving.name)
        await asyncio.sleep(0.2)
        if leader is None:
            raise CannotRunError("no control VM leads")
        if has_trouble:
            await _kill_many(fleet, leader, leaving, watch, record)
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(SERVES_ON_S - DOWN_S - 0.2)
        await leaving.crash()
        await asyncio.sleep(2.5)
        if not watch.late:
            return []
        lost = [a for a in watch.late if a not in record.ended_runs]
        record.line("cut when the backend ended", requests=lost)
        return [
            f"{len(watch.late)} requests reached {leaving.name} more than {DRAIN_S} s"
            " after its call to leave was acknowledged, from machines in touch"
        ]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


async def _late_beat(backend):
    """Return the backend's next heartbeat, which is its last; it isn't sent yet."""
    sent_s = backend.last_beat_s
    while backend.last_beat_s == sent_s:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    backend.stop_heartbeats()
    return backend.beat()


async def _send_late(backend, beat, record):
    await asyncio.sleep(LATE_BEAT_S)
    answer = await backend.post("heartbeat", beat)
    status = answer.status if answer is not None else 0
    record.line("late heartbeat arrives", backend=backend.name, status=status)


async def _kill_many(fleet, leader, leaving, watch, record):
    """Kill the leader and half of the daemons, four machines of eleven."""
    daemon = fleet.daemon_of(leaving)
    others = [each for each in fleet.daemons if each is not daemon]
    killed = [leader, daemon, *others[: len(fleet.daemons) // 2 - 1]]
    record.line("killed at once", machines=[each.name for each in killed])
    for machine in killed:
        machine.kill()
    await asyncio.sleep(DOWN_S)
    for machine in killed:
        machine.start()
    watch.back(killed)
    record.line("started again", machines=[each.name for each in killed])


if __name__ == "__main__":
    main(scenario, sys.argv[1])
