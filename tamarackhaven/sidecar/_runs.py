"""Tracks the requests that this daemon runs at its target for all daemons."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind
from tamarackhaven.sidecar._messages import Lost

# A daemon that lost its link retries on a new one until the request's deadline. This
# long after it no retry can arrive, so the result is removed.
RESULT_TTL_S = 2.0
MAX_SAFE_LEFT_S = 4.0
# The id of an unsafe request is kept this long after its result was removed: a copy of
# the forward may still be in the buffers of a narrow link.
COMPLETED_ID_TTL_S = 60.0
# Many bookings a second would fill the memory with their ids. This many take a few
# megabytes; the oldest are removed first.
MAX_COMPLETED_IDS = 20_000
# How often finished requests are looked through.
CLEANUP_INTERVAL_S = 0.5
# A link that breaks is reconnected within this time if its daemon still runs.
RECONNECT_TIMEOUT_S = 0.4


class Runs:
    """Runs each request once, however often its forward is received.

    Parameters
    ----------
    inbound : Inbound
        Runs a request.
    """

    def __init__(self, inbound):
        self._inbound = inbound
        self._task_by_id = {}
        self._next_cleanup_s = 0.0
        self._forward_by_id = {}
        self._retained_until_s_by_id = {}
        self._completed_until_s_by_id = {}

    def expected_wait_s(self, query):
        """Return the expected wait here in seconds, None if no request is accepted."""
        return self._inbound.expected_wait_s(query)

    def start(self, key, forward, incoming=None):
        """Return the task of a request, the same one for the same key.

        Parameters
        ----------
        key : tuple of (str, int)
            Boot of the daemon that sent it, empty for this one, and its number there.
        forward : Forward
            The request.
        incoming : IncomingBody or None
            Its body, if that has yet to be transferred.
        """
        task = self._task_by_id.get(key)
        if task is None and key in self._completed_until_s_by_id:
            return _lost_future(forward)
        if task is None:
            run = self._inbound.run(forward, incoming)
            task = asyncio.get_running_loop().create_task(run)
            # A result that was removed while its sender may still retry would let a
            # booking run a second time. No request is sent again after its deadline.
            left_s = max(forward.left_ms, 0.0) / 1000
            if forward.is_safe:
                # A safe request may run again; kept for minutes, answers would fill the
                # memory.
                left_s = min(left_s, MAX_SAFE_LEFT_S)
            self._retained_until_s_by_id[key] = boot_s() + left_s + RESULT_TTL_S
            self._task_by_id[key] = task
            self._forward_by_id[key] = forward
            self._drop_finished()
        return task

    def _drop_finished(self):
        """Remove finished requests that can't be retried any more."""
        now = boot_s()
        if now < self._next_cleanup_s:
            return
        self._next_cleanup_s = now + CLEANUP_INTERVAL_S
        for key, until_s in list(self._retained_until_s_by_id.items()):
            if until_s < now and self._task_by_id[key].done():
                del self._retained_until_s_by_id[key]
                del self._task_by_id[key]
                if not self._forward_by_id.pop(key).is_safe:
                    self._completed_until_s_by_id[key] = now + COMPLETED_ID_TTL_S
        self._drop_completed_ids(now)

    def _drop_completed_ids(self, now):
        """Remove ids of unsafe requests of which no copy can arrive any more."""
        completed = self._completed_until_s_by_id
        while completed:
            oldest = next(iter(completed))
            if completed[oldest] >= now and len(completed) <= MAX_COMPLETED_IDS:
                return
            del completed[oldest]

    def cancel(self, key):
        """Cancel a request for which no caller waits any more.

        An unsafe request that was sent to the target continues: if it were cancelled,
        it would be unknown whether it ran.
        """
        task = self._task_by_id.get(key)
        if task is None or task.done():
            return
        forward = self._forward_by_id[key]
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
    """Return a future with the result of an unsafe request that ran and was removed."""
    lost = asyncio.get_running_loop().create_future()
    lost.set_result(Lost(forward.number, ErrorKind.FORWARD_LOST.name))
    return lost
