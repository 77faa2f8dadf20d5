"""The end of a target, as its daemon finds it out, over real connections."""

import asyncio

import attrs

from tamarackhaven._metrics import Metrics
from tamarackhaven.sidecar._target_client import TargetClient
from tamarackhaven.sidecar._target_ends import TargetEnds
from tests.sidecar.test_peers import FORWARD

HOST = "127.0.0.1"


class Lines:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def say(self, sentence, **fields):
        self.lines.append((sentence, fields))


def run(test):
    async def main():
        closed = asyncio.Event()

        async def serve(reader, writer):
            await closed.wait()
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        client = TargetClient(HOST, server.sockets[0].getsockname()[1])
        ends = TargetEnds(client, Lines(), Metrics())
        ended = []
        ends.on_end = lambda life, requests: ended.append((life, requests))
        try:
            await test(ends, ended, server)
        finally:
            closed.set()
            client.close()
            server.close()

    asyncio.run(main())


def test_a_target_that_listens_has_not_ended():
    # Guards against: a service that resets connections when it's full seems to end.
    async def test(ends, ended, _server):
        ends.begin(0, FORWARD)
        assert not await ends.has_ended(FORWARD.life)
        assert not ended

    run(test)


def test_requests_that_are_lost_together_tell_of_one_end():
    async def test(ends, ended, server):
        for number in range(3):
            forward = attrs.evolve(FORWARD, attempt_id=f"a{number}", digest=b"d")
            ends.begin(number, forward)
        server.close()
        await server.wait_closed()
        found = await asyncio.gather(*(ends.has_ended(FORWARD.life) for _ in range(3)))
        assert found == [True, True, True]
        ((life, requests),) = ended
        assert life == FORWARD.life
        assert [each.attempt_id for each in requests] == ["a0", "a1", "a2"]
        assert len(ends._log.lines) == 1
        assert "tamarackhaven_target_ends_total 1" in ends._metrics.page()

    run(test)


def test_a_life_that_was_taken_for_ended_can_still_end():
    # Guards against: one false end hides the requests of the real one.
    async def test(ends, ended, _server):
        ends.life_ended(FORWARD.life, "test")
        ends.begin(0, FORWARD)
        ends.life_ended(FORWARD.life, "test")
        assert [len(requests) for _, requests in ended] == [0, 1]

    run(test)
