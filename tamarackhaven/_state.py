"""Replicated state of the control group: resources, targets and shard grants.

``ClusterState.apply`` is deterministic: its result depends only on the change, its
index and the state before it. So every control VM reaches the same state, also after a
restart.
"""

import collections
import hashlib

import attrs

from tamarackhaven import _codec
from tamarackhaven._changes import Change, Command, Outcome
from tamarackhaven._decisions import Decision, DecisionRecord
from tamarackhaven._events import (
    Event,
    ResourceChanged,
    ResourceDeleted,
    ShardChanged,
    ShardRemoved,
    TargetChanged,
    TargetRemoved,
)
from tamarackhaven._model import TargetState
from tamarackhaven._resources import key_of
from tamarackhaven._rules import apply_change
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# At 1,200 changes a day, a change can be resent for over a week.
MAX_OUTCOMES = 10_000
# At 300 replaced VMs a day, these are the lost targets of three days.
MAX_LOST_TARGETS = 1000


@attrs.frozen
class FirstOutcome:
    """First outcome of a change id, with the digest of that change."""

    change_id: str
    digest: str
    outcome: Outcome


@attrs.frozen
class StateSnapshot:
    """Complete state in a form that can be written as JSON."""

    version: int
    events: list[Event]
    outcomes: list[FirstOutcome]
    decisions: list[Decision]


