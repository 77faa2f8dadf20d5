"""Sessions of daemons with the leading control VM: what each has been sent."""

import collections

import attrs

from tamarackhaven.fleet._feed import UpdateCache
from tamarackhaven.fleet._messages import Known

# Owners may change many times a second, with a hundred daemons on slow links. Without a
# limit, a new configuration would be queued for seconds behind updates that are
# outdated by then. This is about ten changes of owners in flight to a daemon; further
# changes are combined into one difference.
MAX_UNACKNOWLEDGED_BYTES = 4096


@attrs.frozen
class _Unacknowledged:
    """An update not yet acknowledged by a daemon: log index, and size in bytes."""

    index: int
    size: int


@attrs.define(eq=False)
class Session:
    """One daemon's session.

    Parameters
    ----------
    daemon : str
        Host and port of its links.
    link : Link
        To the daemon.
    update_cache : UpdateCache
        Shared by all sessions.
    known : Known
        The parts of the state that the daemon reported to have.
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
        """Send all parts of ``state`` that are newer than the daemon's."""
        self._send_configuration_and_zones(state)
        self._send_owners(state)

    def send_updates(self, state):
        """Send newer parts of ``state``; owners only if few are unacknowledged."""
        self._send_configuration_and_zones(state)
        if self._unacknowledged_bytes < MAX_UNACKNOWLEDGED_BYTES:
            self._send_owners(state)

    def acknowledge(self, index):
        """Record that the daemon has received all updates up to a log index."""
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
