"""Each forward runs once, for as long as it can be retried."""

import asyncio

import attrs

from tamarackhaven.sidecar import _runs
from tamarackhaven.sidecar._messages import Lost
from tamarackhaven.sidecar._runs import Runs
from tests.sidecar.test_peers import FORWARD, Target


def run(test, monkeypatch):
    clock = [100.0]
    monkeypatch.setattr(_runs, "boot_s", lambda: clock[0])

    async def main():
        target = Target()
        target.may_end.set()
        await test(Runs(target), target, clock)

    asyncio.run(main())


def test_a_long_booking_retried_late_runs_once(monkeypatch):
    # Guards against: a route has a timeout of one minute. A booking runs at once, its
    # answer is lost with the link, and the link is back half a minute later: the same
    # number is sent again and runs again.
    async def test(runs, target, clock):
        booking = attrs.evolve(FORWARD, is_safe=False, left_ms=60_000.0)
        await runs.start(("one", 1), booking)
        clock[0] += 30.0
        runs.start(("one", 2), attrs.evolve(FORWARD, number=2))
        retried = await runs.start(("one", 1), booking)
        assert retried.body == b"done"
        assert target.ran.count(1) == 1

    run(test, monkeypatch)


def test_results_that_cannot_be_retried_are_removed(monkeypatch):
    async def test(runs, target, clock):
        for number in range(100):
            await runs.start(("one", number), attrs.evolve(FORWARD, number=number))
        clock[0] += 10.0
        runs.start(("one", 1000), FORWARD)
        assert len(runs._task_by_id) == 1

    run(test, monkeypatch)


def test_a_delayed_duplicate_of_a_booking_does_not_run(monkeypatch):
    # Guards against: a booking is answered, and a duplicate of its forward leaves the
    # buffers of a narrow link seconds later. By then the booking's result is removed,
    # so it runs a second time.
    async def test(runs, target, clock):
        booking = attrs.evolve(FORWARD, is_safe=False, left_ms=1500.0)
        await runs.start(("one", 1), booking)
        for number in range(2, 20):
            clock[0] += 0.5
            await runs.start(("one", number), attrs.evolve(FORWARD, number=number))
        duplicate = await runs.start(("one", 1), booking)
        assert target.ran.count(1) == 1
        assert duplicate == Lost(1, "FORWARD_LOST")

    run(test, monkeypatch)


def test_keys_of_bookings_are_removed_once_no_duplicate_can_arrive(monkeypatch):
    # Guards against: the keys of all bookings of a daemon's life fill its memory.
    async def test(runs, target, clock):
        booking = attrs.evolve(FORWARD, is_safe=False, left_ms=100.0)
        await runs.start(("one", 1), booking)
        clock[0] += 10.0
        await runs.start(("one", 2), FORWARD)
        assert list(runs._completed_until_s_by_id) == [("one", 1)]
        clock[0] += _runs.COMPLETED_ID_TTL_S + 1.0
        await runs.start(("one", 3), FORWARD)
        assert not runs._completed_until_s_by_id

    run(test, monkeypatch)
