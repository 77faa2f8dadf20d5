"""A request that ends the targets that run it, and a count of what it does."""

import asyncio
import collections
import time

import attrs

# A target that has ended is back as another life after this time.
RESTART_S = 1.5
# Ends after which the request must not be sent to a target any more.
MAX_ENDS = 3
# Until all daemons know of an end, copies of the request may be on their way. This is
# far longer than messages take on loopback, also beside load.
SPREAD_S = 0.3


@attrs.frozen
class Poison:
    """A request that ends its target: any that contains ``path`` and ``body``.

    Parameters
    ----------
    path, body : str, bytes
        Empty ones are contained in every request.
    key : int or None
        None matches every key.
    after_s : float
        How long it runs until it ends its target, in seconds.
    """

    path: str = ""
    body: bytes = b""
    key: int | None = None
    after_s: float = 0.02

    def matches(self, started):
        """Whether a ``Started`` request is this one."""
        return (
            self.path in started.path
            and self.body in started.body
            and self.key in (None, started.key)
        )


class PoisonWatch:
    """Lets a request end the targets of a fleet, restarts these, and counts.

    Parameters
    ----------
    poison : Poison
        The request.
    targets : sequence of Target
        The targets that it ends.
    """

    def __init__(self, poison, targets):
        self._poison = poison
        self._tasks = set()
        self.arrivals = []
        self.ends = []
        for target in targets:
            target.ends_under = self._arrived
            target.on_ended = self._ended

    def _arrived(self, started):
        if not self._poison.matches(started):
            return None
        self.arrivals.append((time.monotonic(), started.attempt))
        return self._poison.after_s

    def _ended(self, target):
        self.ends.append(time.monotonic())
        task = asyncio.create_task(self._restart(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, target):
        await asyncio.sleep(RESTART_S)
        await target.restart()

    def sends_by_attempt(self):
        """Return how many targets each attempt reached."""
        return collections.Counter(attempt for _, attempt in self.arrivals)

    def late_arrivals(self):
        """Return the arrivals since ``MAX_ENDS`` targets have ended."""
        if len(self.ends) < MAX_ENDS:
            return []
        until_s = self.ends[MAX_ENDS - 1] + SPREAD_S
        return [each for each in self.arrivals if each[0] > until_s]

    def __str__(self):
        return (
            f"{len(self.ends)} targets ended, {len(self.arrivals)} arrivals,"
            f" {len(self.late_arrivals())} after the end of {MAX_ENDS}"
        )
