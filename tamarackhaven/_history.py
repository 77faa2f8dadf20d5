"""Recent events by version, for watchers that lag only a little."""

import collections

import attrs

VERSIONS_KEPT = 4096
EVENTS_KEPT = 100_000


@attrs.frozen
class Feed:
    """Events that update a watcher to ``version``.

    Parameters
    ----------
    version : int
        Version after the events; the watcher continues from it even if there are none.
    snapshot : bool
        True if the events replace the whole state of the watcher.
    events : iterable of Event
        Events in order of version.
    """

    version: int
    snapshot: bool
    events: list


class History:
    """Events of the most recent versions, limited in versions and in events.

    All watchers share one history. A slow watcher uses no memory of its own; once its
    version is no longer retained, it gets a snapshot.

    Parameters
    ----------
    versions : int
        Maximum number of versions with events to retain.
    events : int
        Maximum number of events; those of the newest version are always retained.
    """

    def __init__(self, versions=VERSIONS_KEPT, events=EVENTS_KEPT):
        self._versions = versions
        self._events = events
        self._count = 0
        self._by_version = collections.deque()
        self._floor = 0
        self.version = 0

    def add(self, version, events):
        """Add the events of ``version``, which is higher than all earlier ones."""
        self.version = version
        if not events:
            return
        self._by_version.append((version, events))
        self._count += len(events)
        while self._over():
            self._floor, dropped = self._by_version.popleft()
            self._count -= len(dropped)

    def _over(self):
        if len(self._by_version) <= 1:
            return False
        return len(self._by_version) > self._versions or self._count > self._events

    def restart(self, version):
        """Drop all events, as a snapshot at ``version`` has replaced the state."""
        self._by_version.clear()
        self._count = 0
        self._floor = version
        self.version = version

    def since(self, version):
        """Return the events after ``version``, or None if they aren't retained.

        Also None for a version above the present one, as of another log.
        """
        if version < self._floor or version > self.version:
            return None
        events = []
        for at, some in reversed(self._by_version):
            if at <= version:
                break
            events[:0] = some
        return events
