"""The control VM addresses that a process received most recently. Pure."""

import collections

# When control VMs are replaced over months, every outdated address would be dialled in
# each search. This holds some generations of the largest group.
MAX_ADDRESSES = 64


class KnownAddresses:
    """The most recently received addresses, as pairs of host and port."""

    def __init__(self):
        self._addresses = collections.OrderedDict()

    def __iter__(self):
        return iter(self._addresses)

    def add(self, addresses):
        """Add addresses; the least recently received are dropped at the limit."""
        for host, port in addresses:
            self._addresses[host, port] = None
            self._addresses.move_to_end((host, port))
        while len(self._addresses) > MAX_ADDRESSES:
            self._addresses.popitem(last=False)
