"""A TCP proxy on loopback that can delay, drop or limit bytes or reset connections."""

import asyncio
import enum

READ_BYTES = 65536


class Direction(enum.Enum):
    """Direction of bytes, from the point of view of the connecting side."""

    THERE = "there"
    BACK = "back"


class Proxy:
    """Forwards connections, subject to the faults set in its attributes.

    Parameters
    ----------
    address, to : tuple of (str, int)
        Address on which it listens, and address to which it forwards.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk of bytes, in seconds.
    link : NarrowLink or None
        Limits the bandwidth in direction ``THERE``.
    silenced_directions : frozenset of Direction
        Directions in which no bytes are forwarded.
    """

    def __init__(self, address, to):
        self.address = address
        self._to = to
        self.delay_s = 0.0
        self.link = None
        self.silenced_directions = frozenset()
        self._writers = set()
        self._server = None

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def stop(self):
        """Stop listening, if started, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def clear_faults(self):
        """Remove all faults.

        Bytes in silenced directions are lost, so connections are reset if any was.
        """
        had_silenced = bool(self.silenced_directions)
        self.delay_s = 0.0
        self.link = None
        self.silenced_directions = frozenset()
        if had_silenced:
            self.reset()

    async def _serve(self, reader, writer):
        try:
            other_reader, other = await asyncio.open_connection(*self._to)
            await self._forward_both(reader, writer, other_reader, other)
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            # The run has ended; asyncio logs a cancelled server task as an error.
            return

    async def _forward_both(self, reader, writer, other_reader, other):
        self._writers |= {writer, other}
        try:
            await asyncio.gather(
                self._forward(reader, other, Direction.THERE),
                self._forward(other_reader, writer, Direction.BACK),
            )
        finally:
            self._writers -= {writer, other}
            for each in (writer, other):
                each.transport.abort()

    async def _forward(self, reader, writer, direction):
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.link is not None and direction is Direction.THERE:
                    await self.link.carry(len(data))
                # Bytes in a silenced direction are lost, and so are all later ones: TCP
                # never delivers a stream with a gap.
                while direction in self.silenced_directions:
                    await asyncio.sleep(0.05)
                    if reader.at_eof():
                        break
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()
