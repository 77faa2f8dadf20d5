"""The newest events by version, for watchers that are a little behind."""

import collections

import attrs

VERSIONS_KEPT = 4096
EVENTS_KEPT = 100_000


@attrs.frozen
class Feed:
    """Events that take a watcher from one version to ``version``.

    Parameters
    ----------
    version : int
        Version after the events; also a bookmark when there are none.
    snapshot : bool
        True if the events replace all that the watcher has.
    events : iterable of Event
        In order of version.
    """

    version: int
    snapshot: bool
    events: list


class History:
    """Events of the last versions, bounded in versions and in events.

    The history belongs to the state, not to a watcher: a slow watcher costs no
    memory, it falls out of the kept versions and gets a snapshot.
    """

    def __init__(self, versions=VERSIONS_KEPT, events=EVENTS_KEPT):
        self._versions = versions
        self._events = events
        self._count = 0
        self._by_version = collections.deque()
        self._floor = 0
        self.version = 0

    def add(self, version, events):
        """Add the events of ``version``, higher than any before."""
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
        """Forget all events: the state was replaced by a snapshot at ``version``."""
        self._by_version.clear()
        self._count = 0
        self._floor = version
        self.version = version

    def since(self, version):
        """Return the events after ``version``, or None if they are not kept.

        A version from the future (of a log that never was) gets None as well.
        """
        if version < self._floor or version > self.version:
            return None
        events = []
        for at, some in reversed(self._by_version):
            if at <= version:
                break
            events[:0] = some
        return events
