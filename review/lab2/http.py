"""A minimal HTTP/1.1 message reader and caller on asyncio streams."""

import asyncio


class Message:
    """One HTTP message; header names are in lower case."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status of a response."""
        return int(self.first.split()[1])

    def get(self, name, default=""):
        """Return a header by its lower-case name."""
        return self.headers.get(name, default)


async def read_message(reader, is_response=False):
    """Read one message; its body must have a length unless the connection ends it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_response and not lines[0].split()[1].startswith("1"):
        body = await reader.read()
    else:
        body = b""
    return Message(lines[0], headers, body)


def write_message(first, headers, body=b""):
    """Return the bytes of a message with a body of known length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(address, first, headers, body=b"", timeout_s=1.0):
    """Make one call on a connection of its own; return its ``Message`` or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            headers = [*headers, ("Connection", "close")]
            writer.write(write_message(f"{first} HTTP/1.1", headers, body))
            return await read_message(reader, is_response=True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
