"""The links of daemons to the leading control VM, and what each has been sent."""

import attrs

from tamarackhaven.fleet._feed import Feed
from tamarackhaven.fleet._messages import Known


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

    def __attrs_post_init__(self):
        self._index_by_service = dict(self.known.keys)

    def catch_up(self, state):
        """Send the parts of ``state`` that are newer than what the daemon has."""
        if state.configuration_index > self.known.configuration:
            since = self.known.configuration
            self.link.send(self.feed.configuration(state, since))
            self._knows(configuration=state.configuration_index)
        if state.zones_index > self.known.zones:
            self.link.send(self.feed.zones(state))
            self._knows(zones=state.zones_index)
        for service, index in state.index_by_service.items():
            since = self._index_by_service.get(service, -1)
            if index > since:
                self.link.send(self.feed.keys(state, service, since))
                self._index_by_service[service] = index

    def _knows(self, **indexes):
        self.known = attrs.evolve(self.known, **indexes)
