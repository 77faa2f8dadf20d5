"""Applies committed log entries to the fleet's state, for a consensus member."""

import threading

from tamarackhaven._raft_messages import EntryKind
from tamarackhaven.fleet._state import FleetState, decode


class FleetMachine:
    """The state machine of one member.

    ``apply``, ``snapshot`` and ``restore`` are called on the member's thread; all
    others read ``state`` with the lock held.

    Parameters
    ----------
    on_applied : callable
        ``on_applied(index, command, outcome)``, called on the member's thread;
        ``command`` is None for consensus's own entries and for restored snapshots.
    """

    def __init__(self, on_applied):
        self.lock = threading.Lock()
        self.state = FleetState()
        self.applied = 0
        self._on_applied = on_applied

    def apply(self, entry):
        """Apply a log entry; return the ``Outcome`` of a change, None for others."""
        command = outcome = None
        with self.lock:
            if entry.kind is EntryKind.CHANGE:
                command = decode(entry.command)
                outcome = self.state.apply(entry.index, command)
            self.applied = entry.index
        self._on_applied(entry.index, command, outcome)
        return outcome

    def snapshot(self):
        """Return the state as the bytes of a snapshot."""
        with self.lock:
            return self.state.save()

    def restore(self, snapshot):
        """Replace the state by a snapshot's; an empty state if it has no data."""
        state = FleetState.restored(snapshot.data) if snapshot.data else FleetState()
        with self.lock:
            self.state = state
            self.applied = snapshot.index
        self._on_applied(snapshot.index, None, None)
