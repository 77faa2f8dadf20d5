"""The state that the replicated log builds: resources, targets and shard grants.

``ClusterState.apply`` is deterministic: it looks at the change, its index and the
state before it, at nothing else. So every control VM reaches the same state, and a
restarted one reaches it again.
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

# At 1,200 changes a day this remembers a resent change for over a week.
OUTCOMES_KEPT = 10_000
# At 300 replaced VMs a day these are the lost targets of three days.
LOST_KEPT = 1000


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
            outcome = apply_change(change, self, index) or Outcome(version=index)
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

    # What the rules alter. Each tells the watchers, too.

    def decide(self, index, subject, cause, result, shards=()):
        """Record a decision for ``explain``."""
        self.decisions.add(
            Decision(
                f"v{index}", index, self._decided_at, subject, cause, result, [*shards]
            )
        )

    def put_resource(self, resource):
        """Keep a resource under its kind and name."""
        self._resources_by_key[key_of(resource)] = resource
        self._events.append(ResourceChanged(resource.version, resource))

    def remove_resource(self, kind, name, index):
        """Forget a resource; with a service its shards and targets, too."""
        del self._resources_by_key[kind, name]
        self._events.append(ResourceDeleted(index, kind, name))
        if kind == "Service":
            for shard in list(self.grants(name)):
                self.remove_shard(name, shard, index)
            for member in [m for m in self.members if m.service == name]:
                self._forget_member(member)

    def put_member(self, member, index):
        """Keep a target; beyond ``LOST_KEPT`` the longest lost one is forgotten."""
        member = attrs.evolve(member, version=index)
        self._keep_member(member)
        self._events.append(TargetChanged(index, member))
        if member.state is TargetState.LOST:
            self._forget_lost(index)

    def _forget_lost(self, index):
        """Bound the lost targets that are remembered.

        Failure: each replaced VM brings a new name. Symptom: the state grows for
        ever, in every control VM and daemon. An epoch that is not remembered is
        refused like one that was replaced, so nothing rests on the record.
        """
        lost = [m for m in self.members if m.state is TargetState.LOST]
        if len(lost) > LOST_KEPT:
            oldest = min(lost, key=lambda member: member.version)
            self._forget_member(oldest)
            self._events.append(TargetRemoved(index, oldest.service, oldest.target))

    def _forget_member(self, member):
        del self._members_by_key[member.service, member.target]
        del self._key_by_epoch[member.epoch]

    def _keep_member(self, member):
        key = member.service, member.target
        old = self._members_by_key.get(key)
        if old is not None:
            del self._key_by_epoch[old.epoch]
        self._members_by_key[key] = member
        self._key_by_epoch[member.epoch] = key

    def remove_shard(self, service, shard, index):
        """Forget a shard, such as a pinned key's own."""
        del self._grants_by_service[service][shard]
        self._events.append(ShardRemoved(index, service, shard))

    def put_grant(self, grant, index):
        """Keep the grant of a shard."""
        grant = attrs.evolve(grant, version=index)
        grants = self._grants_by_service.setdefault(grant.service, {})
        grants[grant.shard] = grant
        self._events.append(ShardChanged(index, grant))


def _digest(change):
    return hashlib.blake2b(_codec.dumps(change, Change), digest_size=16).hexdigest()


def _refused(error):
    version = getattr(error, "version", 0)
    return Outcome(error.kind.value, error.detail, version)


def encode_command(command):
    """Return a ``Command`` as the bytes of a log entry."""
    return _codec.dumps(command, Command)


def decode_command(data):
    """Return the ``Command`` that a log entry holds."""
    return _codec.loads(data, Command)
