"""Makes single HTTP calls, as a simulated client does."""

import asyncio
import re

import attrs

# By the protocol's text, not by the product's own check.
_STATUS_LINE = re.compile(r"HTTP/1\.[01] [2-5][0-9]{2}( .*)?")
# Stands for a status line that is none.
NO_STATUS = -1


@attrs.frozen
class Answer:
    """Response to an HTTP call.

    The status is 0 if none was received, and ``NO_STATUS`` if what was received doesn't
    begin as a response.
    """

    status: int
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""


async def call(
    host, port, method, path, headers=(), body=b"", timeout_s=3.0, head_pause_s=0.0
):
    """Make one HTTP call on a new connection; return its ``Answer``.

    The head is sent in two parts, ``head_pause_s`` seconds apart. Connection errors, a
    timeout and malformed responses give status 0.
    """
    try:
        # ``asyncio.wait_for`` could swallow the cancellation of the caller.
        async with asyncio.timeout(timeout_s):
            return await _call(host, port, method, path, headers, body, head_pause_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)


async def _call(host, port, method, path, headers, body, head_pause_s):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        if head_pause_s:
            writer.write(lines.pop(0).encode() + b"\r\n")
            await asyncio.sleep(head_pause_s)
        writer.write("\r\n".join(lines).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = status_of(head[0])
        if status == NO_STATUS:
            return Answer(NO_STATUS, {}, head[0].encode())
        found = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
        length = int(found.get("content-length", 0))
        return Answer(status, found, await reader.readexactly(length))
    finally:
        writer.close()


def status_of(line):
    """Return the status of a response's first line, ``NO_STATUS`` if it has none."""
    return int(line.split(" ")[1]) if _STATUS_LINE.fullmatch(line) else NO_STATUS
