"""The replicated state of a fleet.

Configuration, zones taken out, owners of keys, requests that ended targets, targets
that leave.

The outcome of a command depends only on the state at its own log index, so all members
reach the same one. Pure.
"""

import collections
import functools

import attrs
import msgpack
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from tamarackhaven._digests import record_digest
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet import _ranges
from tamarackhaven.fleet._leaving import LeavingLives, RecordLeaving
from tamarackhaven.fleet._messages import (
    CONFIGURATION_PART,
    SUSPECTS_PART,
    ZONES_PART,
    PartVersion,
    keys_part,
    view_version,
)
from tamarackhaven.fleet._model import KeyRange
from tamarackhaven.fleet._suspects import (
    SuspectRequest,
    UpdateSuspects,
    suspects_digest,
    updated,
)
from tamarackhaven.routing import Configuration, Edit, check, edited

# Operators repeat an order for seconds, not days; this covers some hours of changes at
# the highest rate that users state.
MAX_ACCEPTED_DIGESTS = 4096
# Former configurations and owners are kept so that a daemon whose link broke is sent
# only what it missed. It looks for the leader for a few seconds at most, and the most
# frequent changes occur about ten times a second.
MAX_FORMER_VALUES = 64


@attrs.frozen
class ReplaceConfiguration:
    """Replace version ``base`` by a whole configuration.

    ``digest`` identifies the order's exact content, to recognize a repeated order.
    """

    base: int
    configuration: Configuration
    digest: str


@attrs.frozen
class EditConfiguration:
    """Change named items of version ``base``; ``digest`` identifies the order."""

    base: int
    edit: Edit
    digest: str


@attrs.frozen
class SetZoneOut:
    """Take an availability zone out, or put it back in."""

    zone: str
    is_out: bool


@attrs.frozen
class AssignKeys:
    """Assign ranges of a service's keys to new owners.

    Parameters
    ----------
    ranges : tuple of KeyRange
        With owner and handover; the fence is set when the command is applied.
    expected : tuple of KeyRange
        Ranges as the leader saw them; the command is void if any has changed.
    cause : str
        Reason, written to the log line of the applied command unless its outcome has a
        detail.
    """

    service: str
    ranges: tuple[KeyRange, ...]
    expected: tuple[KeyRange, ...]
    cause: str = ""


Command = (
    ReplaceConfiguration
    | EditConfiguration
    | SetZoneOut
    | AssignKeys
    | UpdateSuspects
    | RecordLeaving
)


@attrs.frozen
class Outcome:
    """The result of applying a command.

    Parameters
    ----------
    kind : ErrorKind or None
        Error for which it was refused, None if it was applied.
    detail : str
        Explanation of the error, for people.
    is_repeat : bool
        Whether the same order had been accepted before.
    """

    kind: ErrorKind | None = None
    detail: str = ""
    is_repeat: bool = False


@attrs.frozen
class _Saved:
    """The whole state, as stored in a snapshot."""

    configuration: Configuration
    configuration_index: int
    accepted: tuple[tuple[str, int], ...]
    zones_out: tuple[str, ...]
    zones_index: int
    ranges_by_service: dict[str, tuple[KeyRange, ...]]
    index_by_service: dict[str, int]
    last_fence: int
    suspects: tuple[SuspectRequest, ...] = ()
    suspects_index: int = 0
    leaving: tuple[str, ...] = ()


def _make_converter():
    converter = make_converter(forbid_extra_keys=False)
    configure_tagged_union(Command, converter, tag_name="command")
    return converter


_CONVERTER = _make_converter()


def encode(command):
    """Return a ``Command`` as the bytes of a log entry."""
    return msgpack.packb(_CONVERTER.unstructure(command, Command))


def decode(data):
    """Return the ``Command`` of a log entry's bytes."""
    return _CONVERTER.structure(msgpack.unpackb(data), Command)


class _FormerValues(collections.OrderedDict):
    """The newest ``MAX_FORMER_VALUES`` former values."""

    def keep(self, key, value):
        """Add a present value; the oldest one is dropped at the limit."""
        self[key] = value
        if len(self) > MAX_FORMER_VALUES:
            self.popitem(last=False)


