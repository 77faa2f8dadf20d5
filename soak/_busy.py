"""Finds processes of a fleet that use a whole core, from their CPU time in /proc."""

import time

CHECK_INTERVAL_S = 1.0
# No process of a fleet this small has enough work to use this fraction of a core for
# this long; one that does so is in a busy loop.
BUSY_CORE_FRACTION = 0.9
MAX_BUSY_S = 4.0


class BusyWatch:
    """Checks the CPU time of all processes and reports those that use a whole core.

    Parameters
    ----------
    processes : callable
        Returns the current ``Process`` objects.
    records : Records
        Records of the run.
    """

    def __init__(self, processes, records):
        self._processes = processes
        self._records = records
        self._used_s_by_pid = {}
        self._busy_since_s_by_pid = {}
        self._checked_s = time.monotonic()

    def check(self):
        """Compare the CPU times with those of the previous check."""
        now_s = time.monotonic()
        elapsed_s, self._checked_s = now_s - self._checked_s, now_s
        used_s_by_pid = {}
        for process in self._processes():
            used_s = process.processor_s
            if used_s is None:
                continue
            used_s_by_pid[process.pid] = used_s
            previous_s = self._used_s_by_pid.get(process.pid, used_s)
            self._update(process, (used_s - previous_s) / elapsed_s, now_s)
        self._used_s_by_pid = used_s_by_pid

    def _update(self, process, core_fraction, now_s):
        self._records.max_core_fraction = max(
            self._records.max_core_fraction, core_fraction
        )
        if core_fraction < BUSY_CORE_FRACTION:
            self._busy_since_s_by_pid.pop(process.pid, None)
            return
        busy_s = now_s - self._busy_since_s_by_pid.setdefault(process.pid, now_s)
        if busy_s >= MAX_BUSY_S:
            self._records.report_violation(
                "a whole core", f"{process.name} for {busy_s:.0f} s"
            )
