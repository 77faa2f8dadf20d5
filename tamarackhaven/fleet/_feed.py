"""News of the replicated state for daemons, made once for all that need the same. Pure.

Load: a change with hundreds of routes, or a new leader, with many daemons on small
links. Harm: made anew for each daemon, the news holds the leader up for so long that
it is deposed, and whole configurations fill the links until the daemons give their
sessions up, look for the leader again and are sent the same once more. Limit: each
difference is made and packed once, and a daemon is sent what it lacks.
"""

import collections

from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    ConfigurationChange,
    ConfigurationView,
    KeysView,
    ZonesView,
)
from tamarackhaven.routing import bare, difference

# Daemons are at one of the last few states; others get the whole.
MAX_CACHED_UPDATES = 64


class UpdateCache:
    """Packed messages, by the part and the indexes between which they lead."""

    def __init__(self):
        self._packed_by_step = collections.OrderedDict()

    def configuration(self, state, since):
        """Return what leads from the configuration of index ``since`` to the present.

        Parameters
        ----------
        state : FleetState
            The present one.
        since : int
            -1 if nothing is known.
        """
        index = state.configuration_index
        old = state.configuration_at(since)

        def make():
            if old is None:
                return ConfigurationView(index, bare(state.configuration))
            edit = difference(old, state.configuration)
            return ConfigurationChange(index, bare(edit))

        # Without the old state the whole is sent, whatever the daemon has.
        since = -1 if old is None else since
        return self._packed(("configuration", since, index), make)

    def zones(self, state):
        """Return the zones that are out."""
        index = state.zones_index

        def make():
            return ZonesView(index, tuple(sorted(state.zones_out)))

        return self._packed(("zones", -1, index), make)

    def keys(self, state, service, since):
        """Return what leads from the owners of index ``since`` to the present ones."""
        index = state.index_by_service[service]
        old = state.ranges_at(service, since)

        def make():
            ranges = state.ranges_by_service[service]
            if old is None:
                return KeysView(index, service, ranges)
            known = set(old)
            changed = tuple(each for each in ranges if each not in known)
            return KeysView(index, service, changed, is_whole=False)

        since = -1 if old is None else since
        return self._packed((f"keys {service}", since, index), make)

    def _packed(self, step, make):
        packed = self._packed_by_step.get(step)
        if packed is None:
            packed = CONTROL_CODEC.packed(make())
            self._packed_by_step[step] = packed
            if len(self._packed_by_step) > MAX_CACHED_UPDATES:
                self._packed_by_step.popitem(last=False)
        return packed
