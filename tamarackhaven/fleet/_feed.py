"""Updates of the replicated state for daemons, built once and cached. Pure.

Each difference is built and packed once, and a daemon is sent only what it lacks.
Otherwise, with many daemons on slow links, a change with hundreds of routes or a new
leader would overload the group in two ways. Building the update for each daemon would
block the leader for so long that it's deposed. And whole configurations would fill the
links until the daemons drop their sessions, look for the leader again, and are sent the
same once more.
"""

import collections

from tamarackhaven.fleet._messages import (
    CONFIGURATION_PART,
    CONTROL_CODEC,
    NO_INDEX,
    SUSPECTS_PART,
    ZONES_PART,
    ConfigurationChange,
    ConfigurationView,
    KeysView,
    SuspectsView,
    ZonesView,
    keys_part,
)
from tamarackhaven.routing import bare, difference

# Most daemons have one of the last few states; others are sent the whole.
MAX_CACHED_UPDATES = 64


class UpdateCache:
    """Packed updates, by the part of the state and its old and new log index."""

    def __init__(self):
        self._packed_by_step = collections.OrderedDict()

    def configuration(self, state, since):
        """Return the update from the configuration at ``since`` to the present one.

        Parameters
        ----------
        state : FleetState
            The present one.
        since : int
            Log index of the daemon's configuration.
        """
        index = state.configuration_index
        old = state.configuration_at(since)

        def make():
            if old is None:
                return ConfigurationView(index, bare(state.configuration))
            edit = difference(old, state.configuration)
            return ConfigurationChange(since, index, bare(edit))

        # Without the old state, the whole is sent, so all such daemons share an entry.
        since = NO_INDEX if old is None else since
        return self._packed((CONFIGURATION_PART, since, index), make)

    def zones(self, state):
        """Return the update with all zones that are out."""
        index = state.zones_index

        def make():
            return ZonesView(index, tuple(sorted(state.zones_out)))

        return self._packed((ZONES_PART, NO_INDEX, index), make)

    def suspects(self, state, since):
        """Return the update from the suspects at ``since`` to the present ones."""
        index = state.suspects_index
        old = state.suspects_at(since)

        def make():
            present = state.suspect_by_request
            if old is None:
                return SuspectsView(index, tuple(present.values()))
            changed = tuple(
                each for request, each in present.items() if old.get(request) != each
            )
            gone = tuple(request for request in old if request not in present)
            return SuspectsView(index, changed, gone, since)

        since = NO_INDEX if old is None else since
        return self._packed((SUSPECTS_PART, since, index), make)

    def keys(self, state, service, since):
        """Return the update from a service's owners at ``since`` to the present."""
        index = state.index_by_service[service]
        old = state.ranges_at(service, since)

        def make():
            ranges = state.ranges_by_service[service]
            if old is None:
                return KeysView(index, service, ranges)
            known = set(old)
            changed = tuple(each for each in ranges if each not in known)
            return KeysView(index, service, changed, since)

        since = NO_INDEX if old is None else since
        return self._packed((keys_part(service), since, index), make)

    def _packed(self, step, make):
        packed = self._packed_by_step.get(step)
        if packed is None:
            packed = CONTROL_CODEC.packed(make())
            self._packed_by_step[step] = packed
            if len(self._packed_by_step) > MAX_CACHED_UPDATES:
                self._packed_by_step.popitem(last=False)
        return packed
