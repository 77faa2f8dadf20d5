"""A persistent client connection to an HTTP/1.1 server, parsed by ``h11``.

It carries one request at a time. Bytes that arrive while no request is in flight
belong to no request: the connection is closed and not reused.
"""

import asyncio
import re

import attrs
import h11

from tamarackhaven._clock import boot_s
from tamarackhaven.net._http_head import find_header

MAX_REPLY_HEAD_BYTES = 64 << 10
MAX_REPLY_BYTES = 70 << 20
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class RequestNotSentError(Exception):
    """No byte of the request was sent, so it did not run."""


class RequestUnansweredError(Exception):
    """The request was sent but no complete reply arrived; it may have run."""


@attrs.frozen
class Reply:
    """A complete HTTP response from the server.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (bytes, bytes)
        Names with the case that the server sent.
    body : bytes
        Complete body; a truncated response never becomes a ``Reply``.
    """

    status: int
    headers: tuple
    body: bytes

    def header(self, name):
        """Return the value of the header ``name`` (lower case) or None."""
        return find_header(self.headers, name)


class ClientConnection(asyncio.Protocol):
    """A connection that is created by ``open`` and reused for many requests."""

    def __init__(self):
        self._transport = None
        self._parser = None
        self._request_event = None
        self._request_body = b""
        self._is_expected_reply = None
        self._reply_future = None
        self._response_head = None
        self._body = []
        self._body_bytes = 0
        self.opened_s = boot_s()
        self.idle_since_s = self.opened_s
        self.idle_limit_s = None
        self.is_reusable = True

    @classmethod
    async def open(cls, host, port, timeout_s):
        """Return a connected ``ClientConnection``.

        Raises
        ------
        OSError
            If the connection is refused, or not established within ``timeout_s``
            seconds (``TimeoutError``).
        """
        loop = asyncio.get_running_loop()
        _, connection = await asyncio.wait_for(
            loop.create_connection(cls, host, port), timeout_s
        )
        return connection

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    @property
    def is_open(self):
        """Whether another request can be sent on this connection."""
        return self.is_reusable and not self._transport.is_closing()

    async def request(self, method, target, headers, body, is_expected_reply):
        """Send a request and return its ``Reply``.

        Parameters
        ----------
        method, target : str
            Sent unchanged.
        headers : sequence of (bytes, bytes)
            Must include ``Host``; ``Content-Length`` is added.
        body : bytes
            Complete body.
        is_expected_reply : callable
            ``is_expected_reply(reply)`` returns false for a reply to an earlier
            request; that reply is skipped.

        Raises
        ------
        RequestNotSentError
            If the connection was already closed.
        RequestUnansweredError
            If the connection failed before a complete reply arrived.
        """
        if not self.is_open:
            raise RequestNotSentError("connection was closed while idle")
        headers = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"Content-Length", str(len(body)).encode()))
        self._request_event = h11.Request(
            method=method.encode("ascii"),
            target=target.encode("latin-1"),
            headers=headers,
        )
        self._is_expected_reply = is_expected_reply
        self._request_body = body
        data = self._start_parser()
        self._reply_future = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            return await self._reply_future
        except asyncio.CancelledError:
            # Closing the connection makes the server cancel the request.
            self.close()
            raise
        finally:
            self._reply_future = None
            self.idle_since_s = boot_s()

    def _start_parser(self):
        """Create a parser for the reply; return the serialized request."""
        self._parser = h11.Connection(h11.CLIENT, MAX_REPLY_HEAD_BYTES)
        data = self._parser.send(self._request_event)
        if self._request_body:
            data += self._parser.send(h11.Data(data=self._request_body))
        return data + self._parser.send(h11.EndOfMessage())

    def data_received(self, data):
        """Parse received bytes; close the connection if no request is in flight."""
        if self._reply_future is None or self._reply_future.done():
            self.close()
            return
        try:
            self._parser.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._abort_request(f"response is not valid HTTP/1.1: {error}")

    def _parse(self):
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._response_head = event
                self._body = []
                self._body_bytes = 0
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > MAX_REPLY_BYTES:
                    self._abort_request("response body exceeds the size limit")
                    return
            elif isinstance(event, h11.EndOfMessage):
                if self._complete_reply():
                    return
            elif isinstance(event, h11.ConnectionClosed):
                self._abort_request("connection closed before the response")
                return

    def _complete_reply(self):
        """Complete the request; return false if the reply is to an earlier request."""
        headers = tuple(
            (bytes(n), bytes(v)) for n, v in self._response_head.headers.raw_items()
        )
        reply = Reply(self._response_head.status_code, headers, b"".join(self._body))
        trailing_data = self._parser.trailing_data[0]
        ends_connection = self._parser.their_state is h11.MUST_CLOSE
        if not self._is_expected_reply(reply):
            if ends_connection:
                self._abort_request(
                    "connection closed after the response to an earlier request"
                )
                return True
            # Parse the next response as the reply to the current request.
            self._start_parser()
            if trailing_data:
                self._parser.receive_data(trailing_data)
            return False
        self._update_idle_limit(reply)
        if (
            trailing_data
            or ends_connection
            or self._response_head.http_version == b"1.0"
        ):
            self.is_reusable = False
            self._transport.close()
        self._reply_future.set_result(reply)
        return True

    def _update_idle_limit(self, reply):
        value = reply.header(b"keep-alive")
        match = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if match:
            self.idle_limit_s = float(match.group(1))

    def _abort_request(self, reason):
        self.is_reusable = False
        if self._reply_future is not None and not self._reply_future.done():
            self._reply_future.set_exception(RequestUnansweredError(reason))
        self._transport.abort()

    def eof_received(self):
        """Complete a reply that is delimited by the end of the connection, or fail."""
        self.is_reusable = False
        if self._reply_future is None or self._reply_future.done():
            return False
        try:
            self._parser.receive_data(b"")
            self._parse()
        except h11.RemoteProtocolError as error:
            self._abort_request(f"response is incomplete: {error}")
        return False

    def connection_lost(self, error):
        """Fail the request in flight."""
        self.is_reusable = False
        if self._reply_future is not None and not self._reply_future.done():
            self._reply_future.set_exception(
                RequestUnansweredError(f"connection lost: {error}")
            )

    def close(self):
        """Abort the connection without flushing unsent bytes."""
        self.is_reusable = False
        self._transport.abort()