class ClusterState:
    """Resources, targets and shard grants as of the last applied log entry."""

    def __init__(self):
        self.version = 0
        self.decisions = DecisionRecord()
        self._resources_by_key = {}
        self._members_by_key = {}
        self._key_by_epoch = {}
        self._grants_by_service = {}
        self._outcomes_by_change_id = collections.OrderedDict()
        self._events = []
        self._decided_at_unix_s = 0.0

    @property
    def services(self):
        """All services, as a list."""
        return self._resources_of_kind("Service")

    @property
    def zones(self):
        """All availability zones, as a list."""
        return self._resources_of_kind("AvailabilityZone")

    @property
    def members(self):
        """All targets, including lost ones, as a list."""
        return list(self._members_by_key.values())

    def resource(self, kind, name):
        """Return the resource with class name ``kind`` and ``name``, or None."""
        return self._resources_by_key.get((kind, name))

    def member(self, service, target):
        """Return the target named ``target`` of a service, or None."""
        return self._members_by_key.get((service, target))

    def member_by_epoch(self, epoch):
        """Return the target whose newest epoch is ``epoch``, or None."""
        return self._members_by_key.get(self._key_by_epoch.get(epoch))

    def grants(self, service):
        """Return the grants of a service by shard; callers must not modify the dict."""
        return self._grants_by_service.get(service, {})

    def apply(self, index, command):
        """Apply the change at ``index``.

        Parameters
        ----------
        index : int
            Index of the log entry, higher than all earlier ones.
        command : Command
            The change and its time.

        Returns
        -------
        outcome : Outcome
            Result of the change; a refused change doesn't modify the state.
        events : list of Event
            Events for watchers.
        """
        self._events = []
        self._decided_at_unix_s = command.at_unix_s
        self.version = index
        change = command.change
        first = self._stored_outcome(change)
        if first is not None:
            return first, []
        try:
            outcome = apply_change(change, self, index) or Outcome(version=index)
        except TamarackhavenError as error:
            self._events = []
            outcome = _refusal_outcome(error)
        self._store_outcome(change, outcome)
        return outcome, self._events

    def snapshot(self):
        """Return the complete state as a ``StateSnapshot``."""
        return StateSnapshot(
            self.version,
            self.as_events(),
            list(self._outcomes_by_change_id.values()),
            self.decisions.all(),
        )

    def as_events(self):
        """Return events that build this state from an empty one."""
        events = [
            ResourceChanged(r.version, r) for r in self._resources_by_key.values()
        ]
        events += [TargetChanged(m.version, m) for m in self._members_by_key.values()]
        for grants in self._grants_by_service.values():
            events += [ShardChanged(grant.version, grant) for grant in grants.values()]
        return events

    @classmethod
    def restored(cls, snapshot):
        """Return the state stored in ``snapshot``."""
        state = cls()
        state.version = snapshot.version
        for event in snapshot.events:
            state._restore_event(event)
        for first in snapshot.outcomes:
            state._outcomes_by_change_id[first.change_id] = first
        for decision in snapshot.decisions:
            state.decisions.add(decision)
        return state

    def _restore_event(self, event):
        if isinstance(event, ResourceChanged):
            self._resources_by_key[key_of(event.resource)] = event.resource
        elif isinstance(event, TargetChanged):
            self._store_member(event.member)
        elif isinstance(event, ShardChanged):
            grants = self._grants_by_service.setdefault(event.grant.service, {})
            grants[event.grant.shard] = event.grant

    def _resources_of_kind(self, kind):
        return [r for (k, _), r in self._resources_by_key.items() if k == kind]

    # An operator resends a change whose outcome was lost. Applying it again would
    # fail with a conflict with the operator's own change, or apply it twice.
    def _stored_outcome(self, change):
        change_id = getattr(change, "change_id", "")
        first = self._outcomes_by_change_id.get(change_id)
        if first is None:
            return None
        if first.digest != _digest(change):
            detail = f"The change id {change_id!r} stands for another change."
            return Outcome(ErrorKind.CHANGE_ID_REUSED.value, detail, self.version)
        return first.outcome

    def _store_outcome(self, change, outcome):
        change_id = getattr(change, "change_id", "")
        if not change_id:
            return
        first = FirstOutcome(change_id, _digest(change), outcome)
        self._outcomes_by_change_id[change_id] = first
        if len(self._outcomes_by_change_id) > MAX_OUTCOMES:
            self._outcomes_by_change_id.popitem(last=False)

    # Modifications by the rules; each also records an event for watchers.

    def decide(self, index, subject, cause, result, shards=()):
        """Record a decision, which ``explain`` shows."""
        self.decisions.add(
            Decision(
                f"v{index}",
                index,
                self._decided_at_unix_s,
                subject,
                cause,
                result,
                [*shards],
            )
        )

    def put_resource(self, resource):
        """Store a resource under its kind and name."""
        self._resources_by_key[key_of(resource)] = resource
        self._events.append(ResourceChanged(resource.version, resource))

    def remove_resource(self, kind, name, index):
        """Remove a resource; a service is removed with its shards and targets."""
        del self._resources_by_key[kind, name]
        self._events.append(ResourceDeleted(index, kind, name))
        if kind == "Service":
            for shard in list(self.grants(name)):
                self.remove_shard(name, shard, index)
            for member in [m for m in self.members if m.service == name]:
                self._delete_member(member)

    def put_member(self, member, index):
        """Store a target; above ``MAX_LOST_TARGETS``, remove the longest lost one."""
        member = attrs.evolve(member, version=index)
        self._store_member(member)
        self._events.append(TargetChanged(index, member))
        if member.state is TargetState.LOST:
            self._limit_lost_targets(index)

    def _limit_lost_targets(self, index):
        """Limit the number of lost targets in the state.

        Each replaced VM has a new name, so without a limit the state would grow in
        every control VM and daemon. An unknown epoch is refused like a replaced one,
        so nothing depends on the removed record.
        """
        lost = [m for m in self.members if m.state is TargetState.LOST]
        if len(lost) > MAX_LOST_TARGETS:
            oldest = min(lost, key=lambda member: member.version)
            self._delete_member(oldest)
            self._events.append(TargetRemoved(index, oldest.service, oldest.target))

    def _delete_member(self, member):
        del self._members_by_key[member.service, member.target]
        del self._key_by_epoch[member.epoch]

    def _store_member(self, member):
        key = member.service, member.target
        old = self._members_by_key.get(key)
        if old is not None:
            del self._key_by_epoch[old.epoch]
        self._members_by_key[key] = member
        self._key_by_epoch[member.epoch] = key

    def remove_shard(self, service, shard, index):
        """Remove a shard, such as the shard of a pinned key."""
        del self._grants_by_service[service][shard]
        self._events.append(ShardRemoved(index, service, shard))

    def put_grant(self, grant, index):
        """Store the grant of a shard."""
        grant = attrs.evolve(grant, version=index)
        grants = self._grants_by_service.setdefault(grant.service, {})
        grants[grant.shard] = grant
        self._events.append(ShardChanged(index, grant))


def _digest(change):
    return hashlib.blake2b(_codec.dumps(change, Change), digest_size=16).hexdigest()


def _refusal_outcome(error):
    version = getattr(error, "version", 0)
    return Outcome(error.kind.value, error.detail, version)


def encode_command(command):
    """Return a ``Command`` as the bytes of a log entry."""
    return _codec.dumps(command, Command)


def decode_command(data):
    """Return the ``Command`` that a log entry holds."""
    return _codec.loads(data, Command)
