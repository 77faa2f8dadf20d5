"""Watches the memory of processes, as the platform does."""

import asyncio
import re
from pathlib import Path

POLL_S = 0.005
RESTART_S = 0.5
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")


class MemoryLimit:
    """Kills a process that uses more memory than its machine has, and restarts it.

    Parameters
    ----------
    machines : sequence of Machine
        Whose processes are watched.
    limit_mb : int
        Of each process.
    record : Record
        Gets each end.
    """

    def __init__(self, machines, limit_mb, record):
        self._machines = machines
        self._limit_mb = limit_mb
        self._record = record
        self.killed = []
        self.peak_mb_by_name = {}

    async def run(self):
        """Watch until cancelled."""
        while True:
            for machine in self._machines:
                if machine.runs:
                    await self._check(machine)
            await asyncio.sleep(POLL_S)

    async def _check(self, machine):
        peak_mb = _peak_mb(machine.process.pid)
        known_mb = self.peak_mb_by_name.get(machine.name, 0)
        self.peak_mb_by_name[machine.name] = max(known_mb, peak_mb)
        if peak_mb <= self._limit_mb:
            return
        self._record.line(
            "platform kills a process over its memory",
            machine=machine.name,
            peak_mb=peak_mb,
            limit_mb=self._limit_mb,
        )
        self.killed.append(machine.name)
        machine.kill()
        await asyncio.sleep(RESTART_S)
        machine.start()


def _peak_mb(pid):
    try:
        found = _PEAK.search(Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return 0
    return int(found.group(1)) // 1024 if found else 0
