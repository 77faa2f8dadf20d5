"""Wakes all tasks that wait for the next change of some state."""

import asyncio


class ChangeSignal:
    """An event that wakes the tasks that wait for it, and is clear again at once."""

    def __init__(self):
        self._event = asyncio.Event()

    def notify_all(self):
        """Wake all tasks that wait at this moment."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s):
        """Wait for the next ``notify_all``, for at most ``timeout_s`` seconds."""
        try:
            await asyncio.wait_for(self._event.wait(), timeout_s)
        except TimeoutError:
            return
