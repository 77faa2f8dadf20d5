"""Recent events by version, for watchers that lag only a little."""

import collections

import attrs

MAX_VERSIONS = 4096
MAX_EVENTS = 100_000


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

    def __init__(self, versions=MAX_VERSIONS, events=MAX_EVENTS):
        self._max_versions = versions
        self._max_events = events
        self._event_count = 0
        self._events_by_version = collections.deque()
        self._min_version = 0
        self.version = 0

    def add(self, version, events):
        """Add the events of ``version``, which is higher than all earlier ones."""
        self.version = version
        if not events:
            return
        self._events_by_version.append((version, events))
        self._event_count += len(events)
        while self._exceeds_limits():
            self._min_version, dropped = self._events_by_version.popleft()
            self._event_count -= len(dropped)

    def _exceeds_limits(self):
        if len(self._events_by_version) <= 1:
            return False
        return (
            len(self._events_by_version) > self._max_versions
            or self._event_count > self._max_events
        )

    def reset(self, version):
        """Drop all events, as a snapshot at ``version`` has replaced the state."""
        self._events_by_version.clear()
        self._event_count = 0
        self._min_version = version
        self.version = version

    def since(self, version):
        """Return the events after ``version``, or None if they aren't retained.

        Also None for a version above the present one, as of another log.
        """
        if version < self._min_version or version > self.version:
            return None
        events = []
        for at, version_events in reversed(self._events_by_version):
            if at <= version:
                break
            events[:0] = version_events
        return events
