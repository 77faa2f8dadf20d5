"""State machine of a control VM: applied state, event history and listeners.

The consensus thread applies entries; calls from daemons and operators read. One lock
covers both, so a reader never sees a partly applied entry.
"""

import threading

import attrs

from tamarackhaven import _codec
from tamarackhaven._changes import Outcome
from tamarackhaven._events import MembershipChanged
from tamarackhaven._feed_wire import MAX_DELTA_EVENTS
from tamarackhaven._history import Feed, History
from tamarackhaven._members import Membership
from tamarackhaven._raft_messages import EntryKind
from tamarackhaven._state import ClusterState, StateSnapshot, decode_command


class Machine:
    """Applied state and event history of one control VM.

    Parameters
    ----------
    membership : Membership
        The consensus group at its first start.
    """

    def __init__(self, membership):
        self.lock = threading.RLock()
        self.state = ClusterState()
        self.history = History()
        self._membership = membership
        self._listeners = []

    @property
    def version(self):
        """Index of the last applied entry."""
        return self.history.version

    @property
    def membership(self):
        """The committed ``Membership``."""
        return self._membership

    def on_applied(self, listener):
        """Call ``listener(version)`` after each entry, on the consensus thread."""
        self._listeners.append(listener)

    def apply(self, entry):
        """Apply a committed entry and return its ``Outcome``."""
        with self.lock:
            outcome, events = self._apply(entry)
            self.history.add(entry.index, events)
        self._notify_listeners(entry.index)
        return outcome

    def _apply(self, entry):
        if entry.kind is EntryKind.CHANGE:
            return self.state.apply(entry.index, decode_command(entry.command))
        self.state.version = entry.index
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = _codec.loads(entry.command, Membership)
            self._membership = attrs.evolve(membership, version=entry.index)
            event = MembershipChanged(entry.index, self._membership)
            return Outcome(version=entry.index), [event]
        return Outcome(version=entry.index), []

    def snapshot(self):
        """Return the state as JSON bytes."""
        with self.lock:
            return _codec.dumps(self.state.snapshot(), StateSnapshot)

    def restore(self, snapshot):
        """Replace the state by a ``Snapshot`` of the log; at index 0 it is empty."""
        with self.lock:
            self._membership = snapshot.membership
            if snapshot.data:
                self.state = ClusterState.restored(
                    _codec.loads(snapshot.data, StateSnapshot)
                )
            self.state.version = snapshot.index
            self.history.reset(snapshot.index)
        self._notify_listeners(snapshot.index)

    def feed(self, from_version):
        """Return the ``Feed`` for a watcher that has applied ``from_version``.

        It holds the complete state if the watcher is at version 0, where it doesn't
        know the members yet, or if the events since then aren't retained or are too
        many for a delta.
        """
        with self.lock:
            version = self.history.version
            events = None if from_version == 0 else self.history.since(from_version)
            if events is not None and len(events) <= MAX_DELTA_EVENTS:
                return Feed(version, False, events)
            members = MembershipChanged(version, self._membership)
            return Feed(version, True, [members, *self.state.as_events()])

    def _notify_listeners(self, version):
        for listener in self._listeners:
            listener(version)
