"""A daemon's session with the leading control VM.

The daemon sends reports; the leader answers with leases and sends updates of the view.
"""

import asyncio
import collections

from tamarackhaven._clock import boot_s
from tamarackhaven.fleet._messages import LeaseGrant, Report
from tamarackhaven.sidecar._leader_search import LeaderSearch

# The lease is renewed several times before it expires, and a leader is notified of a
# change within this time even if a message is lost.
REPORT_INTERVAL_S = 0.4
# A leader answers a report within some milliseconds. If it doesn't within this time, it
# has lost its quorum, or the link is dead.
REPORT_TIMEOUT_S = 1.0
# An update of hundreds of routes on a small link delays the answers behind it. A
# session that was closed because of this would start again with the same update. So a
# link that still delivers data is kept for this long, which is less than a lease.
BUSY_REPORT_TIMEOUT_S = 2.5
# A leader that closes the link on a daemon's report, or fails on it, would get the same
# report again at once, a thousand times a second. After a session without an answer the
# next one waits for the minimum, then for twice as long each time, up to the maximum.
MIN_SESSION_PAUSE_S = 0.05
MAX_SESSION_PAUSE_S = 0.8
MAX_REMEMBERED_REPORTS = 16


class ControlLink:
    """Finds the leader, and keeps a session with it until it's lost.

    Parameters
    ----------
    make_hello : callable
        Returns the ``DaemonHello`` with the daemon's identity.
    make_report : callable
        ``make_report(number)`` returns a ``Report``.
    on_view_message : callable
        ``on_view_message(message)`` is called with each message about the view.
    on_grant : callable
        ``on_grant(grant, requested_s)`` is called with each ``LeaseGrant`` and with
        when its report was sent, in seconds of the boot clock.
    seeds : callable
        Returns the control addresses of the current settings, as (host, port).
    log : Log
        Log of the part ``control``.
    """

    def __init__(self, make_hello, make_report, on_view_message, on_grant, seeds, log):
        self._make_report = make_report
        self._on_view_message = on_view_message
        self._on_grant = on_grant
        self._log = log
        self._search = LeaderSearch(
            make_hello, seeds, self._on_newer_leader, self._on_session_closed, log
        )
        self._last_number = 0
        self._requested_s_by_number = collections.OrderedDict()
        self._last_answered_number = 0
        self._report_due = asyncio.Event()
        # Set when the session may have ended: its link, or the term of its leader.
        self._session_changed = asyncio.Event()
        self._answer_received = asyncio.Event()
        self._session = None
        self.on_session_begun = lambda: None
        # Returns fields of a log line that say what the view has.
        self.view_fields = dict
        self.confirmed_s = float("-inf")

    def send(self, message):
        """Send a message to the leader, if there is a session."""
        if self._session is not None:
            self._session.link.send(message)

    def report_now(self):
        """Send a report without waiting for the interval."""
        self._report_due.set()

    async def run(self):
        """Keep a session with the leader until cancelled."""
        pause_s = MIN_SESSION_PAUSE_S
        try:
            while True:
                session = await self._search.find(self._session, self._answer_received)
                is_former = session is self._session
                self._log.say(
                    "leader answers again" if is_former else "leader found",
                    host=session.host,
                    term=session.term,
                    **self.view_fields(),
                )
                answered_s = self.confirmed_s
                await self._run_session(session)
                self._log.say(
                    "leader lost",
                    host=session.host,
                    term=session.term,
                    newest_term=self._search.newest_term,
                    silent_s=round(boot_s() - self.confirmed_s, 3),
                    **self.view_fields(),
                )
                if self.confirmed_s > answered_s:
                    pause_s = MIN_SESSION_PAUSE_S
                    continue
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_SESSION_PAUSE_S)
        finally:
            self._search.close()
            if self._session is not None:
                self._session.abort()

    # Session.

    async def _run_session(self, session):
        """Send reports until the leader stops answering, or the session has ended."""
        self._switch_to(session)
        link = session.link
        started_s = boot_s()
        self._answer_received.clear()
        while link.is_open and not self._search.is_deposed(session):
            now = boot_s()
            left_s = self._silence_left_s(link, started_s, now)
            if left_s < 0:
                break
            self._send_report(link, now)
            self._search.watch_others(session, now)
            await self._wait_for_report(min(REPORT_INTERVAL_S, left_s))
        self._answer_received.clear()

    async def _wait_for_report(self, timeout_s):
        """Wait until a report is due, or the session may have ended."""
        self._report_due.clear()
        wakeups = [
            asyncio.create_task(self._report_due.wait()),
            asyncio.create_task(self._session_changed.wait()),
        ]
        await asyncio.wait(
            wakeups, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        self._session_changed.clear()
        for wakeup in wakeups:
            wakeup.cancel()

    def _switch_to(self, session):
        """Replace the former session, unless ``session`` is that one."""
        if session is self._session:
            return
        if self._session is not None:
            self._session.abort()
        self._session = session
        self._search.end_watch(session.host)
        self._session_changed.clear()
        self._requested_s_by_number.clear()
        self._last_answered_number = self._last_number
        self.on_session_begun()
        session.begin(lambda message: self._on_session_message(session, message))

    def _silence_left_s(self, link, started_s, now):
        """Return for how long the leader may still not answer, below 0 for too long.

        Times are in seconds of the boot clock.
        """
        requested_s = max(self._oldest_unanswered_s(now), started_s)
        received_s = max(requested_s, link.last_received_s)
        until_s = min(
            requested_s + BUSY_REPORT_TIMEOUT_S, received_s + REPORT_TIMEOUT_S
        )
        return until_s - now

    def _oldest_unanswered_s(self, now):
        for number, requested_s in self._requested_s_by_number.items():
            if number > self._last_answered_number:
                return requested_s
        return now

    def _send_report(self, link, now):
        self._last_number += 1
        self._requested_s_by_number[self._last_number] = now
        while len(self._requested_s_by_number) > MAX_REMEMBERED_REPORTS:
            self._requested_s_by_number.popitem(last=False)
        link.send(self._make_report(self._last_number))

    def _on_session_message(self, session, message):
        if session is not self._session:
            return
        if isinstance(message, LeaseGrant):
            self._on_answer(session, message)
        elif not isinstance(message, Report):
            self._on_view_message(message)

    def _on_answer(self, session, answer):
        requested_s = self._requested_s_by_number.get(answer.number)
        self._last_answered_number = max(self._last_answered_number, answer.number)
        if requested_s is not None:
            self.confirmed_s = boot_s()
            self._search.note_term(answer.grant.term)
            self._on_grant(answer, requested_s)
        if not self._search.is_deposed(session):
            self._answer_received.set()

    def _on_session_closed(self, session):
        if session is self._session:
            self._session_changed.set()

    def _on_newer_leader(self):
        self._session_changed.set()
