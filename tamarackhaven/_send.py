"""Filter: send a request to an HTTP server and read its whole answer.

Used towards the target and towards other daemons. What is known of "did it run" goes
by the point of failure: before the first byte was written it did not, afterwards
nobody knows.
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
from tamarackhaven.errors import ErrorKind, TamarackhavenError

CONNECT_S = 0.5
# Shorter than the 120 s after which waitress closes a silent connection.
IDLE_S = 20.0
_POLL_S = 0.05
_SHORTEST_S = 0.001
# waitress refuses to pass on the standard ones; the others it writes itself.
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization"}
    | {"te", "trailer", "trailers", "transfer-encoding", "upgrade"}
    | {"date", "server", "via"}
)
_LENGTH = "content-length"


@attrs.frozen
class Sending:
    """What goes out on one connection.

    Parameters
    ----------
    deadline_s : float
        Latest end of the answer, in seconds of CLOCK_BOOTTIME.
    max_body_bytes : int
        Largest answer body that is read.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    max_body_bytes: int


class _TimedReader(io.RawIOBase):
    """Reads from a socket until a deadline, or until the caller has hung up.

    A timeout of the socket starts anew with each byte, so a target that sends one
    byte a second would hold a connection and a thread for hours.
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
            self._sock.settimeout(min(left_s, _POLL_S))
            try:
                return self._sock.recv_into(buffer)
            except TimeoutError:
                if self._gone():
                    raise TamarackhavenError(ErrorKind.CALLER_GONE) from None


@attrs.frozen
class _TimedSocket:
    """The part of a socket that ``HTTPResponse`` uses."""

    sock: socket.socket
    deadline_s: float
    gone: object

    def makefile(self, mode):
        """Return a buffered reader with the deadline."""
        return io.BufferedReader(_TimedReader(self.sock, self.deadline_s, self.gone))


class Connections:
    """Connections to one address, never more than a hard bound.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    limit : int
        Most connections at once, in use and idle together.
    unreachable : ErrorKind
        Kind for a server that takes no connection.
    """

    def __init__(self, host, port, limit, unreachable=ErrorKind.TARGET_UNREACHABLE):
        self.address = (host, port)
        self._unreachable = unreachable
        self._in_use = threading.BoundedSemaphore(limit)
        self._idle = deque()
        self.opened = 0

    def acquire(self, deadline_s):
        """Return a connected socket of one's own.

        Raises
        ------
        TamarackhavenError
            CONNECTIONS_FULL, or the kind for an unreachable server; nothing was sent.
        """
        # Connections beyond what the target bears make it fail for all; refusing one
        # request is the smaller harm, and it did not run.
        if not self._in_use.acquire(blocking=False):
            raise TamarackhavenError(ErrorKind.CONNECTIONS_FULL)
        try:
            return self._idle_one() or self._open(deadline_s)
        except BaseException:
            self._in_use.release()
            raise

    def release(self, sock, reusable):
        """Give a socket back; it is closed unless ``reusable``."""
        if reusable:
            self._idle.append((time.monotonic(), sock))
        else:
            sock.close()
        self._in_use.release()

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.popleft()[1].close()

    def _idle_one(self):
        while True:
            try:
                since, sock = self._idle.pop()
            except IndexError:
                return None
            if time.monotonic() - since < IDLE_S and not _has_input(sock):
                return sock
            sock.close()

    def _open(self, deadline_s):
        timeout = max(_SHORTEST_S, min(CONNECT_S, deadline_s - boot_s()))
        try:
            sock = socket.create_connection(self.address, timeout)
        except OSError as error:
            host, port = self.address
            raise TamarackhavenError(
                self._unreachable, f"{host}:{port}: {error}."
            ) from error
        self.opened += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


def _has_input(sock):
    """Return whether an idle connection was closed or holds bytes nobody asked for.

    Such bytes are a late answer to an earlier request. Without this check the next
    caller would be given it.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))


def send(connections, sending, gone):
    """Send one request and return its whole answer.

    Parameters
    ----------
    connections : Connections
        To the server.
    sending : Sending
        What to send.
    gone : callable
        Says whether the caller has hung up.

    Returns
    -------
    HttpAnswer
        Without hop-by-hop headers.

    Raises
    ------
    TamarackhavenError
        CONNECTIONS_FULL or the unreachable kind (did not run); TARGET_SENT_NOTHING,
        ANSWER_SHORT, ANSWER_TOO_LARGE, ANSWER_TIMEOUT, ANSWER_MISMATCH or CALLER_GONE
        (unknown). The connection is closed after each of the latter.
    """
    sock = connections.acquire(sending.deadline_s)
    reusable = False
    try:
        _write(sock, connections.address, sending)
        response = _response(sock, sending, gone)
        body = _body(response, sending)
        _check_echo(response, sending)
        reusable = not response.will_close
    finally:
        connections.release(sock, reusable)
    return HttpAnswer(response.status, _headers(response, sending), body)


def _headers(response, sending):
    """Return the headers to pass on; only HEAD needs the length that was stated."""
    dropped = _HOP_BY_HOP if sending.method == "HEAD" else _HOP_BY_HOP | {_LENGTH}
    return tuple(
        (name, value)
        for name, value in response.getheaders()
        if name.lower() not in dropped
    )


def _write(sock, address, sending):
    connection = http.client.HTTPConnection(*address)
    connection.sock = sock
    sock.settimeout(max(_SHORTEST_S, sending.deadline_s - boot_s()))
    headers = dict(sending.headers)
    headers[names.REQUEST_ID_HEADER] = sending.request_id
    if sending.body or sending.method not in names.LOOKUP_METHODS:
        headers["Content-Length"] = str(len(sending.body))
    try:
        connection.request(sending.method, sending.target, sending.body, headers)
    except TimeoutError as error:
        raise TamarackhavenError(ErrorKind.ANSWER_TIMEOUT) from error
    except OSError as error:
        raise TamarackhavenError(ErrorKind.TARGET_SENT_NOTHING, str(error)) from error


def _response(sock, sending, gone):
    response = http.client.HTTPResponse(
        _TimedSocket(sock, sending.deadline_s, gone), method=sending.method
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


def _body(response, sending):
    limit = sending.max_body_bytes
    if response.length is not None and response.length > limit:
        raise TamarackhavenError(ErrorKind.ANSWER_TOO_LARGE)
    if response.length is None and not response.chunked:
        # Only the end of the connection would mark the end of this answer, and a
        # crash looks the same: the caller might get half of it as the whole.
        raise TamarackhavenError(ErrorKind.ANSWER_SHORT, "It states no length.")
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


def _check_echo(response, sending):
    """Refuse an answer that belongs to another request.

    A target, or a proxy inside it, that mixes up two connections would otherwise give
    one caller the other's data.
    """
    echoed = response.getheader(names.REQUEST_ID_HEADER, "")
    if echoed != sending.request_id:
        raise TamarackhavenError(ErrorKind.ANSWER_MISMATCH, f"It names {echoed!r}.")
