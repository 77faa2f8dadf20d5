"""An HTTP/1.1 server on an event loop, parsed by ``h11``.

Pipelined requests run concurrently and are answered in the order of their arrival. The
handler is called once the body is complete. When a caller closes its connection, its
requests are cancelled.
"""

import asyncio
import collections

import h11

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.net import _http_head
from tamarackhaven.net._body_budget import BodyBudget
from tamarackhaven.net._http_head import MAX_EVENTS_PER_TURN
from tamarackhaven.net._http_messages import HttpRequest, HttpResponse

# A caller that sends requests without reading the responses would exhaust the memory.
# Usual callers pipeline fewer; reading resumes when a response has been written.
MAX_PIPELINED = 32
LISTEN_BACKLOG = 1024
# A body is copied about three times on its way through a process. Three times this
# size and the process itself fit into the 300 MB that a VM has for it.
MAX_BUFFERED_BODY_BYTES = 64 << 20
# Forwarding the buffered bodies takes some tenths of a second.
BODIES_RETRY_AFTER_S = 0.3
# Idle connections stay open longer than the configured timeout, so that a request sent
# just before the timeout isn't lost with its connection.
IDLE_GRACE_S = 3.0
SWEEP_INTERVAL_S = 0.5
# A connection is aborted when its caller doesn't read the responses, so that the write
# buffer stays full for longer than this.
WRITE_STALL_TIMEOUT_S = 30.0
_HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade "
    b"content-length".split()
)


class _Exchange:
    """A request and its response, in the order of arrival on a connection."""

    def __init__(self, parser):
        self.parser = parser
        self.request = None
        self.arrived_s = None
        self.body = bytearray()
        self.reserved_bytes = 0
        self.task = None
        self.response = None
        self.closes_connection = False


