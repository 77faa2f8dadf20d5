"""Schedules the request bodies that come over the link of the target's VM. Pure.

Other daemons may send more bytes than the link carries. Sent at once, the bodies form
one unordered queue: all of them are late, and short calls wait behind them. So a body
is announced first and requested in parts. Few parts are in flight at any moment, and
a body that can't arrive in time is refused before it is transferred.
"""

import collections
import itertools

import attrs

# A part must be worth a message of its own, and short enough to let others pass.
MIN_PART_BYTES = 4096
MAX_PART_BYTES = 65_536
# Parts in flight at once, so that the link isn't idle while the next is requested.
MIN_PARTS_IN_FLIGHT = 3
MAX_WINDOW_BYTES = 1 << 20
# How long a short call may wait behind the parts in flight.
MAX_QUEUE_DELAY_S = 0.02
# A sender that has sent nothing for this long doesn't hold up the others.
STALL_TIMEOUT_S = 0.15
# The throughput is estimated over about this much time in which the link was busy.
RATE_HALF_LIFE_S = 0.5
# On a full link each part waits behind others. So a part is requested alone this often,
# to measure the round trip without queueing.
ROUND_TRIP_INTERVAL_S = 2.0
# The round trip is the minimum of this many measurements.
MAX_ROUND_TRIPS = 4


@attrs.frozen
class Part:
    """Bytes to request: ``count`` from ``offset`` of the body ``key``."""

    key: object
    offset: int
    count: int


@attrs.frozen
class _PartRequest:
    """A part in flight.

    Parameters
    ----------
    end : int
        Offset of the byte after its last one.
    requested_s : float
        When it was requested.
    is_alone : bool
        Whether no other part was in flight then.
    """

    end: int
    requested_s: float
    is_alone: bool


@attrs.define(eq=False)
class _Body:
    """A body that was announced.

    Parameters
    ----------
    key : object
        Identifies the body.
    size : int
        In bytes.
    offer : Offer
        Of its request.
    order : int
        Rises with each announcement.
    requested_bytes, received_bytes : int
        Bytes requested so far, and bytes received.
    in_flight : deque of _PartRequest
        The parts in flight, oldest first.
    last_progress_s : float
        When the last part was received, or the first one requested after a pause.
    """

    key: object
    size: int
    offer: object
    order: int
    requested_bytes: int = 0
    received_bytes: int = 0
    in_flight: collections.deque = attrs.field(factory=collections.deque)
    last_progress_s: float = float("-inf")

    @property
    def remaining_bytes(self):
        """Bytes not yet received."""
        return self.size - self.received_bytes

    @property
    def in_flight_bytes(self):
        """Bytes requested and not yet received."""
        return self.requested_bytes - self.received_bytes


class LinkRate:
    """Estimates the throughput and round trip of a link from the parts received."""

    def __init__(self):
        self._weighted_bytes = 0.0
        self._weighted_s = 0.0
        self._busy_since_s = None
        self._round_trips_s = collections.deque(maxlen=MAX_ROUND_TRIPS)
        self._last_alone_s = float("-inf")

    @property
    def bytes_per_s(self):
        """Throughput in bytes per second, None before the first part."""
        return self._weighted_bytes / self._weighted_s if self._weighted_s else None

    def window_bytes(self, now):
        """Return how many bytes may be in flight at once."""
        min_bytes = MIN_PARTS_IN_FLIGHT * MIN_PART_BYTES
        if not self._weighted_s or not self._round_trips_s:
            return min_bytes
        if now - self._last_alone_s > ROUND_TRIP_INTERVAL_S:
            return MIN_PART_BYTES
        window = self.bytes_per_s * (min(self._round_trips_s) + MAX_QUEUE_DELAY_S)
        return min(max(int(window), min_bytes), MAX_WINDOW_BYTES)

    def part_requested(self, is_alone, now):
        """Record that a part was requested; ``is_alone`` if no other is in flight."""
        if self._busy_since_s is None:
            self._busy_since_s = now
        if is_alone:
            self._last_alone_s = now

    def part_received(self, count, is_idle, now):
        """Record a received part; ``is_idle`` if no other is in flight."""
        busy_s = now - self._busy_since_s if self._busy_since_s is not None else 0.0
        self._busy_since_s = None if is_idle else now
        if not 0.0 < busy_s < STALL_TIMEOUT_S:
            return
        decay = 0.5 ** (busy_s / RATE_HALF_LIFE_S)
        self._weighted_bytes = decay * self._weighted_bytes + count
        self._weighted_s = decay * self._weighted_s + busy_s

    def add_round_trip(self, round_trip_s):
        """Record the round trip of a part that was alone in flight, in seconds."""
        self._round_trips_s.append(round_trip_s)


