"""Finds processes of a fleet that use a whole core, by the operating system's count."""

import time

LOOK_S = 1.0
# Part of a core, and for how long: no process of a fleet this small has so much to do.
WHOLE_CORE = 0.9
TOO_LONG_S = 4.0


class BusyWatch:
    """Looks at the processor time of all processes again and again.

    Parameters
    ----------
    processes : callable
        Gives the ``Process`` objects as they are now.
    records : Records
        Of the run.
    """

    def __init__(self, processes, records):
        self._processes = processes
        self._records = records
        self._used_s_by_pid = {}
        self._busy_since_s_by_pid = {}
        self._looked_s = time.monotonic()

    def look(self):
        """Compare with the last look."""
        now = time.monotonic()
        passed_s, self._looked_s = now - self._looked_s, now
        used_s_by_pid = {}
        for process in self._processes():
            used_s = process.processor_s
            if used_s is None:
                continue
            used_s_by_pid[process.pid] = used_s
            before_s = self._used_s_by_pid.get(process.pid, used_s)
            self._note(process, (used_s - before_s) / passed_s, now)
        self._used_s_by_pid = used_s_by_pid

    def _note(self, process, part, now):
        self._records.most_busy = max(self._records.most_busy, part)
        if part < WHOLE_CORE:
            self._busy_since_s_by_pid.pop(process.pid, None)
            return
        busy_s = now - self._busy_since_s_by_pid.setdefault(process.pid, now)
        if busy_s >= TOO_LONG_S:
            self._records.breaks("a whole core", f"{process.name} for {busy_s:.0f} s")
