"""Tests that a stop of the HTTP server answers requests received before it."""

import http.client
import threading

from tamarackhaven._http_server import HttpServer
from tamarackhaven._settings import Listen

TIMEOUT_S = 30
BODY = b"x" * (4 * 1024 * 1024)


def test_a_stop_answers_requests_received_before_it():
    """The server is stopped while a request runs, before the application answers.

    The answer is larger than the socket's buffer. If the connection were closed
    immediately, the answer would be truncated and the caller couldn't know what ran.
    Later connections are refused, so no request is lost in them.
    """
    started, may_answer = threading.Event(), threading.Event()

    def app(environ, start_response):
        started.set()
        may_answer.wait(TIMEOUT_S)
        start_response("200 OK", [("Content-Length", str(len(BODY)))])
        return [BODY]

    server = HttpServer(app, Listen("127.0.0.1", 0), 1, "test")
    server.start()
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=TIMEOUT_S)
    connection.request("GET", "/")
    assert started.wait(TIMEOUT_S)
    stopping = threading.Thread(target=server.stop)
    stopping.start()
    while _accepts_connections(server.port):
        pass
    may_answer.set()
    answer = connection.getresponse()
    assert answer.read() == BODY
    assert answer.headers["Connection"] == "close"
    stopping.join(TIMEOUT_S)
    assert not stopping.is_alive()


def _accepts_connections(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.connect()
    except ConnectionRefusedError:
        return False
    finally:
        connection.close()
    return True
