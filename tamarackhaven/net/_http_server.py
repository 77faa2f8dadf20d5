"""An HTTP/1.1 server on an event loop, parsed by ``h11``.

Pipelined requests run side by side and are answered in the order they came in. A
request is handed on once its body is whole. A caller that closes its connection
cancels what it asked for.
"""

import asyncio
import collections

import attrs
import h11

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.net import _http_head
from tamarackhaven.net._body_budget import BodyBudget
from tamarackhaven.net._http_head import find
from tamarackhaven.routing import Limits

# Load: a caller that sends without reading. Harm: its requests and answers fill the
# memory. Limit: more than any usual caller pipelines; reading goes on when one is done.
MAX_PIPELINED = 32
BACKLOG = 1024
# A body is copied about three times on its way through a process: this much, three
# times, and the process itself fit a VM that has 300 MB for it.
MOST_BODY_BYTES = 64 << 20
# Bodies of this kind take some tenths of a second to pass on.
BODIES_RETRY_S = 0.3
# Idle connections are kept a little longer than callers are told, so that a request
# sent at the last moment still finds its connection.
IDLE_GRACE_S = 3.0
SWEEP_S = 0.5
# An answer that its caller doesn't take for so long is given up.
WRITE_STALL_S = 30.0
_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade "
    b"content-length".split()
)


