"""Tells daemons that ask which control VM leads."""

import asyncio

from tamarackhaven.errors import TamarackhavenError


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
        self._links = set()
        self._waiting_hello_by_link = {}
        self._confirm_task = None

    def add(self, link, hello):
        """Answer a daemon's ``DaemonHello``.

        A member whose log is stuck, or which is cut off, doesn't know that another one
        leads by now. If it said that it leads, daemons would come back to it again and
        again, and miss what the other one declares. So a quorum confirms it first.
        """
        self._links.add(link)
        if self._leadership() is None:
            link.send(self._make_hint(False))
            return
        self._waiting_hello_by_link[link] = hello
        if self._confirm_task is None:
            loop = asyncio.get_running_loop()
            self._confirm_task = loop.create_task(self._confirm())

    def close(self, link):
        """Forget a closed link."""
        self._links.discard(link)
        self._waiting_hello_by_link.pop(link, None)

    async def _confirm(self):
        try:
            while self._waiting_hello_by_link:
                hello_by_link = self._waiting_hello_by_link
                self._waiting_hello_by_link = {}
                is_leader = await self._is_confirmed()
                hint = self._make_hint(is_leader)
                for link, hello in hello_by_link.items():
                    if link not in self._links:
                        continue
                    if is_leader:
                        self._on_daemon_found(link, hello.daemon)
                    link.send(hint)
        finally:
            self._confirm_task = None

    async def _is_confirmed(self):
        """Whether a quorum confirms now that this member leads."""
        leadership = self._leadership()
        try:
            await self._read()
        except TamarackhavenError:
            return False
        return leadership is not None and leadership is self._leadership()
