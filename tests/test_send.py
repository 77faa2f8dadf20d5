"""Sending to a target that misbehaves: the kind, whether it ran, the connection."""

import contextlib
import socket
import threading
import time

import pytest

from standin.target import Mode, Server, StandinSettings
from tamarackhaven._clock import boot_s
from tamarackhaven._send import Connections, Sending, send
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.fakes import wait_for


def sending(request_id="r1", wait_s=10.0, **more):
    values = {
        "method": "GET",
        "target": "/s/k",
        "headers": (),
        "body": b"",
        "max_body_bytes": 1000,
    }
    deadline_s = boot_s() + wait_s
    return Sending(request_id=request_id, deadline_s=deadline_s, **(values | more))


def never():
    return False


def send_refused(connections, request, gone=never):
    with pytest.raises(TamarackhavenError) as caught:
        send(connections, request, gone)
    return caught.value


class Cut(bytes):
    """An answer after which the connection is closed."""


@contextlib.contextmanager
def scripted(*answers):
    """A server that gives each request on a connection the next of ``answers``.

    Yields connections to it and the list of what it received, one list a connection.
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


def ok(request_id="r1", body=b"fine", more=""):
    head = f"HTTP/1.1 200 OK\r\nTamarackhaven-Request-Id: {request_id}\r\n{more}"
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
        (ok(more="X: " + "x" * 70_000 + "\r\n"), "ANSWER_TOO_LARGE"),
        (
            b"HTTP/1.1 200 OK\r\nTamarackhaven-Request-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhal",
            "ANSWER_TIMEOUT",
        ),
    ],
)
def test_a_bad_answer_has_its_kind_and_ends_the_connection(answer, kind):
    """After a bad answer nobody knows what ran or what is still to come.

    The caller hears "unknown", and the next request goes over a new connection, so
    that no rest of the bad answer is taken for its own.
    """
    with scripted(answer, ok("r2")) as (connections, received):
        wait_s = 0.5 if kind == "ANSWER_TIMEOUT" else 10.0
        error = send_refused(connections, sending(wait_s=wait_s))
        assert error.kind.name == kind
        assert error.answer.ran.value == "unknown"
        assert send(connections, sending("r2"), never).body == b"fine"
        assert [len(requests) for requests in received] == [1, 1]


def test_a_good_connection_is_used_again_and_bounded():
    more = "TE: trailers\r\nProxy-Authenticate: x\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
    with scripted(ok("r1", more=more), ok("r2")) as (connections, received):
        answer = send(connections, sending("r1"), never)
        names = [name for name, _ in answer.headers]
        assert names == ["Tamarackhaven-Request-Id", "Set-Cookie", "Set-Cookie"]
        send(connections, sending("r2"), never)
        assert [len(requests) for requests in received] == [2]
        taken = [connections.acquire(boot_s() + 5) for _ in range(4)]
        error = send_refused(connections, sending())
        assert (error.kind, error.answer.ran.value) == (
            ErrorKind.CONNECTIONS_FULL,
            "no",
        )
        for sock in taken:
            connections.release(sock, reusable=False)


def test_a_late_answer_is_never_given_to_the_next_caller():
    """An answer nobody read waits in a connection that was taken for idle.

    The next caller has the same request id, so the echo alone would not tell. It must
    get its own answer, over a new connection.
    """
    with scripted(ok(), ok(body=b"mine")) as (connections, received):
        sock = connections.acquire(boot_s() + 5)
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        wait_for(lambda: received and received[0])
        connections.release(sock, reusable=True)
        wait_for(lambda: _readable(sock))
        assert send(connections, sending(), never).body == b"mine"
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
            error = send_refused(connections, sending())
            assert error.kind is ErrorKind.TARGET_UNREACHABLE
            assert error.answer.ran.value == "no"


def test_a_caller_that_hangs_up_ends_the_exchange():
    with scripted(b"", b"") as (connections, received):
        error = send_refused(
            connections, sending(), lambda: bool(received and received[0])
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
def test_the_stand_in_misbehaves_as_it_is_told(mode, kind):
    """A target that drips a byte at a time resets a plain timeout with each byte.

    The caller must hear at its deadline, not when the last byte has come.
    """
    server = Server(StandinSettings(mode=mode))
    server.start()
    connections = Connections("127.0.0.1", server.port, 2)
    started = time.monotonic()
    error = send_refused(connections, sending(wait_s=0.4))
    took_s = time.monotonic() - started
    server.stop()
    assert error.kind.name == kind
    assert took_s < 2.0
