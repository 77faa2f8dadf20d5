"""The links of daemons to the leading control VM, and what each has been sent."""

import collections

import attrs

from tamarackhaven.fleet._feed import Feed
from tamarackhaven.fleet._messages import Known

# Load: owners change many times a second, with a hundred daemons on small links. Harm:
# a new configuration stands for seconds behind news that are out of date by then.
# Limit: about ten changes of owners on their way to a daemon; what changes meanwhile
# comes as one difference.
MOST_UNCONFIRMED_BYTES = 4096


@attrs.frozen
class _Unconfirmed:
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
    feed : Feed
        Shared by all sessions.
    known : Known
        What the daemon said that it has.
    """

    daemon: str
    link: object
    feed: Feed = attrs.field(factory=Feed)
    known: Known = Known()
    _index_by_service: dict = attrs.field(init=False)
    _unconfirmed: collections.deque = attrs.field(init=False, factory=collections.deque)

    def __attrs_post_init__(self):
        self._index_by_service = dict(self.known.keys)

    def catch_up(self, state):
        """Send all parts of ``state`` that are newer than what the daemon has."""
        self._send_rare(state)
        self._send_owners(state)

    def send_news(self, state):
        """Send what is newer, owners of keys only as far as the daemon keeps up."""
        self._send_rare(state)
        if self._unconfirmed_bytes < MOST_UNCONFIRMED_BYTES:
            self._send_owners(state)

    def confirmed(self, index):
        """Note that the daemon has everything up to a log index."""
        while self._unconfirmed and self._unconfirmed[0].index <= index:
            self._unconfirmed.popleft()

    @property
    def _unconfirmed_bytes(self):
        return sum(each.size for each in self._unconfirmed)

    def _send_rare(self, state):
        if state.configuration_index > self.known.configuration:
            since = self.known.configuration
            self.link.send(self.feed.configuration(state, since))
            self._knows(configuration=state.configuration_index)
        if state.zones_index > self.known.zones:
            self.link.send(self.feed.zones(state))
            self._knows(zones=state.zones_index)

    def _send_owners(self, state):
        for service, index in state.index_by_service.items():
            since = self._index_by_service.get(service, -1)
            if index > since:
                news = self.feed.keys(state, service, since)
                self.link.send(news)
                self._unconfirmed.append(_Unconfirmed(index, len(news.data)))
                self._index_by_service[service] = index

    def _knows(self, **indexes):
        self.known = attrs.evolve(self.known, **indexes)
