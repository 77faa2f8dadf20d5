"""A stop of the HTTP server cuts nothing off that came in before it."""

import http.client
import threading

from tamarackhaven._http_server import HttpServer
from tamarackhaven._settings import Listen

WAIT_S = 30
BODY = b"x" * (4 * 1024 * 1024)


def test_a_stop_answers_what_came_in_before_it():
    """A caller's request is running, its answer is larger than the socket's buffer.

    The server is told to stop before the application answers. Closed at once, the
    connection would break in the answer, and the caller could not know what ran. A
    connection made afterwards is refused, so nothing is lost in it.
    """
    entered, answer_now = threading.Event(), threading.Event()

    def app(environ, start_response):
        entered.set()
        answer_now.wait(WAIT_S)
        start_response("200 OK", [("Content-Length", str(len(BODY)))])
        return [BODY]

    server = HttpServer(app, Listen("127.0.0.1", 0), 1, "test")
    server.start()
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=WAIT_S)
    connection.request("GET", "/")
    assert entered.wait(WAIT_S)
    stopping = threading.Thread(target=server.stop)
    stopping.start()
    while _connects(server.port):
        pass
    answer_now.set()
    answer = connection.getresponse()
    assert answer.read() == BODY
    assert answer.headers["Connection"] == "close"
    stopping.join(WAIT_S)
    assert not stopping.is_alive()


def _connects(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    try:
        connection.connect()
    except ConnectionRefusedError:
        return False
    finally:
        connection.close()
    return True