class _Connection(asyncio.Protocol):
    def __init__(self, server):
        self._server = server
        self._transport = None
        self._buffer = b""
        self._reading_exchange = None
        self._pending_exchanges = collections.deque()
        self._has_stopped_reading = False
        self._write_stalled_since_s = None
        self.active_at_s = boot_s()

    # Connection events and timeouts.

    def connection_made(self, transport):
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, _error):
        self._server.connections.discard(self)
        self._cancel_pending()
        if self._reading_exchange is not None:
            self._release(self._reading_exchange)
            self._reading_exchange = None

    def eof_received(self):
        # A caller that closes its connection no longer waits for any response.
        self._cancel_pending()
        return False

    def pause_writing(self):
        self._write_stalled_since_s = boot_s()

    def resume_writing(self):
        self._write_stalled_since_s = None

    def _cancel_pending(self):
        for exchange in self._pending_exchanges:
            self._release(exchange)
            if exchange.task is not None:
                exchange.task.cancel()
        self._pending_exchanges.clear()

    @property
    def is_idle(self):
        """Whether no request is being received or handled."""
        return (
            not self._pending_exchanges
            and self._reading_exchange is None
            and not self._buffer
        )

    def close(self):
        """Close after the write buffer has been flushed."""
        self._transport.close()

    def close_if_timed_out(self, now):
        """Close the connection if it has been idle or stalled for too long.

        ``now`` is in seconds of the boot clock.
        """
        limits = self._server.limits
        stalled_since_s = self._write_stalled_since_s
        if (
            stalled_since_s is not None
            and now - stalled_since_s > WRITE_STALL_TIMEOUT_S
        ):
            self._transport.abort()
        elif self._pending_exchanges:
            return
        elif self._reading_exchange is None and self._buffer:
            if now - self.active_at_s > limits.header_timeout_s + SWEEP_INTERVAL_S:
                self._reject(
                    TamarackhavenError(
                        ErrorKind.MALFORMED_REQUEST,
                        "head not received within the header timeout",
                    )
                )
        elif self._should_close(now):
            self._transport.close()

    def _should_close(self, now):
        idle_s = now - self.active_at_s
        is_old = idle_s > self._server.limits.idle_timeout_s + IDLE_GRACE_S
        return is_old or (self._server.is_closing and self.is_idle)

    # Reading.

    def data_received(self, data):
        if self._has_stopped_reading:
            return
        if self.is_idle:
            self.active_at_s = boot_s()
        self._buffer += data
        self._process_buffer()

    def _process_buffer(self, has_unparsed=False):
        """Parse the buffer, and what the parser holds if ``has_unparsed``."""
        try:
            while (self._buffer or has_unparsed) and not self._has_stopped_reading:
                has_unparsed = False
                if len(self._pending_exchanges) >= MAX_PIPELINED:
                    self._transport.pause_reading()
                    return
                if not self._feed_parser():
                    return
        except h11.RemoteProtocolError as error:
            self._reject(TamarackhavenError(ErrorKind.MALFORMED_REQUEST, str(error)))
        except TamarackhavenError as error:
            self._reject(error)

    def _feed_parser(self):
        """Feed the buffer to the parser; return false if more bytes are needed."""
        if self._reading_exchange is None:
            limit = self._server.limits.max_header_bytes
            length = _http_head.head_length(self._buffer, limit)
            if length is None:
                return False
            self._reading_exchange = _Exchange(h11.Connection(h11.SERVER, limit + 1024))
        exchange = self._reading_exchange
        if self._buffer:
            exchange.parser.receive_data(self._buffer)
            self._buffer = b""
        for _ in range(MAX_EVENTS_PER_TURN):
            event = exchange.parser.next_event()
            if event is h11.NEED_DATA:
                return False
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return True
            if isinstance(event, h11.Request):
                self._on_request_head(exchange, event)
            elif isinstance(event, h11.Data):
                self._on_body_data(exchange, event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._on_request_end(exchange)
                if not self._buffer or self._has_stopped_reading:
                    return False
                # Other connections get their turn after each of a caller's pipelined
                # requests.
                break
        self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._continue_parsing)
        return False

    def _continue_parsing(self):
        if self._has_stopped_reading or self._transport.is_closing():
            return
        self._transport.resume_reading()
        self._process_buffer(has_unparsed=self._reading_exchange is not None)

    def _on_request_head(self, exchange, event):
        _http_head.check_framing(event.headers)
        exchange.request = event
        exchange.arrived_s = boot_s()
        for name, value in event.headers:
            if name == b"content-length":
                if int(value) > self._max_body_bytes:
                    raise self._body_too_large()
                self._reserve(exchange, int(value))
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(
                    exchange.parser.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )

    @property
    def _max_body_bytes(self):
        return self._server.limits.max_body_bytes

    def _body_too_large(self):
        return TamarackhavenError(
            ErrorKind.BODY_TOO_LARGE, f"body exceeds {self._max_body_bytes} bytes"
        )

    def _on_body_data(self, exchange, data):
        exchange.body += data
        body_bytes = len(exchange.body)
        self.active_at_s = boot_s()
        if body_bytes > self._max_body_bytes:
            raise self._body_too_large()
        if body_bytes > exchange.reserved_bytes:
            self._reserve(exchange, body_bytes - exchange.reserved_bytes)

    def _reserve(self, exchange, count):
        """Reserve budget for ``count`` bytes of a body, or raise BODIES_FULL."""
        if not self._server.body_budget.reserve(count, exchange.reserved_bytes):
            reserved_bytes = self._server.body_budget.reserved_bytes
            raise TamarackhavenError(
                ErrorKind.BODIES_FULL,
                f"{reserved_bytes} bytes of bodies are buffered",
                BODIES_RETRY_AFTER_S,
            )
        exchange.reserved_bytes += count

    def _release(self, exchange):
        self._server.body_budget.release(exchange.reserved_bytes)
        exchange.reserved_bytes = 0

    def _on_request_end(self, exchange):
        self._reading_exchange = None
        self._buffer = exchange.parser.trailing_data[0]
        event = exchange.request
        connection = [v.lower() for n, v in event.headers if n == b"connection"]
        exchange.closes_connection = event.http_version == b"1.0" or any(
            b"close" in value for value in connection
        )
        if exchange.closes_connection:
            self._has_stopped_reading = True
        hop_by_hop_names = _HOP_BY_HOP_HEADERS.union(
            part.strip() for value in connection for part in value.split(b",")
        )
        headers = tuple(
            (bytes(raw), bytes(value))
            for raw, value in event.headers.raw_items()
            if raw.lower() not in hop_by_hop_names
        )
        request = HttpRequest(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            headers,
            bytes(exchange.body),
            exchange.arrived_s,
        )
        exchange.body = bytearray()
        self._pending_exchanges.append(exchange)
        exchange.task = asyncio.get_running_loop().create_task(
            self._handle(exchange, request)
        )

    async def _handle(self, exchange, request):
        try:
            exchange.response = await self._server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # Respond to any failure at once, so that the caller doesn't time out.
            self._server.on_error(request, error)
            exchange.response = _error_response(
                TamarackhavenError(ErrorKind.INTERNAL, repr(error))
            )
        self._write_ready_responses()

    def _reject(self, error):
        """Queue an error response for an unreadable request, then close."""
        self._has_stopped_reading = True
        exchange = self._reading_exchange or _Exchange(h11.Connection(h11.SERVER))
        self._reading_exchange = None
        self._buffer = b""
        self._release(exchange)
        exchange.closes_connection = True
        error = self._server.checked_refusal(error)
        exchange.response = _error_response(error)
        self._server.on_bad_request(error)
        self._pending_exchanges.append(exchange)
        self._write_ready_responses()

    # Writing.

    def _write_ready_responses(self):
        """Write the responses that are ready, in the order of the requests."""
        was_at_pipeline_limit = len(self._pending_exchanges) >= MAX_PIPELINED
        while (
            self._pending_exchanges and self._pending_exchanges[0].response is not None
        ):
            exchange = self._pending_exchanges.popleft()
            self._release(exchange)
            if self._transport.is_closing():
                return
            closes_connection = self._write_response(exchange)
            self.active_at_s = boot_s()
            if closes_connection:
                self._has_stopped_reading = True
                # No request after this one was passed to the handler: reading stops
                # at a request that closes the connection, and a closing server closes
                # it only after the last pending response.
                self._transport.close()
                self._cancel_pending()
                return
        if was_at_pipeline_limit and not self._has_stopped_reading:
            self._transport.resume_reading()
            self._process_buffer()

    def _write_response(self, exchange):
        """Write a response; return whether the connection closes after it."""
        response = exchange.response
        is_last_pending = not self._pending_exchanges
        closes_connection = exchange.closes_connection or (
            self._server.is_closing
            and is_last_pending
            and self._reading_exchange is None
        )
        headers = [
            (n, v) for n, v in response.headers if n.lower() not in _HOP_BY_HOP_HEADERS
        ]
        if response.status != 204:
            headers.append((b"Content-Length", str(len(response.body)).encode()))
        if closes_connection:
            headers.append((b"Connection", b"close"))
        parser = exchange.parser
        try:
            data = parser.send(
                h11.Response(
                    status_code=response.status, headers=headers, http_version=b"1.1"
                )
            )
            is_head_request = (
                exchange.request is not None and exchange.request.method == b"HEAD"
            )
            if (
                response.body
                and not is_head_request
                and response.status not in (204, 304)
            ):
                data += parser.send(h11.Data(data=response.body))
            data += parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            self._server.on_error(None, error)
            self._transport.abort()
            return True
        self._transport.write(data)
        return closes_connection


