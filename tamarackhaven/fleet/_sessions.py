"""The links of daemons to the leading control VM, and what each has been sent."""

import collections

import attrs

from tamarackhaven.fleet._feed import UpdateCache
from tamarackhaven.fleet._messages import Known

# Load: owners change many times a second, with a hundred daemons on small links. Harm:
# a new configuration stands for seconds behind news that are out of date by then.
# Limit: about ten changes of owners on their way to a daemon; what changes meanwhile
# comes as one difference.
MAX_UNACKNOWLEDGED_BYTES = 4096


@attrs.frozen
class _Unacknowledged:
    """News that a daemon has not reported to have: log index, and size in bytes."""

    index: int
    size: int


@attrs.define(eq=False)
class Session:
    """One daemon's link.

    Parameters
    ----------
    daemon : str
        Host and port of its links.
    link : Link
        To the daemon.
    update_cache : UpdateCache
        Shared by all sessions.
    known : Known
        What the daemon said that it has.
    """

    daemon: str
    link: object
    update_cache: UpdateCache = attrs.field(factory=UpdateCache)
    known: Known = Known()
    _index_by_service: dict = attrs.field(init=False)
    _unacknowledged: collections.deque = attrs.field(
        init=False, factory=collections.deque
    )

    def __attrs_post_init__(self):
        self._index_by_service = dict(self.known.keys)

    def catch_up(self, state):
        """Send all parts of ``state`` that are newer than what the daemon has."""
        self._send_configuration_and_zones(state)
        self._send_owners(state)

    def send_updates(self, state):
        """Send what is newer, owners of keys only as far as the daemon keeps up."""
        self._send_configuration_and_zones(state)
        if self._unacknowledged_bytes < MAX_UNACKNOWLEDGED_BYTES:
            self._send_owners(state)

    def acknowledge(self, index):
        """Note that the daemon has everything up to a log index."""
        while self._unacknowledged and self._unacknowledged[0].index <= index:
            self._unacknowledged.popleft()

    @property
    def _unacknowledged_bytes(self):
        return sum(each.size for each in self._unacknowledged)

    def _send_configuration_and_zones(self, state):
        if state.configuration_index > self.known.configuration:
            since = self.known.configuration
            self.link.send(self.update_cache.configuration(state, since))
            self._update_known(configuration=state.configuration_index)
        if state.zones_index > self.known.zones:
            self.link.send(self.update_cache.zones(state))
            self._update_known(zones=state.zones_index)

    def _send_owners(self, state):
        for service, index in state.index_by_service.items():
            since = self._index_by_service.get(service, -1)
            if index > since:
                update = self.update_cache.keys(state, service, since)
                self.link.send(update)
                self._unacknowledged.append(_Unacknowledged(index, len(update.data)))
                self._index_by_service[service] = index

    def _update_known(self, **indexes):
        self.known = attrs.evolve(self.known, **indexes)
