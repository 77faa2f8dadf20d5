"""Sends consensus messages and fence requests to the other control VMs.

A message that can't be sent is dropped: the consensus state machine sends important
messages again, and the queue for an unreachable VM would grow without limit.
"""

import asyncio

import attrs
from grpclib.client import Channel

from tamarackhaven import _wire_pb2 as pb
from tamarackhaven._control_client import CALL_FAILURES
from tamarackhaven._raft_wire import to_wire
from tamarackhaven._wire_grpc import ControlStub, PeerStub

# At 50 ms heartbeats this holds some seconds of messages; older ones are obsolete.
MAX_QUEUED_MESSAGES = 256
STEP_TIMEOUT_S = 2.0
FENCE_TIMEOUT_S = 0.5


@attrs.frozen
class FenceAnswer:
    """A control VM's answer to a fence request; ``remaining_s`` is in seconds."""

    fenced: bool
    remaining_s: float


class Peers:
    """Holds the connections of one control VM to the others."""

    def __init__(self, name, loop_thread, membership):
        self._name = name
        self._loop_thread = loop_thread
        self._member_by_name = membership.by_name
        self._channel_by_name = {}
        self._queue_by_name = {}

    def set_membership(self, membership):
        """Add the members of a new membership; removed members remain reachable."""
        self._member_by_name = self._member_by_name | membership.by_name

    def send(self, messages):
        """Queue consensus messages without blocking."""
        self._loop_thread.loop.call_soon_threadsafe(self._enqueue, messages)

    def _enqueue(self, messages):
        for message in messages:
            queue = self._queue(message.receiver)
            if queue is None:
                continue
            if queue.full():
                queue.get_nowait()
            queue.put_nowait(message)

    def _queue(self, name):
        queue = self._queue_by_name.get(name)
        if queue is None and name in self._member_by_name and name != self._name:
            queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._queue_by_name[name] = queue
            self._loop_thread.loop.create_task(self._send_queue(name, queue))
        return queue

    async def _send_queue(self, name, queue):
        """Send the queue over one open call, and open another after each failure.

        A separate call for each batch cost a round trip before the next batch could be
        sent, and most of the CPU time of a heartbeat.
        """
        while True:
            try:
                async with PeerStub(self._channel(name)).Step.open() as stream:
                    while True:
                        await self._send_batch(stream, queue)
            except Exception:
                # All errors are retried: if this task ended, the VM would never get
                # another message, and nothing would report that. The pause prevents a
                # busy loop while the VM is down and refuses connections immediately.
                await asyncio.sleep(0.02)

    async def _send_batch(self, stream, queue):
        batch = [await queue.get()]
        while not queue.empty():
            batch.append(queue.get_nowait())
        request = pb.StepRequest(messages=[to_wire(message) for message in batch])
        # A VM may stop reading without closing the connection. Without a timeout, this
        # would block permanently and never open a new call.
        await asyncio.wait_for(stream.send_message(request), STEP_TIMEOUT_S)

    def fence(self, name, service, target, epoch):
        """Ask a control VM to fence an epoch.

        Returns
        -------
        concurrent.futures.Future
            Resolves to a ``FenceAnswer``, or to None if the VM didn't answer.
        """
        return self._loop_thread.submit(self._fence(name, service, target, epoch))

    async def _fence(self, name, service, target, epoch):
        request = pb.FenceRequest(service=service, target=target, epoch=epoch)
        try:
            stub = PeerStub(self._channel(name))
            reply = await stub.Fence(request, timeout=FENCE_TIMEOUT_S)
        except CALL_FAILURES:
            return None
        return FenceAnswer(reply.fenced, reply.remaining_ms / 1000)

    def control_stub(self, name):
        """Return the stub of a member's control service, or None if it is unknown."""
        if name not in self._member_by_name:
            return None
        return ControlStub(self._channel(name))

    def _channel(self, name):
        member = self._member_by_name[name]
        channel = self._channel_by_name.get(name)
        if channel is None:
            channel = Channel(member.host, member.port)
            self._channel_by_name[name] = channel
        return channel

    def close(self):
        """Close all connections."""
        for channel in self._channel_by_name.values():
            self._loop_thread.loop.call_soon_threadsafe(channel.close)
