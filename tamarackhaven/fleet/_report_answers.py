"""Answers daemons' reports with leases once a quorum has confirmed the leader."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import TamarackhavenError

# Reports received within this time share one quorum confirmation. The delay is small
# compared with a lease.
CONFIRM_BATCH_S = 0.08


class ReportAnswers:
    """Queue of unanswered reports, with the newest one of each daemon.

    Only the newest of a daemon's queued reports is answered. Otherwise a daemon that
    reports without a pause would saturate the leader's CPU.

    Parameters
    ----------
    read : callable
        Coroutine function; returns once a quorum has confirmed that this member leads,
        and raises ``TamarackhavenError`` if none does.
    leadership : callable
        Returns the ``Leadership`` in force, None if there is none.
    machine : FleetMachine
        Of the member.
    sessions : DaemonSessions
        Of the daemons that report.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, read, leadership, machine, sessions, metrics):
        self._read = read
        self._leadership = leadership
        self._machine = machine
        self._sessions = sessions
        self._metrics = metrics
        self._report_by_link = {}
        self._confirm_task = None

    def add(self, link, report):
        """Queue a report for an answer on ``link``."""
        self._report_by_link[link] = report
        if self._confirm_task is None:
            loop = asyncio.get_running_loop()
            self._confirm_task = loop.create_task(self._confirm())

    async def _confirm(self):
        """Answer queued reports once a quorum has confirmed this leader.

        The quorum does so in a round that began after the reports were received.
        """
        try:
            while self._report_by_link:
                await asyncio.sleep(CONFIRM_BATCH_S)
                report_by_link, self._report_by_link = self._report_by_link, {}
                leadership = self._leadership()
                try:
                    await self._read()
                except TamarackhavenError:
                    # No longer the leader; the daemons look for the next one.
                    continue
                if leadership is not None and leadership is self._leadership():
                    self._grant(leadership, report_by_link)
        finally:
            self._confirm_task = None

    def _grant(self, leadership, report_by_link):
        with self._machine.lock:
            state = self._machine.state
            for link, report in report_by_link.items():
                # A change may have been applied that waits to be sent. The daemon would
                # take the answer, which names it, for a sign that it was lost.
                self._sessions.send_updates_on(link, state)
                daemon = self._sessions.daemon(link)
                link.send(leadership.grant(report, state, boot_s(), daemon))
        self._metrics.count(
            "tamarackhaven_fleet_reports_answered_total", len(report_by_link)
        )