class BodyTransfers:
    """The bodies that are being transferred to one VM.

    Parameters
    ----------
    gate : Gate
        Or an object that has its ``latest_start_s(offer)`` and
        ``has_time_for(offer, wait_s, now)``.
    """

    def __init__(self, gate):
        self._gate = gate
        self._body_by_key = {}
        self._announce_order = itertools.count()
        self.rate = LinkRate()

    @property
    def remaining_bytes(self):
        """Bytes not yet received, of all bodies."""
        return sum(body.remaining_bytes for body in self._body_by_key.values())

    def remaining_bytes_of(self, key):
        """Return the bytes of one body that are not yet received."""
        body = self._body_by_key.get(key)
        return body.remaining_bytes if body is not None else 0

    def expected_s(self, size, offer, now):
        """Return in how many seconds a new body is expected to be complete."""
        return self._transfer_s(
            self._bytes_ahead(_Body(None, size, offer, -1), now) + size
        )

    def _transfer_s(self, count):
        rate = self.rate.bytes_per_s
        return count / rate if rate else 0.0

    def _bytes_ahead(self, body, now):
        rank = self._rank(body, now)
        return sum(
            each.remaining_bytes
            for each in self._body_by_key.values()
            if self._rank(each, now) < rank
        )

    def _rank(self, body, now):
        """Return a sort key: in time, priority, already begun, fewer bytes remaining.

        In order of arrival, all bodies would be late while there are more bytes than
        the link carries. Late and large bodies get the capacity that no other body
        needs, and a body that has begun isn't abandoned halfway.
        """
        complete_s = now + self._transfer_s(body.remaining_bytes)
        is_late = complete_s > self._gate.latest_start_s(body.offer)
        is_late = is_late and not body.requested_bytes
        return (
            is_late,
            body.offer.priority,
            not body.requested_bytes,
            body.remaining_bytes,
            body.order,
        )

    def announce(self, key, size, offer):
        """Add a body that another daemon has announced."""
        self._body_by_key[key] = _Body(key, size, offer, next(self._announce_order))

    def drop(self, key):
        """Remove a body that is complete, refused or cancelled."""
        self._body_by_key.pop(key, None)

    def restart_transfer(self, key):
        """Mark the parts in flight as lost with their link."""
        body = self._body_by_key.get(key)
        if body is not None:
            body.requested_bytes = body.received_bytes
            body.in_flight.clear()

    def part_received(self, key, offset, count, now):
        """Record a received part; return whether it is the one expected next."""
        body = self._body_by_key.get(key)
        if body is None or offset != body.received_bytes or not body.in_flight:
            return False
        request = body.in_flight.popleft()
        if offset + count != request.end:
            return False
        body.received_bytes = request.end
        body.last_progress_s = now
        is_idle = not any(each.in_flight_bytes for each in self._body_by_key.values())
        self.rate.part_received(count, is_idle, now)
        if request.is_alone:
            self.rate.add_round_trip(now - request.requested_s)
        return True

    def next_parts(self, now):
        """Return the parts to request now, as a list of ``Part``."""
        bodies = sorted(
            self._body_by_key.values(), key=lambda body: self._rank(body, now)
        )
        window_bytes = self.rate.window_bytes(now)
        part_bytes = min(
            max(window_bytes // MIN_PARTS_IN_FLIGHT, MIN_PART_BYTES), MAX_PART_BYTES
        )
        in_flight_bytes = sum(
            body.in_flight_bytes
            for body in bodies
            if now - body.last_progress_s < STALL_TIMEOUT_S
        )
        # A sender with a slow link of its own must not occupy the whole window.
        max_body_bytes_in_flight = max(window_bytes // 2, 2 * part_bytes)
        parts = []
        for body in bodies:
            while (
                in_flight_bytes < window_bytes
                and body.requested_bytes < body.size
                and body.in_flight_bytes + part_bytes <= max_body_bytes_in_flight
            ):
                count = min(part_bytes, body.size - body.requested_bytes)
                parts.append(self._request_part(body, count, not in_flight_bytes, now))
                in_flight_bytes += count
        return parts

    def _request_part(self, body, count, is_alone, now):
        if not body.in_flight_bytes:
            body.last_progress_s = now
        part = Part(body.key, body.requested_bytes, count)
        body.requested_bytes += count
        body.in_flight.append(_PartRequest(body.requested_bytes, now, is_alone))
        self.rate.part_requested(is_alone, now)
        return part

    def bodies_to_refuse(self, now):
        """Return the bodies to refuse, as a list of key and expected seconds.

        A body that has begun to arrive is refused only if it can't be complete by its
        deadline.
        """
        refused = []
        bytes_ahead = 0
        for body in sorted(
            self._body_by_key.values(), key=lambda body: self._rank(body, now)
        ):
            wait_s = self._transfer_s(bytes_ahead + body.remaining_bytes)
            if self._should_refuse(body, wait_s, now):
                refused.append((body.key, wait_s))
            else:
                bytes_ahead += body.remaining_bytes
        return refused

    def _should_refuse(self, body, wait_s, now):
        if body.requested_bytes:
            return now + self._transfer_s(body.remaining_bytes) >= body.offer.deadline_s
        return not self._gate.has_time_for(body.offer, wait_s, now)
