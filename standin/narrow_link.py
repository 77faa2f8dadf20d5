"""Simulates the inbound link of a small VM, which has a limited bandwidth."""

import asyncio
import time

# Maximum bytes in flight on one connection, like a TCP receive window.
WINDOW_BYTES = 65_536


class NarrowLink:
    """Delays bytes in FIFO order according to a bandwidth.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth of the link.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._idle_at_s = 0.0
        self.carried_bytes = 0

    async def carry(self, count):
        """Wait until ``count`` bytes, queued after earlier ones, have passed."""
        now = time.monotonic()
        self._idle_at_s = max(self._idle_at_s, now) + count / self._bytes_per_s
        self.carried_bytes += count
        await asyncio.sleep(self._idle_at_s - now)


class LinkProxy:
    """A TCP proxy that limits the bandwidth towards a VM, not the one of responses.

    Parameters
    ----------
    link : NarrowLink
        Shared by all connections.
    to : tuple of (str, int)
        Address to which connections are forwarded.
    """

    def __init__(self, link, to):
        self._link = link
        self._to = to
        self._server = None
        self.address = None

    async def start(self):
        """Listen on a free port and set ``address``."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=WINDOW_BYTES
        )
        self.address = self._server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        other_reader, other = await asyncio.open_connection(*self._to)
        try:
            await asyncio.gather(
                self._forward(reader, other, self._link),
                self._forward(other_reader, writer, None),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            for each in (writer, other):
                each.transport.abort()

    async def _forward(self, reader, writer, link):
        while data := await reader.read(WINDOW_BYTES):
            if link is not None:
                await link.carry(len(data))
            writer.write(data)
        writer.write_eof()

    def close(self):
        """Stop listening."""
        self._server.close()
