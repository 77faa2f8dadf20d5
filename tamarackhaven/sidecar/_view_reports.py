"""What a daemon reports of its view to the leader. Pure."""

import enum

from tamarackhaven.fleet._messages import CONFIRMED_PARTS


class UpdateOutcome(enum.Enum):
    """What became of an update of the view."""

    APPLIED = "applied"
    # The view has this version or a newer one.
    OUTDATED = "outdated"
    # It changes another version than the view's, and the leader must send it again.
    REFUSED = "refused"


class ViewReports:
    """Versions that the leader hasn't been told in this session, and refused parts.

    Updates that the leader sends before it learns of a refusal are refused as well. If
    each were reported, the leader would send the same again for each, from a version
    that the daemon may no longer have by then. So a part is reported once until one of
    its updates has been applied or another session has begun.
    """

    def __init__(self):
        self._reported_by_part = {}
        self._due = []
        self._pending = set()

    def begin_session(self):
        """Begin anew: the first report of a session contains all versions."""
        self._reported_by_part.clear()
        self._due.clear()
        self._pending.clear()

    def record(self, part, outcome):
        """Record what became of an update; return whether a report is due."""
        if outcome is UpdateOutcome.APPLIED:
            self._pending.discard(part)
        if outcome is not UpdateOutcome.REFUSED or part in self._pending:
            return False
        self._pending.add(part)
        self._due.append(part)
        return True

    @property
    def is_waiting(self):
        """Whether the view lacks an update that the leader takes for applied."""
        return bool(self._pending)

    def take(self, known, is_behind=False):
        """Return what the next report contains; each version and part only once.

        Parameters
        ----------
        known : tuple of PartVersion
            The versions in force.
        is_behind : bool
            Whether the view has been found to lack a change, so that the report
            contains all ``CONFIRMED_PARTS``.

        Returns
        -------
        tuple of PartVersion
            The versions that are new to the leader, and those of refused parts.
        tuple of str
            The refused parts.
        """
        refused, self._due = tuple(self._due), []
        new = tuple(
            version
            for version in known
            if version.part in refused
            or (is_behind and version.part in CONFIRMED_PARTS)
            or self._reported_by_part.get(version.part) != version
        )
        self._reported_by_part.update((version.part, version) for version in new)
        return new, refused
