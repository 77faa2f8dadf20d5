"""Waits for the leader's permit to run a suspect at one target."""

import asyncio
import collections

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet._suspects import SuspectPhase
from tamarackhaven.sidecar._pulse import ChangeSignal

# A permit takes a tenth of a second. Callers wait for it for at most this fraction of
# the time left: the request still has to run.
PERMIT_WAIT_FRACTION = 0.5
# When a refused suspect may be tried again: by then it has been answered or is
# quarantined.
SUSPECT_RETRY_S = 0.5
# A quarantine lasts for many minutes; this only makes callers' retries rare.
QUARANTINE_RETRY_S = 60.0
# Requests that become suspects together ask in one report.
MIN_REPORT_INTERVAL_S = 0.02


class Permits:
    """The permits that this daemon's callers wait for, and those in use.

    Parameters
    ----------
    suspects : KnownSuspects
        Says which requests need a permit.
    view : View
        Says whether a leader answers.
    log : Log
        Log of the part ``caller``.
    metrics : Metrics
        Metrics of the process.

    Attributes
    ----------
    report_now : callable
        Sends a report without waiting for the interval.
    """

    def __init__(self, suspects, view, log, metrics):
        self._suspects = suspects
        self._view = view
        self._log = log
        self._metrics = metrics
        self._waiting_by_request = collections.Counter()
        self._first_report_by_request = {}
        self._unused = set()
        self._in_use = set()
        self._changed = ChangeSignal()
        self._last_report_s = float("-inf")
        self._report_timer = None
        self.report_now = lambda: None

    async def acquire(self, pending):
        """Wait until a pending request may be sent; return whether it has a permit.

        A request that isn't a suspect needs none.

        Raises
        ------
        TamarackhavenError
            REQUEST_QUARANTINED, or REQUEST_SUSPECT if there is no permit in time.
        """
        request = pending.request.digest
        if not self._must_wait(request):
            return False
        started_s = boot_s()
        wait_until_s = started_s + PERMIT_WAIT_FRACTION * (
            pending.deadline_s - started_s
        )
        self._waiting_by_request[request] += 1
        self.report_soon()
        try:
            while self._must_wait(request):
                if request in self._unused:
                    self._unused.discard(request)
                    self._in_use.add(request)
                    self._record(pending, "granted", started_s)
                    return True
                await self._wait(pending, wait_until_s, started_s)
        finally:
            self._leave(request)
        return False

    def check(self, request):
        """Raise an error if a request is quarantined.

        Raises
        ------
        TamarackhavenError
            REQUEST_QUARANTINED.
        """
        self._must_wait(request)

    def note_suspect(self, request):
        """Record that another daemon has refused a request as a suspect."""
        self._suspects.note_suspect(request, boot_s())

    def _must_wait(self, request):
        """Whether a request is a suspect.

        Raises
        ------
        TamarackhavenError
            REQUEST_QUARANTINED.
        """
        phase = self._suspects.phase(request, boot_s())
        if phase is SuspectPhase.QUARANTINED:
            raise TamarackhavenError(
                ErrorKind.REQUEST_QUARANTINED, request.hex(), QUARANTINE_RETRY_S
            )
        return phase is SuspectPhase.SUSPECT

    async def _wait(self, pending, wait_until_s, started_s):
        """Wait for a change of permits or suspects."""
        now = boot_s()
        if now >= wait_until_s or not self._view.is_confirmed(now):
            self._record(pending, "not granted", started_s)
            raise TamarackhavenError(
                ErrorKind.REQUEST_SUSPECT, pending.request.digest.hex(), SUSPECT_RETRY_S
            )
        await self._changed.wait(min(wait_until_s - now, SUSPECT_RETRY_S))

    def _record(self, pending, outcome, started_s):
        self._metrics.count("tamarackhaven_suspect_permits_total", outcome=outcome)
        request = pending.request.digest
        self._log.say(
            f"permit {outcome}",
            request_id=pending.request.attempt_id,
            request=request.hex(),
            ends=self._suspects.end_count(request, boot_s()),
            waited_s=round(boot_s() - started_s, 3),
            view_age_s=self._view.configuration_stamp(boot_s()).age_s,
        )

    def _leave(self, request):
        self._waiting_by_request[request] -= 1
        if self._waiting_by_request[request] > 0:
            return
        del self._waiting_by_request[request]
        self._first_report_by_request.pop(request, None)
        self._unused.discard(request)

    def release(self, request):
        """Give a permit back after the run that it was for."""
        self._in_use.discard(request)
        # A permit that is on its way was given before the leader knew of this run.
        self._first_report_by_request.pop(request, None)
        self.report_soon()

    def notify_changed(self):
        """Let waiting requests look at the suspects again."""
        self._changed.notify_all()

    # Reports.

    def wanted(self, number):
        """Return the requests that wait, as a tuple, for the report ``number``."""
        wanted = tuple(self._waiting_by_request)
        for request in wanted:
            self._first_report_by_request.setdefault(request, number)
        return wanted

    def held(self):
        """Return the requests with a permit, as a set."""
        return self._unused | self._in_use

    def apply_grant(self, grant, requested_s):
        """Take the permits of a ``LeaseGrant`` for the report sent at ``requested_s``.

        A permit from before a request began to wait may have been given to another
        daemon since.
        """
        if boot_s() - requested_s >= grant.lease_s:
            return
        for request in grant.trials:
            first_report = self._first_report_by_request.get(request)
            is_for_waiting = first_report is not None and first_report <= grant.number
            if is_for_waiting and request not in self._in_use:
                self._unused.add(request)
        if grant.trials:
            self._changed.notify_all()

    def report_soon(self):
        """Report at once, or as soon as the interval has passed since the last time."""
        if self._report_timer is not None:
            return
        wait_s = max(self._last_report_s + MIN_REPORT_INTERVAL_S - boot_s(), 0.0)
        loop = asyncio.get_running_loop()
        self._report_timer = loop.call_later(wait_s, self._report)

    def _report(self):
        self._report_timer = None
        self._last_report_s = boot_s()
        self.report_now()
