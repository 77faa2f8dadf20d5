"""A daemon's session with the leading control VM.

The daemon sends reports; the leader answers with leases and sends updates of the view.
"""

import asyncio
import collections
import contextlib

from tamarackhaven._clock import boot_s
from tamarackhaven.fleet._addresses import KnownAddresses
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    LeaderHint,
    LeaseGrant,
    Report,
)
from tamarackhaven.net import dial

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
# All control VMs are queried again after the maximum, or after the minimum if all of
# them have answered by then.
MAX_SEARCH_ROUND_S = 0.7
MIN_SEARCH_ROUND_S = 0.1
# A leader that closes the link on a daemon's report, or fails on it, would get the same
# report again at once, a thousand times a second. After a session without an answer the
# next one waits for the minimum, then for twice as long each time, up to the maximum.
MIN_SESSION_PAUSE_S = 0.05
MAX_SESSION_PAUSE_S = 0.8
# A congested link delays a query and its answer by seconds.
HELLO_TIMEOUT_S = 4.0
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
        self._make_hello = make_hello
        self._make_report = make_report
        self._on_view_message = on_view_message
        self._on_grant = on_grant
        self._seeds = seeds
        self._log = log
        self._known_addresses = KnownAddresses()
        self._last_number = 0
        self._requested_s_by_number = collections.OrderedDict()
        self._last_answered_number = 0
        self._report_due = asyncio.Event()
        self._link_closed = asyncio.Event()
        self._answer_received = asyncio.Event()
        self._session = None
        # Of the newest leader that a quorum has confirmed to this daemon.
        self._confirmed_term = 0
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
                session = await self._find_leader()
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
                    silent_s=round(boot_s() - self.confirmed_s, 3),
                    **self.view_fields(),
                )
                if self.confirmed_s > answered_s:
                    pause_s = MIN_SESSION_PAUSE_S
                    continue
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_SESSION_PAUSE_S)
        finally:
            if self._session is not None:
                self._session.link.abort()

    # Search.

    async def _find_leader(self):
        """Query all control VMs until one leads; return a session with it.

        A session that has fallen silent is continued if its leader is the first to
        answer.

        On a congested link an answer takes seconds. If each query were cancelled before
        the next round, the daemon would use an old configuration for as long as the
        link is congested. So queries of several rounds overlap, and each has the time
        that the most congested links need; after the loss of a leader, a new one is
        still looked for several times a second.
        """
        queries = set()
        found = None
        try:
            while found is None:
                addresses = dict.fromkeys([*self._known_addresses, *self._seeds()])
                round_queries = {
                    asyncio.create_task(self._query(each)) for each in addresses
                }
                queries |= round_queries
                found = await self._first_session(queries, round_queries)
        finally:
            await _cancel_queries(queries)
        return found

    async def _first_session(self, queries, round_queries):
        """Return the first session with a leader in this round, else None."""
        answer_task = asyncio.create_task(self._answer_received.wait())
        early_end_s = boot_s() + MIN_SEARCH_ROUND_S
        round_end_s = boot_s() + MAX_SEARCH_ROUND_S
        try:
            while (
                left_s := (round_end_s if round_queries else early_end_s) - boot_s()
            ) > 0:
                done, _ = await asyncio.wait(
                    {*queries, answer_task},
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if answer_task in done:
                    return self._session
                queries -= done
                round_queries -= done
                found = [task.result() for task in done if task.result() is not None]
                for extra in found[1:]:
                    extra.link.abort()
                if found:
                    return found[0]
        finally:
            answer_task.cancel()
        return None

    async def _query(self, address):
        """Return a session with the control VM at an address if it leads, else None."""
        hints = asyncio.Queue()
        session = _Session(self, hints, address[0])
        deadline_s = boot_s() + HELLO_TIMEOUT_S
        try:
            link = session.link = await dial(
                address,
                CONTROL_CODEC,
                session.on_message,
                session.on_closed,
                HELLO_TIMEOUT_S,
            )
        except OSError:
            return None
        try:
            link.send(self._make_hello())
            hint = await asyncio.wait_for(hints.get(), max(deadline_s - boot_s(), 0.0))
        except TimeoutError:
            link.abort()
            return None
        except asyncio.CancelledError:
            link.abort()
            raise
        if hint is None:
            return None
        self._known_addresses.add(hint.control)
        session.term = hint.term
        if hint.is_leader and not self._is_deposed(session):
            return session
        link.abort()
        return None

    def _is_deposed(self, session):
        """Whether a control VM that says that it leads has been replaced since.

        A leader that is cut off from its group doesn't know it yet. A daemon that took
        it would get old news from it until its first report times out.
        """
        if session.term >= self._confirmed_term:
            return False
        self._log.say(
            "deposed leader passed over",
            host=session.host,
            term=session.term,
            confirmed_term=self._confirmed_term,
        )
        return True

    # Session.

    async def _run_session(self, session):
        """Send reports until the leader stops answering or the link is closed."""
        self._switch_to(session)
        link = session.link
        started_s = boot_s()
        self._answer_received.clear()
        while link.is_open:
            now = boot_s()
            if self._is_lost(link, started_s, now):
                break
            self._send_report(link, now)
            self._report_due.clear()
            wakeups = [
                asyncio.create_task(self._report_due.wait()),
                asyncio.create_task(self._link_closed.wait()),
            ]
            await asyncio.wait(
                wakeups, timeout=REPORT_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
            )
            for wakeup in wakeups:
                wakeup.cancel()
        self._answer_received.clear()

    def _switch_to(self, session):
        """Replace the former session, unless ``session`` is that one."""
        if session is self._session:
            return
        if self._session is not None:
            self._session.link.abort()
        self._session = session
        self._link_closed.clear()
        self._requested_s_by_number.clear()
        self._last_answered_number = self._last_number
        self.on_session_begun()
        session.begin()

    def _is_lost(self, link, started_s, now):
        """Whether the leader hasn't answered for too long.

        Times are in seconds of the boot clock.
        """
        requested_s = max(self._oldest_unanswered_s(now), started_s)
        if now - requested_s > BUSY_REPORT_TIMEOUT_S:
            return True
        return now - max(requested_s, link.last_received_s) > REPORT_TIMEOUT_S

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

    def on_session_message(self, session, message):
        """Handle a message of the leader."""
        if session is not self._session:
            return
        if isinstance(message, LeaseGrant):
            requested_s = self._requested_s_by_number.get(message.number)
            self._last_answered_number = max(self._last_answered_number, message.number)
            if requested_s is not None:
                self.confirmed_s = boot_s()
                self._confirmed_term = max(self._confirmed_term, message.grant.term)
                self._on_grant(message, requested_s)
            self._answer_received.set()
        elif not isinstance(message, LeaderHint | Report):
            self._on_view_message(message)

    def on_session_closed(self, session):
        """Wake the loop that sends reports, since the link of its session is closed."""
        if session is self._session:
            self._link_closed.set()


async def _cancel_queries(queries):
    """Cancel queries; abort the links of those that have just found a leader."""
    for task in queries:
        task.cancel()
    for result in await asyncio.gather(*queries, return_exceptions=True):
        if isinstance(result, _Session):
            result.link.abort()


class _Session:
    """Passes the hint on a link to the search, and other messages to the session.

    Two control VMs may both claim to lead, and then one link isn't used. If its closing
    counted as that of the link in use, reports would follow each other without a pause.
    So messages and the closing of a link are ignored until its session begins, and only
    one session is in use at a time.
    """

    def __init__(self, owner, hints, host):
        self._owner = owner
        self._hints = hints
        self.host = host
        self.term = None
        self._early_messages = []
        self._has_begun = False
        self.link = None

    def begin(self):
        """Deliver the messages received so far, and from now on each new one."""
        self._has_begun = True
        for message in self._early_messages:
            self._owner.on_session_message(self, message)
        self._early_messages = []

    def on_message(self, _link, message):
        if self._has_begun:
            self._owner.on_session_message(self, message)
        elif isinstance(message, LeaderHint):
            self._hints.put_nowait(message)
        else:
            self._early_messages.append(message)

    def on_closed(self, _link):
        with contextlib.suppress(asyncio.QueueFull):
            self._hints.put_nowait(None)
        if self._has_begun:
            self._owner.on_session_closed(self)
