"""Connections for calls about keys: no answer is taken for that to another call."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._call_client import MIN_RESTART_S, CallClient
from tamarackhaven.sidecar._dialect import TargetCall
from tamarackhaven.sidecar._target_client import SendEnd, TargetClient

HOST = "127.0.0.1"
CALL = TargetCall("POST", "/call", ((b"Host", b"h"),), b"")
HELD = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
SUPERSEDED = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"


class RepeatingTarget:
    """A target that gives each answer a second time, where the next one is due."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.connections = 0
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.client = CallClient(HOST, self._server.sockets[0].getsockname()[1])
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
                copy = self._answers.pop(0)
                await asyncio.sleep(0.01)
                writer.write(copy)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def statuses(*answers, make_calls):
    """Return the statuses of the answers to the calls that ``make_calls`` makes."""

    async def main():
        async with RepeatingTarget(*answers) as target:
            results = await make_calls(target)
            assert all(each.end is SendEnd.REPLIED for each in results)
            return [each.reply.status for each in results]

    return asyncio.run(main())


def test_a_copy_of_an_answer_does_not_end_a_grant():
    # Guards against keys that count as held, or as released, and aren't.
    async def make_calls(target):
        return [await target.client.grant(CALL, boot_s()) for _ in range(3)]

    found = statuses(HELD, SUPERSEDED, HELD, make_calls=make_calls)
    assert found == [200, 409, 200]


def test_a_copy_of_an_answer_does_not_end_a_release():
    # Guards against two holders of a key that one target has not released.
    async def make_calls(target):
        await target.client.keep(8)
        return [await target.client.release(CALL) for _ in range(6)]

    answers = (HELD, SUPERSEDED) * 3
    assert statuses(*answers, make_calls=make_calls) == [200, 409] * 3


def test_spare_connections_carry_grants_until_the_next_heartbeat():
    # Guards against keys that are lost while a heartbeat is late.
    async def make_calls(target):
        await target.client.keep(3)
        heartbeat_received_s = boot_s()
        await asyncio.sleep(0.2)
        results = [
            await target.client.grant(CALL, heartbeat_received_s) for _ in range(3)
        ]
        assert target.connections == 3
        late = await target.client.grant(CALL, heartbeat_received_s)
        assert late.end is SendEnd.NOT_SENT
        return results

    assert statuses(HELD, HELD, HELD, make_calls=make_calls) == [200] * 3


def test_a_connection_opened_after_the_heartbeat_carries_no_grant():
    # Guards against a later life that is told to hold keys with an old fence.
    async def main():
        async with RepeatingTarget(HELD) as target:
            await target.client.keep(3)
            result = await target.client.grant(CALL, boot_s() - 1.0)
            assert result.end is SendEnd.NOT_SENT

    asyncio.run(main())


def test_a_connection_that_took_too_long_to_open_carries_no_grant(monkeypatch):
    # Guards against a later life that is told to hold keys with an old fence.
    open_at_once = TargetClient._open

    async def open_slowly(client):
        await asyncio.sleep(2 * MIN_RESTART_S)
        return await open_at_once(client)

    async def main():
        async with RepeatingTarget(HELD) as target:
            monkeypatch.setattr(TargetClient, "_open", open_slowly)
            result = await target.client.grant(CALL, boot_s())
            assert result.end is SendEnd.NOT_SENT

    asyncio.run(main())
