"""Finds the leading control VM, and learns from the others when that changes."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.fleet._addresses import KnownAddresses
from tamarackhaven.fleet._messages import CONTROL_CODEC
from tamarackhaven.net import dial
from tamarackhaven.sidecar._control_session import ControlSession

# All control VMs are queried again after the maximum; those without a link after the
# minimum if all of them have answered by then.
MAX_SEARCH_ROUND_S = 0.7
MIN_SEARCH_ROUND_S = 0.1
# A congested link delays a query and its answer by seconds.
HELLO_TIMEOUT_S = 4.0
# A control VM that ended is asked again after this time, so that it can say when
# another one leads.
WATCH_INTERVAL_S = 5.0


class LeaderSearch:
    """The control VMs that a daemon knows, and which of them leads.

    A leader whose log is stuck, or which is cut off from its group, is silent for
    seconds before its daemons give it up, and the next one may have acknowledged a
    change long before. So the links to control VMs that don't lead stay open, and they
    say on them when they know another leader.

    Parameters
    ----------
    make_hello : callable
        Returns the ``DaemonHello`` with the daemon's identity.
    seeds : callable
        Returns the control addresses of the current settings, as (host, port).
    on_newer_leader : callable
        Called when a leader of a newer term has become known.
    on_session_closed : callable
        ``on_session_closed(session)`` is called when a link is closed.
    log : Log
        Log of the part ``control``.

    Attributes
    ----------
    newest_term : int
        Of the newest leader that is known.
    """

    def __init__(self, make_hello, seeds, on_newer_leader, on_session_closed, log):
        self._make_hello = make_hello
        self._seeds = seeds
        self._on_newer_leader = on_newer_leader
        self._on_session_closed = on_session_closed
        self._log = log
        self._known_addresses = KnownAddresses()
        self._watched_by_address = {}
        self._watched_s = float("-inf")
        self._queried_all_s = float("-inf")
        # The control VM that has just announced, on a watched link, that it leads.
        self._announced = None
        self._leader_announced = asyncio.Event()
        # Queries that go on after a leader was found.
        self._late_queries = set()
        self.newest_term = 0

    @property
    def addresses(self):
        """All addresses of control VMs that are known, as a list of (host, port)."""
        return list(dict.fromkeys([*self._known_addresses, *self._seeds()]))

    def note_term(self, term):
        """Record that a leader of a term is known."""
        if term > self.newest_term:
            self.newest_term = term
            self._on_newer_leader()

    def is_deposed(self, session):
        """Whether a control VM that says that it leads has been replaced since."""
        return session.term < self.newest_term

    def close(self):
        """End all queries and close all links but those of sessions."""
        for task in self._late_queries:
            task.cancel()
        for session in tuple(self._watched_by_address.values()):
            session.abort()

    # Search.

    async def find(self, former, answer_received):
        """Query all control VMs until one leads; return a session with it.

        On a congested link an answer takes seconds. If each query were cancelled before
        the next round, the daemon would use an old configuration for as long as the
        link is congested. So queries of several rounds overlap, and each has the time
        that the most congested links need; after the loss of a leader, a new one is
        still looked for several times a second.

        Parameters
        ----------
        former : ControlSession or None
            A session that has fallen silent. It's continued if its leader is the first
            to answer, and no later one is known.
        answer_received : asyncio.Event
            Set when it has answered.
        """
        queries = set()
        found = self._take_announced()
        if found is not None:
            return found
        try:
            while found is None:
                round_queries = {
                    self._start_query(each) for each in self._addresses_to_query()
                }
                queries |= round_queries
                found = await self._first_session(
                    queries, round_queries, former, answer_received
                )
        finally:
            self._end_search(queries, round_queries)
        return found

    def _addresses_to_query(self):
        """Return the addresses to query in a round of the search.

        Control VMs with a link say on it when they know a leader. If all daemons
        queried them several times a second while there is none, the new connections
        could take the processor time that an election needs.
        """
        now = boot_s()
        if now - self._queried_all_s >= MAX_SEARCH_ROUND_S:
            self._queried_all_s = now
            return self.addresses
        return [each for each in self.addresses if each not in self._watched_by_address]

    def _start_query(self, address):
        return asyncio.get_running_loop().create_task(self._query(address))

    def _end_search(self, queries, round_queries):
        """Cancel the queries of earlier rounds.

        Those of the last round go on, so that each control VM has a link.
        """
        for task in queries:
            if task not in round_queries:
                task.cancel()
            self._end_later(task)

    def _end_later(self, task):
        self._late_queries.add(task)
        task.add_done_callback(self._end_late_query)

    def _end_late_query(self, task):
        self._late_queries.discard(task)
        session = None if task.cancelled() else task.result()
        if session is not None:
            session.abort()

    async def _first_session(self, queries, round_queries, former, answer_received):
        """Return the first session with a leader in this round, else None."""
        answer_task = asyncio.create_task(answer_received.wait())
        announcement_task = asyncio.create_task(self._leader_announced.wait())
        early_end_s = boot_s() + MIN_SEARCH_ROUND_S
        round_end_s = boot_s() + MAX_SEARCH_ROUND_S
        try:
            while (
                left_s := (round_end_s if round_queries else early_end_s) - boot_s()
            ) > 0:
                done, _ = await asyncio.wait(
                    {*queries, answer_task, announcement_task},
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if answer_task in done:
                    return former
                if announcement_task in done:
                    return self._take_announced()
                queries -= done
                round_queries -= done
                found = self._newest(task.result() for task in done)
                if found is not None:
                    return found
        finally:
            answer_task.cancel()
            announcement_task.cancel()
        return None

    def _newest(self, sessions):
        """Return the session with the newest leader, None without one.

        The links of the others are closed.
        """
        found = sorted((each for each in sessions if each), key=lambda each: each.term)
        for session in found[:-1]:
            session.abort()
        if not found:
            return None
        if self._passes_over(found[-1]):
            found[-1].abort()
            return None
        return found[-1]

    def _passes_over(self, session):
        """Whether a control VM that says that it leads isn't the newest leader.

        A leader that is cut off from its group doesn't know it yet. A daemon that took
        it would get old news from it until its first report times out.
        """
        if not self.is_deposed(session):
            return False
        self._log.say(
            "deposed leader passed over",
            host=session.host,
            term=session.term,
            newest_term=self.newest_term,
        )
        return True

    async def _query(self, address):
        """Return a session with the control VM at an address if it leads, else None."""
        session = ControlSession(address[0], self._on_hint, self._on_closed)
        deadline_s = boot_s() + HELLO_TIMEOUT_S
        try:
            session.link = await dial(
                address,
                CONTROL_CODEC,
                session.on_message,
                session.on_closed,
                HELLO_TIMEOUT_S,
            )
            session.link.send(self._make_hello())
            left_s = max(deadline_s - boot_s(), 0.0)
            await asyncio.wait_for(session.has_answered.wait(), left_s)
        except OSError:
            # Includes a timeout of either step.
            session.abort()
            return None
        except asyncio.CancelledError:
            session.abort()
            raise
        if session.hint is None:
            return None
        if session.hint.is_leader:
            return session
        self._watch(address, session)
        return None

    def _on_hint(self, session, hint):
        self._known_addresses.add(hint.control)
        if hint.is_leader and session in self._watched_by_address.values():
            self._announced = session
            self._leader_announced.set()
        # The term alone may be that of a candidate who is never elected.
        if hint.is_leader or hint.leader is not None:
            self.note_term(hint.term)

    def _take_announced(self):
        """Return the session on which a control VM has said that it leads, or None."""
        session, self._announced = self._announced, None
        self._leader_announced.clear()
        if session is None or not session.link.is_open or self.is_deposed(session):
            return None
        self._forget(session)
        return session

    # Links to control VMs that don't lead.

    def _watch(self, address, session):
        if not session.link.is_open:
            return
        former = self._watched_by_address.pop(address, None)
        if former is not None:
            former.abort()
        self._watched_by_address[address] = session
        session.link.keep_alive()

    def end_watch(self, host):
        """Close the link of a control VM that has a session now."""
        for address, session in tuple(self._watched_by_address.items()):
            if address[0] == host:
                session.abort()

    def _forget(self, session):
        for address, watched in tuple(self._watched_by_address.items()):
            if watched is session:
                del self._watched_by_address[address]

    def _on_closed(self, session):
        self._forget(session)
        self._on_session_closed(session)

    def watch_others(self, session, now):
        """Ask the control VMs again that have no link, at most once an interval.

        Parameters
        ----------
        session : ControlSession
            With the leader, which needs no other link.
        now : float
            Seconds of the boot clock.
        """
        if now - self._watched_s < WATCH_INTERVAL_S:
            return
        self._watched_s = now
        for address in self.addresses:
            if address[0] != session.host and address not in self._watched_by_address:
                self._end_later(self._start_query(address))
