"""Wakes all who wait for the next change of something."""

import asyncio


class Pulse:
    """An event that is over as soon as it has happened."""

    def __init__(self):
        self._event = asyncio.Event()

    def set(self):
        """Wake everybody who waits now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s):
        """Wait for the next ``set``, ``timeout_s`` seconds at most."""
        try:
            await asyncio.wait_for(self._event.wait(), timeout_s)
        except TimeoutError:
            return
