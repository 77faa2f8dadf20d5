"""Transfers the bodies that other daemons have announced over this VM's link."""

import asyncio

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._arrivals import BodyTransfers

# How often the bodies are reviewed when no part arrives: a sender may have stopped, and
# bodies that can't arrive in time any more are refused.
REVIEW_INTERVAL_S = 0.05


@attrs.define(eq=False)
class IncomingBody:
    """A body at another daemon that is to be transferred here.

    Parameters
    ----------
    size : int
        In bytes.
    ask : callable
        ``ask(offset, count)`` requests a part from its daemon.
    data : bytearray
        The bytes received so far.
    end : asyncio.Future or None
        Set to the whole body or a ``Refuse`` while ``BodyReceiver.receive`` waits
        for it.
    """

    size: int
    ask: object
    data: bytearray = attrs.field(factory=bytearray)
    end: object = None


class BodyReceiver:
    """Transfers bodies to this daemon.

    Parameters
    ----------
    gate : Gate
        Of the target; decides how long a request may wait, and makes its refusal.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, gate, metrics):
        self._gate = gate
        self._metrics = metrics
        self._transfers = BodyTransfers(gate)
        self._offer_by_body = {}
        self._review_timer = None

    @property
    def remaining_bytes(self):
        """Bytes not yet received, of all bodies."""
        return self._transfers.remaining_bytes

    @property
    def bytes_per_s(self):
        """Recent throughput of the link in bytes per second, 0 if unknown."""
        return self._transfers.rate.bytes_per_s or 0.0

    def expected_s(self, size, offer):
        """Return the estimated seconds to receive a body of ``size`` bytes."""
        return self._transfers.expected_s(size, offer, boot_s())

    async def receive(self, body, offer):
        """Transfer an ``IncomingBody``; return its bytes, or a ``Refuse``."""
        body.end = asyncio.get_running_loop().create_future()
        self._offer_by_body[body] = offer
        self._transfers.announce(body, body.size, offer)
        self._request_parts()
        try:
            return await body.end
        finally:
            self._transfers.drop(body)
            del self._offer_by_body[body]
            body.end = None
            self._request_parts()

    def add_part(self, body, offset, data):
        """Add a received part to a body; ignore one that isn't expected."""
        if not self._transfers.part_received(body, offset, len(data), boot_s()):
            return
        self._metrics.count("tamarackhaven_body_bytes_total", len(data))
        body.data += data
        if len(body.data) == body.size and not body.end.done():
            body.end.set_result(bytes(body.data))
        self._request_parts()

    def restart_transfer(self, body):
        """Request again the parts that were lost with a link."""
        self._transfers.restart_transfer(body)
        self._request_parts()

    def _request_parts(self):
        for part in self._transfers.next_parts(boot_s()):
            part.key.ask(part.offset, part.count)
        if self._review_timer is None and self._offer_by_body:
            loop = asyncio.get_running_loop()
            self._review_timer = loop.call_later(REVIEW_INTERVAL_S, self._review)

    def _review(self):
        self._review_timer = None
        for body, wait_s in self._transfers.bodies_to_refuse(boot_s()):
            self._transfers.drop(body)
            if not body.end.done():
                body.end.set_result(
                    self._gate.refuse(self._offer_by_body[body], wait_s, boot_s())
                )
        self._request_parts()
