"""A stand-in target that answers certain requests with bytes that never end."""

import asyncio
import itertools

from standin.fleet_target import Target

# How much it sends at a time, and the pause until the next.
BLOCK_BYTES = 256 << 10
BLOCK_INTERVAL_S = 0.01
ENDLESS_PATH = "/endless/"
_HEAD = (
    b"HTTP/1.1 200 OK\r\nTamarackhaven-Response-Signature: s\r\n"
    b"Tamarackhaven-Attempt-Id: ATTEMPT\r\n"
)
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What each kind of answer starts with, and what is repeated after that.
_PARTS_BY_KIND = {
    "body": (_HEAD + b"\r\n", b"x"),
    "chunks": (_CHUNKED, b"1000\r\n" + 4096 * b"x" + b"\r\n"),
    "tiny-chunks": (_CHUNKED, b"1\r\nx\r\n"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "status-line": (b"HTTP/1.1 200 ", b"x"),
    "header": (_HEAD + b"Y: ", b"x"),
    "headers": (_HEAD, b"Y: x\r\n"),
    "chunk-size": (_CHUNKED, b"0"),
    "trailers": (_CHUNKED + b"0\r\n", b"Y: x\r\n"),
    "after-answer": (_HEAD + b"Content-Length: 1\r\n\r\nx", b"x"),
}
KINDS = tuple(_PARTS_BY_KIND)


class EndlessTarget(Target):
    """Answers a request whose path has ``/endless/KIND`` until its caller closes.

    Attributes
    ----------
    health_kind : str or None
        Of its endless answers to health checks; None for answers that end.
    """

    health_kind = None

    async def _serve(self, reader, writer):
        self._writer_by_task = getattr(self, "_writer_by_task", {})
        self._writer_by_task[asyncio.current_task()] = writer
        await super()._serve(reader, writer)

    async def _answer(self, line, headers, body):
        answer = await super()._answer(line, headers, body)
        path = line.split()[1]
        if ENDLESS_PATH not in path or b" 421 " in answer:
            return answer
        return await self._send_endless(
            path.partition(ENDLESS_PATH)[2].partition("?")[0], headers
        )

    async def _health(self, headers):
        if self.health_kind is None:
            return await super()._health(headers)
        return await self._send_endless(self.health_kind, headers)

    async def _send_endless(self, kind, headers):
        start, repeated = _PARTS_BY_KIND[kind]
        attempt = headers["tamarackhaven-attempt-id"].encode()
        writer = self._writer_by_task[asyncio.current_task()]
        writer.write(start.replace(b"ATTEMPT", attempt))
        block = repeated * (BLOCK_BYTES // len(repeated))
        return await self._send_forever(block, writer)

    async def _send_forever(self, block, writer):
        for _ in itertools.count():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(BLOCK_INTERVAL_S)
