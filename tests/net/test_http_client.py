"""The HTTP client, against a server that sends the exact bytes that a test gives."""

import asyncio

import pytest

from tamarackhaven.net import (
    AnswerBudget,
    ClientConnection,
    RequestNotSentError,
    RequestUnansweredError,
)

BUDGET = AnswerBudget(1 << 20)


def read_id(reply):
    name = reply.header(b"id")
    return None if name is None else name.decode()


def send_requests(*responses, requests=1, pause_between_s=0.0):
    """Send requests on one connection to a server that replies with ``responses``.

    Returns the reply or the type of the error of each request, and the connection.
    """

    async def main():
        async def serve(reader, writer):
            for response in responses:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response)
                await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open("127.0.0.1", port, 1.0, BUDGET)
        outcomes = []
        for number in range(requests):
            name = f"id-{number}"
            try:
                headers = [(b"Host", b"h"), (b"Id", name.encode())]
                outcomes.append(
                    await connection.request("GET", "/", headers, b"", name, read_id)
                )
            except (RequestNotSentError, RequestUnansweredError) as error:
                outcomes.append(type(error))
            await asyncio.sleep(pause_between_s)
        server.close()
        return outcomes, connection

    return asyncio.run(main())


def answer(name, body=b"body"):
    length = str(len(body)).encode()
    return b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %s\r\n\r\n%s" % (
        name,
        length,
        body,
    )


def test_complete_reply_leaves_the_connection_reusable():
    outcomes, connection = send_requests(answer(b"id-0"), answer(b"id-1"), requests=2)
    assert [outcome.body for outcome in outcomes] == [b"body", b"body"]


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
        b"garbage that is no answer\r\n\r\n",
        b"",
    ],
)
def test_incomplete_reply_fails_the_request_as_unanswered(response):
    # A target crashes or sends a malformed response. Forwarded, it would look complete
    # to the caller. The request may have run, so it isn't reported as not sent.
    outcomes, connection = send_requests(response)
    assert outcomes == [RequestUnansweredError]
    assert not connection.is_open


def test_reply_without_a_length_ends_with_the_connection():
    outcomes, connection = send_requests(
        b"HTTP/1.1 200 OK\r\nId: id-0\r\n\r\nall of it"
    )
    assert outcomes[0].body == b"all of it"
    assert not connection.is_open


def test_extra_reply_after_a_complete_one_closes_the_connection():
    outcomes, connection = send_requests(answer(b"id-0") + answer(b"id-0", b"extra"))
    assert outcomes[0].body == b"body"
    assert not connection.is_open


def test_late_reply_to_an_earlier_request_is_skipped():
    # A target replies to the first request twice, and its second reply arrives while
    # the second request is in flight. If the id weren't checked, one caller would
    # receive the reply to another caller's request.
    outcomes, _ = send_requests(
        answer(b"id-0"),
        answer(b"id-0", b"extra") + answer(b"id-1", b"right"),
        requests=2,
    )
    assert outcomes[1].body == b"right"


def test_unsolicited_bytes_close_an_idle_connection():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(b"id-0"))
            await asyncio.sleep(0.05)
            writer.write(answer(b"id-0", b"extra"))
            await asyncio.sleep(0.2)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open("127.0.0.1", port, 1.0, BUDGET)
        headers = [(b"Host", b"h")]
        await connection.request("GET", "/", headers, b"", "id-0", read_id)
        await asyncio.sleep(0.1)
        with pytest.raises(RequestNotSentError):
            await connection.request("GET", "/", headers, b"", "id-1", read_id)
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("path", ["/a path", "/\u0663", "", "/\n"])
def test_a_request_that_cannot_be_written_is_not_sent(path):
    # Guards against: a health path that operators declared ends each heartbeat in an
    # internal error.
    async def main():
        async def serve(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open("127.0.0.1", port, 1.0, BUDGET)
        with pytest.raises(RequestNotSentError):
            headers = [(b"Host", b"h")]
            await connection.request("GET", path, headers, b"", "id-0", read_id)
        connection.close()
        server.close()

    asyncio.run(main())


def test_keep_alive_timeout_of_the_server_is_read():
    response = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n"
    _, connection = send_requests(response)
    assert connection.idle_limit_s == 7.0


def test_a_reply_after_endless_interim_responses_is_given_up():
    # Guards against a server that keeps its client busy until the request's deadline.
    interim = b"HTTP/1.1 102 Processing\r\n\r\n"
    outcomes, connection = send_requests(interim * 16 + answer(b"id-0"))
    assert outcomes[0].body == b"body"
    outcomes, connection = send_requests(interim * 17 + answer(b"id-0"))
    assert outcomes == [RequestUnansweredError]
    assert not connection.is_open


def test_a_reply_in_many_tiny_chunks_is_complete():
    # Parsed over many turns of the event loop, the last of them after the end.
    head = b"HTTP/1.1 200 OK\r\nId: id-0\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"1\r\nx\r\n" * 1000
    outcomes, connection = send_requests(head + body + b"0\r\n\r\n")
    assert outcomes[0].body == b"x" * 1000
    head = head.replace(b"Transfer-Encoding: chunked", b"Connection: close")
    outcomes, connection = send_requests(head + b"x" * 1000)
    assert outcomes[0].body == b"x" * 1000


def test_the_largest_answer_without_a_length_is_given_up_first():
    # Guards against an endless answer that costs others theirs.
    budget = AnswerBudget(100)
    assert budget.add("long", 90, has_length=True) is None
    assert budget.add("endless", 8, has_length=False) is None
    assert budget.add("other", 4, has_length=False) == "endless"
    budget.remove("endless")
    assert budget.add("other", 5, has_length=False) is None
    assert budget.received_bytes == 99


def test_a_single_answer_may_be_larger_than_all_together():
    budget = AnswerBudget(100)
    assert budget.add("only", 1000, has_length=True) is None
    assert budget.add("other", 1, has_length=True) == "only"
