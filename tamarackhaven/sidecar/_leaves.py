"""Waits until the control group has recorded that a target leaves."""

import asyncio
import collections

from tamarackhaven._clock import boot_s

# A target calls another daemon, or again, after a second without a reply.
RECORD_TIMEOUT_S = 0.8
# A report may be lost with the leader; it's repeated at this interval until then.
REPORT_INTERVAL_S = 0.1
# A daemon has one target at a time, and each leaves once; further lives are those that
# other writers name.
MAX_REMEMBERED_LIVES = 64


class Leaves:
    """The lives that the control group is asked to record, and those it has recorded.

    Parameters
    ----------
    report_now : callable
        Sends a report to the leader without waiting for the interval.
    log : Log
        Log of the daemon.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, report_now, log, metrics):
        self._report_now = report_now
        self._log = log
        self._metrics = metrics
        self._waiting = collections.Counter()
        self._recorded = collections.OrderedDict()
        self._changed = asyncio.Event()

    def unrecorded(self, leaving_life):
        """Return the lives for the next report, as a tuple.

        ``leaving_life`` is the present one if it leaves, else empty.
        """
        lives = set(self._waiting)
        if leaving_life and leaving_life not in self._recorded:
            lives.add(leaving_life)
        return tuple(sorted(lives))

    def apply_grant(self, grant):
        """Note the lives that are recorded, as the leader's answer says."""
        for life in grant.recorded_leaving:
            self._recorded[life] = None
            if len(self._recorded) > MAX_REMEMBERED_LIVES:
                self._recorded.popitem(last=False)
        if grant.recorded_leaving:
            self._changed.set()

    async def wait_recorded(self, life):
        """Return whether the control group has recorded a life in time."""
        if life in self._recorded:
            return True
        started_s = boot_s()
        self._waiting[life] += 1
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                while life not in self._recorded:
                    self._changed.clear()
                    self._report_now()
                    await self._wait_for_change()
        except TimeoutError:
            return self._note(life, "unrecorded", started_s)
        finally:
            self._waiting[life] -= 1
            self._waiting += collections.Counter()
        return self._note(life, "recorded", started_s)

    async def _wait_for_change(self):
        try:
            await asyncio.wait_for(self._changed.wait(), REPORT_INTERVAL_S)
        except TimeoutError:
            return

    def _note(self, life, outcome, started_s):
        """Count and log an outcome; return whether the life is recorded."""
        self._metrics.count("tamarackhaven_leaves_total", outcome=outcome)
        self._log.say(
            f"leave {outcome}", life=life, waited_s=round(boot_s() - started_s, 3)
        )
        return outcome == "recorded"