def _error_response(error):
    headers = ()
    if error.retry_after_s:
        headers = ((b"Retry-After", f"{error.retry_after_s:.3f}".encode()),)
    return HttpResponse(
        error.answer.http_status,
        (*headers, (b"Content-Type", b"text/plain")),
        str(error).encode(),
    )


class HttpServer:
    """An HTTP/1.1 server on one address.

    Parameters
    ----------
    handler : callable
        Coroutine function from ``HttpRequest`` to ``HttpResponse``; it is cancelled
        when the caller closes its connection.
    on_error : callable
        ``on_error(request, error)`` is called for an exception of the handler, and
        with None as the request for a response that can't be serialized.
    limits : Limits
        Of its peers. They may be replaced while it runs.
    on_bad_request : callable
        ``on_bad_request(error)`` is called for each request that the server rejects.

    Attributes
    ----------
    checked_refusal : callable
        ``checked_refusal(error)`` returns the error to send for a request that the
        server rejects.
    """

    def __init__(self, handler, on_error, limits, on_bad_request=lambda error: None):
        self.handler = handler
        self.on_error = on_error
        self.on_bad_request = on_bad_request
        self.limits = limits
        self.checked_refusal = lambda error: error
        self.body_budget = BodyBudget(MAX_BUFFERED_BODY_BYTES)
        self.connections = set()
        self.is_closing = False
        self._server = None
        self._sweep_timer = None

    async def start(self, host, port):
        """Start listening.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep_connections)

    def _sweep_connections(self):
        now = boot_s()
        for connection in tuple(self.connections):
            connection.close_if_timed_out(now)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep_connections)

    @property
    def busy(self):
        """Number of connections with a request being received or handled."""
        return sum(1 for connection in self.connections if not connection.is_idle)

    def stop_listening(self):
        """Accept no new connections; open connections stay in use."""
        if self._server is not None:
            self._server.close()

    def close(self):
        """Stop listening and close all connections; pending responses are dropped."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close()
