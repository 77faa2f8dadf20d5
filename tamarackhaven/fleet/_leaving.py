"""Lives of targets that have announced that they leave. Pure.

A daemon acknowledges that its target leaves, and from then on nothing new may reach it.
If only that daemon and the leader remembered it, a kill of both would make a late
heartbeat, which says that the target is ready, true again. So the announcement is in
the replicated state before it's acknowledged.
"""

import attrs

# A target that leaves runs for some seconds more. This covers a day of a large fleet in
# which each target is replaced twice.
MAX_LEAVING_LIVES = 4096


@attrs.frozen
class RecordLeaving:
    """Record the lives of targets that have announced that they leave.

    Parameters
    ----------
    lives : tuple of str
        ``Target.life`` of each.
    """

    lives: tuple[str, ...]


class LeavingLives:
    """The newest ``MAX_LEAVING_LIVES`` lives that leave, in the order of their record.

    Parameters
    ----------
    lives : iterable of str
        From ``saved``.
    """

    def __init__(self, lives=()):
        self._lives = dict.fromkeys(lives)

    def __contains__(self, life):
        return life in self._lives

    def add(self, lives):
        """Add lives; the oldest ones are dropped at the limit."""
        self._lives.update(dict.fromkeys(lives))
        while len(self._lives) > MAX_LEAVING_LIVES:
            del self._lives[next(iter(self._lives))]

    def saved(self):
        """Return all lives, as a tuple."""
        return tuple(self._lives)


class OpenLeaves:
    """What daemons have asked a leader to record, and what it has proposed."""

    def __init__(self):
        self._wanted = set()
        self._proposed = set()

    def record(self, lives, leaving):
        """Record a daemon's lives; return whether a proposal is due.

        ``leaving`` are the ``LeavingLives`` of the replicated state.
        """
        missing = {life for life in lives if life not in leaving}
        self._wanted |= missing - self._proposed
        return bool(self._wanted)

    def update(self):
        """Return the ``RecordLeaving`` that is due, None if there is none."""
        if not self._wanted:
            return None
        lives, self._wanted = tuple(sorted(self._wanted)), set()
        self._proposed.update(lives)
        return RecordLeaving(lives)

    def close(self, command):
        """Record that a proposal has an outcome; daemons ask again if it failed."""
        self._proposed.difference_update(command.lives)
