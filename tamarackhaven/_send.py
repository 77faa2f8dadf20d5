"""Filter that sends a request to an HTTP server and reads its whole answer.

It is used for the target and for other daemons. Whether a failed request ran depends
on the point of failure: before the first byte was written it did not run, afterwards
it is unknown.
"""

import http.client
import io
import select
import socket
import threading
import time
from collections import deque

import attrs

from tamarackhaven import _request as names
from tamarackhaven._clock import boot_s
from tamarackhaven._request import HttpAnswer
from tamarackhaven._whole_response import WholeResponse
from tamarackhaven.errors import ErrorKind, TamarackhavenError

CONNECT_TIMEOUT_S = 0.5
# Shorter than the 120 s after which waitress closes an idle connection.
MAX_IDLE_S = 20.0
# The ids that a connection has carried are kept until it is closed.
MAX_REQUESTS_PER_CONNECTION = 256
_POLL_INTERVAL_S = 0.05
_MIN_TIMEOUT_S = 0.001
# waitress rejects the standard hop-by-hop headers from an application and writes the
# others itself.
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization"}
    | {"te", "trailer", "trailers", "transfer-encoding", "upgrade"}
    | {"date", "server", "via"}
)
_CONTENT_LENGTH = "content-length"


@attrs.frozen
class OutgoingRequest:
    """A request to be sent on one connection.

    Parameters
    ----------
    deadline_s : float
        Time by which the whole answer must have arrived, in seconds of
        CLOCK_BOOTTIME.
    max_body_bytes : int
        Largest answer body that is accepted.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    max_body_bytes: int


class _DeadlineReader(io.RawIOBase):
    """Reads from a socket until a deadline, or until the caller has disconnected.

    The socket's own timeout restarts with each byte, so a target that sends one byte a
    second would occupy a connection and a thread for hours.
    """

    def __init__(self, sock, deadline_s, gone):
        self._sock = sock
        self._deadline_s = deadline_s
        self._gone = gone

    def readable(self):
        return True

    def readinto(self, buffer):
        while True:
            left_s = self._deadline_s - boot_s()
            if left_s <= 0:
                raise TimeoutError
            self._sock.settimeout(min(left_s, _POLL_INTERVAL_S))
            try:
                return self._sock.recv_into(buffer)
            except TimeoutError:
                if self._gone():
                    raise TamarackhavenError(ErrorKind.CALLER_GONE) from None


@attrs.frozen
class _DeadlineSocket:
    """The part of a socket that ``HTTPResponse`` uses."""

    sock: socket.socket
    deadline_s: float
    gone: object

    def makefile(self, mode):
        """Return a buffered reader that enforces the deadline."""
        return io.BufferedReader(_DeadlineReader(self.sock, self.deadline_s, self.gone))


class Connections:
    """A connection pool for one address with a fixed maximum size.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    limit : int
        Maximum number of connections, in use and idle together.
    unreachable : ErrorKind
        Error kind for a server that accepts no connection.
    """

    def __init__(self, host, port, limit, unreachable=ErrorKind.TARGET_UNREACHABLE):
        self.address = (host, port)
        self._unreachable_kind = unreachable
        self._in_use = threading.BoundedSemaphore(limit)
        self._idle = deque()
        self._carried_ids_by_socket = {}
        self.opened = 0

    def acquire(self, deadline_s, request_id=""):
        """Return a connected socket for exclusive use until it is released.

        It has not carried ``request_id`` before: a second copy of the answer to an
        earlier try would be taken for the answer to this one.

        Raises
        ------
        TamarackhavenError
            CONNECTIONS_FULL, or the kind for an unreachable server; nothing was
            sent.
        """
        # More connections than the target can handle would make all its requests fail.
        # A refused request did not run and may be retried.
        if not self._in_use.acquire(blocking=False):
            raise TamarackhavenError(ErrorKind.CONNECTIONS_FULL)
        try:
            sock = self._pop_idle(request_id) or self._open(deadline_s)
            self._carried_ids_by_socket.setdefault(sock, set()).add(hash(request_id))
            return sock
        except BaseException:
            self._in_use.release()
            raise

    def release(self, sock, reusable):
        """Return a socket to the pool, or close it unless ``reusable``."""
        carried_ids = self._carried_ids_by_socket[sock]
        if reusable and len(carried_ids) < MAX_REQUESTS_PER_CONNECTION:
            self._idle.append((time.monotonic(), sock))
        else:
            self._close(sock)
        self._in_use.release()

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._close(self._idle.popleft()[1])

    def _close(self, sock):
        del self._carried_ids_by_socket[sock]
        sock.close()

    def _pop_idle(self, request_id):
        """Return the idle connection used last that hasn't carried a request, or None.

        If all have carried it, one is closed, so that ``limit`` holds with a new one.
        """
        passed_over = []
        found = None
        while found is None:
            try:
                idle_since_s, sock = self._idle.pop()
            except IndexError:
                break
            if time.monotonic() - idle_since_s >= MAX_IDLE_S or _has_input(sock):
                self._close(sock)
            elif hash(request_id) in self._carried_ids_by_socket[sock]:
                passed_over.append((idle_since_s, sock))
            else:
                found = sock
        if found is None and passed_over:
            self._close(passed_over.pop()[1])
        self._idle.extend(reversed(passed_over))
        return found

    def _open(self, deadline_s):
        timeout_s = max(_MIN_TIMEOUT_S, min(CONNECT_TIMEOUT_S, deadline_s - boot_s()))
        try:
            sock = socket.create_connection(self.address, timeout_s)
        except OSError as error:
            host, port = self.address
            raise TamarackhavenError(
                self._unreachable_kind, f"{host}:{port}: {error}."
            ) from error
        self.opened += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


def _has_input(sock):
    """Return whether an idle connection was closed or has unexpected input.

    Such input is a late answer to an earlier request. Without this check it would be
    returned to the next caller.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))


