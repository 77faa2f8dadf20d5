"""A connection between two processes of the system that carries whole messages."""

import asyncio
import socket
import struct

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import TamarackhavenError

_LENGTH_PREFIX = struct.Struct(">I")
# A body of the largest size that configurations usually allow, and its headers.
MAX_FRAME_BYTES = 72 << 20
# Load: a peer that stops reading. Harm: what waits for it fills this process's memory.
# Limit: some thousand usual messages; beyond it the link is as good as dead.
MAX_UNSENT_BYTES = 80 << 20
# Larger frames are not copied once more to stand in one write with their length.
LARGE_FRAME_BYTES = 65_536
# Frames without a message: a question whether the other end is there, and the answer.
_PING = 0xFFFF_FFFF
_PONG = 0xFFFF_FFFE
# Failure: a VM loses power or a connection goes silent without a reset. Symptom: writes
# into it succeed for minutes. Enough: the kernel closes it when bytes stay
# unacknowledged for so long, in milliseconds; some round trips between zones.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# Between availability zones of a region a connection takes a few milliseconds.
DIAL_TIMEOUT_S = 0.6


class Link(asyncio.Protocol):
    """One end of a connection.

    Parameters
    ----------
    codec : Codec
        Of the messages.
    on_message : callable
        ``on_message(link, message)`` for each whole message.
    on_closed : callable
        ``on_closed(link)`` once, whoever closed it.
    """

    def __init__(self, codec, on_message, on_closed):
        self._codec = codec
        self._on_message = on_message
        self._on_closed = on_closed
        self._buffer = bytearray()
        self._transport = None
        self._probed_at_s = None
        self._last_unsent_bytes = 0
        self.heard_at_s = boot_s()

    @property
    def is_open(self):
        """Whether messages can still be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self):
        """Bytes that wait in this process for the connection to take them."""
        return self._transport.get_write_buffer_size() if self.is_open else 0

    @property
    def arriving_bytes(self):
        """Bytes that are still to come of a message whose beginning is here."""
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return 0
        (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        return max(_LENGTH_PREFIX.size + size - len(self._buffer), 0)

    def connection_made(self, transport):
        """Take the connection."""
        self._transport = transport
        set_socket_options(transport)

    def data_received(self, data):
        """Collect bytes and pass on whole messages."""
        self.heard_at_s = boot_s()
        self._buffer += data
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
            if size in (_PING, _PONG):
                del self._buffer[: _LENGTH_PREFIX.size]
                self._on_probe_frame(size)
                continue
            if size > MAX_FRAME_BYTES:
                self.abort()
                return
            end = _LENGTH_PREFIX.size + size
            if len(self._buffer) < end:
                return
            with memoryview(self._buffer) as view:
                frame = bytes(view[_LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            try:
                message = self._codec.unpack(frame)
            except TamarackhavenError:
                self.abort()
                return
            self._on_message(self, message)

    def connection_lost(self, _error):
        """Tell the owner."""
        self._on_closed(self)

    def send(self, message):
        """Send a message; tell whether it was given to the connection."""
        if not self.is_open:
            return False
        data = self._codec.pack(message)
        if self._transport.get_write_buffer_size() + len(data) > MAX_UNSENT_BYTES:
            self.abort()
            return False
        self._codec.count_sent(message, _LENGTH_PREFIX.size + len(data))
        if len(data) > LARGE_FRAME_BYTES:
            self._transport.write(_LENGTH_PREFIX.pack(len(data)))
            self._transport.write(data)
        else:
            self._transport.write(_LENGTH_PREFIX.pack(len(data)) + data)
        return True

    def _on_probe_frame(self, kind):
        if kind == _PONG:
            self._probed_at_s = None
        elif self.is_open:
            self._transport.write(_LENGTH_PREFIX.pack(_PONG))

    def probe(self, now, silent_s, min_idle_s=0.0):
        """Ask whether the other end is there; abort a link that is silent.

        Parameters
        ----------
        now : float
            Seconds of the boot clock.
        silent_s : float
            An unanswered probe of this age shows that the link is dead.
        min_idle_s : float
            A link that has brought something within this time is not asked.
        """
        if not self.is_open:
            return
        self._note_write_progress(now)
        if self._probed_at_s is not None:
            if now - max(self._probed_at_s, self.heard_at_s) > silent_s:
                self.abort()
        elif now - self.heard_at_s >= min_idle_s:
            self._probed_at_s = now
            self._transport.write(_LENGTH_PREFIX.pack(_PING))

    def _note_write_progress(self, now):
        """Count bytes that the other end takes as a sign of it.

        Failure: a large message fills a slow link, and the answer to a probe waits
        behind it. Symptom: a link that works is given up, with all it carries. Enough:
        as long as what is unsent shrinks, the other end acknowledges.
        """
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes < self._last_unsent_bytes:
            self.heard_at_s = now
        self._last_unsent_bytes = unsent_bytes

    def abort(self):
        """Close at once; what is unsent is dropped."""
        if self._transport is not None:
            self._transport.abort()


def set_socket_options(transport):
    """Let the kernel close a connection whose other end no longer acknowledges."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


async def dial(address, codec, on_message, on_closed, timeout_s=DIAL_TIMEOUT_S):
    """Return a new ``Link`` to ``address``, a pair of host and port.

    Raises
    ------
    OSError
        If the other end is not there; ``TimeoutError`` if it is silent.
    """
    loop = asyncio.get_running_loop()
    _, link = await asyncio.wait_for(
        loop.create_connection(lambda: Link(codec, on_message, on_closed), *address),
        timeout_s,
    )
    return link


class LinkServer:
    """Accepts links on one port."""

    def __init__(self, codec, on_message, on_closed):
        self._codec = codec
        self._on_message = on_message
        self._on_closed = on_closed
        self._links = set()
        self._server = None

    async def start(self, host, port):
        """Listen; ``OSError`` if the port is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_link, host, port, backlog=512, reuse_address=True
        )

    def _make_link(self):
        link = Link(self._codec, self._on_message, self._on_link_closed)
        self._links.add(link)
        return link

    def _on_link_closed(self, link):
        self._links.discard(link)
        self._on_closed(link)

    @property
    def links(self):
        """The open links."""
        return tuple(self._links)

    @property
    def arriving_bytes(self):
        """Bytes still to come of messages that have begun, on all links."""
        return sum(link.arriving_bytes for link in self._links)

    def close(self):
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            link.abort()
