"""Limits the bytes of bodies that a process buffers at once. No I/O.

Bodies are buffered whole. Without a limit, many callers that send large bodies at the
same time would exhaust the memory, and the process would be killed with every request
in flight. A body that exceeds the limit is refused before it is read. The body of an
answer may have no length and no end; its request has run already.
"""

import attrs


class BodyBudget:
    """Counts the bytes of request bodies that are being read or handled.

    Parameters
    ----------
    max_bytes : int
        Most bytes reserved at once. A body of any size that the configured limits
        allow is accepted while nothing else is reserved.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self):
        """Bytes currently reserved."""
        return self._reserved_bytes

    def reserve(self, count, already_reserved_bytes=0):
        """Reserve bytes if the limit allows it; return whether it did.

        Parameters
        ----------
        count : int
            Bytes to reserve.
        already_reserved_bytes : int
            Bytes that the same body has reserved before.
        """
        is_only_reservation = self._reserved_bytes == already_reserved_bytes
        if not is_only_reservation and self._reserved_bytes + count > self._max_bytes:
            return False
        self._reserved_bytes += count
        return True

    def release(self, count):
        """Release ``count`` reserved bytes."""
        self._reserved_bytes -= count


@attrs.define
class _Received:
    """Bytes of an answer's body so far, and whether its end is known."""

    count: int
    has_length: bool


class AnswerBudget:
    """Counts the bytes of the answers that are being received.

    Parameters
    ----------
    max_bytes : int
        Most bytes of all of them together. A single answer may exceed it.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._received_by_holder = {}

    @property
    def received_bytes(self):
        """Bytes of the answers that are being received."""
        return sum(each.count for each in self._received_by_holder.values())

    def add(self, holder, count, has_length):
        """Count bytes of an answer; return the holder that has to give up, or None.

        The largest answer gives up, and one whose length isn't known before others.

        Parameters
        ----------
        holder : object
            Stands for the answer.
        count : int
            Bytes that have arrived.
        has_length : bool
            Whether the answer said how long it is.
        """
        known = self._received_by_holder.setdefault(holder, _Received(0, has_length))
        known.count += count
        is_alone = len(self._received_by_holder) == 1
        if is_alone or self.received_bytes <= self._max_bytes:
            return None
        return max(self._received_by_holder, key=self._order_of)

    def _order_of(self, holder):
        received = self._received_by_holder[holder]
        return not received.has_length, received.count

    def remove(self, holder):
        """Stop counting an answer that has ended or was given up."""
        self._received_by_holder.pop(holder, None)
