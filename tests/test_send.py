"""Tests of sending to misbehaving targets: error kind, whether it ran, connection."""

import contextlib
import socket
import threading
import time
import tracemalloc

import pytest

from standin.target import Mode, Server, StandinSettings
from tamarackhaven._clock import boot_s
from tamarackhaven._send import (
    MAX_REQUESTS_PER_CONNECTION,
    Connections,
    OutgoingRequest,
    send,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.fakes import wait_for


def outgoing(request_id="r1", wait_s=10.0, **extra):
    values = {
        "method": "GET",
        "target": "/s/k",
        "headers": (),
        "body": b"",
        "max_body_bytes": 1000,
    }
    deadline_s = boot_s() + wait_s
    return OutgoingRequest(
        request_id=request_id, deadline_s=deadline_s, **(values | extra)
    )


def never():
    return False


def send_expecting_error(connections, request, gone=never):
    with pytest.raises(TamarackhavenError) as caught:
        send(connections, request, gone)
    return caught.value


class Cut(bytes):
    """An answer after which the connection is closed."""


@contextlib.contextmanager
def scripted(*answers):
    """Run a server that answers each request with the next of ``answers``.

    Yields a connection pool for it and a list of what it received, with one list for
    each connection.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    received = []
    script = list(answers)

    def serve(sock, requests):
        with sock, contextlib.suppress(OSError):
            while script and (data := sock.recv(65536)):
                requests.append(data)
                answer = script.pop(0)
                sock.sendall(answer)
                if isinstance(answer, Cut):
                    return

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            received.append([])
            threading.Thread(
                target=serve, args=(sock, received[-1]), daemon=True
            ).start()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    connections = Connections("127.0.0.1", listener.getsockname()[1], 4)
    try:
        yield connections, received
    finally:
        connections.close()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(10)


def ok(request_id="r1", body=b"fine", extra=""):
    head = f"HTTP/1.1 200 OK\r\nTamarackhaven-Request-Id: {request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (Cut(), "TARGET_SENT_NOTHING"),
        (Cut(ok()[:-2]), "ANSWER_SHORT"),
        (Cut(ok()[:20]), "ANSWER_SHORT"),
        (ok(body=b"x" * 1001), "ANSWER_TOO_LARGE"),
        (ok("other"), "ANSWER_MISMATCH"),
        (b"SMTP ready\r\n\r\n", "ANSWER_SHORT"),
        (b"HTTP/1.1 200 OK\r\nTamarackhaven-Request-Id: r1\r\n\r\nx", "ANSWER_SHORT"),
        (ok(extra="X: " + "x" * 70_000 + "\r\n"), "ANSWER_TOO_LARGE"),
        (
            b"HTTP/1.1 200 OK\r\nTamarackhaven-Request-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhal",
            "ANSWER_TIMEOUT",
        ),
    ],
)
def test_a_bad_answer_has_its_kind_and_closes_the_connection(answer, kind):
    """A reused connection could return the rest of a bad answer to the next request.

    It is unknown what ran, so the caller is answered "unknown", and the next request
    goes over a new connection.
    """
    with scripted(answer, ok("r2")) as (connections, received):
        wait_s = 0.5 if kind == "ANSWER_TIMEOUT" else 10.0
        error = send_expecting_error(connections, outgoing(wait_s=wait_s))
        assert error.kind.name == kind
        assert error.answer.ran.value == "unknown"
        assert send(connections, outgoing("r2"), never).body == b"fine"
        assert [len(requests) for requests in received] == [1, 1]


def test_connections_are_reused_and_limited():
    extra = (
        "TE: trailers\r\nProxy-Authenticate: x\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
    )
    with scripted(ok("r1", extra=extra), ok("r2")) as (connections, received):
        answer = send(connections, outgoing("r1"), never)
        names = [name for name, _ in answer.headers]
        assert names == ["Tamarackhaven-Request-Id", "Set-Cookie", "Set-Cookie"]
        send(connections, outgoing("r2"), never)
        assert [len(requests) for requests in received] == [2]
        taken = [connections.acquire(boot_s() + 5) for _ in range(4)]
        error = send_expecting_error(connections, outgoing())
        assert (error.kind, error.answer.ran.value) == (
            ErrorKind.CONNECTIONS_FULL,
            "no",
        )
        for sock in taken:
            connections.release(sock, reusable=False)


def test_a_connection_with_unread_input_is_not_reused():
    """An idle connection holds an unread answer to an earlier request.

    The next request has the same id, so the check of the echoed id can't detect the
    mismatch. It must get its own answer, over a new connection.
    """
    with scripted(ok(), ok(body=b"mine")) as (connections, received):
        sock = connections.acquire(boot_s() + 5)
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        wait_for(lambda: received and received[0])
        connections.release(sock, reusable=True)
        wait_for(lambda: _readable(sock))
        assert send(connections, outgoing(), never).body == b"mine"
        assert len(received) == 2


def _readable(sock):
    sock.setblocking(False)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def test_a_closed_port_is_unreachable_and_did_not_run():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        connections = Connections("127.0.0.1", unused.getsockname()[1], 1)
        for _ in range(2):
            error = send_expecting_error(connections, outgoing())
            assert error.kind is ErrorKind.TARGET_UNREACHABLE
            assert error.answer.ran.value == "no"


def test_a_disconnected_caller_ends_the_request():
    with scripted(b"", b"") as (connections, received):
        error = send_expecting_error(
            connections, outgoing(), lambda: bool(received and received[0])
        )
        assert error.kind is ErrorKind.CALLER_GONE


@pytest.mark.parametrize(
    ("mode", "kind"),
    [
        (Mode.SHORT, "ANSWER_SHORT"),
        (Mode.OVERSIZED, "ANSWER_TOO_LARGE"),
        (Mode.WRONG_ID, "ANSWER_MISMATCH"),
        (Mode.LATE, "ANSWER_TIMEOUT"),
        (Mode.DRIP, "ANSWER_TIMEOUT"),
    ],
)
def test_a_misbehaving_target_is_reported_within_the_deadline(mode, kind):
    """A target that sends one byte at a time restarts a socket timeout with each byte.

    The caller must be answered at its deadline, not after the last byte.
    """
    server = Server(StandinSettings(mode=mode))
    server.start()
    connections = Connections("127.0.0.1", server.port, 2)
    started = time.monotonic()
    error = send_expecting_error(connections, outgoing(wait_s=0.4))
    took_s = time.monotonic() - started
    server.stop()
    assert error.kind.name == kind
    assert took_s < 2.0


def test_a_second_try_goes_over_a_connection_that_has_not_carried_it():
    # Guards against a refusal of a request that runs, by a copy of an earlier answer.
    refused = ok(body=b"").replace(b"200 OK", b"503 Full")
    answers = refused, ok("r2"), ok(body=b"mine"), ok("r2"), ok("r3")
    with scripted(*answers) as (connections, received):
        assert send(connections, outgoing(), never).status == 503
        send(connections, outgoing("r2"), never)
        assert send(connections, outgoing(), never).body == b"mine"
        assert [len(requests) for requests in received] == [2, 1]
        # The first connection was closed, as no other was idle.
        send(connections, outgoing("r2"), never)
        send(connections, outgoing("r3"), never)
        assert [len(requests) for requests in received] == [2, 3]


def test_an_idle_connection_that_has_carried_the_request_stays_open_beside_others():
    # Guards against a new connection for each rejection.
    with scripted(ok("r0"), ok("r2"), ok("r3")) as (connections, received):
        first = connections.acquire(boot_s() + 5, "r1")
        send(connections, outgoing("r0"), never)
        connections.release(first, reusable=True)
        connections.release(connections.acquire(boot_s() + 5, "r1"), reusable=True)
        assert connections.opened == 2
        for request_id in ("r2", "r3"):
            send(connections, outgoing(request_id), never)
        assert connections.opened == 2


def test_a_connection_carries_a_bounded_number_of_requests():
    # Guards against ids that are kept without end.
    count = MAX_REQUESTS_PER_CONNECTION + 1
    with scripted(*(ok(f"r{n}") for n in range(count))) as (connections, _):
        for number in range(count):
            send(connections, outgoing(f"r{number}"), never)
        assert connections.opened == 2


ENDLESS_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What a faulty target starts with, and what it repeats until its caller closes.
ENDLESS_PARTS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header": (b"HTTP/1.1 200 OK\r\nY: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"Y: x\r\n"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "body": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"x"),
    "chunks": (ENDLESS_CHUNKED, b"1000\r\n" + 4096 * b"x" + b"\r\n"),
    "tiny chunks": (ENDLESS_CHUNKED, b"1\r\nx\r\n"),
    "chunk size": (ENDLESS_CHUNKED, b"0"),
    "trailers": (ENDLESS_CHUNKED + b"0\r\n", b"Y: x\r\n"),
}
MAX_PEAK_BYTES = 16 << 20


@contextlib.contextmanager
def endless_server(start, repeated):
    """Yield the port of a server that sends bytes until its caller closes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            sock, _ = listener.accept()
            with sock, contextlib.suppress(OSError):
                sock.recv(65536)
                sock.sendall(start)
                while True:
                    sock.sendall(repeated * (65536 // len(repeated)))

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield listener.getsockname()[1]
        thread.join(10)


@pytest.mark.parametrize("kind", ENDLESS_PARTS)
def test_bytes_without_end_are_bounded_in_memory_and_by_the_deadline(kind):
    # Guards against: what a faulty target sends is kept until the process ends.
    with endless_server(*ENDLESS_PARTS[kind]) as port:
        connections = Connections("127.0.0.1", port, 1)
        tracemalloc.start()
        started_s = time.monotonic()
        try:
            with pytest.raises(TamarackhavenError):
                send(connections, outgoing(wait_s=1.0), never)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert time.monotonic() - started_s < 3.0
        assert peak_bytes < MAX_PEAK_BYTES
