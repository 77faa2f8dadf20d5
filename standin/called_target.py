"""A simulated target that is told its keys by calls, not in answers to heartbeats."""

import asyncio
import json
import time

from standin.fleet_target import Target

POLL_S = 0.01


class CalledTarget(Target):
    """Holds the keys of each grant until it expires or is released.

    Attributes
    ----------
    on_granted : callable
        ``on_granted(target, first, last)`` is called for each accepted grant.
    releases : int
        Calls to release keys that it has answered.
    """

    def __init__(self, host, service, zone="z"):
        super().__init__(host, service, zone)
        self.on_granted = lambda target, first, last: None
        self.releases = 0
        self._until_s_by_range = {}
        self._running_keys = []

    def is_at_work(self, first, last):
        """Whether it runs a request for one of the keys."""
        return any(first <= key <= last for key in self._running_keys)

    def holds(self, key):
        """Whether the target may execute requests for ``key`` now."""
        now = time.monotonic()
        return any(
            first <= key <= last and now < until_s
            for (first, last), until_s in self._until_s_by_range.items()
        )

    async def stop(self):
        """Simulate a crash: send no leave request and drop all holds."""
        self._until_s_by_range = {}
        await super().stop()

    async def _answer(self, line, headers, body):
        path = line.split()[1]
        if path == "/api/grant":
            return self._grant(json.loads(body))
        if path == "/api/release":
            return await self._release(json.loads(body))
        key = int(headers.get("tamarackhaven-shard-key", -1))
        self._running_keys.append(key)
        try:
            return await super()._answer(line, headers, body)
        finally:
            self._running_keys.remove(key)

    def _grant(self, order):
        first, last = order["from"], order["target_version"]
        fences = [
            fence
            for (start, end), fence in self.fence_by_key_range.items()
            if start <= last and first <= end
        ]
        if any(fence > order["fence"] for fence in fences):
            return b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
        self._drop(first, last)
        self.fence_by_key_range[first, last] = order["fence"]
        self.held_by_range[first, last] = order["fence"]
        self._until_s_by_range[first, last] = time.monotonic() + order["hold_s"]
        self.on_granted(self, first, last)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def _release(self, order):
        first, last = order["from"], order["target_version"]
        self._drop(first, last)
        while self.is_at_work(first, last):
            await asyncio.sleep(POLL_S)
        self.releases += 1
        return (
            f"HTTP/1.1 200 OK\r\nTamarackhaven-Handover: t{first}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    def _drop(self, first, last):
        """Hold none of the keys, but the rest of the ranges that they are part of."""
        for start, end in tuple(self._until_s_by_range):
            if end < first or last < start:
                continue
            until_s = self._until_s_by_range.pop((start, end))
            fence = self.held_by_range.pop((start, end), 0)
            for rest in ((start, first - 1), (last + 1, end)):
                if rest[0] <= rest[1]:
                    self._until_s_by_range[rest] = until_s
                    self.held_by_range[rest] = fence
