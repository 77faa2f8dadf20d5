"""Filter that forwards a request to the owner's daemon and returns its answer."""

import threading

from tamarackhaven import _request as names
from tamarackhaven._clock import boot_s
from tamarackhaven._model import PolicyMode
from tamarackhaven._numbers import read_digits
from tamarackhaven._retry import LOST_KINDS, REFUSED_KINDS, RELOCATED_KINDS
from tamarackhaven._send import Connections, OutgoingRequest, send
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A daemon's error answers must fit even if the service allows only smaller bodies.
_MIN_BODY_LIMIT_BYTES = 16 * 1024
_KIND_BY_CODE = {kind.value: kind for kind in ErrorKind}
# `send` reports failures of targets; these are their equivalents for a daemon.
_FORWARD_KIND_BY_SEND_KIND = {
    ErrorKind.TARGET_SENT_NOTHING: ErrorKind.FORWARD_LOST,
    ErrorKind.ANSWER_SHORT: ErrorKind.FORWARD_LOST,
}
_MAX_PEERS = 2000
# A longer wait named by another daemon is cut to an hour.
MAX_RETRY_AFTER_MS = 3_600_000


class Forwarder:
    """Forwards requests over a pool of connections to each other daemon.

    Parameters
    ----------
    limit : int
        Maximum number of connections to one daemon. Two for each thread suffice: a
        hedged request has two tries, and the cancelled one ends shortly after the
        other.
    """

    def __init__(self, limit):
        self._limit = limit
        self._lock = threading.Lock()
        self._connections_by_address = {}

    def forward(self, request, located, gone):
        """Return the answer of the owner's daemon, unless this daemon may retry it.

        Raises
        ------
        TamarackhavenError
            OWNER_UNREACHABLE or CONNECTIONS_FULL if the request did not run; an error
            of the owner's daemon after which this one may try again; DEADLINE_PAST; or
            FORWARD_LOST, ANSWER_TIMEOUT, ANSWER_TOO_LARGE, ANSWER_MISMATCH or
            CALLER_GONE if it is unknown whether the request ran.
        """
        connections = self._connections(located.owner.peer)
        try:
            answer = send(connections, _build_outgoing_request(request, located), gone)
        except TamarackhavenError as error:
            kind = _FORWARD_KIND_BY_SEND_KIND.get(error.kind, error.kind)
            raise TamarackhavenError(kind, error.detail) from error
        kind = _KIND_BY_CODE.get(answer.header(names.ERROR_HEADER))
        if kind in _retryable_kinds(located.mode):
            detail = f"{located.owner.target} refused the request."
            raise TamarackhavenError(kind, detail, _retry_after_s(answer))
        return answer

    def close(self):
        """Close all idle connections."""
        with self._lock:
            for connections in self._connections_by_address.values():
                connections.close()

    def _connections(self, address):
        with self._lock:
            connections = self._connections_by_address.get(address)
            if connections is None:
                self._evict_oldest_if_full()
                connections = Connections(
                    address.host,
                    address.port,
                    self._limit,
                    ErrorKind.OWNER_UNREACHABLE,
                )
                self._connections_by_address[address] = connections
            return connections

    def _evict_oldest_if_full(self):
        """Close the oldest pool at the limit; restarted daemons may use new ports."""
        if len(self._connections_by_address) >= _MAX_PEERS:
            oldest = next(iter(self._connections_by_address))
            self._connections_by_address.pop(oldest).close()


def _retry_after_s(answer):
    value = answer.header(names.RETRY_AFTER_MS_HEADER)
    return (read_digits(value, MAX_RETRY_AFTER_MS) or 0) / 1000


def _retryable_kinds(mode):
    """Return the error kinds of another daemon after which this one may try again.

    All other answers are returned unchanged, with their exact Retry-After.
    """
    if mode is PolicyMode.SHARED:
        return RELOCATED_KINDS | REFUSED_KINDS | LOST_KINDS
    return RELOCATED_KINDS | {ErrorKind.CANCELLED}


def _build_outgoing_request(request, located):
    left_ms = int((request.deadline_s - boot_s()) * 1000)
    if left_ms <= 0:
        raise TamarackhavenError(ErrorKind.DEADLINE_PAST)
    headers = [
        *request.headers,
        (names.KEY_HEADER, request.key.encode().decode("latin-1")),
        (names.DEADLINE_MS_HEADER, str(left_ms)),
        (names.CALLER_HEADER, request.caller),
        (names.HOPS_HEADER, str(request.hops + 1)),
    ]
    if located.grant.grant:
        headers.append((names.EPOCH_HEADER, str(located.grant.grant)))
    if request.first_sent_s is not None:
        headers.append((names.FIRST_SENT_HEADER, f"{request.first_sent_s:.6f}"))
    limit = max(located.service.max_body_bytes, _MIN_BODY_LIMIT_BYTES)
    return OutgoingRequest(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=tuple(headers),
        body=request.body,
        deadline_s=request.deadline_s,
        max_body_bytes=limit,
    )
