"""Runs the forwards that other daemons send over links, and sends the results back."""

import asyncio

from tamarackhaven.errors import ErrorKind
from tamarackhaven.sidecar._intake import IncomingBody
from tamarackhaven.sidecar._messages import (
    BodyAsk,
    BodyPart,
    Cancel,
    Forward,
    Leaving,
    Lost,
    NotRun,
    PeerHello,
    PeerWelcome,
    TargetEnded,
    WaitQuery,
    WaitReply,
)
from tamarackhaven.sidecar._runs import RECONNECT_TIMEOUT_S


class PeerServer:
    """Runs the forwards of other daemons and sends their results back.

    Parameters
    ----------
    boot : str
        Random name of this daemon's run.
    runs : Runs
        Runs requests at the target beside this daemon.
    intake : BodyReceiver
        Receives announced bodies.

    Attributes
    ----------
    on_target_ended : callable
        Called with each ``TargetEnded`` of another daemon.
    """

    def __init__(self, boot, runs, intake):
        self._boot = boot
        self._runs = runs
        self._intake = intake
        self._body_by_key = {}
        self._boot_by_link = {}
        self._link_by_boot = {}
        self._keys_by_boot = {}
        self.is_leaving = False
        self.on_target_ended = lambda message: None

    def on_message(self, link, message):
        """Handle one message of a link."""
        if isinstance(message, PeerHello):
            self._boot_by_link[link] = message.boot
            self._link_by_boot[message.boot] = link
            link.send(PeerWelcome(self._boot))
            if self.is_leaving:
                link.send(Leaving())
            return
        boot = self._boot_by_link.get(link)
        if boot is None:
            link.abort()
        elif isinstance(message, Forward):
            self._start(boot, message)
        elif isinstance(message, BodyPart):
            body = self._body_by_key.get((boot, message.number))
            if body is not None:
                self._intake.add_part(body, message.offset, message.data)
        elif isinstance(message, WaitQuery):
            wait_s = self._runs.expected_wait_s(message)
            link.send(WaitReply(message.number, wait_s))
        elif isinstance(message, Cancel):
            self._runs.cancel((boot, message.number))
        elif isinstance(message, TargetEnded):
            self.on_target_ended(message)

    def _start(self, boot, forward):
        key = (boot, forward.number)
        keys = self._keys_by_boot.setdefault(boot, set())
        if key in keys:
            # It's still running; only parts of its body may have been lost with the
            # former link.
            if key in self._body_by_key:
                self._intake.restart_transfer(self._body_by_key[key])
            return
        if forward.body_bytes:
            self._body_by_key[key] = self._incoming_body(boot, forward)
        task = self._runs.start(key, forward, self._body_by_key.get(key))
        keys.add(key)
        task.add_done_callback(lambda done: self._send_result(boot, forward, done))

    def _incoming_body(self, boot, forward):
        """Return the ``IncomingBody`` of a request whose body is sent on request."""

        def request_part(offset, count):
            link = self._link_by_boot.get(boot)
            if link is not None:
                link.send(BodyAsk(forward.number, offset, count))

        return IncomingBody(forward.body_bytes, request_part)

    def _send_result(self, boot, forward, task):
        key = (boot, forward.number)
        self._body_by_key.pop(key, None)
        keys = self._keys_by_boot.get(boot)
        if keys is not None:
            keys.discard(key)
            if not keys:
                del self._keys_by_boot[boot]
        link = self._link_by_boot.get(boot)
        if link is not None:
            link.send(_result_of(forward, task))

    def on_closed(self, link):
        """Cancel the requests of a link, unless its daemon reconnects in time."""
        boot = self._boot_by_link.pop(link, None)
        if boot is None or self._link_by_boot.get(boot) is not link:
            return
        del self._link_by_boot[boot]
        loop = asyncio.get_running_loop()
        loop.call_later(RECONNECT_TIMEOUT_S, self._cancel_abandoned, boot)

    def _cancel_abandoned(self, boot):
        if boot in self._link_by_boot:
            return
        for key in tuple(self._keys_by_boot.get(boot, ())):
            self._runs.cancel(key)

    def leave(self):
        """Announce to all connected daemons that this one stops soon."""
        self.is_leaving = True
        for link in self._link_by_boot.values():
            link.send(Leaving())

    def send_to_all(self, message):
        """Send a packed message to all connected daemons."""
        for link in self._link_by_boot.values():
            link.send(message)


def _result_of(forward, task):
    """Return the ``Answered``, ``NotRun`` or ``Lost`` of a task that is done."""
    number = forward.number
    if task.cancelled():
        # Cancelled after its link broke, and sent again on the next one. A request that
        # runs at the target is cancelled only if it may run more than once.
        if forward.is_safe:
            return Lost(number, ErrorKind.FORWARD_LOST.name)
        return NotRun(number, ErrorKind.OWNER_UNREACHABLE.name)
    if task.exception() is not None:
        return Lost(number, ErrorKind.INTERNAL.name)
    return task.result()
