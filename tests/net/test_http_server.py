"""The HTTP server, tested with raw bytes over loopback connections."""

import asyncio

import pytest

from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.net import HttpResponse, HttpServer
from tamarackhaven.net._body_budget import BodyBudget
from tamarackhaven.routing import Limits

HOST = b"Host: h.example\r\n"


class ServerHarness:
    """A running server whose handler can be blocked for single request targets."""

    def __init__(self):
        self.requests = []
        self.cancelled_targets = []
        self.release_event_by_target = {}
        self.bad_request_errors = []
        self.server = HttpServer(
            self.handle,
            lambda request, error: None,
            Limits(),
            self.bad_request_errors.append,
        )

    async def handle(self, request):
        self.requests.append(request)
        release_event = self.release_event_by_target.get(request.target)
        try:
            if release_event is not None:
                await release_event.wait()
        except asyncio.CancelledError:
            self.cancelled_targets.append(request.target)
            raise
        body = f"{request.method} {request.target} ".encode() + request.body
        return HttpResponse(200, (), body)

    async def __aenter__(self):
        await self.server.start("127.0.0.1", 0)
        self.port = self.server._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def open(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send_and_read_all(self, data):
        """Send bytes; return all that is received until a close or 1 s of silence."""
        reader, writer = await self.open()
        writer.write(data)
        received = b""
        try:
            while chunk := await asyncio.wait_for(reader.read(65536), 1.0):
                received += chunk
        except TimeoutError:
            pass
        writer.close()
        return received


def run(test):
    async def main():
        async with ServerHarness() as harness:
            await test(harness)

    asyncio.run(main())


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    # A caller pipelines a slow request and a fast one. If the fast one only started
    # after the slow one, it would be late. If it were answered first, the caller would
    # take the response for that of the slow request.
    async def test(harness):
        harness.release_event_by_target["/slow"] = asyncio.Event()
        reader, writer = await harness.open()
        for target in (b"/slow", b"/fast"):
            writer.write(b"GET " + target + b" HTTP/1.1\r\n" + HOST + b"\r\n")
        while len(harness.requests) < 2:
            await asyncio.sleep(0.005)
        harness.release_event_by_target["/slow"].set()
        text = await asyncio.wait_for(reader.readuntil(b"/fast "), 2)
        assert text.index(b"GET /slow") < text.index(b"GET /fast")
        writer.close()

    run(test)


def test_a_caller_that_pipelines_many_requests_delays_others_by_one_of_them():
    # Guards against: a few connections with a backlog each make all others wait for
    # tens of their requests, turn after turn.
    async def test(harness):
        connections = [await harness.open() for _ in range(2)]
        for (_, writer), target, count in zip(
            connections, (b"/many", b"/one"), (100, 1), strict=True
        ):
            writer.write((b"GET " + target + b" HTTP/1.1\r\n" + HOST + b"\r\n") * count)
        while len(harness.requests) < 101:
            await asyncio.sleep(0.005)
        targets = [request.target for request in harness.requests]
        assert targets.index("/one") <= 2
        for _, writer in connections:
            writer.close()

    run(test)


@pytest.mark.parametrize("rest", [b"\r\n", b"Connection: close\r\n\r\nmore bytes"])
def test_closed_caller_connection_cancels_its_requests(rest):
    async def test(harness):
        harness.release_event_by_target["/a"] = asyncio.Event()
        _, writer = await harness.open()
        writer.write(b"GET /a HTTP/1.1\r\n" + HOST + rest)
        while not harness.requests:
            await asyncio.sleep(0.005)
        writer.close()
        for _ in range(100):
            if harness.cancelled_targets:
                break
            await asyncio.sleep(0.01)
        assert harness.cancelled_targets == ["/a"]

    run(test)


def test_sized_and_chunked_bodies_are_received_completely():
    async def test(harness):
        head = b"POST /x HTTP/1.1\r\n" + HOST
        sized = head + b"Content-Length: 5\r\n\r\nhello"
        chunked = (
            head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
        )
        for data in (sized, chunked):
            assert (await harness.send_and_read_all(data)).endswith(b"POST /x hello")

    run(test)


def test_body_over_the_budget_is_refused_before_it_is_read():
    # Many callers send large bodies at once. Buffered completely, they would exhaust
    # the memory, and the process would be killed with every request in flight.
    async def test(harness):
        harness.server.body_budget = BodyBudget(1000)
        harness.release_event_by_target["/slow"] = asyncio.Event()
        head = b"POST %s HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n"
        _, writer = await harness.open()
        writer.write(head % (b"/slow", 900) + bytes(900))
        while not harness.requests:
            await asyncio.sleep(0.005)
        refused = await harness.send_and_read_all(head % (b"/x", 200))
        assert refused.startswith(b"HTTP/1.1 503") and b"Retry-After" in refused
        assert (await harness.send_and_read_all(head % (b"/y", 5) + b"hello")).endswith(
            b"/y hello"
        )
        harness.release_event_by_target["/slow"].set()
        while harness.server.body_budget.reserved_bytes:
            await asyncio.sleep(0.005)
        assert (
            await harness.send_and_read_all(head % (b"/z", 200) + bytes(200))
        ).endswith(bytes(200))
        writer.close()

    run(test)


def test_closed_caller_connection_releases_its_reserved_bytes():
    async def test(harness):
        _, writer = await harness.open()
        writer.write(b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 900\r\n\r\nhalf")
        while not harness.server.body_budget.reserved_bytes:
            await asyncio.sleep(0.005)
        writer.transport.abort()
        while harness.server.body_budget.reserved_bytes:
            await asyncio.sleep(0.005)

    run(test)


def test_single_body_may_exceed_the_budget():
    budget = BodyBudget(100)
    assert budget.reserve(150) and budget.reserve(50, already_reserved_bytes=150)
    assert not budget.reserve(1)
    budget.release(200)
    assert budget.reserve(100) and not budget.reserve(1)


@pytest.mark.parametrize(
    "head",
    [
        b"GET / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",  # no host
        b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n",  # folded
        b"GET / HTTP/9.9\r\n" + HOST + b"\r\n",
        b"GET / HTTP/1.1\nHost: a\n\n",  # bare line feeds
        b"GET / HTTP/1.1\r\n" + HOST + b"X: 1\nY: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: +3\r\n\r\nabc",
        b"POST / HTTP/1.1\r\n"
        + HOST
        + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n",
    ],
)
def test_ambiguous_head_is_refused(head):
    # Request smuggling: the bytes after such a head could be served as a separate
    # request, with another caller's rights. The server responds with 400 and closes the
    # connection.
    async def test(harness):
        received = await harness.send_and_read_all(
            head + b"GET /hidden HTTP/1.1\r\n" + HOST + b"\r\n"
        )
        assert received.startswith(b"HTTP/1.1 400 ")
        assert received.count(b"HTTP/1.1 ") == 1
        assert not harness.requests
        assert harness.bad_request_errors

    run(test)


def test_head_over_the_limit_is_refused():
    async def test(harness):
        harness.server.limits = Limits(max_header_bytes=500)
        data = b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"a" * 600 + b"\r\n\r\n"
        assert (await harness.send_and_read_all(data)).startswith(b"HTTP/1.1 431 ")

    run(test)


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 11\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nb\r\n" + b"a" * 11 + b"\r\n",
    ],
)
def test_body_over_the_limit_is_refused(rest):
    async def test(harness):
        harness.server.limits = Limits(max_body_bytes=10)
        received = await harness.send_and_read_all(b"POST / HTTP/1.1\r\n" + HOST + rest)
        assert received.startswith(b"HTTP/1.1 413 ")

    run(test)


