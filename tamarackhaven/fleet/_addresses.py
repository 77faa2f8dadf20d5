"""Addresses of control VMs that a process has heard of, the newest ones. Pure."""

import collections

# Load: control VMs that are replaced for months. Harm: each address that is long gone
# is dialled at every search. Limit: some generations of the largest group.
MAX_ADDRESSES = 64


class HeardAddresses:
    """The addresses last heard of, as pairs of host and port."""

    def __init__(self):
        self._addresses = collections.OrderedDict()

    def __iter__(self):
        return iter(self._addresses)

    def add(self, addresses):
        """Note addresses; the ones heard of longest ago give way."""
        for host, port in addresses:
            self._addresses[host, port] = None
            self._addresses.move_to_end((host, port))
        while len(self._addresses) > MAX_ADDRESSES:
            self._addresses.popitem(last=False)