class FleetState:
    """The state after the log entries that were applied to it."""

    def __init__(self):
        self.configuration = Configuration()
        self.configuration_index = 0
        self.zones_out = frozenset()
        self.zones_index = 0
        self.ranges_by_service = {}
        self.index_by_service = {}
        self.suspect_by_request = {}
        self.suspects_index = 0
        self._suspects_digest = suspects_digest({})
        self.leaving = LeavingLives()
        self._last_fence = 0
        self._version_by_digest = collections.OrderedDict()
        # A snapshot contains only the present values; daemons that have older ones are
        # sent the whole.
        self._configuration_by_index = _FormerValues()
        self._ranges_by_service_and_index = _FormerValues()
        self._suspects_by_index = _FormerValues()
        self._keys_digest_by_service = {}
        self._view_version_indices = None
        self._view_version = None

    def configuration_at(self, index):
        """Return the configuration applied at log ``index``, None if not kept."""
        return self._configuration_by_index.get(index)

    def ranges_at(self, service, index):
        """Return a service's ranges as set at log ``index``, None if not kept."""
        return self._ranges_by_service_and_index.get((service, index))

    def suspects_at(self, index):
        """Return the suspects set at log ``index``, None if not kept."""
        return self._suspects_by_index.get(index)

    def versions(self):
        """Return the ``PartVersion`` of each part, by its name."""
        versions = [
            PartVersion(
                CONFIGURATION_PART,
                self.configuration_index,
                self.configuration.digest,
            ),
            PartVersion(
                ZONES_PART, self.zones_index, record_digest(*sorted(self.zones_out))
            ),
            PartVersion(
                SUSPECTS_PART,
                self.suspects_index,
                self._suspects_digest,
            ),
        ]
        versions += [
            PartVersion(keys_part(service), index, self._keys_digest(service))
            for service, index in self.index_by_service.items()
        ]
        return {each.part: each for each in versions}

    def view_version(self):
        """Return the ``ViewVersion`` of a daemon that has all changes."""
        indices = self.configuration_index, self.zones_index, self.suspects_index
        if self._view_version_indices != indices:
            self._view_version_indices = indices
            self._view_version = view_version(self.versions())
        return self._view_version

    def confirmed_index_by_part(self):
        """Return the log index of each of ``CONFIRMED_PARTS``, by its name."""
        return {
            CONFIGURATION_PART: self.configuration_index,
            ZONES_PART: self.zones_index,
            SUSPECTS_PART: self.suspects_index,
        }

    def _keys_digest(self, service):
        digest = self._keys_digest_by_service.get(service)
        if digest is None:
            digest = _ranges.digest(self.ranges_by_service[service])
            self._keys_digest_by_service[service] = digest
        return digest

    def save(self):
        """Return the state as the bytes of a snapshot."""
        saved = _Saved(
            self.configuration,
            self.configuration_index,
            tuple(self._version_by_digest.items()),
            tuple(sorted(self.zones_out)),
            self.zones_index,
            dict(self.ranges_by_service),
            dict(self.index_by_service),
            self._last_fence,
            tuple(self.suspect_by_request.values()),
            self.suspects_index,
            self.leaving.saved(),
        )
        return msgpack.packb(_CONVERTER.unstructure(saved))

    @classmethod
    def restored(cls, data):
        """Return the state from the bytes that ``save`` returned."""
        saved = _CONVERTER.structure(msgpack.unpackb(data), _Saved)
        state = cls()
        state.configuration = saved.configuration
        state.configuration_index = saved.configuration_index
        state._version_by_digest.update(saved.accepted)
        state.zones_out = frozenset(saved.zones_out)
        state.zones_index = saved.zones_index
        state.ranges_by_service = dict(saved.ranges_by_service)
        state.index_by_service = dict(saved.index_by_service)
        state._last_fence = saved.last_fence
        suspect_by_request = {each.request: each for each in saved.suspects}
        state._set_suspects(suspect_by_request, saved.suspects_index)
        state.leaving = LeavingLives(saved.leaving)
        state._keep_present_values()
        return state

    def _keep_present_values(self):
        self._configuration_by_index.keep(self.configuration_index, self.configuration)
        for service, index in self.index_by_service.items():
            ranges = self.ranges_by_service[service]
            self._ranges_by_service_and_index.keep((service, index), ranges)

    def apply(self, index, command):
        """Apply a command at log ``index``; return its ``Outcome``.

        If an error ended the process, it would apply the same entry again after its
        restart, and so would every other control VM. All of them fail in the same way,
        so the command is void for all.
        """
        try:
            return self._apply(command, index)
        except TamarackhavenError as error:
            return Outcome(error.kind, error.detail)
        except Exception as error:
            return Outcome(ErrorKind.INTERNAL, repr(error))

    @functools.singledispatchmethod
    def _apply(self, command, index):
        raise TypeError(f"unknown command type: {type(command).__name__}")

    @_apply.register
    def _(self, command: ReplaceConfiguration, index):
        return self._set_configuration(command, command.configuration, index)

    @_apply.register
    def _(self, command: EditConfiguration, index):
        return self._set_configuration(
            command, edited(self.configuration, command.edit), index
        )

    def _set_configuration(self, command, configuration, index):
        # An operator that misses the acknowledgement repeats the order, perhaps after
        # other changes, and would be told of a conflict with its own change. A repeated
        # order is recognized by the digest of its exact content.
        if command.digest in self._version_by_digest:
            return Outcome(is_repeat=True)
        if command.base != self.configuration.version:
            raise TamarackhavenError(
                ErrorKind.VERSION_CONFLICT,
                f"version {self.configuration.version} is in force,"
                f" not base version {command.base}",
            )
        check(configuration, self.configuration.version)
        self.configuration = configuration
        self.configuration_index = index
        self._configuration_by_index.keep(index, configuration)
        self._record_digest(command.digest, configuration.version)
        self._add_sharded_services(index)
        return Outcome()

    def _record_digest(self, digest, version):
        self._version_by_digest[digest] = version
        if len(self._version_by_digest) > MAX_ACCEPTED_DIGESTS:
            self._version_by_digest.popitem(last=False)

    def _add_sharded_services(self, index):
        """Add key ranges for new sharded services.

        The ranges of a removed service stay: it may be added again, and a fencing token
        must never be issued twice.
        """
        for service in self.configuration.services:
            if service.sharded and service.name not in self.ranges_by_service:
                self._set_ranges(service.name, _ranges.whole(), index)

    def _set_ranges(self, service, ranges, index):
        self.ranges_by_service[service] = ranges
        self.index_by_service[service] = index
        self._keys_digest_by_service.pop(service, None)
        self._ranges_by_service_and_index.keep((service, index), ranges)

    @_apply.register
    def _(self, command: SetZoneOut, index):
        zones = self.zones_out - {command.zone}
        if command.is_out:
            zones |= {command.zone}
        if zones != self.zones_out:
            self.zones_out = zones
            self.zones_index = index
        return Outcome()

    @_apply.register
    def _(self, command: UpdateSuspects, index):
        suspect_by_request = updated(self.suspect_by_request, command)
        if suspect_by_request != self.suspect_by_request:
            self._set_suspects(suspect_by_request, index)
        return Outcome()

    def _set_suspects(self, suspect_by_request, index):
        self.suspect_by_request = suspect_by_request
        self.suspects_index = index
        self._suspects_digest = suspects_digest(suspect_by_request)
        self._suspects_by_index.keep(index, suspect_by_request)

    @_apply.register
    def _(self, command: RecordLeaving, _index):
        self.leaving.add(command.lives)
        return Outcome()

    @_apply.register
    def _(self, command: AssignKeys, index):
        ranges = self.ranges_by_service.get(command.service)
        if ranges is None:
            raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, command.service)
        if not set(command.expected) <= set(ranges):
            raise TamarackhavenError(
                ErrorKind.STALE_GRANT, "the expected ranges have changed"
            )
        # If a leader's command contained a key twice, two targets would get it with the
        # same fencing token.
        if _ranges.has_overlap(command.ranges):
            raise TamarackhavenError(
                ErrorKind.INVALID_RESOURCE, "the assigned ranges overlap"
            )
        # All ranges of a command share one token, which is higher than every earlier
        # one.
        self._last_fence += 1
        new = [attrs.evolve(each, fence=self._last_fence) for each in command.ranges]
        self._set_ranges(command.service, _ranges.assigned(ranges, new), index)
        return Outcome()
