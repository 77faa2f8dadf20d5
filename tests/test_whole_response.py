"""Answers that are cut at each byte, read by the sender and by simple clients."""

import contextlib
import http.client
import socket
import threading

import pytest

from standin import load
from tamarackhaven._send import send
from tamarackhaven._whole_response import connect
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.test_send import Cut, never, outgoing, scripted

ID = b"Tamarackhaven-Request-Id: r1\r\n"
EMPTY = b"HTTP/1.1 200 OK\r\n" + ID + b"Content-Length: 0\r\nX-Last: 1\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n" + ID + b"X-Last: 1\r\n\r\n"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\n"
    + ID
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX-Last: 1\r\n\r\n"
)
WHOLE_BY_METHOD = [
    ("GET", EMPTY),
    ("HEAD", EMPTY),
    ("GET", NO_CONTENT),
    ("GET", CHUNKED),
    ("HEAD", EMPTY.replace(b": 0", b": 12")),
]
UNCLEAR_KINDS = (ErrorKind.ANSWER_SHORT, ErrorKind.TARGET_SENT_NOTHING)


@pytest.mark.parametrize(
    ("method", "whole"),
    WHOLE_BY_METHOD,
    ids=["empty", "head-empty", "no-content", "chunked", "head"],
)
def test_an_answer_cut_at_any_byte_is_not_passed_on(method, whole):
    # Guards against a 200 with a part of its headers, which a caller takes for whole.
    cuts = [Cut(whole[:count]) for count in range(len(whole))]
    with scripted(*cuts, whole) as (connections, _):
        for cut in cuts:
            with pytest.raises(TamarackhavenError) as caught:
                send(connections, outgoing(method=method), never)
            assert caught.value.kind in UNCLEAR_KINDS, bytes(cut)
        answer = send(connections, outgoing(method=method), never)
        assert ("X-Last", "1") in answer.headers or whole is CHUNKED


@contextlib.contextmanager
def cut_server(data):
    """Yield the port of a server that sends ``data`` once and closes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            sock, _ = listener.accept()
            with sock:
                sock.recv(65536)
                sock.sendall(data)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield listener.getsockname()[1]
        thread.join(10)


def test_simple_clients_notice_a_cut_head():
    # Guards against simulated callers that can't show the failure.
    with cut_server(EMPTY[:-12]) as port:
        connection = connect("127.0.0.1", port, 5.0)
        connection.request("GET", "/")
        with pytest.raises(http.client.HTTPException):
            connection.getresponse()
        connection.close()
    with cut_server(EMPTY[:-12]) as port:
        assert load.ask(port, "s", "k").error == load.NO_ANSWER
    with cut_server(EMPTY) as port:
        assert load.ask(port, "s", "k").status == 200
