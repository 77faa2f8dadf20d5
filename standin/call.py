"""Makes single HTTP calls, as a simulated client does."""

import asyncio

import attrs


@attrs.frozen
class Answer:
    """Response to an HTTP call; status 0 if none was received."""

    status: int
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""


async def call(host, port, method, path, headers=(), body=b"", timeout_s=3.0):
    """Make one HTTP call on a new connection; return its ``Answer``.

    Connection errors, a timeout and malformed responses give status 0.
    """
    try:
        # ``asyncio.wait_for`` could swallow the cancellation of the caller.
        async with asyncio.timeout(timeout_s):
            return await _call(host, port, method, path, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)


async def _call(host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        found = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
        length = int(found.get("content-length", 0))
        return Answer(int(head[0].split()[1]), found, await reader.readexactly(length))
    finally:
        writer.close()
