"""What a daemon's target was asked for lately: how much, and which keys most."""

import threading

import attrs

from tamarackhaven._events import HotKey
from tamarackhaven._hot_keys import HotKeys


@attrs.frozen
class Load:
    """What was seen since the last time it was asked for.

    Parameters
    ----------
    admitted : int
        Requests that reached the gate.
    hot_keys : list of HotKey
        Hottest first.
    """

    admitted: int
    hot_keys: list[HotKey]


class SeenLoad:
    """Counts the requests of one target; every method may be called from any thread.

    Parameters
    ----------
    clock : Clock
        For the decay of old counts.
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
        """Return the ``Load``, with at most ``hot_keys`` keys, and count anew."""
        with self._lock:
            admitted, self._admitted = self._admitted, 0
            return Load(admitted, self._hot_keys.hottest(hot_keys))
