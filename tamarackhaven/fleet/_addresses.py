"""The control VM addresses that a process received most recently. Pure."""

import collections

# When control VMs are replaced over months, every outdated address would be dialled in
# each search. This holds some generations of the largest group.
MAX_ADDRESSES = 64
MAX_PORT = 65535


def is_address(host, port):
    """Whether a host and a port, as another process says them, can be dialled."""
    return bool(host) and 0 < port <= MAX_PORT


class KnownAddresses:
    """The most recently received addresses, as pairs of host and port."""

    def __init__(self):
        self._addresses = collections.OrderedDict()

    def __iter__(self):
        return iter(self._addresses)

    def add(self, addresses):
        """Add addresses; the least recently received are dropped at the limit.

        Those that can't be dialled are left out.
        """
        for host, port in addresses:
            if not is_address(host, port):
                continue
            self._addresses[host, port] = None
            self._addresses.move_to_end((host, port))
        while len(self._addresses) > MAX_ADDRESSES:
            self._addresses.popitem(last=False)
