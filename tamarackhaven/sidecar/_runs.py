"""The requests that this daemon runs at its target, for itself and other daemons."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind
from tamarackhaven.sidecar._messages import Lost

# A daemon that lost its link asks again on a new one, until the request's time is over;
# this long after that nobody does.
RESULT_TTL_S = 2.0
MAX_SAFE_LEFT_S = 4.0
# A copy of a forward may stand in the buffers of a small link for so long after that.
COMPLETED_KEY_TTL_S = 60.0
# Load: many bookings a second. Harm: their names fill the memory. Limit: megabytes;
# the oldest give way.
MAX_COMPLETED_KEYS = 20_000
# How often what has ended is looked through.
CLEANUP_INTERVAL_S = 0.5
# A link that breaks is dialled again within this time, if its daemon still runs.
REATTACH_S = 0.4


class Runs:
    """Each request once, however often its forward comes.

    Parameters
    ----------
    inbound : Inbound
        Runs a request.
    """

    def __init__(self, inbound):
        self._inbound = inbound
        self._task_by_key = {}
        self._next_cleanup_s = 0.0
        self._forward_by_key = {}
        self._retained_until_s_by_key = {}
        self._completed_until_s_by_key = {}

    def expected_wait_s(self, query):
        """Return how long a request would wait here, None if none is taken."""
        return self._inbound.expected_wait_s(query)

    def start(self, key, forward, incoming=None):
        """Return the task of a request; the same one for the same key.

        Parameters
        ----------
        key : tuple of (str, int)
            Run of the daemon that sent it, and its number there.
        forward : Forward
            The request.
        incoming : IncomingBody or None
            Its body, if that has yet to come.
        """
        task = self._task_by_key.get(key)
        if task is None and key in self._completed_until_s_by_key:
            return _lost_future(forward)
        if task is None:
            run = self._inbound.run(forward, incoming)
            task = asyncio.get_running_loop().create_task(run)
            # Failure: what ended is forgotten while its sender may still ask for it.
            # Symptom: a booking runs a second time. Enough: no request is sent again
            # after its own time.
            left_s = max(forward.left_ms, 0.0) / 1000
            if forward.is_safe:
                # It may run again; kept for minutes, answers would fill the memory.
                left_s = min(left_s, MAX_SAFE_LEFT_S)
            self._retained_until_s_by_key[key] = boot_s() + left_s + RESULT_TTL_S
            self._task_by_key[key] = task
            self._forward_by_key[key] = forward
            self._drop_finished()
        return task

    def _drop_finished(self):
        """Forget what ended and can't be asked for any more."""
        now = boot_s()
        if now < self._next_cleanup_s:
            return
        self._next_cleanup_s = now + CLEANUP_INTERVAL_S
        for key, until_s in list(self._retained_until_s_by_key.items()):
            if until_s < now and self._task_by_key[key].done():
                del self._retained_until_s_by_key[key]
                del self._task_by_key[key]
                if not self._forward_by_key.pop(key).is_safe:
                    self._completed_until_s_by_key[key] = now + COMPLETED_KEY_TTL_S
        self._drop_completed_keys(now)

    def _drop_completed_keys(self, now):
        """Forget unsafe requests of which no copy can be on its way any more."""
        completed = self._completed_until_s_by_key
        while completed:
            oldest = next(iter(completed))
            if completed[oldest] >= now and len(completed) <= MAX_COMPLETED_KEYS:
                return
            del completed[oldest]

    def cancel(self, key):
        """Stop a request that nobody waits for any more.

        An unsafe one that its target works on goes on: broken off, nobody could tell
        whether it ran.
        """
        task = self._task_by_key.get(key)
        if task is None or task.done():
            return
        forward = self._forward_by_key[key]
        if forward.is_safe or not self._inbound.is_sending(forward):
            task.cancel()

    async def run(self, key, forward):
        """Run a request for a caller of this daemon; cancelled with its caller."""
        task = self.start(key, forward)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self.cancel(key)
            raise


def _lost_future(forward):
    """Return the end of an unsafe request that ran once and is forgotten."""
    lost = asyncio.get_running_loop().create_future()
    lost.set_result(Lost(forward.number, ErrorKind.FORWARD_LOST.name))
    return lost
