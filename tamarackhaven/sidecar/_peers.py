"""Forwards requests between daemons over links.

A forward is identified by the ``boot`` of its sender and its number. So no request is
lost with a link that breaks or goes silent: the sender reconnects and sends the same
numbers again.
"""

import asyncio
import itertools

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind
from tamarackhaven.net import dial
from tamarackhaven.sidecar._messages import (
    PEER_CODEC,
    Answered,
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
    WaitReply,
)

# While requests wait, a link that has been silent for the probe interval is probed, and
# one that has been silent for the timeout is closed: a link between zones answers
# within milliseconds. Most answers arrive before the first probe; a probe with each
# request would double the number of small packets between zones.
PROBE_INTERVAL_S = 0.25
SILENCE_TIMEOUT_S = 0.75
RECONNECT_INTERVAL_S = 0.05
# Larger bodies are announced and sent on request. On the smallest links of VMs, some
# megabits per second, sending this many bytes takes some hundredths of a second.
MAX_INLINE_BODY_BYTES = 8192
# The other daemon normally answers by the deadline; after this much longer the request
# fails without its answer.
ANSWER_GRACE_S = 0.015
# A query of the expected wait takes some milliseconds. A daemon that is too busy to
# answer it by then is no better choice than the others.
QUERY_TIMEOUT_S = 0.04
# A leaving daemon has exited after its grace time. If its link breaks silently, it must
# not count as leaving for longer than that.
LEAVING_TTL_S = 8.0
# A process that was stopped in order is back within this time, or its VM is removed.
RESTARTING_TTL_S = 2.0


@attrs.define(eq=False)
class _OpenForward:
    """A forward that hasn't been answered yet.

    Parameters
    ----------
    forward : Forward
        With its whole body.
    deadline_s, objective_s : float
        When it must be answered, and until when its answer is in time, in seconds of
        the boot clock.
    future : asyncio.Future
        Gets its ``Answered``, ``NotRun`` or ``Lost``.
    has_been_sent : bool
        Whether the other daemon may have received it, or its announcement.
    is_sent_whole : bool
        Whether the other daemon may have received all of it, so that it may have run.
    """

    forward: Forward
    deadline_s: float
    objective_s: float
    future: asyncio.Future
    has_been_sent: bool = False
    is_sent_whole: bool = False

    @property
    def is_announced(self):
        """Whether its body is sent only on request."""
        return len(self.forward.body) > MAX_INLINE_BODY_BYTES

    def with_time_left(self, now):
        """Return the forward to send at ``now``, with the time left."""
        left = {
            "left_ms": (self.deadline_s - now) * 1000,
            "objective_ms": (self.objective_s - now) * 1000,
        }
        if self.is_announced:
            left |= {"body": b"", "body_bytes": len(self.forward.body)}
        return attrs.evolve(self.forward, **left)

    def part(self, body_ask):
        """Return the ``BodyPart`` that a ``BodyAsk`` requests."""
        data = self.forward.body[body_ask.offset : body_ask.offset + body_ask.count]
        return BodyPart(body_ask.number, body_ask.offset, data)

    def send(self, link):
        """Send the forward, without its body if that is announced."""
        if not link.send(self.with_time_left(boot_s())):
            return
        self.has_been_sent = True
        if not self.is_announced:
            self.is_sent_whole = True

    def send_part(self, body_ask, link):
        """Send the part of the body that a ``BodyAsk`` requests."""
        # The request may run once the last byte has been sent.
        if body_ask.offset + body_ask.count >= len(self.forward.body):
            self.is_sent_whole = True
        link.send(self.part(body_ask))

    def fail(self, kind, peer_boot=None):
        """End it as ``Lost`` with ``kind`` if it may have run, else as ``NotRun``.

        ``peer_boot`` names the run of the other daemon that counts as ended, if one
        does.
        """
        if self.future.done():
            return
        number = self.forward.number
        if self.is_sent_whole:
            ended = f"{self.forward.life} {peer_boot}" if peer_boot else ""
            self.future.set_result(Lost(number, kind.name, ended=ended))
        else:
            self.future.set_result(NotRun(number, ErrorKind.OWNER_UNREACHABLE.name))


