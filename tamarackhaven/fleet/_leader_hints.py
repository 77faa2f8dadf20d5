"""Tells daemons which control VM leads: when they ask, and whenever that changes."""

import asyncio

from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.fleet._messages import CONTROL_CODEC


class LeaderHints:
    """The links on which daemons have asked which control VM leads.

    Parameters
    ----------
    read : callable
        Coroutine function; returns once a quorum has confirmed that this member leads,
        and raises ``TamarackhavenError`` if none does.
    leadership : callable
        Returns the ``Leadership`` in force, None if there is none.
    make_hint : callable
        ``make_hint(is_leader)`` returns a ``LeaderHint``.
    on_daemon_found : callable
        ``on_daemon_found(link, daemon)`` is called before a daemon is told that this
        member leads.
    """

    def __init__(self, read, leadership, make_hint, on_daemon_found):
        self._read = read
        self._leadership = leadership
        self._make_hint = make_hint
        self._on_daemon_found = on_daemon_found
        self._daemon_by_link = {}
        self._waiting_links = []
        self._confirm_task = None

    def add(self, link, hello):
        """Answer a daemon's ``DaemonHello``, and tell it of later changes.

        A member whose log is stuck, or which is cut off, doesn't know that another one
        leads by now. If it said that it leads, daemons would come back to it again and
        again, and miss what the other one declares. So a quorum confirms it first.
        """
        self._daemon_by_link[link] = hello.daemon
        if self._leadership() is None:
            link.send(self._make_hint(False))
            return
        self._waiting_links.append(link)
        if self._confirm_task is None:
            loop = asyncio.get_running_loop()
            self._confirm_task = loop.create_task(self._confirm())

    def close(self, link):
        """Forget a closed link."""
        self._daemon_by_link.pop(link, None)

    def announce(self, is_leader):
        """Tell all daemons which control VM leads, as far as this member knows.

        ``is_leader`` says whether it's this one, as confirmed by a quorum just now.
        """
        self._send(tuple(self._daemon_by_link), is_leader)

    async def _confirm(self):
        try:
            while self._waiting_links:
                links, self._waiting_links = self._waiting_links, []
                self._send(links, await self._is_confirmed())
        finally:
            self._confirm_task = None

    def _send(self, links, is_leader):
        hint = CONTROL_CODEC.packed(self._make_hint(is_leader))
        for link in links:
            daemon = self._daemon_by_link.get(link)
            if daemon is None:
                continue
            if is_leader:
                self._on_daemon_found(link, daemon)
            link.send(hint)

    async def _is_confirmed(self):
        """Whether a quorum confirms now that this member leads."""
        leadership = self._leadership()
        try:
            await self._read()
        except TamarackhavenError:
            return False
        return leadership is not None and leadership is self._leadership()
