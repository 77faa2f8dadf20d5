"""How many bytes of requests' bodies a process holds at once. Pure.

Load: many callers send large bodies at the same time. Harm: collected whole, they fill
the memory, and the process is ended with all that it works on. Limit: so many bytes;
what comes beyond is refused before it is read.
"""


class BodyBudget:
    """Counts the bytes of bodies that are read or worked on.

    Parameters
    ----------
    max_bytes : int
        Held at once; one body of any allowed size fits when nothing else is held.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self):
        """Bytes held now."""
        return self._reserved_bytes

    def reserve(self, count, already_reserved_bytes=0):
        """Take bytes if there is room for them; tell whether there was.

        Parameters
        ----------
        count : int
            Bytes to take.
        already_reserved_bytes : int
            What the same body has taken already.
        """
        is_only_reservation = self._reserved_bytes == already_reserved_bytes
        if not is_only_reservation and self._reserved_bytes + count > self._max_bytes:
            return False
        self._reserved_bytes += count
        return True

    def release(self, count):
        """Give back what was taken."""
        self._reserved_bytes -= count
