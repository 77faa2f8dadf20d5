"""Outcomes of updates, and the parts that the leader must send again. Pure."""

import enum


class UpdateOutcome(enum.Enum):
    """What became of an update of the view."""

    APPLIED = "applied"
    # The view has this version or a newer one.
    OUTDATED = "outdated"
    # It changes another version than the view's, and the leader must send it again.
    REFUSED = "refused"


class RefusedParts:
    """Parts of which an update was refused, since it changes another version.

    Updates that the leader sends before it learns of a refusal are refused as well. If
    each were reported, the leader would send the same again for each, from a version
    that the daemon may no longer have by then. So a part is reported once until one of
    its updates has been applied or another session has begun.
    """

    def __init__(self):
        self._due = []
        self._pending = set()

    def record(self, part, outcome):
        """Record what became of an update; return whether a report is due."""
        if outcome is UpdateOutcome.APPLIED:
            self._pending.discard(part)
        if outcome is not UpdateOutcome.REFUSED or part in self._pending:
            return False
        self._pending.add(part)
        self._due.append(part)
        return True

    def take_due(self):
        """Return the parts to report now, as a tuple, each only once."""
        due, self._due = tuple(self._due), []
        return due

    def begin_session(self):
        """Forget all parts: a session begins with what the daemon has."""
        self._due.clear()
        self._pending.clear()
