"""Tests of the soak: its checks detect violations, and some runs pass."""

import asyncio
import contextlib
import os
import signal
import socket
import time
import types

import pytest

from soak import __main__ as soak_main
from soak.__main__ import end, is_in_use, is_session_run, main
from soak._draws import draw_faults
from soak._proxy import Direction, Proxy
from soak._records import CallerRequest, Records
from standin.fleet_target import PORTS
from standin.narrow_link import NarrowLink
from standin.notice_watch import NoticeWatch
from standin.process import Process


class HoldingTarget:
    """A target that holds all keys."""

    is_up = True
    drain_end_s = None
    service = "owned"
    zone = "z"
    born_ms = 1

    def __init__(self, name):
        self.name = name
        self.watch = NoticeWatch()

    def holds(self, _key):
        return True


def caller_request(status, is_safe=False):
    now = time.monotonic()
    return CallerRequest("a", None, is_safe, now, now + 2.0, now, status, b"a")


def test_same_seed_gives_the_same_faults():
    assert draw_faults(5, 10.0) == draw_faults(5, 10.0)
    assert draw_faults(5, 10.0) != draw_faults(6, 10.0)


def test_double_execution_of_a_booking_is_detected():
    records = Records()
    for name in ("one", "two"):
        records.check_start(HoldingTarget(name), "a", None)
    records.ended(caller_request(200))
    records.check_end()
    assert any("at most once" in each for each in records.violations)


@pytest.mark.parametrize("is_safe", [True, False])
def test_refusal_of_an_executed_request_is_detected(is_safe):
    records = Records()
    records.check_start(HoldingTarget("one"), "a", None)
    records.ended(caller_request(503, is_safe))
    records.check_end()
    assert any("not run" in each for each in records.violations)


def test_two_owners_of_a_key_are_detected():
    records = Records()
    records.targets = [HoldingTarget("one"), HoldingTarget("two")]
    records.check_start(records.targets[0], "a", 7)
    assert any("one owner" in each for each in records.violations)


@pytest.mark.parametrize("fence", [1, 2])
def test_fencing_token_that_does_not_increase_is_detected(fence):
    records = Records()
    records.check_fences(HoldingTarget("one"), [[0, 65535, 2, ""]])
    records.check_fences(HoldingTarget("two"), [[0, 65535, fence, ""]])
    assert any("fences" in each for each in records.violations)


def test_request_after_drain_or_in_evacuated_zone_is_detected():
    records = Records()
    drained = HoldingTarget("one")
    drained.drain_end_s = time.monotonic() - 1.0
    records.check_start(drained, "a", None)
    records.zone_out_since_s["z"] = time.monotonic() - 10.0
    records.check_start(HoldingTarget("two"), "b", None)
    assert any("drain" in each for each in records.violations)
    assert any("zone out" in each for each in records.violations)


def returned(records, target, vm, header):
    records.returned(vm, f"http/1.1 200 ok\r\n{header}", f"{target.name} x".encode())


@pytest.mark.parametrize(("is_excused", "is_broken"), [(False, True), (True, False)])
def test_requests_above_a_named_limit_are_detected(is_excused, is_broken):
    records, target = Records(), HoldingTarget("one")
    records.targets = [target]
    target.watch.name_limit(1.0, time.monotonic() - 9.0)
    returned(records, target, "d", "server-limit: 1\r\n")
    target.watch._told_s_by_vm["d"] -= 1.0
    if is_excused:
        records.excuse(types.SimpleNamespace(name="d"))
    for number in range(20):
        records.sent(number, "d")
        records.check_start(target, number, None)
    assert any("notices" in each for each in records.violations) is is_broken


def test_a_request_at_a_target_that_returned_its_leaving_is_detected():
    records, target = Records(), HoldingTarget("one")
    records.targets = [target]
    returned(records, target, "d", "server-leaving: 1\r\n")
    target.watch._leaving_s_by_vm["d"] -= 3.0
    records.sent("a", "d")
    records.check_start(target, "a", None)
    assert any("notices" in each for each in records.violations)


def test_reverted_configuration_is_detected():
    records = Records()
    records.accepted(5)
    records.read(4, records.newest_accepted)
    assert any("never reverts" in each for each in records.violations)