def test_incomplete_head_is_refused_after_the_header_timeout():
    async def test(harness):
        harness.server.limits = Limits(header_timeout_s=0.1)
        reader, writer = await harness.open()
        writer.write(b"GET / HTTP/1.1\r\nHost:")
        answer = await asyncio.wait_for(reader.read(), 5)
        assert answer.startswith(b"HTTP/1.1 400 ")
        writer.close()

    run(test)


def test_closing_server_answers_a_request_with_connection_close():
    async def test(harness):
        harness.server.is_closing = True
        received = await harness.send_and_read_all(
            b"GET /last HTTP/1.1\r\n" + HOST + b"\r\n"
        )
        assert b"Connection: close" in received
        assert received.endswith(b"GET /last ")

    run(test)


def test_a_body_in_many_tiny_chunks_is_read_whole_and_so_is_the_next_request():
    # Parsed over many turns of the event loop.
    async def main():
        async with ServerHarness() as harness:
            chunked = (
                b"POST /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
            )
            next_request = b"GET /b HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n"
            tiny = b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n"
            received = await harness.send_and_read_all(chunked + tiny + next_request)
            assert [request.body for request in harness.requests] == [1000 * b"x", b""]
            assert received.index(b"POST /a") < received.index(b"GET /b")

    asyncio.run(main())


@pytest.mark.parametrize(
    ("head", "found"),
    [
        (b"Content-Length: 4000\r\n\r\n", ErrorKind.BODY_TOO_LARGE),
        (b"X: " + b"x" * 4000 + b"\r\n\r\n", ErrorKind.HEADERS_TOO_LARGE),
    ],
)
def test_a_rejection_by_limits_is_checked_before_it_is_sent(head, found):
    # Guards against a 413 or 431 by the limits of an older configuration.
    checked = []

    def checked_refusal(error):
        checked.append(error.kind)
        return TamarackhavenError(ErrorKind.STATE_STALE, "", 0.3)

    async def test(harness):
        harness.server.limits = Limits(max_header_bytes=1000, max_body_bytes=1000)
        harness.server.checked_refusal = checked_refusal
        received = await harness.send_and_read_all(b"POST / HTTP/1.1\r\n" + HOST + head)
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 0.300" in received
        assert checked == [found]
        assert not harness.requests

    run(test)