@attrs.frozen
class HttpRequest:
    """One whole request.

    Parameters
    ----------
    method, target : str
        As sent.
    headers : tuple of (bytes, bytes)
        Names as sent, without those that concern only this connection.
    body : bytes
        Decoded from chunks, if it came in chunks.
    arrived_s : float
        When the head was read, in seconds of the boot clock.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    arrived_s: float

    def header(self, name):
        """Return the value of the header ``name`` (lower case) or None."""
        return find(self.headers, name)

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class HttpResponse:
    """One whole answer; the length is added when it is sent."""

    status: int
    headers: tuple = ()
    body: bytes = b""


class _Exchange:
    """One request and its answer, in the order of its connection."""

    def __init__(self, parser):
        self.parser = parser
        self.request = None
        self.arrived_s = None
        self.body = []
        self.body_bytes = 0
        self.taken_bytes = 0
        self.task = None
        self.response = None
        self.closes = False


class _Connection(asyncio.Protocol):
    def __init__(self, server):
        self._server = server
        self._transport = None
        self._buffer = b""
        self._reading = None
        self._waiting = collections.deque()
        self._stopped_reading = False
        self._write_stalled_since = None
        self.active_s = boot_s()

    # Connection.

    def connection_made(self, transport):
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, _error):
        self._server.connections.discard(self)
        self._cancel_all()
        if self._reading is not None:
            self._release(self._reading)
            self._reading = None

    def eof_received(self):
        # A caller that closes its connection no longer waits for any answer.
        self._cancel_all()
        return False

    def pause_writing(self):
        self._write_stalled_since = boot_s()

    def resume_writing(self):
        self._write_stalled_since = None

    def _cancel_all(self):
        for exchange in self._waiting:
            self._release(exchange)
            if exchange.task is not None:
                exchange.task.cancel()
        self._waiting.clear()

    @property
    def is_idle(self):
        """Whether nothing is being read or answered."""
        return not self._waiting and self._reading is None and not self._buffer

    def close(self):
        """Close after what was written has left."""
        self._transport.close()

    def sweep(self, now):
        """Close a connection that has been silent for too long."""
        limits = self._server.limits
        stalled = self._write_stalled_since
        if stalled is not None and now - stalled > WRITE_STALL_S:
            self._transport.abort()
        elif self._waiting:
            return
        elif self._reading is None and self._buffer:
            if now - self.active_s > limits.header_timeout_s + SWEEP_S:
                self._fail(TamarackhavenError(ErrorKind.MALFORMED_REQUEST, "too slow"))
        elif self._is_over(now):
            self._transport.close()

    def _is_over(self, now):
        idle_s = now - self.active_s
        is_old = idle_s > self._server.limits.idle_timeout_s + IDLE_GRACE_S
        return is_old or (self._server.is_closing and self.is_idle)

    # Reading.

    def data_received(self, data):
        if self._stopped_reading:
            return
        if self.is_idle:
            self.active_s = boot_s()
        self._buffer += data
        self._read_on()

    def _read_on(self):
        try:
            while self._buffer and not self._stopped_reading:
                if len(self._waiting) >= MAX_PIPELINED:
                    self._transport.pause_reading()
                    return
                if not self._read_some():
                    return
        except h11.RemoteProtocolError as error:
            self._fail(TamarackhavenError(ErrorKind.MALFORMED_REQUEST, str(error)))
        except TamarackhavenError as error:
            self._fail(error)

    def _read_some(self):
        """Feed what is there to the request being read; false if more is needed."""
        if self._reading is None:
            limit = self._server.limits.max_header_bytes
            length = _http_head.head_length(self._buffer, limit)
            if length is None:
                return False
            self._reading = _Exchange(h11.Connection(h11.SERVER, limit + 1024))
        exchange = self._reading
        exchange.parser.receive_data(self._buffer)
        self._buffer = b""
        while True:
            event = exchange.parser.next_event()
            if event is h11.NEED_DATA:
                return False
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return True
            if isinstance(event, h11.Request):
                self._begin(exchange, event)
            elif isinstance(event, h11.Data):
                self._add(exchange, event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._end(exchange)
                return True

    def _begin(self, exchange, event):
        _http_head.check_framing(event.headers)
        exchange.request = event
        exchange.arrived_s = boot_s()
        for name, value in event.headers:
            if name == b"content-length":
                if int(value) > self._max_body:
                    raise self._too_large()
                self._take(exchange, int(value))
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(
                    exchange.parser.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )

    @property
    def _max_body(self):
        return self._server.limits.max_body_bytes

    def _too_large(self):
        return TamarackhavenError(
            ErrorKind.BODY_TOO_LARGE, f"more than {self._max_body} bytes"
        )

    def _add(self, exchange, data):
        exchange.body.append(bytes(data))
        exchange.body_bytes += len(data)
        self.active_s = boot_s()
        if exchange.body_bytes > self._max_body:
            raise self._too_large()
        if exchange.body_bytes > exchange.taken_bytes:
            self._take(exchange, exchange.body_bytes - exchange.taken_bytes)

    def _take(self, exchange, count):
        """Take room for bytes of a body, or refuse it."""
        if not self._server.bodies.take(count, exchange.taken_bytes):
            held_bytes = self._server.bodies.held_bytes
            raise TamarackhavenError(
                ErrorKind.BODIES_FULL, f"{held_bytes} bytes", BODIES_RETRY_S
            )
        exchange.taken_bytes += count

    def _release(self, exchange):
        self._server.bodies.give_back(exchange.taken_bytes)
        exchange.taken_bytes = 0

    def _end(self, exchange):
        self._reading = None
        self._buffer = exchange.parser.trailing_data[0]
        event = exchange.request
        connection = [v.lower() for n, v in event.headers if n == b"connection"]
        exchange.closes = event.http_version == b"1.0" or any(
            b"close" in value for value in connection
        )
        if exchange.closes:
            self._stopped_reading = True
        hop = _HOP_HEADERS.union(
            part.strip() for value in connection for part in value.split(b",")
        )
        headers = tuple(
            (bytes(raw), bytes(value))
            for raw, value in event.headers.raw_items()
            if raw.lower() not in hop
        )
        request = HttpRequest(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            headers,
            b"".join(exchange.body),
            exchange.arrived_s,
        )
        exchange.body = []
        self._waiting.append(exchange)
        exchange.task = asyncio.get_running_loop().create_task(
            self._answer(exchange, request)
        )

    async def _answer(self, exchange, request):
        try:
            exchange.response = await self._server.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # Whatever went wrong, the caller hears it at once instead of waiting.
            self._server.on_error(request, error)
            exchange.response = _response_of(
                TamarackhavenError(ErrorKind.INTERNAL, repr(error))
            )
        self._flush()

    def _fail(self, error):
        """Answer what can't be read, after the answers before it; then close."""
        self._stopped_reading = True
        exchange = self._reading or _Exchange(h11.Connection(h11.SERVER))
        self._reading = None
        self._buffer = b""
        self._release(exchange)
        exchange.closes = True
        exchange.response = _response_of(error)
        self._server.on_bad_request(error)
        self._waiting.append(exchange)
        self._flush()

    # Writing.

    def _flush(self):
        """Write the answers that are ready, in order."""
        was_full = len(self._waiting) >= MAX_PIPELINED
        while self._waiting and self._waiting[0].response is not None:
            exchange = self._waiting.popleft()
            self._release(exchange)
            if self._transport.is_closing():
                return
            closes = self._write(exchange)
            self.active_s = boot_s()
            if closes:
                self._stopped_reading = True
                # Requests behind this answer were not passed on: only those that
                # already run keep the connection open until they are answered.
                self._transport.close()
                self._cancel_all()
                return
        if was_full and not self._stopped_reading:
            self._transport.resume_reading()
            self._read_on()

    def _write(self, exchange):
        """Write one answer; tell whether the connection closes behind it."""
        response = exchange.response
        is_last = not self._waiting
        closes = exchange.closes or (
            self._server.is_closing and is_last and self._reading is None
        )
        headers = [(n, v) for n, v in response.headers if n.lower() not in _HOP_HEADERS]
        if response.status != 204:
            headers.append((b"Content-Length", str(len(response.body)).encode()))
        if closes:
            headers.append((b"Connection", b"close"))
        parser = exchange.parser
        try:
            data = parser.send(
                h11.Response(
                    status_code=response.status, headers=headers, http_version=b"1.1"
                )
            )
            is_head = (
                exchange.request is not None and exchange.request.method == b"HEAD"
            )
            if response.body and not is_head and response.status not in (204, 304):
                data += parser.send(h11.Data(data=response.body))
            data += parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            self._server.on_error(None, error)
            self._transport.abort()
            return True
        self._transport.write(data)
        return closes


