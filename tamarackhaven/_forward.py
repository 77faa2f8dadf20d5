"""Filter: hand a request to the owner's daemon, and its answer back."""

import threading

from tamarackhaven import _request as names
from tamarackhaven._clock import boot_s
from tamarackhaven._model import PolicyMode
from tamarackhaven._retry import LOST_KINDS, REFUSED_KINDS, RELOCATED_KINDS
from tamarackhaven._send import Connections, OutgoingRequest, send
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A daemon's own error answers must fit also where a service allows tiny bodies.
_LEAST_BODY_BYTES = 16 * 1024
_KIND_BY_CODE = {kind.value: kind for kind in ErrorKind}
# What `send` says of a target, said of a daemon.
_KIND_OF_DAEMON = {
    ErrorKind.TARGET_SENT_NOTHING: ErrorKind.FORWARD_LOST,
    ErrorKind.ANSWER_SHORT: ErrorKind.FORWARD_LOST,
}
_MOST_PEERS = 2000


class Forwarder:
    """Connections to other daemons, by address.

    Parameters
    ----------
    limit : int
        Most connections to one daemon; two for each thread suffice, as a cancelled
        try ends a moment after the one that was quicker.
    """

    def __init__(self, limit):
        self._limit = limit
        self._lock = threading.Lock()
        self._connections_by_address = {}

    def forward(self, request, located, gone):
        """Return the answer of the owner's daemon, whatever it is.

        Raises
        ------
        TamarackhavenError
            OWNER_UNREACHABLE or CONNECTIONS_FULL (did not run), or what the owner's
            daemon refused as not its own; else FORWARD_LOST, ANSWER_TIMEOUT,
            ANSWER_TOO_LARGE, ANSWER_MISMATCH or CALLER_GONE (unknown).
        """
        connections = self._connections(located.owner.peer)
        try:
            answer = send(connections, _sending(request, located), gone)
        except TamarackhavenError as error:
            kind = _KIND_OF_DAEMON.get(error.kind, error.kind)
            raise TamarackhavenError(kind, error.detail) from error
        kind = _KIND_BY_CODE.get(answer.header(names.ERROR_HEADER))
        if kind in _raised_kinds(located.mode):
            detail = f"{located.owner.target} said so."
            raise TamarackhavenError(kind, detail, _retry_after_s(answer))
        return answer

    def close(self):
        """Close all idle connections."""
        with self._lock:
            for connections in self._connections_by_address.values():
                connections.close()

    def _connections(self, address):
        with self._lock:
            known = self._connections_by_address.get(address)
            if known is None:
                self._forget_some()
                known = Connections(
                    address.host,
                    address.port,
                    self._limit,
                    ErrorKind.OWNER_UNREACHABLE,
                )
                self._connections_by_address[address] = known
            return known

    def _forget_some(self):
        """Bound the table: daemons come and go, with new ports."""
        if len(self._connections_by_address) >= _MOST_PEERS:
            oldest = next(iter(self._connections_by_address))
            self._connections_by_address.pop(oldest).close()


def _retry_after_s(answer):
    value = answer.header(names.RETRY_AFTER_MS_HEADER)
    return int(value) / 1000 if value.isdigit() else 0.0


def _raised_kinds(mode):
    """Return the refusals of another daemon after which this one may try again.

    All other answers are passed on as they are, with their exact Retry-After.
    """
    if mode is PolicyMode.SHARED:
        return RELOCATED_KINDS | REFUSED_KINDS | LOST_KINDS
    return RELOCATED_KINDS | {ErrorKind.CANCELLED}


def _sending(request, located):
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
    limit = max(located.service.max_body_bytes, _LEAST_BODY_BYTES)
    return OutgoingRequest(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=tuple(headers),
        body=request.body,
        deadline_s=request.deadline_s,
        max_body_bytes=limit,
    )
