"""Answers daemons' reports with leases, once a quorum has confirmed the leader."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import TamarackhavenError

# Reports that come within this time share one round of heartbeats; it delays a lease
# by a small part of its length.
CONFIRM_BATCH_S = 0.08


class ReportAnswers:
    """The reports that wait for their answer, the newest one of each daemon.

    Load: a daemon that reports without a pause. Harm: an answer to each fills the
    leader's processor. Limit: those that wait together are answered once.

    Parameters
    ----------
    read : callable
        Awaitable; returns once a quorum has confirmed that this member leads, and
        raises ``TamarackhavenError`` if it doesn't.
    leadership : callable
        Gives the ``Leadership`` in force, None if there is none.
    machine : FleetMachine
        Of the member.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, read, leadership, machine, metrics):
        self._read = read
        self._leadership = leadership
        self._machine = machine
        self._metrics = metrics
        self._report_by_link = {}
        self._confirm_task = None

    def add(self, link, report):
        """Answer a report soon."""
        self._report_by_link[link] = report
        if self._confirm_task is None:
            loop = asyncio.get_running_loop()
            self._confirm_task = loop.create_task(self._confirm())

    async def _confirm(self):
        """Grant what was asked for, once a quorum has heard this leader after it."""
        try:
            while self._report_by_link:
                await asyncio.sleep(CONFIRM_BATCH_S)
                report_by_link, self._report_by_link = self._report_by_link, {}
                leadership = self._leadership()
                try:
                    await self._read()
                except TamarackhavenError:
                    # Not the leader any more; the daemons look for the next one.
                    continue
                if leadership is not None and leadership is self._leadership():
                    self._grant(leadership, report_by_link)
        finally:
            self._confirm_task = None

    def _grant(self, leadership, report_by_link):
        with self._machine.lock:
            state = self._machine.state
            for link, report in report_by_link.items():
                link.send(leadership.grant(report, state, boot_s()))
        self._metrics.count(
            "tamarackhaven_fleet_reports_answered_total", len(report_by_link)
        )
