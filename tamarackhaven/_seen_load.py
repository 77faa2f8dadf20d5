"""Counts the recent requests to a daemon's target, and its hottest keys."""

import threading

import attrs

from tamarackhaven._events import HotKey
from tamarackhaven._hot_keys import HotKeys


@attrs.frozen
class Load:
    """The requests since the previous ``SeenLoad.take``.

    Parameters
    ----------
    admitted : int
        Requests that reached the gate.
    hot_keys : list of HotKey
        The hottest keys, hottest first.
    """

    admitted: int
    hot_keys: list[HotKey]


class SeenLoad:
    """Counts the requests to one target; every method is thread-safe.

    Parameters
    ----------
    clock : Clock
        Clock for the decay of old counts.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._hot_keys = HotKeys(now=clock.boot_s())
        self._admitted = 0

    def note(self, key_hash):
        """Count one request for a key."""
        with self._lock:
            self._admitted += 1
            self._hot_keys.offer(key_hash, self._clock.boot_s())

    def take(self, hot_keys):
        """Return the ``Load`` with at most ``hot_keys`` keys, and reset the count."""
        with self._lock:
            admitted, self._admitted = self._admitted, 0
            return Load(admitted, self._hot_keys.hottest(hot_keys))
