"""Limits the bytes of request bodies that a process buffers at once. No I/O.

Bodies are buffered whole. Without a limit, many callers that send large bodies at the
same time would exhaust the memory, and the process would be killed with every request
in flight. A body that exceeds the limit is refused before it is read.
"""


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
