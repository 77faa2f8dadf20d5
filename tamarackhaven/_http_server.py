"""HTTP servers on ``waitress``; errors are answered by ``errors.ANSWER_BY_KIND``."""

import http.client
import logging
import select
import socket
import threading
import time

import waitress
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask
from waitress.utilities import (
    Error,
    InternalServerError,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from tamarackhaven._answer import answer_error
from tamarackhaven._clock import boot_s
from tamarackhaven._request import SINGLE_HEADERS, RawRequest
from tamarackhaven.errors import ErrorKind, TamarackhavenError

MAX_HEADER_BYTES = 16 * 1024
# Limits the memory used for each request. Services may set smaller limits; a larger one
# doesn't raise this one.
MAX_BODY_BYTES = 8 * 1024 * 1024
_LISTEN_BACKLOG = 1024
_MAX_CONNECTIONS = 2000
_LOOP_TIMEOUT_S = 0.2
# Longer than usual deadlines. A drain has already waited for running requests.
_STOP_TIMEOUT_S = 5.0
_STOP_LOOP_TIMEOUT_S = 0.02
# A connection without a request is closed at a stop only after this time without input,
# so that bytes in transit have arrived.
_MIN_IDLE_S = 0.1
_RECEIVED_KEY = "tamarackhaven.received_s"
_OVERLOADED_KEY = "tamarackhaven.overloaded"
_GONE_KEY = "waitress.client_disconnected"

_KIND_BY_ERROR = {
    RequestHeaderFieldsTooLarge: ErrorKind.HEADERS_TOO_LARGE,
    RequestEntityTooLarge: ErrorKind.BODY_TOO_LARGE,
    InternalServerError: ErrorKind.INTERNAL,
}


class _KindError(Error):
    """Carries an ``ErrorKind`` through waitress's error handling."""

    def __init__(self, kind, detail=""):
        super().__init__(detail)
        self.kind = kind


class _Parser(HTTPRequestParser):
    """A parser that detects duplicate headers before waitress joins their values."""

    duplicate = ""
    received_s = 0.0
    overloaded = False

    def received(self, data):
        consumed = super().received(data)
        if self.duplicate and not isinstance(self.error, _KindError):
            self.error = _KindError(ErrorKind.DUPLICATE_HEADER, self.duplicate)
            self.completed = True
        if self.completed:
            self.received_s = boot_s()
        return consumed

    def parse_header(self, header_plus):
        self.duplicate = _find_duplicate(header_plus)
        super().parse_header(header_plus)


def _find_duplicate(header_plus):
    """Return a header of ``SINGLE_HEADERS`` that is repeated, or an empty string."""
    seen = set()
    for line in header_plus.split(b"\r\n")[1:]:
        name = line.partition(b":")[0].decode("latin-1").lower()
        if name in seen:
            return name
        if name in SINGLE_HEADERS:
            seen.add(name)
    return ""


class _Task(WSGITask):
    """Runs one request, with its receipt time and overload mark in the environment."""

    def build_response_header(self):
        # Checked as late as possible, so that it also applies to answers of requests
        # that were running when the stop began.
        if self.channel.server.close_connections:
            self.set_close_on_finish()
        return super().build_response_header()

    def get_environment(self):
        environ = super().get_environment()
        environ[_RECEIVED_KEY] = self.request.received_s
        environ[_OVERLOADED_KEY] = self.request.overloaded
        return environ


class _ErrorTask(ErrorTask):
    """Answers requests that waitress itself refuses, from the error table."""

    def execute(self):
        error = self.request.error
        kind = getattr(error, "kind", None)
        kind = kind or _KIND_BY_ERROR.get(type(error), ErrorKind.MALFORMED_REQUEST)
        answer = answer_error(TamarackhavenError(kind, str(error.body)))
        self.status = status_line(answer.status)
        self.response_headers.extend(answer.headers)
        self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)


class _Dispatcher(ThreadedTaskDispatcher):
    """A thread pool with a limited queue; an extra thread refuses requests beyond it.

    When a target is slow, callers may send more requests than the threads can serve.
    waitress's own queue has neither a limit nor a deadline: its requests would be
    answered after their callers are gone, and would not reach the admission gate, which
    refuses immediately. At most as many requests are queued as there are threads, so
    the last one starts after that many requests have finished.
    """

    def __init__(self, threads):
        super().__init__()
        self._max_queued = threads
        self._refusal_dispatcher = ThreadedTaskDispatcher()
        self._refusal_dispatcher.set_thread_count(1)
        self.set_thread_count(threads)

    def add_task(self, task):
        if len(self.queue) >= self._max_queued and task.requests:
            task.requests[0].overloaded = True
            self._refusal_dispatcher.add_task(task)
        else:
            super().add_task(task)

    def shutdown(self, cancel_pending=True, timeout=5):
        self._refusal_dispatcher.shutdown(cancel_pending, timeout)
        return super().shutdown(cancel_pending, timeout)


class _Channel(HTTPChannel):
    """A channel that answers a request which ends before its declared length.

    waitress drops such a request without an answer. A caller whose proxy truncated the
    body would see a closed connection and not know that the request did not run.
    """

    parser_class = _Parser
    task_class = _Task
    error_task_class = _ErrorTask
    _input_ended = False

    def readable(self):
        return not self._input_ended and super().readable()

    def handle_close(self):
        if self._ends_within_request():
            self._input_ended = True
            self._answer_truncated()
            return
        super().handle_close()

    def _ends_within_request(self):
        started = self.request is not None and (
            self.request.header_plus or self.request.headers_finished
        )
        return bool(started and not self._input_ended and not self.will_close)

    def _answer_truncated(self):
        with self.requests_lock:
            request, self.request = self.request, None
            kind = ErrorKind.MALFORMED_REQUEST
            if request.headers_finished:
                kind = ErrorKind.BODY_TRUNCATED
            request.error = _KindError(kind, "The connection ended within the request.")
            request.completed = True
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def is_busy(self):
        """Return whether a request runs or may be arriving, or an answer is unsent."""
        if self.requests or self.total_outbufs_len:
            return True
        # waitress sets last_activity by time.time().
        return time.time() - self.last_activity < _MIN_IDLE_S

    def handle_read(self):
        super().handle_read()
        if self._input_ended:
            # The base class treats an end of input as a closed connection, but the
            # other direction is still open for the answer.
            self.connected = True


