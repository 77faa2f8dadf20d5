"""Connections to a target: which answer belongs to which send."""

import asyncio

import pytest

from tamarackhaven.net import MAX_REQUESTS_PER_CONNECTION
from tamarackhaven.sidecar._target_client import SendEnd, TargetClient

HOST = "127.0.0.1"
REFUSED = b"HTTP/1.1 503 Full\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
DONE = b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\ndone"
UNNAMED = b"HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n"


def read_id(reply):
    name = reply.header(b"id")
    return None if name is None else name.decode()


class ScriptedTarget:
    """A target that gives scripted answers, and part of them a second time.

    A second copy is sent when the next request has arrived on the same connection.
    """

    def __init__(self, *answers):
        self._answers = list(answers)
        self.connections = 0
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.client = TargetClient(HOST, self._server.sockets[0].getsockname()[1])
        return self

    async def __aexit__(self, *_):
        self.client.close()
        for writer in self._writers:
            writer.transport.abort()
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        copy = b""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(copy)
                answer, is_repeated = self._answers.pop(0)
                await asyncio.sleep(0.01)
                writer.write(answer)
                copy = answer if is_repeated else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send(self, request_id):
        headers = [(b"Host", b"h")]
        return await self.client.send("GET", "/", headers, b"", request_id, read_id)


@pytest.mark.parametrize("first", [REFUSED % b"a", DONE % b"a"])
def test_a_copy_of_the_first_answer_does_not_answer_the_second_send(first):
    # Guards against a refusal of a request that runs.
    async def main():
        async with ScriptedTarget((first, True), (DONE % b"a", False)) as target:
            await target.send("a")
            sent = await target.send("a")
            assert sent.end is SendEnd.REPLIED
            assert (sent.reply.status, sent.reply.body) == (200, b"done")
            assert target.connections == 2

    asyncio.run(main())


def test_the_second_send_takes_an_open_connection_that_has_not_carried_it():
    # Guards against a new connection for each rejection of an overloaded target.
    async def main():
        answers = [(DONE % b"a", False), (REFUSED % b"b", False), (DONE % b"b", False)]
        async with ScriptedTarget(*answers) as target:
            await asyncio.gather(target.send("a"), target.send("b"))
            await target.send("b")
            assert target.connections == 2

    asyncio.run(main())


def test_a_connection_ends_with_an_answer_that_names_no_request():
    # Guards against a copy of that answer, which nothing tells from a later one.
    async def main():
        async with ScriptedTarget((UNNAMED, True), (DONE % b"b", False)) as target:
            await target.send("a")
            sent = await target.send("b")
            assert sent.reply.status == 200
            assert target.connections == 2

    asyncio.run(main())


def test_a_connection_carries_a_bounded_number_of_requests():
    # Guards against ids that are kept without end.
    async def main():
        count = MAX_REQUESTS_PER_CONNECTION
        answers = [(DONE % b"%d" % number, False) for number in range(count + 1)]
        async with ScriptedTarget(*answers) as target:
            for number in range(count + 1):
                sent = await target.send(str(number))
                assert sent.end is SendEnd.REPLIED
                assert target.connections == 1 + number // count

    asyncio.run(main())


def test_a_skipped_answer_is_reported_with_the_request_in_flight():
    async def main():
        answers = [(DONE % b"a", True), (DONE % b"b", False)]
        async with ScriptedTarget(*answers) as target:
            stale = []
            target.client.on_stale_reply = lambda reply, request_id: stale.append(
                (read_id(reply), request_id)
            )
            await target.send("a")
            sent = await target.send("b")
            assert sent.end is SendEnd.REPLIED
            assert stale == [("a", "b")]

    asyncio.run(main())
