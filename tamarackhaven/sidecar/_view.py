"""A daemon's view of the control group's state, which never returns to an older one."""

import functools

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven._digests import digest_text, record_digest
from tamarackhaven.fleet._messages import (
    CONFIGURATION_PART,
    NO_INDEX,
    ConfigurationChange,
    ConfigurationView,
    KeysView,
    PartVersion,
    SuspectsView,
    TargetsView,
    ZonesView,
    keys_part,
    view_version,
)
from tamarackhaven.fleet._model import TargetPhase
from tamarackhaven.fleet._ranges import RangeIndex, assigned
from tamarackhaven.fleet._suspects import suspects_digest
from tamarackhaven.routing import Configuration, RouteTable, edited
from tamarackhaven.sidecar._known_targets import KnownTargets
from tamarackhaven.sidecar._pulse import ChangeSignal
from tamarackhaven.sidecar._view_reports import UpdateOutcome

# A leader answers several times a second. Without an answer for this long, recent
# changes by operators may be missing from the view.
CONFIRMATION_TTL_S = 1.5


@attrs.frozen
class ConfigurationStamp:
    """Which configuration a request was handled by, and how old the view was then.

    Parameters
    ----------
    version : int
        As declared by operators, 0 without a configuration.
    index : int
        Log index of the configuration, -1 without one.
    digest : str
        Of its content, hexadecimal.
    age_s : float or None
        Seconds since the newest report that the leader has answered was sent; None
        before the first answer.
    """

    version: int = 0
    index: int = -1
    digest: str = ""
    age_s: float | None = None

    def log_fields(self):
        """Return the fields of a log line about a request."""
        return {
            "configuration": self.version,
            "configuration_index": self.index,
            "configuration_digest": self.digest,
            "view_age_s": self.age_s,
        }


