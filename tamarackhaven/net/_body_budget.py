"""How many bytes of requests' bodies a process holds at once. Pure.

Load: many callers send large bodies at the same time. Harm: collected whole, they fill
the memory, and the process is ended with all that it works on. Limit: so many bytes;
what comes beyond is refused before it is read.
"""


class BodyBudget:
    """Counts the bytes of bodies that are read or worked on.

    Parameters
    ----------
    most_bytes : int
        Held at once; one body of any allowed size fits when nothing else is held.
    """

    def __init__(self, most_bytes):
        self._most_bytes = most_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self):
        """Bytes held now."""
        return self._held_bytes

    def take(self, count, own_bytes=0):
        """Take bytes if there is room for them; tell whether there was.

        Parameters
        ----------
        count : int
            Bytes to take.
        own_bytes : int
            What the same body has taken already.
        """
        is_only = self._held_bytes == own_bytes
        if not is_only and self._held_bytes + count > self._most_bytes:
            return False
        self._held_bytes += count
        return True

    def give_back(self, count):
        """Give back what was taken."""
        self._held_bytes -= count