def _response_of(error):
    headers = ()
    if error.retry_after_s:
        headers = ((b"Retry-After", f"{error.retry_after_s:.3f}".encode()),)
    return HttpResponse(
        error.answer.http_status,
        (*headers, (b"Content-Type", b"text/plain")),
        str(error).encode(),
    )


class HttpServer:
    """Serves one address.

    Parameters
    ----------
    handler : callable
        Coroutine function from ``HttpRequest`` to ``HttpResponse``; cancelled when
        the caller closes its connection.
    on_error : callable
        ``on_error(request, error)`` for an exception of the handler.
    on_bad_request : callable
        ``on_bad_request(error)`` for bytes that are no request.
    """

    def __init__(self, handler, on_error, on_bad_request=lambda error: None):
        self.handler = handler
        self.on_error = on_error
        self.on_bad_request = on_bad_request
        self.limits = Limits()
        self.bodies = BodyBudget(MOST_BODY_BYTES)
        self.connections = set()
        self.is_closing = False
        self._server = None
        self._sweep = None

    async def start(self, host, port):
        """Listen; ``OSError`` if the port is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        self._sweep = loop.call_later(SWEEP_S, self._sweep_all)

    def _sweep_all(self):
        now = boot_s()
        for connection in tuple(self.connections):
            connection.sweep(now)
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(SWEEP_S, self._sweep_all)

    @property
    def busy(self):
        """Number of connections on which something is read or answered."""
        return sum(1 for connection in self.connections if not connection.is_idle)

    def stop_listening(self):
        """Take no new connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close(self):
        """Stop listening and close the connections; answers that wait are cut."""
        if self._sweep is not None:
            self._sweep.cancel()
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close()
