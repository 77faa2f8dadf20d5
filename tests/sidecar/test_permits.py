"""Callers' requests that wait for a permit to run."""

import asyncio

import attrs
import pytest

from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet._messages import LeaseGrant
from tamarackhaven.fleet._model import GrantId
from tamarackhaven.fleet._suspects import MAX_ENDS, SuspectPhase, SuspectRequest
from tamarackhaven.sidecar._permits import Permits
from tamarackhaven.sidecar._suspects import KnownSuspects
from tamarackhaven.sidecar._view import View
from tests.sidecar.test_request_digest import REQUEST as CALLER_REQUEST

REQUEST = CALLER_REQUEST.digest
LONG_S = 20.0


class Log:
    def say(self, sentence, **fields):
        pass


@attrs.define
class Pending:
    deadline_s: float
    request: object = CALLER_REQUEST


class Waiting:
    """A daemon whose callers wait for a permit; the leader's answers are given."""

    def __init__(self):
        self.suspects = KnownSuspects()
        self.view = View()
        self.view.confirm(boot_s() + LONG_S)
        self.reports = 0
        self.metrics = Metrics()
        self.permits = Permits(self.suspects, self.view, Log(), self.metrics)
        self.permits.report_now = self._report
        self.suspects.record_end("i@1@h:1", (REQUEST,), boot_s())

    def _report(self):
        self.reports += 1

    def start(self, left_s=LONG_S):
        pending = Pending(boot_s() + left_s)
        return asyncio.create_task(self.permits.acquire(pending))

    def grant(self, number):
        grant = LeaseGrant(number, GrantId(1, number), 2.0, trials=(REQUEST,))
        self.permits.apply_grant(grant, boot_s())

    def set_phase(self, phase):
        ends = () if phase is SuspectPhase.CLEARED else (1,) * MAX_ENDS
        suspect = SuspectRequest(REQUEST, phase, ends, len(ends), len(ends))
        self.suspects._own_ends_by_request.clear()
        self.suspects.apply({REQUEST: suspect})
        self.permits.notify_changed()


def run(test):
    async def main():
        async with asyncio.timeout(LONG_S):
            await test(Waiting())

    asyncio.run(main())


async def settle():
    """Let tasks that are ready go on."""
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_request_that_is_no_suspect_needs_no_permit():
    async def test(waiting):
        waiting.suspects._own_ends_by_request.clear()
        assert not await waiting.start()
        assert waiting.permits.wanted(1) == ()

    run(test)


def test_one_of_several_waiting_requests_gets_the_permit():
    async def test(waiting):
        tasks = [waiting.start(), waiting.start()]
        await settle()
        assert waiting.permits.wanted(1) == (REQUEST,)
        waiting.grant(1)
        await settle()
        assert [task.done() for task in tasks].count(True) == 1
        assert waiting.permits.held() == {REQUEST}
        waiting.grant(1)
        await settle()
        assert [task.done() for task in tasks].count(True) == 1
        for task in tasks:
            task.cancel()

    run(test)


def test_a_permit_from_before_the_former_run_ended_is_not_used():
    # Guards against: two permits are on their way, the first run ends its target, and
    # the second one is used before the leader knows.
    async def test(waiting):
        tasks = [waiting.start(), waiting.start()]
        await settle()
        waiting.permits.wanted(1)
        waiting.permits.wanted(2)
        waiting.grant(1)
        await settle()
        waiting.permits.release(REQUEST)
        waiting.grant(2)
        await settle()
        assert [task.done() for task in tasks].count(True) == 1
        waiting.permits.wanted(3)
        waiting.grant(3)
        await settle()
        assert all(task.done() for task in tasks)

    run(test)


def test_waiting_requests_go_on_when_the_suspect_is_cleared():
    async def test(waiting):
        tasks = [waiting.start() for _ in range(3)]
        await settle()
        waiting.set_phase(SuspectPhase.CLEARED)
        assert await asyncio.gather(*tasks) == [False, False, False]
        assert waiting.permits.wanted(1) == ()

    run(test)


def test_waiting_requests_are_refused_when_the_suspect_is_quarantined():
    async def test(waiting):
        task = waiting.start()
        await settle()
        waiting.set_phase(SuspectPhase.QUARANTINED)
        with pytest.raises(TamarackhavenError) as caught:
            await task
        assert caught.value.kind is ErrorKind.REQUEST_QUARANTINED

    run(test)


@pytest.mark.parametrize("has_leader", [True, False])
def test_a_suspect_without_a_permit_is_refused(has_leader):
    # Guards against: without a leader, each daemon lets a suspect run.
    async def test(waiting):
        if not has_leader:
            waiting.view = View()
            waiting.permits._view = waiting.view
        started_s = boot_s()
        with pytest.raises(TamarackhavenError) as caught:
            await waiting.start(0.4 if has_leader else LONG_S)
        assert caught.value.kind is ErrorKind.REQUEST_SUSPECT
        assert boot_s() - started_s < LONG_S / 2
        counted = 'tamarackhaven_suspect_permits_total{outcome="not granted"} 1'
        assert counted in waiting.metrics.page()
        assert waiting.permits.wanted(1) == ()

    run(test)


def test_requests_that_become_suspects_together_ask_in_few_reports():
    # Guards against: hundreds of reports a second when a target ends.
    async def test(waiting):
        tasks = [waiting.start(0.4) for _ in range(50)]
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        assert 1 <= waiting.reports <= 10

    run(test)
