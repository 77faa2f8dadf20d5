"""A daemon's session with the leading control VM.

The daemon sends reports; the leader answers with leases and sends updates of the view.
"""

import asyncio
import collections
import contextlib

from tamarackhaven._clock import boot_s
from tamarackhaven.fleet._addresses import HeardAddresses
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    LeaderHint,
    LeaseGrant,
    Report,
)
from tamarackhaven.net import dial

# The lease is renewed several times before it expires, and a leader is notified of a
# change within this time even if a message is lost.
REPORT_S = 0.4
# A leader answers a report within some milliseconds. If it doesn't within this time, it
# has lost its quorum, or the link is dead.
UNANSWERED_S = 1.0
# An update of hundreds of routes on a small link delays the answers behind it. A
# session that was closed because of this would start again with the same update. So a
# link that still delivers data is kept for this long, which is less than a lease.
UNANSWERED_BUSY_S = 2.5
# All control VMs are queried again after the maximum, or after the minimum if all of
# them have answered by then.
ROUND_S = 0.7
SEARCH_PAUSE_S = 0.1
# A congested link delays a query and its answer by seconds.
ASK_TIMEOUT_S = 4.0
REPORTS_REMEMBERED = 16


class ControlLink:
    """Finds the leader, and keeps a session with it until it's lost.

    Parameters
    ----------
    make_hello : callable
        Returns the ``DaemonHello`` with the daemon's identity and the parts of the view
        that it has.
    make_report : callable
        ``make_report(number)`` returns a ``Report``.
    take : callable
        ``take(message)`` is called with each message about the view.
    take_grant : callable
        ``take_grant(grant, asked_s)`` is called with each ``LeaseGrant`` and with when
        its report was sent, in seconds of the boot clock.
    seeds : callable
        Returns the control addresses of the current settings, as (host, port).
    log : Log
        Log of the part ``control``.
    """

    def __init__(self, make_hello, make_report, take, take_grant, seeds, log):
        self._make_hello = make_hello
        self._make_report = make_report
        self._take = take
        self._take_grant = take_grant
        self._seeds = seeds
        self._log = log
        self._known = HeardAddresses()
        self._number = 0
        self._asked_s_by_number = collections.OrderedDict()
        self._answered = 0
        self._urgent = asyncio.Event()
        self._closed = asyncio.Event()
        self._revived = asyncio.Event()
        self._session = None
        self.confirmed_s = float("-inf")

    def kick(self):
        """Send a report without waiting for the interval."""
        self._urgent.set()

    async def run(self):
        """Keep a session with the leader until cancelled."""
        try:
            while True:
                session = await self._find_leader()
                is_former = session is self._session
                self._log.say("leader answers again" if is_former else "leader found")
                await self._keep(session)
                self._log.say(
                    "leader lost", silent_s=round(boot_s() - self.confirmed_s, 3)
                )
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
        asking = set()
        found = None
        try:
            while found is None:
                addresses = dict.fromkeys([*self._known, *self._seeds()])
                newest = {asyncio.create_task(self._ask(each)) for each in addresses}
                asking |= newest
                found = await self._first_answer(asking, newest)
        finally:
            await _give_up(asking)
        return found

    async def _first_answer(self, asking, newest):
        """Return the first session with a leader in this round, else None."""
        revived = asyncio.create_task(self._revived.wait())
        next_s = boot_s() + SEARCH_PAUSE_S
        ends_s = boot_s() + ROUND_S
        try:
            while (left_s := (ends_s if newest else next_s) - boot_s()) > 0:
                done, _ = await asyncio.wait(
                    {*asking, revived},
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if revived in done:
                    return self._session
                asking -= done
                newest -= done
                found = [task.result() for task in done if task.result() is not None]
                for spare in found[1:]:
                    spare.link.abort()
                if found:
                    return found[0]
        finally:
            revived.cancel()
        return None

    async def _ask(self, address):
        """Return a session with the control VM at an address if it leads, else None."""
        hints = asyncio.Queue()
        session = _Session(self, hints)
        ends_s = boot_s() + ASK_TIMEOUT_S
        try:
            link = session.link = await dial(
                address,
                CONTROL_CODEC,
                session.on_message,
                session.on_closed,
                ASK_TIMEOUT_S,
            )
        except OSError:
            return None
        try:
            link.send(self._make_hello())
            hint = await asyncio.wait_for(hints.get(), max(ends_s - boot_s(), 0.0))
        except TimeoutError:
            link.abort()
            return None
        except asyncio.CancelledError:
            link.abort()
            raise
        if hint is None:
            return None
        self._known.add(hint.control)
        if hint.is_leader:
            return session
        link.abort()
        return None

    # Session.

    async def _keep(self, session):
        """Send reports until the leader stops answering or the link is closed."""
        self._begin(session)
        link = session.link
        started_s = boot_s()
        self._revived.clear()
        while link.is_open:
            now = boot_s()
            if self._is_lost(link, started_s, now):
                break
            self._report(link, now)
            self._urgent.clear()
            waits = [
                asyncio.create_task(self._urgent.wait()),
                asyncio.create_task(self._closed.wait()),
            ]
            await asyncio.wait(
                waits, timeout=REPORT_S, return_when=asyncio.FIRST_COMPLETED
            )
            for wait in waits:
                wait.cancel()
        self._revived.clear()

    def _begin(self, session):
        """Replace the former session, unless ``session`` is that one."""
        if session is self._session:
            return
        if self._session is not None:
            self._session.link.abort()
        self._session = session
        self._closed.clear()
        self._asked_s_by_number.clear()
        self._answered = self._number
        session.begin()

    def _is_lost(self, link, started_s, now):
        """Whether the leader hasn't answered for too long.

        Times are in seconds of the boot clock.
        """
        asked_s = max(self._oldest_unanswered_s(now), started_s)
        if now - asked_s > UNANSWERED_BUSY_S:
            return True
        return now - max(asked_s, link.heard_at_s) > UNANSWERED_S

    def _oldest_unanswered_s(self, now):
        for number, asked_s in self._asked_s_by_number.items():
            if number > self._answered:
                return asked_s
        return now

    def _report(self, link, now):
        self._number += 1
        self._asked_s_by_number[self._number] = now
        while len(self._asked_s_by_number) > REPORTS_REMEMBERED:
            self._asked_s_by_number.popitem(last=False)
        link.send(self._make_report(self._number))

    def on_session_message(self, session, message):
        """Handle a message of the leader."""
        if session is not self._session:
            return
        if isinstance(message, LeaseGrant):
            asked_s = self._asked_s_by_number.get(message.number)
            self._answered = max(self._answered, message.number)
            if asked_s is not None:
                self.confirmed_s = boot_s()
                self._take_grant(message, asked_s)
            self._revived.set()
        elif not isinstance(message, LeaderHint | Report):
            self._take(message)

    def on_session_closed(self, session):
        """Wake the loop that sends reports, since the link of its session is closed."""
        if session is self._session:
            self._closed.set()


async def _give_up(asking):
    """Cancel queries; abort the links of those that have just found a leader."""
    for task in asking:
        task.cancel()
    for result in await asyncio.gather(*asking, return_exceptions=True):
        if isinstance(result, _Session):
            result.link.abort()


class _Session:
    """Passes the hint on a link to the search, and other messages to the session.

    Two control VMs may both claim to lead, and then one link isn't used. If its closing
    counted as that of the link in use, reports would follow each other without a pause.
    So messages and the closing of a link are ignored until its session begins, and only
    one session is in use at a time.
    """

    def __init__(self, owner, hints):
        self._owner = owner
        self._hints = hints
        self._early = []
        self._has_begun = False
        self.link = None

    def begin(self):
        """Deliver the messages received so far, and from now on each new one."""
        self._has_begun = True
        for message in self._early:
            self._owner.on_session_message(self, message)
        self._early = []

    def on_message(self, _link, message):
        if self._has_begun:
            self._owner.on_session_message(self, message)
        elif isinstance(message, LeaderHint):
            self._hints.put_nowait(message)
        else:
            self._early.append(message)

    def on_closed(self, _link):
        with contextlib.suppress(asyncio.QueueFull):
            self._hints.put_nowait(None)
        if self._has_begun:
            self._owner.on_session_closed(self)
