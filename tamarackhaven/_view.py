"""A daemon's compact copy of the cluster state, which never reverts to an older one.

With 65,536 shards, one record object each would take many of the 64 MB that a daemon
may use. So shards are stored in typed arrays, and records are built on request.
"""

import threading
from array import array

from tamarackhaven import _keys
from tamarackhaven._events import (
    MembershipChanged,
    ResourceChanged,
    ResourceDeleted,
    ShardChanged,
    ShardRemoved,
    TargetChanged,
    TargetRemoved,
)
from tamarackhaven._members import Membership
from tamarackhaven._model import PolicyMode, ShardGrant, TargetState, ZoneState
from tamarackhaven._seams import Located
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_STATE_RETRY_S = 0.5


class _Shards:
    """The grants of one service, at 36 bytes per shard."""

    def __init__(self):
        self._names = [""]
        self._number_by_name = {"": 0}
        self._owner_numbers = array("H")
        self._destination_numbers = array("H")
        self._epochs = array("Q")
        self._grants = array("Q")
        self._previous_grants = array("Q")
        self._versions = array("Q")
        self._hash_by_shard = {}
        self.shard_by_hash = {}

    def put(self, grant):
        while len(self._owner_numbers) <= grant.shard:
            for column in (self._owner_numbers, self._destination_numbers):
                column.append(0)
            for column in self._counter_columns():
                column.append(0)
        self._owner_numbers[grant.shard] = self._number_of(grant.owner)
        self._destination_numbers[grant.shard] = self._number_of(grant.moving_to)
        self._epochs[grant.shard] = grant.epoch
        self._grants[grant.shard] = grant.grant
        self._previous_grants[grant.shard] = grant.previous
        self._versions[grant.shard] = grant.version
        if grant.key_hash:
            self._hash_by_shard[grant.shard] = grant.key_hash
            self.shard_by_hash[grant.key_hash] = grant.shard

    def _counter_columns(self):
        return self._epochs, self._grants, self._previous_grants, self._versions

    def remove(self, shard):
        key_hash = self._hash_by_shard.pop(shard, None)
        self.shard_by_hash.pop(key_hash, None)
        if shard < len(self._grants):
            self.put(ShardGrant("", shard))

    def get(self, service, shard):
        if shard >= len(self._owner_numbers):
            return ShardGrant(service, shard)
        return ShardGrant(
            service=service,
            shard=shard,
            owner=self._names[self._owner_numbers[shard]],
            epoch=self._epochs[shard],
            grant=self._grants[shard],
            moving_to=self._names[self._destination_numbers[shard]],
            key_hash=self._hash_by_shard.get(shard, 0),
            previous=self._previous_grants[shard],
            version=self._versions[shard],
        )

    def owned_by(self, target):
        number = self._number_by_name.get(target)
        if number is None:
            return []
        return [
            shard for shard, owner in enumerate(self._owner_numbers) if owner == number
        ]

    def _number_of(self, name):
        number = self._number_by_name.get(name)
        if number is None:
            number = len(self._names)
            self._names.append(name)
            self._number_by_name[name] = number
        return number