class _Peer:
    """The link to one other daemon, and the forwards that are in flight to it."""

    def __init__(self, address, boot, on_target_ended):
        self._address = address
        self._boot = boot
        self._on_target_ended = on_target_ended
        self._peer_boot = None
        self._open_by_number = {}
        self._future_by_query_number = {}
        self._query_numbers = itertools.count(1)
        self._link = None
        self._is_welcomed = False
        self._task = None
        self._leaving_until_s = float("-inf")
        self._restarting_until_s = float("-inf")

    @property
    def is_restarting(self):
        """Whether the daemon announced that it stops, and is probably not back yet."""
        return boot_s() < max(self._leaving_until_s, self._restarting_until_s)

    @property
    def is_leaving(self):
        """Whether the daemon announced that it stops, and may still be running."""
        return boot_s() < self._leaving_until_s

    async def run(self, forward, deadline_s, objective_s):
        """Send a request; return its ``Answered``, ``NotRun`` or ``Lost``."""
        future = asyncio.get_running_loop().create_future()
        entry = _OpenForward(forward, deadline_s, objective_s, future)
        self._open_by_number[forward.number] = entry
        self._send(entry)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._maintain_link())
        try:
            await asyncio.wait([future], timeout=deadline_s - boot_s() + ANSWER_GRACE_S)
            if not future.done():
                self._cancel(entry)
                entry.fail(ErrorKind.ANSWER_TIMEOUT)
            return future.result()
        except asyncio.CancelledError:
            self._cancel(entry)
            raise
        finally:
            del self._open_by_number[forward.number]

    def _cancel(self, entry):
        if entry.has_been_sent and self._link is not None:
            self._link.send(Cancel(entry.forward.number))

    async def query_wait(self, query):
        """Return the expected wait of a request there in seconds, None if unknown."""
        if not self._is_ready:
            return None
        # Two lives at one address may be queried at once; the number tells their
        # replies apart.
        query = attrs.evolve(query, number=next(self._query_numbers))
        future = asyncio.get_running_loop().create_future()
        self._future_by_query_number[query.number] = future
        try:
            self._link.send(query)
            return await asyncio.wait_for(future, QUERY_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            del self._future_by_query_number[query.number]

    @property
    def _is_ready(self):
        return self._is_welcomed and self._link is not None and self._link.is_open

    def send_message(self, message):
        """Send a packed message, if the link is open."""
        if self._is_ready:
            self._link.send(message)

    @property
    def unsent_bytes(self):
        """Bytes that are queued in this process for the link."""
        return self._link.unsent_bytes if self._link is not None else 0

    def _send(self, entry):
        if self._is_ready:
            entry.send(self._link)

    async def _maintain_link(self):
        """Keep the link open while requests are in flight."""
        try:
            while self._open_by_number:
                link = self._link
                if link is not None and link.is_open:
                    await asyncio.sleep(PROBE_INTERVAL_S)
                    link.probe(boot_s(), SILENCE_TIMEOUT_S, PROBE_INTERVAL_S)
                else:
                    await self._dial()
        finally:
            self._task = None
            if self._open_by_number:
                for entry in tuple(self._open_by_number.values()):
                    entry.fail(ErrorKind.FORWARD_LOST)

    async def _dial(self):
        self._is_welcomed = False
        try:
            self._link = await dial(
                self._address, PEER_CODEC, self._on_message, self._on_closed
            )
        except ConnectionRefusedError:
            # No process listens, so the one that had received requests has ended, and
            # they are lost with it.
            self._fail_waiting(can_keep_unsafe=False)
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            return
        except OSError:
            self._fail_waiting(can_keep_unsafe=True)
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            return
        self._link.send(PeerHello(self._boot))

    def _fail_waiting(self, can_keep_unsafe):
        """Fail all forwards.

        With ``can_keep_unsafe``, unsafe ones that may be running are kept until their
        deadline, since an answer may still arrive.
        """
        for entry in tuple(self._open_by_number.values()):
            is_running = entry.is_sent_whole and not entry.forward.is_safe
            if can_keep_unsafe and is_running and boot_s() < entry.deadline_s:
                continue
            entry.fail(ErrorKind.FORWARD_LOST, self._peer_boot)

    def _on_message(self, link, message):
        if link is not self._link:
            return
        if isinstance(message, PeerWelcome):
            self._on_welcome(message)
        elif isinstance(message, BodyAsk):
            entry = self._open_by_number.get(message.number)
            if entry is not None and not entry.future.done():
                entry.send_part(message, link)
        elif isinstance(message, Leaving):
            self._leaving_until_s = boot_s() + LEAVING_TTL_S
        elif isinstance(message, TargetEnded):
            self._on_target_ended(message)
        elif isinstance(message, WaitReply):
            future = self._future_by_query_number.get(message.number)
            if future is not None and not future.done():
                future.set_result(message.wait_s)
        elif isinstance(message, Answered | NotRun | Lost):
            entry = self._open_by_number.get(message.number)
            if entry is not None and not entry.future.done():
                entry.future.set_result(message)

    def _on_welcome(self, message):
        self._restarting_until_s = float("-inf")
        former_boot, self._peer_boot = self._peer_boot, message.boot
        has_restarted = former_boot not in (None, message.boot)
        self._is_welcomed = True
        for entry in tuple(self._open_by_number.values()):
            if has_restarted and entry.is_sent_whole:
                # The process that had received it has ended, with all its state.
                entry.fail(ErrorKind.FORWARD_LOST, former_boot)
            else:
                self._send(entry)

    def _on_closed(self, link):
        if link is self._link:
            self._link = None
            self._is_welcomed = False
            # No requests are sent to a leaving daemon, so its return would go
            # unnoticed, and after a rolling restart of all daemons no target would be
            # left. Its process ends with the link, so the mark is removed here.
            if self.is_leaving:
                self._restarting_until_s = boot_s() + RESTARTING_TTL_S
            self._leaving_until_s = float("-inf")

    def close(self):
        """Close the link."""
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.abort()


class Peers:
    """Links to all other daemons that requests were sent to.

    Parameters
    ----------
    boot : str
        Random name of this daemon's run.

    Attributes
    ----------
    on_target_ended : callable
        Called with each ``TargetEnded`` of another daemon.
    """

    def __init__(self, boot):
        self._boot = boot
        self._peer_by_address = {}
        self.on_target_ended = lambda message: None

    def _peer(self, address):
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = self._peer_by_address[address] = _Peer(
                address, self._boot, lambda message: self.on_target_ended(message)
            )
        return peer

    async def query_wait(self, address, query):
        """Return the expected wait at the daemon at ``address``.

        In seconds, None if unknown.
        """
        return await self._peer(address).query_wait(query)

    async def run(self, address, forward, deadline_s, objective_s):
        """Run a request at the daemon at ``address``.

        Return its ``Answered``, ``NotRun`` or ``Lost``. Times are seconds of the boot
        clock.
        """
        return await self._peer(address).run(forward, deadline_s, objective_s)

    def send_to_all(self, message):
        """Send a packed message along all open links."""
        for peer in self._peer_by_address.values():
            peer.send_message(message)

    def unsent_bytes(self):
        """Return the number of bytes that are queued in this process for its links."""
        return sum(peer.unsent_bytes for peer in self._peer_by_address.values())

    def is_restarting(self, address):
        """Whether the daemon at ``address`` stopped in order and may soon be back."""
        peer = self._peer_by_address.get(address)
        return peer is not None and peer.is_restarting

    def is_leaving(self, address):
        """Whether the daemon at ``address`` announced that it stops soon."""
        peer = self._peer_by_address.get(address)
        return peer is not None and peer.is_leaving

    def close(self):
        """Close all links."""
        for peer in self._peer_by_address.values():
            peer.close()
