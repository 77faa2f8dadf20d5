"""Message-framed TCP connections between the processes of the system.

A frame is a message with its length in front, as an unsigned 32-bit integer.
"""

import asyncio
import socket
import struct

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import TamarackhavenError

_LENGTH_PREFIX = struct.Struct(">I")
# Fits a body of 64 MiB, the largest that a Service may allow, plus headers.
MAX_FRAME_BYTES = 72 << 20
# If a peer stops reading, its unsent messages would exhaust this process's memory. A
# link is aborted beyond this size, which holds some thousand messages of usual size.
MAX_UNSENT_BYTES = 80 << 20
# Larger frames are written separately from their length, which saves a copy.
LARGE_FRAME_BYTES = 65_536
# Length values that mark a probe and a probe reply; no message follows them.
_PROBE = 0xFFFF_FFFF
_PROBE_REPLY = 0xFFFF_FFFE
# If a VM loses power, or a connection goes silent without a reset, writes to it keep
# succeeding for minutes. The kernel closes the connection when sent bytes stay
# unacknowledged for this time, which is many round trips between zones.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# Connecting between availability zones of a region takes a few milliseconds.
DIAL_TIMEOUT_S = 0.6
# A connection without traffic that goes silent is closed after this idle time and this
# many unanswered keep-alive probes, one a second.
KEEP_ALIVE_IDLE_S = 3
KEEP_ALIVE_PROBES = 3


class Link(asyncio.Protocol):
    """One end of a message-framed connection.

    Parameters
    ----------
    codec : Codec
        Packs and unpacks the messages.
    on_message : callable
        ``on_message(link, message)`` is called for each complete message.
    on_closed : callable
        ``on_closed(link)`` is called once, whichever end closed the connection.
    """

    def __init__(self, codec, on_message, on_closed):
        self._codec = codec
        self._on_message = on_message
        self._on_closed = on_closed
        self._buffer = bytearray()
        self._transport = None
        self._probed_at_s = None
        self._last_unsent_bytes = 0
        self.last_received_s = boot_s()

    @property
    def is_open(self):
        """Whether messages can still be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self):
        """Bytes in this process's write buffer."""
        return self._transport.get_write_buffer_size() if self.is_open else 0

    @property
    def arriving_bytes(self):
        """Bytes still missing of an incomplete message."""
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return 0
        (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        return max(_LENGTH_PREFIX.size + size - len(self._buffer), 0)

    def connection_made(self, transport):
        """Store the transport and set its socket options."""
        self._transport = transport
        set_socket_options(transport)

    def data_received(self, data):
        """Buffer received bytes and pass complete messages to ``on_message``."""
        self.last_received_s = boot_s()
        self._buffer += data
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
            if size in (_PROBE, _PROBE_REPLY):
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
        """Report the closed connection to its owner."""
        self._on_closed(self)

    def send(self, message):
        """Send a message; return whether it was written to the transport.

        The link is aborted if more than ``MAX_UNSENT_BYTES`` would be unsent.
        """
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
        if kind == _PROBE_REPLY:
            self._probed_at_s = None
        elif self.is_open:
            self._transport.write(_LENGTH_PREFIX.pack(_PROBE_REPLY))

    def probe(self, now, silent_s, min_idle_s=0.0):
        """Send a probe to the other end, or abort the link if one is unanswered.

        Parameters
        ----------
        now : float
            Current time, in seconds of the boot clock.
        silent_s : float
            The link is aborted when a probe has been unanswered, and nothing else has
            been received, for longer than this.
        min_idle_s : float
            No probe is sent if something was received within this many seconds.
        """
        if not self.is_open:
            return
        self._record_write_progress(now)
        if self._probed_at_s is not None:
            if now - max(self._probed_at_s, self.last_received_s) > silent_s:
                self.abort()
        elif now - self.last_received_s >= min_idle_s:
            self._probed_at_s = now
            self._transport.write(_LENGTH_PREFIX.pack(_PROBE))

    def _record_write_progress(self, now):
        """Treat a shrinking write buffer as a sign that the other end is alive.

        On a slow link a large message delays a probe reply. Without this check
        a working link would be aborted, together with everything in flight on it. The
        write buffer only shrinks while the other end acknowledges data.
        """
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes < self._last_unsent_bytes:
            self.last_received_s = now
        self._last_unsent_bytes = unsent_bytes

    def keep_alive(self):
        """Close the connection within seconds if the other end is gone.

        Without this, a link on which nothing is sent would seem open for hours.
        """
        if not self.is_open:
            return
        connection = self._transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, 1),
            (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        ):
            connection.setsockopt(socket.IPPROTO_TCP, option, value)

    def abort(self):
        """Abort the connection; unsent bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()


def set_socket_options(transport):
    """Disable Nagle's algorithm and limit the time that data stays unacknowledged."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


async def dial(address, codec, on_message, on_closed, timeout_s=DIAL_TIMEOUT_S):
    """Connect to ``address``, a pair of host and port, and return the ``Link``.

    Raises
    ------
    OSError
        If the connection is refused, or not established within ``timeout_s`` seconds
        (``TimeoutError``), or if there can be no such address.
    """
    loop = asyncio.get_running_loop()
    try:
        _, link = await asyncio.wait_for(
            loop.create_connection(
                lambda: Link(codec, on_message, on_closed), *address
            ),
            timeout_s,
        )
    except (OverflowError, ValueError, TypeError) as error:
        # Addresses come from other processes. An error of another kind would end the
        # task that dials, and with it the search for a leader.
        raise OSError(f"not an address: {error}") from error
    return link


class LinkServer:
    """Accepts links on one address; takes the same callbacks as ``Link``."""

    def __init__(self, codec, on_message, on_closed):
        self._codec = codec
        self._on_message = on_message
        self._on_closed = on_closed
        self._links = set()
        self._server = None

    async def start(self, host, port):
        """Start listening.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
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
        """Bytes still missing of incomplete messages, over all links."""
        return sum(link.arriving_bytes for link in self._links)

    def close(self):
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            link.abort()
