"""HTTP servers by ``waitress``, whose own errors also come from the closed table."""

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
# Services state smaller limits; this one bounds what a server holds in memory.
MAX_BODY_BYTES = 8 * 1024 * 1024
_LISTEN_BACKLOG = 1024
_CONNECTIONS = 2000
_LOOP_TIMEOUT_S = 0.2
# Longer than any usual deadline; a drain has waited for what it could before.
_FINISH_S = 5.0
_FINISH_STEP_S = 0.02
_QUIET_S = 0.1
_RECEIVED_KEY = "tamarackhaven.received_s"
_OVERLOADED_KEY = "tamarackhaven.overloaded"
_GONE_KEY = "waitress.client_disconnected"

_KIND_BY_ERROR = {
    RequestHeaderFieldsTooLarge: ErrorKind.HEADERS_TOO_LARGE,
    RequestEntityTooLarge: ErrorKind.BODY_TOO_LARGE,
    InternalServerError: ErrorKind.INTERNAL,
}


class _KindError(Error):
    """An error of the closed list in the form that waitress passes on."""

    def __init__(self, kind, detail=""):
        super().__init__(detail)
        self.kind = kind


class _Parser(HTTPRequestParser):
    """A parser that notes duplicates before waitress joins them by a comma."""

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
        self.duplicate = _duplicate(header_plus)
        super().parse_header(header_plus)


def _duplicate(header_plus):
    """Return the name of a header that stands twice and must not, or an empty text."""
    seen = set()
    for line in header_plus.split(b"\r\n")[1:]:
        name = line.partition(b":")[0].decode("latin-1").lower()
        if name in seen:
            return name
        if name in SINGLE_HEADERS:
            seen.add(name)
    return ""


class _Task(WSGITask):
    def build_response_header(self):
        # As late as possible, so that it also reaches answers to requests that were
        # running when the stop began.
        if self.channel.server.close_connections:
            self.set_close_on_finish()
        return super().build_response_header()

    def get_environment(self):
        environ = super().get_environment()
        environ[_RECEIVED_KEY] = self.request.received_s
        environ[_OVERLOADED_KEY] = self.request.overloaded
        return environ


class _ErrorTask(ErrorTask):
    """Answers what waitress itself refuses, out of the closed table."""

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
    """Threads whose line has an end; one more thread answers what is beyond it.

    Load: callers send more than all threads can take, at a target that is slow. Harm
    prevented: waitress's own line has no end and no deadline, so its requests would be
    answered when nobody waits any more, and the gate, which refuses at once, would
    never see them. Reason for the limit: with as many in line as there are threads,
    the last one waits for one round of the requests before it.
    """

    def __init__(self, threads):
        super().__init__()
        self._most_waiting = threads
        self._refusing = ThreadedTaskDispatcher()
        self._refusing.set_thread_count(1)
        self.set_thread_count(threads)

    def add_task(self, task):
        if len(self.queue) >= self._most_waiting and task.requests:
            task.requests[0].overloaded = True
            self._refusing.add_task(task)
        else:
            super().add_task(task)

    def shutdown(self, cancel_pending=True, timeout=5):
        self._refusing.shutdown(cancel_pending, timeout)
        return super().shutdown(cancel_pending, timeout)


class _Channel(HTTPChannel):
    """A channel that answers a request which ends before its stated length.

    waitress drops such a request without a word, and a caller whose proxy cut its
    body off would see a lost connection and not know that nothing ran.
    """

    parser_class = _Parser
    task_class = _Task
    error_task_class = _ErrorTask
    _ended = False

    def readable(self):
        return not self._ended and super().readable()

    def handle_close(self):
        if self._ends_within_request():
            self._ended = True
            self._answer_truncated()
            return
        super().handle_close()

    def _ends_within_request(self):
        started = self.request is not None and (
            self.request.header_plus or self.request.headers_finished
        )
        return bool(started and not self._ended and not self.will_close)

    def _answer_truncated(self):
        with self.requests_lock:
            request, self.request = self.request, None
            kind = ErrorKind.MALFORMED_REQUEST
            if request.headers_finished:
                kind = ErrorKind.BODY_TRUNCATED
            request.error = _KindError(kind, "The connection ended within it.")
            request.completed = True
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def is_busy(self):
        """Return whether a request may be on its way in, or an answer out."""
        if self.requests or self.total_outbufs_len:
            return True
        return time.time() - self.last_activity < _QUIET_S

    def handle_read(self):
        super().handle_read()
        if self._ended:
            # The base class notes an end of input as a closed connection; the other
            # direction is still open for the answer.
            self.connected = True


