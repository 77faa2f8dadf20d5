"""Loses configurations that leaders send to some daemons, and keeps their links."""

import collections
import contextlib

from soak._proxy import Direction
from standin.fleet_target import PORTS
from standin.message_filter import MessageFilter

_LOST_KINDS = frozenset(("ConfigurationChange", "ConfigurationView"))


class LostUpdates:
    """Loses every other configuration on its way to the chosen daemons.

    Attributes
    ----------
    lost_by_host : collections.Counter
        Lost messages by the daemon's VM.
    """

    def __init__(self):
        self._chosen_hosts = collections.Counter()
        # Daemons that have lost a configuration and get the next one.
        self._spared_hosts = set()
        self.lost_by_host = collections.Counter()

    def filter_flow(self, hosts, flow):
        """Filter what a control VM sends to a daemon, which is on one of ``hosts``."""
        for host in hosts:
            if f"{host}:{PORTS['links']}".encode() in flow.first_bytes:
                flow.filter_by_direction[Direction.BACK] = MessageFilter(
                    lambda kind, host=host: self._is_lost(host, kind),
                    lambda host=host: self._chosen_hosts[host] > 0,
                )

    def _is_lost(self, host, kind):
        if kind not in _LOST_KINDS:
            return False
        if host not in self._spared_hosts:
            self._spared_hosts.add(host)
            self.lost_by_host[host] += 1
            return True
        self._spared_hosts.discard(host)
        return False

    @contextlib.contextmanager
    def losing(self, host):
        """Lose the next configuration of a daemon, and every other one meanwhile."""
        self._spared_hosts.discard(host)
        self._chosen_hosts[host] += 1
        try:
            yield
        finally:
            self._chosen_hosts[host] -= 1
