"""Suspects at the gate of a target's daemon: who may run there, and with whom."""

import asyncio

import attrs
import pytest

from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.errors import ErrorKind
from tamarackhaven.fleet._suspects import MAX_ENDS
from tamarackhaven.net import Reply
from tamarackhaven.sidecar._inbound import Inbound
from tamarackhaven.sidecar._messages import Answered, Lost, NotRun
from tamarackhaven.sidecar._suspects import KnownSuspects
from tamarackhaven.sidecar._target_client import SendEnd, SendResult
from tests.sidecar.test_callers import SETTINGS, Log
from tests.sidecar.test_narrow_links import Dialect, State, View
from tests.sidecar.test_peers import FORWARD

REQUEST, OTHER = b"request", b"other"


class HeldTarget:
    """Fake target that answers when it may, or ends."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.ends = False
        self.received = 0

    async def send(self, method, target, headers, body, request_id, read_id):
        self.received += 1
        await self.may_answer.wait()
        if self.ends:
            return SendResult(SendEnd.UNANSWERED, None, "closed")
        return SendResult(SendEnd.REPLIED, Reply(200, (), b"done"))

    async def is_listening(self):
        return not self.ends


class Daemon:
    """The gate beside one target, and the suspects that its daemon knows."""

    def __init__(self):
        self.target = HeldTarget()
        self.suspects = KnownSuspects()
        self.inbound = Inbound(
            SETTINGS,
            State(),
            View(),
            Dialect(),
            self.target,
            self.suspects,
            Log(),
            Metrics(),
        )
        self.inbound._gate.slots = 6
        self.reports = 0
        self.inbound.on_suspect_answered = self._count_report

    def _count_report(self):
        self.reports += 1

    def suspect(self, request, ends=1):
        for number in range(ends):
            self.suspects.record_end(f"i{number}@2@g:1", (request,), boot_s())

    def start(self, request, has_permit=False):
        forward = attrs.evolve(FORWARD, digest=request, has_permit=has_permit)
        return asyncio.create_task(self.inbound.run(forward))


def run(test):
    async def main():
        async with asyncio.timeout(20):
            await test(Daemon())

    asyncio.run(main())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("ends", "has_permit", "kind"),
    [
        (0, False, None),
        (1, False, ErrorKind.REQUEST_SUSPECT),
        (1, True, None),
        (MAX_ENDS, False, ErrorKind.REQUEST_QUARANTINED),
        (MAX_ENDS, True, ErrorKind.REQUEST_QUARANTINED),
    ],
)
def test_a_suspect_runs_with_a_permit_only(ends, has_permit, kind):
    # Guards against: daemons that haven't been told of an end send on its requests.
    async def test(daemon):
        daemon.suspect(REQUEST, ends)
        daemon.target.may_answer.set()
        result = await daemon.start(REQUEST, has_permit)
        if kind is None:
            assert isinstance(result, Answered)
        else:
            assert result == attrs.evolve(result, kind=kind.name)
            assert isinstance(result, NotRun)
            assert not daemon.target.received

    run(test)


def test_two_suspects_do_not_run_at_one_target_together():
    # Guards against: an innocent suspect is at the second and third target that the
    # guilty one ends.
    async def test(daemon):
        for request in (REQUEST, OTHER):
            daemon.suspect(request)
        first = daemon.start(REQUEST, has_permit=True)
        await until(lambda: daemon.target.received)
        second = await daemon.start(OTHER, has_permit=True)
        assert second.kind == ErrorKind.REQUEST_SUSPECT.name
        daemon.target.may_answer.set()
        assert isinstance(await first, Answered)
        assert isinstance(await daemon.start(OTHER, has_permit=True), Answered)

    run(test)


def test_an_answer_to_a_suspect_is_reported_at_once():
    async def test(daemon):
        daemon.suspect(REQUEST)
        daemon.target.may_answer.set()
        await daemon.start(OTHER)
        assert daemon.reports == 0
        await daemon.start(REQUEST, has_permit=True)
        assert daemon.reports == 1

    run(test)


def test_a_request_under_which_the_target_may_yet_end_counts_as_running():
    # Guards against: the caller of a suspect leaves, its run goes on, and another one
    # begins elsewhere.
    async def test(daemon):
        daemon.suspect(REQUEST)
        task = daemon.start(REQUEST, has_permit=True)
        await until(lambda: daemon.target.received)
        assert daemon.inbound.running_suspects() == {REQUEST}
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert daemon.inbound.running_suspects() == {REQUEST}

    run(test)


def test_the_result_of_a_lost_request_names_the_life_that_ended():
    async def test(daemon):
        daemon.target.ends = True
        daemon.target.may_answer.set()
        result = await daemon.start(REQUEST)
        assert isinstance(result, Lost)
        assert result.ended == FORWARD.life

    run(test)
