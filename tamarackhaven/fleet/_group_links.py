"""Links between control VMs, for consensus messages and requests to join."""

import asyncio

from tamarackhaven import _wire_pb2
from tamarackhaven._clock import boot_s
from tamarackhaven._raft_wire import from_wire, to_wire
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    ConsensusBatch,
    GroupHint,
    JoinGroup,
)
from tamarackhaven.net import dial

REDIAL_INTERVAL_S = 0.15
# Consensus sends heartbeats many times a second, so a link on which nothing is received
# for this long has failed without a reset.
LINK_SILENCE_TIMEOUT_S = 1.0
# Messages for an unreachable member would otherwise fill the memory. This holds some
# seconds of heartbeats; consensus repeats lost messages.
MAX_QUEUED_MESSAGES = 128


class GroupLinks:
    """Outgoing links to other control VMs, one for each.

    Parameters
    ----------
    hello : MemberHello
        Identifies this VM.
    on_hint : callable
        ``on_hint(hint)``, called for each ``GroupHint`` received.
    """

    def __init__(self, hello, on_hint):
        self._hello = hello
        self._on_hint = on_hint
        self._address_by_name = {}
        self._outgoing_by_address = {}
        self.last_received_s_by_name = {}

    def set_address(self, name, host, port):
        """Set the link address of a member."""
        self._address_by_name[name] = (host, port)

    def send(self, messages):
        """Send consensus messages; drop those for members without a known address."""
        batch_by_name = {}
        for message in messages:
            packed = to_wire(message).SerializeToString()
            batch_by_name.setdefault(message.receiver, []).append(packed)
        for name, batch in batch_by_name.items():
            address = self._address_by_name.get(name)
            if address is not None:
                self._outgoing(address).send(ConsensusBatch(tuple(batch)))

    def ask_to_join(self, addresses):
        """Ask the control VMs at ``addresses`` to be added as a member."""
        request = JoinGroup(self._hello.name, self._hello.host, self._hello.port)
        for address in addresses:
            self._outgoing(address).send(request)

    def receive(self, messages):
        """Unpack consensus messages, and record when their senders were last heard.

        Parameters
        ----------
        messages : iterable of bytes
            As received in a ``ConsensusBatch``.
        """
        unpacked = [
            from_wire(_wire_pb2.RaftMessage.FromString(each)) for each in messages
        ]
        now = boot_s()
        for message in unpacked:
            self.last_received_s_by_name[message.sender] = now
        return unpacked

    def _outgoing(self, address):
        outgoing = self._outgoing_by_address.get(address)
        if outgoing is None:
            outgoing = _Outgoing(address, self._hello, self._on_hint)
            self._outgoing_by_address[address] = outgoing
        return outgoing

    def close(self):
        """Close all links."""
        for outgoing in self._outgoing_by_address.values():
            outgoing.close()


class _Outgoing:
    """A link that is reconnected when it's needed."""

    def __init__(self, address, hello, on_hint):
        self._address = address
        self._hello = hello
        self._on_hint = on_hint
        self._queued = []
        self._link = None
        self._task = None
        self._is_closed = False

    def send(self, message):
        """Send now, or once the link is connected."""
        if self._link is not None and self._link.is_open:
            self._link.send(message)
            self._link.probe(boot_s(), LINK_SILENCE_TIMEOUT_S)
            return
        self._queued.append(message)
        del self._queued[:-MAX_QUEUED_MESSAGES]
        if self._task is None and not self._is_closed:
            self._task = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self):
        try:
            while not self._is_closed and self._queued:
                try:
                    link = await dial(
                        self._address,
                        CONTROL_CODEC,
                        self._on_message,
                        self._on_closed,
                    )
                except OSError:
                    # The queued messages are outdated; newer ones follow.
                    self._queued.clear()
                    await asyncio.sleep(REDIAL_INTERVAL_S)
                    continue
                self._link = link
                link.send(self._hello)
                queued, self._queued = self._queued, []
                for message in queued:
                    link.send(message)
        finally:
            self._task = None

    def _on_message(self, _link, message):
        if isinstance(message, GroupHint):
            self._on_hint(message)

    def _on_closed(self, link):
        if self._link is link:
            self._link = None

    def close(self):
        """Close the link."""
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.abort()
