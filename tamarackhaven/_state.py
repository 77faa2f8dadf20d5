"""The state that the replicated log builds: resources, targets and shard grants.

``ClusterState.apply`` is deterministic: it looks at the change, its index and the
state before it, at nothing else. So every control VM reaches the same state, and a
restarted one reaches it again.
"""

import collections
import hashlib
from functools import singledispatchmethod

import attrs

from tamarackhaven import _codec, _keys
from tamarackhaven._changes import (
    Change,
    Command,
    DeleteResource,
    JoinTarget,
    LeaveTarget,
    MoveShards,
    Outcome,
    PinKey,
    PutResource,
    ReleaseShards,
    RetireTarget,
    UnpinKey,
)
from tamarackhaven._decisions import Decision, DecisionRecord
from tamarackhaven._events import (
    Event,
    ResourceChanged,
    ResourceDeleted,
    ShardChanged,
    ShardRemoved,
    TargetChanged,
)
from tamarackhaven._model import ShardGrant, TargetMember, TargetState, ZoneState
from tamarackhaven._resources import (
    check_delete,
    check_last_zone,
    check_name,
    check_resource,
    key_of,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# At 1,200 changes a day this remembers a resent change for over a week.
OUTCOMES_KEPT = 10_000


@attrs.frozen
class FirstOutcome:
    """The first outcome of a change id, with the digest of that change."""

    change_id: str
    digest: str
    outcome: Outcome


@attrs.frozen
class StateSnapshot:
    """All of the state, as text can hold it."""

    version: int
    events: list[Event]
    outcomes: list[FirstOutcome]
    decisions: list[Decision]


class ClusterState:
    """Resources, targets and grants after one entry of the log."""

    def __init__(self):
        self.version = 0
        self.decisions = DecisionRecord()
        self._resources_by_key = {}
        self._members_by_key = {}
        self._key_by_epoch = {}
        self._grants_by_service = {}
        self._outcomes_by_change_id = collections.OrderedDict()
        self._events = []
        self._decided_at = 0.0

    @property
    def services(self):
        """All services."""
        return self._of_kind("Service")

    @property
    def zones(self):
        """All availability zones."""
        return self._of_kind("AvailabilityZone")

    @property
    def members(self):
        """All targets, lost ones included."""
        return list(self._members_by_key.values())

    def resource(self, kind, name):
        """Return the resource of class name ``kind``, or None."""
        return self._resources_by_key.get((kind, name))

    def member(self, service, target):
        """Return a target, or None."""
        return self._members_by_key.get((service, target))

    def member_by_epoch(self, epoch):
        """Return the target whose newest epoch this is, or None."""
        return self._members_by_key.get(self._key_by_epoch.get(epoch))

    def grants(self, service):
        """Return the grants of a service by shard; not to be changed."""
        return self._grants_by_service.get(service, {})

    def apply(self, index, command):
        """Apply the change at ``index``.

        Parameters
        ----------
        index : int
            Index of the log entry, higher than any before.
        command : Command
            The change with its time.

        Returns
        -------
        outcome : Outcome
            What became of it; a refused change alters nothing.
        events : list of Event
            What watchers are told.
        """
        self._events = []
        self._decided_at = command.at_unix_s
        self.version = index
        change = command.change
        first = self._first_outcome(change)
        if first is not None:
            return first, []
        try:
            outcome = self._apply(change, index) or Outcome(version=index)
        except TamarackhavenError as error:
            self._events = []
            outcome = _refused(error)
        self._remember(change, outcome)
        return outcome, self._events

    def snapshot(self):
        """Return everything as a ``StateSnapshot``."""
        return StateSnapshot(
            self.version,
            self.as_events(),
            list(self._outcomes_by_change_id.values()),
            self.decisions.all(),
        )

    def as_events(self):
        """Return events that build this state from nothing."""
        events = [
            ResourceChanged(r.version, r) for r in self._resources_by_key.values()
        ]
        events += [TargetChanged(m.version, m) for m in self._members_by_key.values()]
        for grants in self._grants_by_service.values():
            events += [ShardChanged(grant.version, grant) for grant in grants.values()]
        return events

    @classmethod
    def restored(cls, snapshot):
        """Return the state that ``snapshot`` holds."""
        state = cls()
        state.version = snapshot.version
        for event in snapshot.events:
            state._restore(event)
        for first in snapshot.outcomes:
            state._outcomes_by_change_id[first.change_id] = first
        for decision in snapshot.decisions:
            state.decisions.add(decision)
        return state

    def _restore(self, event):
        if isinstance(event, ResourceChanged):
            self._resources_by_key[key_of(event.resource)] = event.resource
        elif isinstance(event, TargetChanged):
            self._keep_member(event.member)
        elif isinstance(event, ShardChanged):
            grants = self._grants_by_service.setdefault(event.grant.service, {})
            grants[event.grant.shard] = event.grant

    def _of_kind(self, kind):
        return [r for (k, _), r in self._resources_by_key.items() if k == kind]

    # A resent change: the operator lost the first answer. Applying it again would
    # answer with a conflict against the operator's own change, or do it twice.
    def _first_outcome(self, change):
        change_id = getattr(change, "change_id", "")
        first = self._outcomes_by_change_id.get(change_id)
        if first is None:
            return None
        if first.digest != _digest(change):
            detail = f"The change id {change_id!r} stands for another change."
            return Outcome(ErrorKind.CHANGE_ID_REUSED.value, detail, self.version)
        return first.outcome

    def _remember(self, change, outcome):
        change_id = getattr(change, "change_id", "")
        if not change_id:
            return
        first = FirstOutcome(change_id, _digest(change), outcome)
        self._outcomes_by_change_id[change_id] = first
        if len(self._outcomes_by_change_id) > OUTCOMES_KEPT:
            self._outcomes_by_change_id.popitem(last=False)

    def _decide(self, index, subject, cause, result, shards=()):
        self.decisions.add(
            Decision(
                f"v{index}", index, self._decided_at, subject, cause, result, [*shards]
            )
        )

    @singledispatchmethod
    def _apply(self, change, index):
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, f"unknown change {type(change).__name__}"
        )

    @_apply.register
    def _(self, change: PutResource, index):
        resource = change.resource
        check_name(resource.name)
        old = self._resources_by_key.get(key_of(resource))
        _check_version(resource, old, change.expected_version)
        if not change.allow_last_zone_out:
            check_last_zone(resource, self)
        check_resource(resource, old, self)
        resource = attrs.evolve(resource, version=index)
        self._resources_by_key[key_of(resource)] = resource
        self._events.append(ResourceChanged(index, resource))
        if type(resource).__name__ == "Service" and old is None:
            self._create_shards(resource, index)
        kind, name = key_of(resource)
        result = "created" if old is None else f"changed from version {old.version}"
        self._decide(index, f"{kind}/{name}", f"operator {change.change_id}", result)

    @_apply.register
    def _(self, change: DeleteResource, index):
        key = change.kind, change.name
        old = self._resources_by_key.get(key)
        if old is None:
            raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{key[0]} {key[1]!r}")
        if change.expected_version != old.version:
            raise _conflict(old)
        check_delete(old, self)
        del self._resources_by_key[key]
        self._events.append(ResourceDeleted(index, change.kind, change.name))
        if change.kind == "Service":
            self._drop_service(change.name, index)
        subject = f"{change.kind}/{change.name}"
        self._decide(index, subject, f"operator {change.change_id}", "deleted")

    def _create_shards(self, service, index):
        self._grants_by_service[service.name] = {}
        for shard in range(service.shard_count):
            self._put_grant(ShardGrant(service.name, shard), index)

    def _drop_service(self, name, index):
        for shard in self._grants_by_service.pop(name, {}):
            self._events.append(ShardRemoved(index, name, shard))
        for key in [key for key in self._members_by_key if key[0] == name]:
            del self._key_by_epoch[self._members_by_key.pop(key).epoch]

    @_apply.register
    def _(self, change: JoinTarget, index):
        check_name(change.target)
        if self.resource("Service", change.service) is None:
            raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, change.service)
        if self.resource("AvailabilityZone", change.zone) is None:
            raise TamarackhavenError(ErrorKind.UNKNOWN_ZONE, change.zone)
        old = self.member(change.service, change.target)
        same = old is not None and old.instance == change.instance
        # Failure: the old process only seemed silent to the leader, and the new one
        # releases a shard while the old one still holds its lease. Symptom: two
        # targets serve the key. A lost epoch is fenced by a majority, so its process
        # can never hold a lease again.
        if old is not None and not same and old.state is not TargetState.LOST:
            raise TamarackhavenError(
                ErrorKind.NAME_CLAIMED,
                f"Instance {old.instance!r} holds {change.service}/{change.target}.",
            )
        member = TargetMember(
            service=change.service,
            target=change.target,
            zone=change.zone,
            instance=change.instance,
            incarnation=change.incarnation,
            peer=change.peer,
            capacity=change.capacity,
            epoch=index,
        )
        self._put_member(member, index)
        self._take_over(member, same, index)
        result = f"{change.target} joined with epoch {index}"
        self._decide(index, change.service, f"instance {change.instance}", result)
        return Outcome(version=index, member=self.member(change.service, change.target))

    def _take_over(self, member, same_instance, index):
        """Carry the shards of an earlier epoch of this target to the new one.

        The same process keeps its grant numbers: nobody else owned the shard in
        between, so its ledger of bookings is whole. Another process gets new ones.
        """
        for grant in self._owned(member.service, member.target):
            if same_instance:
                self._put_grant(attrs.evolve(grant, epoch=member.epoch), index)
            else:
                self._grant(grant, member, index, grant.moving_to)

    @_apply.register
    def _(self, change: LeaveTarget, index):
        member = self._current(change.service, change.target, change.epoch)
        if member.state is TargetState.ACTIVE:
            self._put_member(attrs.evolve(member, state=TargetState.LEAVING), index)
            self._decide(index, change.service, f"{change.target} said so", "leaving")

    @_apply.register
    def _(self, change: RetireTarget, index):
        member = self._current(change.service, change.target, change.epoch)
        self._put_member(attrs.evolve(member, state=TargetState.LOST), index)
        owned = self._owned(change.service, change.target)
        for grant in owned:
            self._hand_over(grant, index)
        result = f"{change.target} epoch {change.epoch} retired"
        shards = [grant.shard for grant in owned]
        self._decide(index, change.service, change.cause, result, shards)

    def _hand_over(self, grant, index):
        """Grant a shard that its owner has lost or released to whom it moves to."""
        member = self.member(grant.service, grant.moving_to)
        if not self._eligible(member):
            free = attrs.evolve(grant, owner="", epoch=0, moving_to="")
            self._put_grant(free, index)
            return
        self._grant(grant, member, index)

    def _grant(self, grant, member, index, moving_to=""):
        self._put_grant(
            attrs.evolve(
                grant,
                owner=member.target,
                epoch=member.epoch,
                grant=index,
                previous=grant.grant,
                moving_to=moving_to,
            ),
            index,
        )

    @_apply.register
    def _(self, change: MoveShards, index):
        grants = self.grants(change.service)
        moved = []
        for move in change.moves:
            grant = grants.get(move.shard)
            member = self.member(change.service, move.to_target)
            if grant is None or grant.grant != move.grant:
                continue
            if not self._eligible(member):
                continue
            self._move(grant, member, index)
            moved.append(move.shard)
        result = f"{len(moved)} of {len(change.moves)} moves begun"
        self._decide(index, change.service, change.cause, result, moved)

    def _move(self, grant, member, index):
        if not grant.owner:
            self._grant(grant, member, index)
        elif grant.owner == member.target:
            self._put_grant(attrs.evolve(grant, moving_to=""), index)
        else:
            self._put_grant(attrs.evolve(grant, moving_to=member.target), index)

    @_apply.register
    def _(self, change: ReleaseShards, index):
        member = self._current(change.service, change.target, change.epoch)
        grants = self.grants(change.service)
        released = []
        for wanted in change.grants:
            grant = grants.get(wanted.shard)
            if grant is None or grant.grant != wanted.grant:
                continue
            if grant.owner != change.target:
                continue
            if grant.moving_to:
                self._hand_over(grant, index)
            else:
                # The move was taken back while the owner let go of the shard: it
                # gets it again under a new number, since it will never again admit
                # under the one it released.
                self._grant(grant, member, index)
            released.append(wanted.shard)
        result = f"{change.target} released {len(released)}"
        self._decide(index, change.service, "planned move", result, released)

    @_apply.register
    def _(self, change: PinKey, index):
        service = self.resource("Service", change.service)
        if service is None:
            raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, change.service)
        grants = self.grants(change.service)
        if any(grant.key_hash == change.key_hash for grant in grants.values()):
            raise TamarackhavenError(ErrorKind.ALREADY_EXISTS, "The key is pinned.")
        base = grants[_keys.shard_of(change.key_hash, service.shard_count)]
        shard = service.shard_count
        while shard in grants:
            shard += 1
        pinned = attrs.evolve(
            base,
            shard=shard,
            key_hash=change.key_hash,
            grant=index,
            previous=0,
            moving_to="",
        )
        self._put_grant(pinned, index)
        self._decide(index, change.service, change.cause, "key pinned", [shard])

    @_apply.register
    def _(self, change: UnpinKey, index):
        service = self.resource("Service", change.service)
        grants = self.grants(change.service)
        pinned = [g for g in grants.values() if g.key_hash == change.key_hash]
        if service is None or not pinned:
            raise TamarackhavenError(ErrorKind.NOT_FOUND, "The key is not pinned.")
        base = grants[_keys.shard_of(change.key_hash, service.shard_count)]
        # With two owners the key would change hands without a release.
        if pinned[0].owner != base.owner or pinned[0].moving_to or base.moving_to:
            raise TamarackhavenError(ErrorKind.STALE_GRANT, "Its shard is elsewhere.")
        del grants[pinned[0].shard]
        self._events.append(ShardRemoved(index, change.service, pinned[0].shard))
        shards = [pinned[0].shard]
        self._decide(index, change.service, change.cause, "key unpinned", shards)

    def _eligible(self, member):
        """Whether a target may be given shards.

        Checked again here, not only by the placement: an availability zone taken
        out between the leader's plan and this entry would else get new shards.
        """
        if member is None or member.state is not TargetState.ACTIVE:
            return False
        zone = self.resource("AvailabilityZone", member.zone)
        return zone is not None and zone.state is ZoneState.IN

    def _owned(self, service, target):
        return [g for g in self.grants(service).values() if g.owner == target]

    def _current(self, service, target, epoch):
        """Return the target if ``epoch`` is its present one."""
        member = self.member(service, target)
        if member is None:
            raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{service}/{target}")
        if member.epoch != epoch or member.state is TargetState.LOST:
            raise TamarackhavenError(
                ErrorKind.STALE_EPOCH, f"{service}/{target} has epoch {member.epoch}."
            )
        return member

    def _put_member(self, member, index):
        member = attrs.evolve(member, version=index)
        self._keep_member(member)
        self._events.append(TargetChanged(index, member))

    def _keep_member(self, member):
        key = member.service, member.target
        old = self._members_by_key.get(key)
        if old is not None:
            del self._key_by_epoch[old.epoch]
        self._members_by_key[key] = member
        self._key_by_epoch[member.epoch] = key

    def _put_grant(self, grant, index):
        grant = attrs.evolve(grant, version=index)
        self._grants_by_service[grant.service][grant.shard] = grant
        self._events.append(ShardChanged(index, grant))


def _digest(change):
    return hashlib.blake2b(_codec.dumps(change, Change), digest_size=16).hexdigest()


def _refused(error):
    version = getattr(error, "version", 0)
    return Outcome(error.kind.value, error.detail, version)


def _conflict(old):
    error = TamarackhavenError(
        ErrorKind.VERSION_CONFLICT, f"{old.name!r} is at version {old.version}."
    )
    error.version = old.version
    return error


def _check_version(resource, old, expected):
    if old is None:
        if expected:
            raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{resource.name!r}")
        return
    if not expected:
        error = TamarackhavenError(
            ErrorKind.ALREADY_EXISTS, f"{old.name!r} is at version {old.version}."
        )
        error.version = old.version
        raise error
    if expected != old.version:
        raise _conflict(old)


def encode_command(command):
    """Return a ``Command`` as the bytes of a log entry."""
    return _codec.dumps(command, Command)


def decode_command(data):
    """Return the ``Command`` that a log entry holds."""
    return _codec.loads(data, Command)
