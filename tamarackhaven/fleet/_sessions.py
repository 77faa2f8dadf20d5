"""The links of daemons to the leading control VM, and what each has been sent."""

import attrs

from tamarackhaven.fleet._messages import (
    ConfigurationChange,
    ConfigurationView,
    KeysView,
    ZonesView,
)
from tamarackhaven.routing import difference


@attrs.define(eq=False)
class Session:
    """One daemon's link.

    Parameters
    ----------
    configuration : Configuration or None
        What was sent last.
    configuration_index, zones_index : int
        Log index of what was sent last, -1 before.
    index_by_service, ranges_by_service : dict
        The same for the owners of each service's keys, and the owners sent.
    """

    daemon: str
    link: object
    configuration: object = None
    configuration_index: int = -1
    zones_index: int = -1
    index_by_service: dict = attrs.field(factory=dict)
    ranges_by_service: dict = attrs.field(factory=dict)

    def catch_up(self, state):
        """Send the parts of ``state`` that are newer than what was sent."""
        if state.configuration_index > self.configuration_index:
            self._send_configuration(state.configuration_index, state.configuration)
        if state.zones_index > self.zones_index:
            self.zones_index = state.zones_index
            zones = tuple(sorted(state.zones_out))
            self.link.send(ZonesView(state.zones_index, zones))
        for service, index in state.index_by_service.items():
            if index > self.index_by_service.get(service, -1):
                self._send_keys(service, index, state.ranges_by_service[service])

    def _send_configuration(self, index, configuration):
        """Send what changed; all of it the first time."""
        message = ConfigurationView(index, configuration)
        if self.configuration is not None:
            edit = difference(self.configuration, configuration)
            message = ConfigurationChange(index, edit)
        self.configuration = configuration
        self.configuration_index = index
        self.link.send(message)

    def _send_keys(self, service, index, ranges):
        """Send the ranges that changed; all of them the first time."""
        sent = self.ranges_by_service.get(service)
        changed = ranges
        if sent is not None:
            known = set(sent)
            changed = tuple(each for each in ranges if each not in known)
        self.index_by_service[service] = index
        self.ranges_by_service[service] = ranges
        self.link.send(KeysView(index, service, changed, sent is None))