def status_line(status):
    """Return the status with its reason phrase."""
    return f"{status} {http.client.responses.get(status, 'Refused')}"


def raw_request(environ):
    """Return the request in a WSGI environment as a ``RawRequest``."""
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


def gone_check(environ):
    """Return a callable that says whether the caller has hung up."""
    return environ.get(_GONE_KEY, lambda: False)


def respond(answer, start_response):
    """Give an ``HttpAnswer`` to WSGI."""
    headers = list(answer.headers)
    if not answer.header("Content-Length"):
        headers.append(("Content-Length", str(len(answer.body))))
    start_response(status_line(answer.status), headers)
    return [answer.body]


class HttpServer:
    """One WSGI application on one port, in a thread of its own.

    Parameters
    ----------
    app : callable
        The WSGI application.
    listen : Listen
        Where to listen; port 0 takes any free one.
    threads : int
        Requests served at once; more wait, and their wait counts.
    name : str
        For the thread.
    header_bytes : int
        Largest size of a request's first line and headers.
    """

    def __init__(self, app, listen, threads, name, header_bytes=MAX_HEADER_BYTES):
        # Its lines would reach standard error unformatted; ours say the same.
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self._server = waitress.create_server(
            app,
            sockets=[_bound(listen, name)],
            _dispatcher=_Dispatcher(threads),
            backlog=_LISTEN_BACKLOG,
            connection_limit=_CONNECTIONS,
            max_request_header_size=header_bytes,
            max_request_body_size=MAX_BODY_BYTES,
            # Without it waitress reads nothing while a request runs, and would not
            # notice that the caller hung up.
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
        """Serve from now on."""
        self._thread.start()

    def occupied(self):
        """Return the number of requests that run or wait for a thread."""
        dispatcher = self._server.task_dispatcher
        return dispatcher.active_count + len(dispatcher.queue)

    def close_after_answers(self):
        """Close each connection after its next answer.

        A caller that sent a request on a connection which is closed without an answer
        can't know whether it ran.
        """
        self._server.close_connections = True

    def stop(self):
        """Take no more connections, answer what has come in, end the threads.

        What is not answered ``_FINISH_S`` later is cut off.
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
        self._finish()
        server.task_dispatcher.shutdown(timeout=1)
        server.asyncore.close_all(server._map)

    def _finish(self):
        """Answer all that has come in, and close the listening socket before that.

        Failure: requests arrive up to the moment of the stop, and answers still wait
        to be written after the application gave them. Symptom: a planned stop cuts
        callers off, and they can't know whether their bookings ran. Enough: what the
        system had queued is accepted first, each connection is closed after its next
        answer, and one is given up only when nothing came in for ``_QUIET_S``, so the
        bytes of a request that were on the way have arrived.
        """
        self._server.close_connections = True
        self._stop_listening()
        end = boot_s() + _FINISH_S
        while self._is_busy() and boot_s() < end:
            self._server.asyncore.loop(
                timeout=_FINISH_STEP_S, map=self._server._map, use_poll=True, count=1
            )

    def _stop_listening(self):
        server = self._server
        queued = select.poll()
        queued.register(server.socket, select.POLLIN)
        for _ in range(_LISTEN_BACKLOG):
            if not queued.poll(0):
                break
            server.handle_accept()
        server.del_channel()
        server.socket.close()

    def _is_busy(self):
        channels = [c for c in self._server._map.values() if isinstance(c, _Channel)]
        return any(channel.is_busy() for channel in channels)


def _bound(listen, name):
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