class View:
    """The state that a daemon has fetched; all methods are thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._apply_lock = threading.Lock()
        self._reset_tables()
        self._membership = Membership(())
        self._version = 0

    def _reset_tables(self):
        self._resources_by_key = {}
        self._members_by_key = {}
        self._shards_by_service = {}
        self._accepting_by_service = {}

    @property
    def version(self):
        """Version of the state in this view, 0 before the first feed."""
        return self._version

    @property
    def membership(self):
        """Newest ``Membership`` of the control group."""
        return self._membership

    def apply(self, feed):
        """Apply a ``Feed``; return False if it is not newer and was ignored.

        A feed of an older version comes from a control VM that lags, or arrives late.
        Applying it would revert a configuration that is already in force, so it is
        dropped: this view already contains its events.
        """
        with self._apply_lock:
            if feed.version <= self._version:
                return False
            if feed.snapshot:
                self._apply_snapshot(feed)
            else:
                self._apply_events(feed)
            return True

    def _apply_events(self, feed):
        events = list(feed.events)
        with self._lock:
            self._accepting_by_service = {}
            for event in events:
                if event.version > self._version:
                    self._apply_event(event)
            self._version = feed.version

    def _apply_snapshot(self, feed):
        # A first feed of 65,536 shards takes a second to read. Read under the lock, it
        # would block every request for that long. So it is read into separate tables of
        # 2.4 MB, which then replace the old ones at once.
        new_view = View()
        for event in feed.events:
            new_view._apply_event(event)
        with self._lock:
            self._accepting_by_service = {}
            self._resources_by_key = new_view._resources_by_key
            self._members_by_key = new_view._members_by_key
            self._shards_by_service = new_view._shards_by_service
            self._set_membership(new_view._membership)
            self._version = feed.version

    def _apply_event(self, event):
        if isinstance(event, ShardChanged):
            shards = self._shards_by_service.setdefault(event.grant.service, _Shards())
            shards.put(event.grant)
        elif isinstance(event, TargetChanged):
            member = event.member
            self._members_by_key[member.service, member.target] = member
        elif isinstance(event, TargetRemoved):
            self._members_by_key.pop((event.service, event.target), None)
        elif isinstance(event, ResourceChanged):
            kind = type(event.resource).__name__
            self._resources_by_key[kind, event.resource.name] = event.resource
        elif isinstance(event, ResourceDeleted):
            self._delete(event)
        elif isinstance(event, ShardRemoved):
            shards = self._shards_by_service.get(event.service)
            if shards is not None:
                shards.remove(event.shard)
        elif isinstance(event, MembershipChanged):
            self._set_membership(event.membership)

    def _set_membership(self, membership):
        if membership.version >= self._membership.version:
            self._membership = membership

    def _delete(self, event):
        self._resources_by_key.pop((event.kind, event.name), None)
        if event.kind == "Service":
            self._shards_by_service.pop(event.name, None)
            for key in [k for k in self._members_by_key if k[0] == event.name]:
                del self._members_by_key[key]

    def locate(self, service, key_hash):
        """Return the shard, owner and policy of a key as a ``Located``.

        Raises
        ------
        TamarackhavenError
            UNKNOWN_SERVICE, or STATE_STALE before the first state has arrived: a
            caller would treat UNKNOWN_SERVICE as final and not retry.
        """
        with self._lock:
            resource = self._resources_by_key.get(("Service", service))
            shards = self._shards_by_service.get(service)
            if not self._version:
                raise TamarackhavenError(
                    ErrorKind.STATE_STALE,
                    "No state has been received yet.",
                    NO_STATE_RETRY_S,
                )
            if resource is None or shards is None:
                raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, service)
            shard = shards.shard_by_hash.get(key_hash)
            if shard is None:
                shard = _keys.shard_of(key_hash, resource.shard_count)
            grant = shards.get(service, shard)
            owner = self._members_by_key.get((service, grant.owner))
            return Located(grant, owner, resource, self._mode(resource))

    def _mode(self, service):
        policy = self._resources_by_key.get(("OwnershipPolicy", service.policy))
        return policy.mode if policy else PolicyMode.EXCLUSIVE

    def accepting_targets(self, service):
        """Return the targets of a service that accept requests, by this view.

        They are active and their availability zones are in. The list is cached per
        version, as each request of a shared service needs it.
        """
        with self._lock:
            accepting = self._accepting_by_service.get(service)
            if accepting is None:
                accepting = [
                    m
                    for m in self._members_by_key.values()
                    if self._accepts_requests(m)
                ]
                accepting = [
                    member for member in accepting if member.service == service
                ]
                self._accepting_by_service[service] = accepting
            return accepting

    def _accepts_requests(self, member):
        zone = self._resources_by_key.get(("AvailabilityZone", member.zone))
        is_out = zone is not None and zone.state is ZoneState.OUT
        return member.state is TargetState.ACTIVE and not is_out

    def owned_by(self, service, target):
        """Return the ``ShardGrant`` records that a target owns."""
        with self._lock:
            shards = self._shards_by_service.get(service)
            if shards is None:
                return []
            return [shards.get(service, shard) for shard in shards.owned_by(target)]

    def member(self, service, target):
        """Return the ``TargetMember`` of a target, or None."""
        with self._lock:
            return self._members_by_key.get((service, target))

    def members(self, service):
        """Return the ``TargetMember`` records of a service."""
        with self._lock:
            return [m for m in self._members_by_key.values() if m.service == service]

    def shard_count(self, service):
        """Return the number of ordinary shards of a service, 0 if there is none."""
        resource = self.resource("Service", service)
        return resource.shard_count if resource else 0

    def resource(self, kind, name):
        """Return the resource of class ``kind`` named ``name``, or None."""
        with self._lock:
            return self._resources_by_key.get((kind, name))
