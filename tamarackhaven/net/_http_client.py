"""A persistent client connection to an HTTP/1.1 server, parsed by ``h11``.

It carries one request at a time. Bytes that arrive while no request is in flight
belong to no request: the connection is closed and not reused.

A server may send a response twice, the second time when the next request is in flight.
The response to a request is told from such a copy by the id that it names. That works
because a connection carries each id once, and isn't reused after a response without an
id.
"""

import asyncio
import re

import attrs
import h11

from tamarackhaven._clock import boot_s
from tamarackhaven._status_line import MAX_INTERIM_RESPONSES, VERSIONS, is_final
from tamarackhaven.net._http_head import MAX_EVENTS_PER_TURN, find_header

MAX_REPLY_HEAD_BYTES = 64 << 10
MAX_REPLY_BYTES = 70 << 20
# The ids that a connection has carried are kept until it is closed.
MAX_REQUESTS_PER_CONNECTION = 256
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class RequestNotSentError(Exception):
    """No byte of the request was sent, so it did not run."""


class RequestUnansweredError(Exception):
    """The request was sent but no complete reply arrived; it may have run.

    Parameters
    ----------
    reason : str
        What happened instead.
    is_too_large : bool
        Whether the reply was given up because of its size.
    """

    def __init__(self, reason, is_too_large=False):
        super().__init__(reason)
        self.is_too_large = is_too_large


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
    """A connection that is created by ``open`` and reused for many requests.

    Parameters
    ----------
    budget : AnswerBudget
        Counts the bytes of replies that are being received.
    on_stale_reply : callable
        ``on_stale_reply(reply, request_id)`` is called for each reply to an earlier
        request that is skipped while ``request_id`` is in flight.
    """

    def __init__(self, budget, on_stale_reply=lambda reply, request_id: None):
        self._budget = budget
        self._on_stale_reply = on_stale_reply
        self._carried_ids = set()
        self._transport = None
        self._parser = None
        self._request_event = None
        self._request_body = b""
        self._request_id = None
        self._read_id = None
        self._reply_future = None
        self._response_head = None
        self._body = bytearray()
        self._has_length = False
        self._interim_count = 0
        self.opened_s = boot_s()
        self.idle_since_s = self.opened_s
        self.idle_limit_s = None
        self.is_reusable = True

    @classmethod
    async def open(cls, host, port, timeout_s, *settings):
        """Return a connected ``ClientConnection(*settings)``.

        Raises
        ------
        OSError
            If the connection is refused, or not established within ``timeout_s``
            seconds (``TimeoutError``).
        """
        loop = asyncio.get_running_loop()
        _, connection = await asyncio.wait_for(
            loop.create_connection(lambda: cls(*settings), host, port), timeout_s
        )
        return connection

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    @property
    def is_open(self):
        """Whether another request can be sent on this connection."""
        return self.is_reusable and not self._transport.is_closing()

    def has_carried(self, request_id):
        """Whether a request with this id was sent on this connection.

        It may answer true for another id, never false for one that it has carried.
        """
        return hash(request_id) in self._carried_ids

    async def request(self, method, target, headers, body, request_id, read_id):
        """Send a request and return its ``Reply``.

        Parameters
        ----------
        method, target : str
            Sent unchanged.
        headers : sequence of (bytes, bytes)
            Must include ``Host``; ``Content-Length`` is added.
        body : bytes
            Complete body.
        request_id : str
            Identifies the request. The connection must not have carried it before.
        read_id : callable
            ``read_id(reply)`` returns the id of the request that a reply answers, None
            if the reply doesn't say. A reply to another request is skipped.

        Raises
        ------
        RequestNotSentError
            If the connection was already closed, or the request can't be written.
        RequestUnansweredError
            If the connection failed before a complete reply arrived.
        """
        if not self.is_open:
            raise RequestNotSentError("connection was closed while idle")
        if self.has_carried(request_id):
            raise RequestNotSentError("connection has carried the request before")
        self._carried_ids.add(hash(request_id))
        headers = list(headers)
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"Content-Length", str(len(body)).encode()))
        self._request_event = _request_event(method, target, headers)
        self._request_id = request_id
        self._read_id = read_id
        self._request_body = body
        self._interim_count = 0
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
            self._budget.remove(self)
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
        if not self._awaits_reply:
            self.close()
            return
        self._receive(data)

    @property
    def _awaits_reply(self):
        return self._reply_future is not None and not self._reply_future.done()

    def _receive(self, data):
        try:
            self._parser.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._abort_request(f"response is not valid HTTP/1.1: {error}")

    def _parse(self):
        for _ in range(MAX_EVENTS_PER_TURN):
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    self._abort_request("too many interim responses")
                    return
            elif isinstance(event, h11.Response):
                if not self._begin_reply(event):
                    return
            elif isinstance(event, h11.Data):
                if not self._add_to_body(event.data):
                    return
            elif isinstance(event, h11.EndOfMessage):
                if self._complete_reply():
                    return
            elif isinstance(event, h11.ConnectionClosed):
                self._abort_request("connection closed before the response")
                return
        self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._continue_parsing)

    def _continue_parsing(self):
        if not self._awaits_reply or self._transport.is_closing():
            return
        self._transport.resume_reading()
        try:
            self._parse()
        except h11.RemoteProtocolError as error:
            self._abort_request(f"response is not valid HTTP/1.1: {error}")

    def _begin_reply(self, head):
        """Begin a reply; return false if its head is none of an answer."""
        if not is_final(head.status_code) or head.http_version not in VERSIONS:
            self._abort_request("response has no valid status line")
            return False
        self._response_head = head
        self._body = bytearray()
        self._has_length = any(name == b"content-length" for name, _ in head.headers)
        return True

    def _add_to_body(self, data):
        """Add to the reply's body; return false if the reply was given up."""
        self._body += data
        if len(self._body) > MAX_REPLY_BYTES:
            self.give_up_reply()
            return False
        largest = self._budget.add(self, len(data), self._has_length)
        if largest is not None:
            largest.give_up_reply()
        return largest is not self

    def give_up_reply(self):
        """Close the connection because of the size of the reply that it receives."""
        self._budget.remove(self)
        self._body = bytearray()
        self._abort_request("response is too large", is_too_large=True)

    def _complete_reply(self):
        """Complete the request; return false if the reply is to an earlier request."""
        headers = tuple(
            (bytes(n), bytes(v)) for n, v in self._response_head.headers.raw_items()
        )
        reply = Reply(self._response_head.status_code, headers, bytes(self._body))
        trailing_data = self._parser.trailing_data[0]
        ends_connection = self._parser.their_state is h11.MUST_CLOSE
        self._budget.remove(self)
        named_id = self._read_id(reply)
        if named_id is not None and named_id != self._request_id:
            self._on_stale_reply(reply, self._request_id)
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
            or named_id is None
            or len(self._carried_ids) >= MAX_REQUESTS_PER_CONNECTION
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

    def _abort_request(self, reason, is_too_large=False):
        self.is_reusable = False
        if self._awaits_reply:
            error = RequestUnansweredError(reason, is_too_large)
            self._reply_future.set_exception(error)
        self._transport.abort()

    def eof_received(self):
        """Complete a reply that is delimited by the end of the connection, or fail."""
        self.is_reusable = False
        if self._awaits_reply:
            self._receive(b"")
        return False

    def connection_lost(self, error):
        """Fail the request in flight."""
        self.is_reusable = False
        if self._awaits_reply:
            self._reply_future.set_exception(
                RequestUnansweredError(f"connection lost: {error}")
            )

    def close(self):
        """Abort the connection without flushing unsent bytes."""
        self.is_reusable = False
        self._transport.abort()


def _request_event(method, target, headers):
    """Return the ``h11.Request``.

    Raises
    ------
    RequestNotSentError
        If HTTP has no form for it, such as a declared path with a space.
    """
    try:
        return h11.Request(
            method=method.encode("ascii"),
            target=target.encode("latin-1"),
            headers=headers,
        )
    except (UnicodeEncodeError, h11.LocalProtocolError) as error:
        raise RequestNotSentError(f"request can't be written: {error}") from error