def send(connections, outgoing, gone):
    """Send one request and return its whole answer.

    Parameters
    ----------
    connections : Connections
        Connection pool of the server.
    outgoing : OutgoingRequest
        The request to send.
    gone : callable
        Returns whether the caller has disconnected.

    Returns
    -------
    HttpAnswer
        The answer without hop-by-hop headers.

    Raises
    ------
    TamarackhavenError
        CONNECTIONS_FULL or the unreachable kind if the request did not run;
        TARGET_SENT_NOTHING, ANSWER_SHORT, ANSWER_TOO_LARGE, ANSWER_TIMEOUT,
        ANSWER_MISMATCH or CALLER_GONE if that is unknown. The connection is closed
        after each of the latter.
    """
    sock = connections.acquire(outgoing.deadline_s, outgoing.request_id)
    reusable = False
    try:
        _write(sock, connections.address, outgoing)
        response = _read_response(sock, outgoing, gone)
        body = _read_body(response, outgoing)
        _check_echo(response, outgoing)
        reusable = not response.will_close
    finally:
        connections.release(sock, reusable)
    return HttpAnswer(response.status, _headers(response, outgoing), body)


def _headers(response, outgoing):
    """Return the headers to forward; Content-Length is kept only for HEAD."""
    dropped = (
        _HOP_BY_HOP if outgoing.method == "HEAD" else _HOP_BY_HOP | {_CONTENT_LENGTH}
    )
    return tuple(
        (name, value)
        for name, value in response.getheaders()
        if name.lower() not in dropped
    )


def _write(sock, address, outgoing):
    connection = http.client.HTTPConnection(*address)
    connection.sock = sock
    sock.settimeout(max(_MIN_TIMEOUT_S, outgoing.deadline_s - boot_s()))
    headers = dict(outgoing.headers)
    headers[names.REQUEST_ID_HEADER] = outgoing.request_id
    if outgoing.body or outgoing.method not in names.LOOKUP_METHODS:
        headers["Content-Length"] = str(len(outgoing.body))
    try:
        connection.request(outgoing.method, outgoing.target, outgoing.body, headers)
    except TimeoutError as error:
        raise TamarackhavenError(ErrorKind.ANSWER_TIMEOUT) from error
    except OSError as error:
        raise TamarackhavenError(ErrorKind.TARGET_SENT_NOTHING, str(error)) from error


def _read_response(sock, outgoing, gone):
    response = WholeResponse(
        _DeadlineSocket(sock, outgoing.deadline_s, gone), method=outgoing.method
    )
    try:
        response.begin()
    except TimeoutError as error:
        raise TamarackhavenError(ErrorKind.ANSWER_TIMEOUT) from error
    except (http.client.RemoteDisconnected, OSError) as error:
        raise TamarackhavenError(ErrorKind.TARGET_SENT_NOTHING, str(error)) from error
    except http.client.LineTooLong as error:
        raise TamarackhavenError(ErrorKind.ANSWER_TOO_LARGE) from error
    except http.client.HTTPException as error:
        raise TamarackhavenError(ErrorKind.ANSWER_SHORT, repr(error)) from error
    return response


def _read_body(response, outgoing):
    limit = outgoing.max_body_bytes
    if response.length is not None and response.length > limit:
        raise TamarackhavenError(ErrorKind.ANSWER_TOO_LARGE)
    if response.length is None and not response.chunked:
        # The end of such an answer is marked only by the end of the connection, which
        # looks like a crash: the caller might get a truncated answer as a whole one.
        raise TamarackhavenError(
            ErrorKind.ANSWER_SHORT, "The answer has neither Content-Length nor chunks."
        )
    try:
        body = response.read(limit + 1)
    except TimeoutError as error:
        raise TamarackhavenError(ErrorKind.ANSWER_TIMEOUT) from error
    except (http.client.HTTPException, OSError) as error:
        raise TamarackhavenError(ErrorKind.ANSWER_SHORT, repr(error)) from error
    if len(body) > limit:
        raise TamarackhavenError(ErrorKind.ANSWER_TOO_LARGE)
    if response.length:
        raise TamarackhavenError(ErrorKind.ANSWER_SHORT)
    return body


def _check_echo(response, outgoing):
    """Raise ANSWER_MISMATCH unless the answer names the id of the request.

    If the target, or a proxy inside it, mixes up two connections, one caller would
    otherwise get another caller's data.
    """
    echoed = response.getheader(names.REQUEST_ID_HEADER, "")
    if echoed != outgoing.request_id:
        raise TamarackhavenError(
            ErrorKind.ANSWER_MISMATCH, f"The answer names request id {echoed!r}."
        )