class View:
    """Configuration, zones, owners of keys, targets, and requests that end targets."""

    def __init__(self):
        # None until a version with routes has arrived.
        self.table = None
        self._configuration = Configuration()
        self.zones_out = frozenset()
        self._zone_out_since_s = {}
        self._has_received_zones = False
        self._targets = KnownTargets()
        self._keys_by_service = {}
        self.suspect_by_request = {}
        self._version_by_part = {}
        self._change_signal = ChangeSignal()
        self._confirmed_s = float("-inf")

    def confirm(self, requested_s):
        """Record that the leader has what this view has.

        It answered a report that was sent at ``requested_s``, in seconds of the boot
        clock.
        """
        self._confirmed_s = max(self._confirmed_s, requested_s)

    def is_confirmed(self, now):
        """Whether the view includes all changes that were accepted until recently."""
        return now - self._confirmed_s <= CONFIRMATION_TTL_S

    def configuration_stamp(self, now):
        """Return the ``ConfigurationStamp`` of the configuration in force."""
        age_s = None
        if self._confirmed_s > float("-inf"):
            age_s = round(now - self._confirmed_s, 3)
        if self.table is None:
            return ConfigurationStamp(age_s=age_s)
        configuration = self.table.configuration
        return ConfigurationStamp(
            configuration.version,
            self.index(CONFIGURATION_PART),
            digest_text(configuration.digest),
            age_s,
        )

    @property
    def state_index(self):
        """Highest log index of any part."""
        return max((each.index for each in self.known()), default=0)

    def version(self):
        """Return the ``ViewVersion`` in force, to be compared with the leader's."""
        return view_version(self._version_by_part)

    def known(self):
        """Return the versions of the parts in force, as a tuple of ``PartVersion``."""
        return tuple(self._version_by_part.values())

    def index(self, part):
        """Return the log index of a part in force, ``NO_INDEX`` without one."""
        version = self._version_by_part.get(part)
        return NO_INDEX if version is None else version.index

    @functools.singledispatchmethod
    def apply_update(self, message):
        """Apply a message about a part; return its ``UpdateOutcome``.

        A part's version changes after its content, so that an update that fails is not
        taken for one that was applied.

        Raises
        ------
        TypeError
            If it's a message of another type.
        """
        raise TypeError(f"not a message about the view: {type(message).__name__}")

    @apply_update.register
    def _(self, message: ConfigurationView):
        return self._apply_configuration(message, message.configuration)

    @apply_update.register
    def _(self, message: ConfigurationChange):
        outcome = self._check_base(message)
        if outcome is not None:
            return outcome
        return self._apply_configuration(
            message, edited(self._configuration, message.edit)
        )

    def _apply_configuration(self, message, configuration):
        version = PartVersion(message.part, message.index, configuration.digest)
        if not self._is_newer(version):
            return UpdateOutcome.OUTDATED
        if configuration.version:
            self.table = RouteTable(configuration)
        self._configuration = configuration
        return self._record_version(version)

    @apply_update.register
    def _(self, message: ZonesView):
        digest = record_digest(*sorted(message.zones_out))
        version = PartVersion(message.part, message.index, digest)
        if not self._is_newer(version):
            return UpdateOutcome.OUTDATED
        # If a daemon restarts while its zone is out and counts from when it's notified,
        # its target runs for longer than operators were told. So zones that are out in
        # the first message count as out for an unlimited time already.
        now = boot_s() if self._has_received_zones else float("-inf")
        self._has_received_zones = True
        self.zones_out = frozenset(message.zones_out)
        self._zone_out_since_s = {
            zone: self._zone_out_since_s.get(zone, now) for zone in self.zones_out
        }
        return self._record_version(version)

    @apply_update.register
    def _(self, message: KeysView):
        ranges = message.ranges
        if message.base != NO_INDEX:
            outcome = self._check_base(message)
            if outcome is not None:
                return outcome
            ranges = assigned(self._keys_by_service[message.service].ranges, ranges)
        keys = RangeIndex(ranges)
        version = PartVersion(message.part, message.index, keys.digest)
        if not self._is_newer(version):
            return UpdateOutcome.OUTDATED
        self._keys_by_service[message.service] = keys
        return self._record_version(version)

    @apply_update.register
    def _(self, message: SuspectsView):
        suspects = {}
        if message.base != NO_INDEX:
            outcome = self._check_base(message)
            if outcome is not None:
                return outcome
            suspects = dict(self.suspect_by_request)
        for request in message.gone:
            suspects.pop(request, None)
        suspects.update((each.request, each) for each in message.suspects)
        version = PartVersion(message.part, message.index, suspects_digest(suspects))
        if not self._is_newer(version):
            return UpdateOutcome.OUTDATED
        self.suspect_by_request = suspects
        return self._record_version(version)

    @apply_update.register
    def _(self, message: TargetsView):
        if not self._targets.apply_view(message, boot_s()):
            return UpdateOutcome.OUTDATED
        return self._notify_changed()

    def drop_unlisted_targets(self, now):
        """Remove targets that leaders haven't known for too long; return their lives.

        Without a leader nothing is removed. ``now`` is in seconds of the boot clock.
        """
        if not self.is_confirmed(now):
            return []
        dropped_lives = self._targets.drop_unlisted(now)
        if dropped_lives:
            self._notify_changed()
        return dropped_lives

    def _check_base(self, message):
        """Return why a difference can't be applied, None if it can."""
        index = self.index(message.part)
        if message.index <= index:
            return UpdateOutcome.OUTDATED
        return None if message.base == index else UpdateOutcome.REFUSED

    def _is_newer(self, version):
        """Whether a whole part replaces the present one.

        Messages of a deposed leader may still be in flight, and a daemon would return
        to an older configuration. The log index only increases, whoever leads. Under
        the same index, the leader replaces a part that differs from its own.
        """
        known = self._version_by_part.get(version.part)
        if known is None or version.index > known.index:
            return True
        return version.index == known.index and version.digest != known.digest

    def _record_version(self, version):
        self._version_by_part[version.part] = version
        return self._notify_changed()

    def _notify_changed(self):
        self._change_signal.notify_all()
        return UpdateOutcome.APPLIED

    async def changed(self, timeout_s):
        """Wait for the next change, for at most ``timeout_s`` seconds."""
        await self._change_signal.wait(timeout_s)

    # Questions.

    @property
    def target_by_life(self):
        """The known targets, each a ``Target``, by life."""
        return self._targets.by_life

    def service(self, heartbeat):
        """Return the ``ServiceSpec`` of a target's service, None if not known."""
        if self.table is None or heartbeat is None:
            return None
        return self.table.service_by_name.get(heartbeat.service)

    def health_path(self, service):
        """Return the path of a service's health checks, None if it isn't known."""
        spec = self.table and self.table.service_by_name.get(service)
        return spec.health_path if spec else None

    def zone_out_since_s(self, zone):
        """Return when this daemon was notified that a zone is out, None if it's in.

        In seconds of the boot clock; minus infinity if it was out from the start.
        """
        return self._zone_out_since_s.get(zone)

    def owner(self, service, key):
        """Return the ``Target`` that owns a key, None if none is known."""
        index = self._keys_by_service.get(service)
        if index is None:
            return None
        return self.target_by_life.get(index.find(key).owner)

    def keys_index(self, service):
        """Return the log index of the owners of a service's keys, -1 if unknown."""
        return self.index(keys_part(service))

    def available_targets(self, service):
        """Return the targets of a service that may get new requests."""
        return [
            target
            for target in self._targets.of_service(service)
            if target.phase is TargetPhase.READY and target.zone not in self.zones_out
        ]

    def daemon_count(self):
        """Return the number of known daemons, at least 1."""
        return max(len(self.target_by_life), 1)
