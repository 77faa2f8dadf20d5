"""What a daemon knows from the control group; it never goes back to older state."""

import functools

from tamarackhaven._clock import boot_s
from tamarackhaven.fleet._messages import (
    ConfigurationChange,
    ConfigurationView,
    KeysView,
    Known,
    TargetsView,
    ZonesView,
)
from tamarackhaven.fleet._model import TargetPhase
from tamarackhaven.fleet._ranges import RangeIndex, assigned
from tamarackhaven.routing import Configuration, RouteTable, edited
from tamarackhaven.sidecar._pulse import Pulse

# A leader answers several times a second; without an answer for so long, what operators
# have changed since may be unknown here.
CONFIRMED_FOR_S = 1.5


class View:
    """Configuration, zones, owners of keys and targets."""

    def __init__(self):
        self.table = None
        self._configuration = Configuration()
        self.zones_out = frozenset()
        self._zone_out_since_s = {}
        self._has_heard_zones = False
        self.target_by_life = {}
        self._lives_by_service = {}
        self._keys_by_service = {}
        self._index_by_part = {}
        self._changed = Pulse()
        self._confirmed_s = float("-inf")

    def confirm(self, asked_s):
        """Note that the leader answers what it was asked at a time of the boot clock.

        It sends an answer behind all that it had accepted before the question, on the
        same link.
        """
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def is_confirmed(self, now):
        """Whether all that was accepted until lately is part of this view."""
        return now - self._confirmed_s <= CONFIRMED_FOR_S

    @property
    def state_index(self):
        """Highest log index of any part."""
        return max(self._index_by_part.values(), default=0)

    def known(self):
        """Return what a leader needs not send again, as ``Known``."""
        index_by_part = self._index_by_part
        return Known(
            index_by_part.get("configuration", -1),
            index_by_part.get("zones", -1),
            tuple(
                (service, index_by_part[_keys_part(service)])
                for service in self._keys_by_service
            ),
        )

    @functools.singledispatchmethod
    def take(self, message):
        """Take in a part; tell whether it was newer than what was known."""
        raise TypeError(f"no part of the view: {type(message).__name__}")

    @take.register
    def _(self, message: ConfigurationView):
        if not self._is_newer("configuration", message.index):
            return False
        return self._configure(message.configuration)

    @take.register
    def _(self, message: ConfigurationChange):
        if not self._is_newer("configuration", message.index):
            return False
        return self._configure(edited(self._configuration, message.edit))

    def _configure(self, configuration):
        self._configuration = configuration
        if configuration.version:
            self.table = RouteTable(configuration)
        return self._wake()

    @take.register
    def _(self, message: ZonesView):
        if not self._is_newer("zones", message.index):
            return False
        # Failure: a daemon restarts while its zone is out. Symptom: counted from when
        # it hears of that, its target goes on for longer than operators were told.
        # Enough: what was out before it heard anything counts as out for long.
        now = boot_s() if self._has_heard_zones else float("-inf")
        self._has_heard_zones = True
        self.zones_out = frozenset(message.zones_out)
        self._zone_out_since_s = {
            zone: self._zone_out_since_s.get(zone, now) for zone in self.zones_out
        }
        return self._wake()

    @take.register
    def _(self, message: KeysView):
        if not self._is_newer(_keys_part(message.service), message.index):
            return False
        ranges = message.ranges
        if not message.is_whole:
            known = self._keys_by_service[message.service].ranges
            ranges = assigned(known, ranges)
        self._keys_by_service[message.service] = RangeIndex(ranges)
        return self._wake()

    @take.register
    def _(self, message: TargetsView):
        for life in message.gone:
            self.target_by_life.pop(life, None)
        for target in message.targets:
            self.target_by_life[target.life] = target
        self._lives_by_service = {}
        for target in self.target_by_life.values():
            self._lives_by_service.setdefault(target.service, []).append(target)
        return self._wake()

    def _is_newer(self, part, index):
        # Failure: a leader that was deposed still has something on its way. Symptom:
        # a daemon goes back to an older configuration. Enough: the log's index only
        # rises, whoever sends it.
        if index <= self._index_by_part.get(part, -1):
            return False
        self._index_by_part[part] = index
        return True

    def _wake(self):
        self._changed.set()
        return True

    async def changed(self, timeout_s):
        """Wait for the next change, ``timeout_s`` seconds at most."""
        await self._changed.wait(timeout_s)

    # Questions.

    def service(self, heartbeat):
        """Return the ``ServiceSpec`` of a target's service, None if not known."""
        if self.table is None or heartbeat is None:
            return None
        return self.table.service_by_name.get(heartbeat.service)

    def zone_out_since_s(self, zone):
        """Return when this daemon heard that a zone is out, None if it is in."""
        return self._zone_out_since_s.get(zone)

    def owner(self, service, key):
        """Return the ``Target`` that owns a key, None if there is none known."""
        index = self._keys_by_service.get(service)
        if index is None:
            return None
        return self.target_by_life.get(index.find(key).owner)

    def keys_index(self, service):
        """Return the log index of a service's owners, -1 if they are not known."""
        return self._index_by_part.get(_keys_part(service), -1)

    def choices(self, service):
        """Return the targets of a service that may get new requests."""
        return [
            target
            for target in self._lives_by_service.get(service, ())
            if target.phase is TargetPhase.READY and target.zone not in self.zones_out
        ]

    def daemon_count(self):
        """Return how many daemons there are, as far as known; at least 1."""
        return max(len(self.target_by_life), 1)


def _keys_part(service):
    return f"keys {service}"