def status_line(status):
    """Return the HTTP status code with its reason phrase."""
    return f"{status} {http.client.responses.get(status, 'Refused')}"


def raw_request(environ):
    """Read the request of a WSGI environment, including its body from the input.

    It consumes the body, so call it once for each request.
    """
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return RawRequest(
        method=environ["REQUEST_METHOD"],
        target=environ["REQUEST_URI"],
        headers=headers,
        body=environ["wsgi.input"].read(length) if length else b"",
        peer_host=environ["REMOTE_ADDR"],
        received_s=environ.get(_RECEIVED_KEY) or boot_s(),
        overloaded=environ.get(_OVERLOADED_KEY, False),
    )


def caller_gone_check(environ):
    """Return a callable that returns whether the caller has disconnected."""
    return environ.get(_GONE_KEY, lambda: False)


def respond(answer, start_response):
    """Start a WSGI response for an ``HttpAnswer`` and return its body parts."""
    headers = list(answer.headers)
    if not answer.header("Content-Length"):
        headers.append(("Content-Length", str(len(answer.body))))
    start_response(status_line(answer.status), headers)
    return [answer.body]


class HttpServer:
    """Serves a WSGI application on one port, in a separate thread.

    Parameters
    ----------
    app : callable
        The WSGI application.
    listen : Listen
        Address to listen on; port 0 selects any free port.
    threads : int
        Number of requests served concurrently. As many more are queued, and their
        time in the queue counts towards their deadline.
    name : str
        Name of the thread, also used in errors about the port.
    header_bytes : int
        Maximum size of a request's first line and headers.
    """

    def __init__(self, app, listen, threads, name, header_bytes=MAX_HEADER_BYTES):
        # Its log lines would go to standard error unformatted and repeat ours.
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self._server = waitress.create_server(
            app,
            sockets=[_bind(listen, name)],
            _dispatcher=_Dispatcher(threads),
            backlog=_LISTEN_BACKLOG,
            connection_limit=_MAX_CONNECTIONS,
            max_request_header_size=header_bytes,
            max_request_body_size=MAX_BODY_BYTES,
            # Without it waitress doesn't read while a request runs and wouldn't detect
            # that the caller disconnected.
            channel_request_lookahead=1,
            asyncore_loop_timeout=_LOOP_TIMEOUT_S,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=False,
            ident="",
        )
        self._server.channel_class = _Channel
        self._server.close_connections = False
        self.port = self._server.effective_port
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self):
        """Start serving in the server's thread."""
        self._thread.start()

    def unfinished_requests(self):
        """Return the number of requests that run or are queued for a thread."""
        dispatcher = self._server.task_dispatcher
        return dispatcher.active_count + len(dispatcher.queue)

    def close_after_answers(self):
        """Close each connection after its next answer.

        If a connection were closed without an answer, a caller that had sent a request
        on it couldn't know whether it ran.
        """
        self._server.close_connections = True

    def stop(self):
        """Stop accepting connections, answer received requests, stop the threads.

        Connections that aren't answered within ``_STOP_TIMEOUT_S`` seconds are closed.
        """
        self._stopping = True
        self._server.pull_trigger()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self):
        server = self._server
        while not self._stopping:
            server.asyncore.loop(
                timeout=_LOOP_TIMEOUT_S, map=server._map, use_poll=True, count=1
            )
        self._answer_received()
        server.task_dispatcher.shutdown(timeout=1)
        server.asyncore.close_all(server._map)

    def _answer_received(self):
        """Close the listening socket, then answer all requests already received.

        Requests may arrive until the moment of the stop, and answers may be buffered
        after the application has returned them. Closing their connections would leave
        callers without knowing whether their requests ran. Therefore the connections
        queued by the operating system are accepted first, each connection is closed
        after its next answer, and one without a request is closed only after no input
        for ``_MIN_IDLE_S`` seconds, so that bytes in transit have arrived.
        """
        self._server.close_connections = True
        self._stop_listening()
        end = boot_s() + _STOP_TIMEOUT_S
        while self._is_busy() and boot_s() < end:
            self._server.asyncore.loop(
                timeout=_STOP_LOOP_TIMEOUT_S,
                map=self._server._map,
                use_poll=True,
                count=1,
            )

    def _stop_listening(self):
        """Accept the connections that are already queued, then close the listener."""
        server = self._server
        poller = select.poll()
        poller.register(server.socket, select.POLLIN)
        for _ in range(_LISTEN_BACKLOG):
            if not poller.poll(0):
                break
            server.handle_accept()
        server.del_channel()
        server.socket.close()

    def _is_busy(self):
        channels = [c for c in self._server._map.values() if isinstance(c, _Channel)]
        return any(channel.is_busy() for channel in channels)


def _bind(listen, name):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((listen.host, listen.port))
    except OSError as error:
        sock.close()
        raise TamarackhavenError(
            ErrorKind.PORT_TAKEN,
            f"{name}.port: {listen.host}:{listen.port}: {error.strerror}.",
        ) from error
    return sock
