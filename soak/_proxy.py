"""A TCP proxy on loopback that can delay, drop or limit bytes or reset connections."""

import asyncio
import enum

import attrs

READ_BYTES = 65536
SILENCE_POLL_INTERVAL_S = 0.05


class Direction(enum.Enum):
    """Direction of bytes, from the point of view of the connecting side."""

    THERE = "there"
    BACK = "back"


@attrs.define(eq=False)
class Flow:
    """One connection through a proxy, with faults of its own.

    Parameters
    ----------
    first_bytes : bytes
        What the connecting side sent first; tells who it is.
    delay_s_by_direction : dict
        Delay of each chunk of bytes, in seconds, by ``Direction``.
    silenced_directions : frozenset of Direction
        Directions in which no bytes are forwarded. Bytes that have arrived meanwhile
        are forwarded once the direction is no longer silenced.
    link_by_direction : dict
        ``NarrowLink`` that limits the bandwidth, by ``Direction``.
    filter_by_direction : dict
        Function from received bytes to those that are forwarded, by ``Direction``.
    """

    first_bytes: bytes = b""
    delay_s_by_direction: dict = attrs.field(factory=dict)
    silenced_directions: frozenset = frozenset()
    link_by_direction: dict = attrs.field(factory=dict)
    filter_by_direction: dict = attrs.field(factory=dict)
    writers: tuple = ()

    def reset(self):
        """Reset the connection."""
        for writer in self.writers:
            writer.transport.abort()


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
    flows : list of Flow
        The open connections, oldest first.
    on_flow : callable
        ``on_flow(flow)`` is called when the first bytes of a new connection have
        arrived, before they are forwarded; it may set the flow's faults.
    """

    def __init__(self, address, to):
        self.address = address
        self._to = to
        self.delay_s = 0.0
        self.link = None
        self.silenced_directions = frozenset()
        self.flows = []
        self.on_flow = lambda flow: None
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
        for flow in tuple(self.flows):
            flow.reset()

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
        flow = Flow(writers=(writer, other))
        self.flows.append(flow)
        try:
            await asyncio.gather(
                self._forward(flow, reader, other, Direction.THERE),
                self._forward(flow, other_reader, writer, Direction.BACK),
            )
        finally:
            self.flows.remove(flow)
            flow.reset()

    async def _forward(self, flow, reader, writer, direction):
        try:
            while data := await reader.read(READ_BYTES):
                if direction is Direction.THERE and not flow.first_bytes:
                    flow.first_bytes = data
                    self.on_flow(flow)
                await self._hold_up(flow, reader, direction, len(data))
                kept = flow.filter_by_direction.get(direction)
                writer.write(kept(data) if kept is not None else data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def _hold_up(self, flow, reader, direction, size):
        """Wait for as long as the faults of a direction delay ``size`` bytes."""
        delay_s = self.delay_s + flow.delay_s_by_direction.get(direction, 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        if self.link is not None and direction is Direction.THERE:
            await self.link.carry(size)
        if direction in flow.link_by_direction:
            await flow.link_by_direction[direction].carry(size)
        # Bytes in a silenced direction are lost, and so are all later ones: TCP never
        # delivers a stream with a gap.
        while direction in self.silenced_directions | flow.silenced_directions:
            await asyncio.sleep(SILENCE_POLL_INTERVAL_S)
            if reader.at_eof():
                break