@pytest.mark.parametrize(("refusals", "is_broken"), [(1, False), (1000, True)])
def test_configuration_that_does_not_come_back_is_detected(
    monkeypatch, refusals, is_broken
):
    # One election must not count, as each control VM answers 503 meanwhile.
    monkeypatch.setattr(soak_main, "READ_TIMEOUT_S", 0.5)
    answers = iter([None] * refusals + [7])

    async def read(_host):
        return next(answers)

    fleet = types.SimpleNamespace(control_hosts=["c"], records=Records())
    operator = types.SimpleNamespace(read=read)
    asyncio.run(soak_main._check_config_readable(fleet, operator))
    assert bool(fleet.records.violations) is is_broken


@pytest.mark.parametrize(
    ("late_s", "stall_s", "is_held"),
    [(0.9, 0.0, False), (1.1, 0.0, True), (3.5, 3.0, False), (4.1, 3.0, True)],
)
def test_event_loop_stall_does_not_count_as_late_response(late_s, stall_s, is_held):
    # A stall of the soak's own event loop must not count as lateness of the fleet.
    records = Records()
    request = caller_request(502, is_safe=True)
    request.ended_s = request.deadline_s + late_s
    records.ended(request)
    records.stalls.append((request.deadline_s - 1.0, request.deadline_s + stall_s))
    records.check_end()
    assert any("held" in each for each in records.violations) is is_held


def test_net_with_a_listening_process_is_in_use():
    # Processes of a killed soak keep listening; later runs in their net would fail.
    assert not is_in_use(98)
    with socket.create_server(("127.98.2.3", PORTS["callers"])):
        assert is_in_use(98)


def test_proxy_can_be_stopped_before_its_start():
    # Otherwise a run that fails at its start reports an error of stop instead.
    asyncio.run(Proxy(("127.99.0.1", 18002), ("127.99.0.1", 18001)).stop())


def test_task_that_loses_a_cancellation_still_ends():
    # A task can lose a cancellation; cancelled only once, it would never end.
    async def miss_one():
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(60.0)
        await asyncio.sleep(60.0)

    async def main():
        task = asyncio.create_task(miss_one())
        await asyncio.sleep(0)
        async with asyncio.timeout(10.0):
            await end([task])
        assert task.cancelled()

    asyncio.run(main())


def test_silenced_back_direction_drops_responses_only():
    async def run():
        got = []

        async def serve(reader, writer):
            got.append(await reader.readexactly(2))
            writer.write(b"ok")

        server = await asyncio.start_server(serve, "127.99.0.1", 18001)
        proxy = Proxy(("127.99.0.1", 18002), ("127.99.0.1", 18001))
        await proxy.start()
        try:
            reader, writer = await asyncio.open_connection(*proxy.address)
            proxy.silenced_directions = frozenset((Direction.BACK,))
            writer.write(b"hi")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await reader.readexactly(2)
            assert got == [b"hi"]
            proxy.clear_faults()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(2)
        finally:
            await proxy.stop()
            server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("action", "is_survived"),
    [(signal.SIG_DFL, False), (signal.SIG_IGN, True), (lambda *_: None, True)],
)
def test_signal_is_fatal_until_a_handler_is_installed(tmp_path, action, is_survived):
    # The soak must not send SIGHUP to a daemon that hasn't installed a handler yet.
    process = Process("daemon", "d", "", tmp_path)
    process._process = types.SimpleNamespace(pid=os.getpid())
    before = signal.signal(signal.SIGHUP, action)
    try:
        assert process.survives_signal(signal.SIGHUP) is is_survived
    finally:
        signal.signal(signal.SIGHUP, before)


def test_runs_that_once_failed_and_three_short_ones_pass():
    # The full soak is run manually with many new seeds. Seed 12 changes sessions only,
    # seed 13 is about requests that end targets.
    assert [is_session_run(seed) for seed in (11, 12, 13)] == [False, True, False]
    assert 13 % soak_main.POISON_RUN_INTERVAL == 1
    assert main(seeds=3, first=11, seconds=12.0, jobs=4, regressions=True) == 0


def test_truncated_body_is_detected():
    records = Records()
    records.check_start(HoldingTarget("one"), "a", None)
    request = caller_request(200)
    request.sent = b"ab" * 10_000
    request.body = b"i-one /shared/a " + request.sent[:-1]
    records.ended(request)
    assert any("whole bodies" in each for each in records.violations)


def test_narrow_link_delays_bytes_behind_earlier_ones():
    async def measure_s():
        link = NarrowLink(100_000.0)
        started_s = time.monotonic()
        await asyncio.gather(link.carry(20_000), link.carry(1))
        return time.monotonic() - started_s

    assert asyncio.run(measure_s()) >= 0.2
