"""The requests that this daemon runs at its target, for itself and other daemons."""

import asyncio

from tamarackhaven._clock import boot_s

# A daemon that lost its link asks again on a new one; after this time nobody does.
KEPT_S = 4.0
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
        self._forward_by_key = {}
        self._ended_by_key = {}

    def start(self, key, forward):
        """Return the task of a request; the same one for the same key."""
        task = self._task_by_key.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._inbound.run(forward))
            self._task_by_key[key] = task
            self._forward_by_key[key] = forward
            task.add_done_callback(lambda _: self._done(key))
        return task

    def _done(self, key):
        now = boot_s()
        self._ended_by_key[key] = now
        for old, ended_s in list(self._ended_by_key.items()):
            if now - ended_s < KEPT_S:
                break
            del self._ended_by_key[old]
            self._task_by_key.pop(old, None)
            self._forward_by_key.pop(old, None)

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
