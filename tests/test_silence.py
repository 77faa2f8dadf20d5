"""Tests of the detection of a target that accepts requests and sends nothing."""

import contextlib
import threading

import pytest

from standin.target import StandinSettings
from tamarackhaven import _clock
from tamarackhaven._keys import hash_key, shard_of
from tamarackhaven._silence import HangDetector
from tests.fakes import FakeView, Node, booking, running, wait_for

SHARD = shard_of(hash_key("s", "k"), 4)

# Steps of a target with a limit of 3 s: begin, answer, error (an end without an
# answer), report, start or check, each with its time in seconds; then the time of the
# final check and its result.
SESSIONS = {
    "hung": ("report 0, begin 1", 4.0, True),
    "not yet": ("report 0, begin 1", 3.9, False),
    "idle": ("report 0, begin 1, answer 2", 60.0, False),
    "idle for long, then asked": ("report 0, begin 50", 52.9, False),
    "slow, but still reports": ("report 0, begin 1, report 5", 7.9, False),
    "slow, but answers other requests": (
        "report 0, begin 1, begin 2, answer 6",
        8.9,
        False,
    ),
    "errors are no answers": ("report 0, begin 1, begin 2, error 3", 4.0, True),
    "never reported": ("begin 1", 60.0, False),
    "a new start has not reported": ("report 0, start 1, begin 2", 60.0, False),
    "back with a report": ("report 0, begin 1, check 5, report 6", 6.5, False),
    "stays hung without a message": ("report 0, begin 1, check 5, error 6", 60.0, True),
}


@pytest.mark.parametrize("name", SESSIONS)
def test_target_is_hung_only_if_it_sends_nothing(name):
    steps, check_s, expected = SESSIONS[name]
    hang_detector = HangDetector(3.0, contextlib.nullcontext())
    action_by_step = {
        "begin": hang_detector.began,
        "answer": lambda now: hang_detector.ended(True, now),
        "error": lambda now: hang_detector.ended(False, now),
        "report": hang_detector.reported,
        "start": hang_detector.started,
        "check": hang_detector.check,
    }
    for step in steps.split(", "):
        label, now = step.split()
        action_by_step[label](float(now))
    assert hang_detector.check(check_s) is expected


def test_callers_of_a_hung_target_get_an_answer_before_their_deadlines():
    """A target hangs with a lookup and a booking in flight, with deadlines of 20 s.

    Once it is found hung, the booking's caller immediately gets the outcome "unknown",
    and the next owner answers the lookup. The booking isn't retried at another target.
    """
    view, slow = FakeView(), StandinSettings(service_ms=60_000)
    first = Node(view, "t1", slow, forward_wait_ms=10_000, target_silent_s=3600.0)
    second = Node(view, "t2")
    long = {"Tamarackhaven_Deadline_Ms": "20000"}
    with running(first, second):
        first.own(SHARD)
        got, hang_detector = {}, first.daemon.hang_detector
        request_by_name = {
            "lookup": lambda: first.ask(**long),
            "booking": lambda: first.ask("POST", **booking("b", **long)),
        }
        threads = [
            threading.Thread(target=lambda w=label, a=ask: got.update({w: a()}))
            for label, ask in request_by_name.items()
        ]
        for thread in threads:
            thread.start()
        wait_for(lambda: first.daemon.in_flight("s", SHARD) == 2)
        wait_for(lambda: first.standin.target.report()["running"] == 2)
        wait_for(lambda: first.daemon.link.state().report)
        first.standin.announcer.stop()
        started = _clock.boot_s()
        assert hang_detector.check(started + 4000)
        second.own(SHARD, grant=11)
        for thread in threads:
            thread.join()
        assert _clock.boot_s() - started < 15
        assert (got["lookup"].status, got["lookup"].plain["target"]) == (200, "t2")
        assert (got["booking"].name, got["booking"].ran) == ("CANCELLED", "unknown")
        assert second.standin.target.counts()["executions"] == {}


def test_hung_target_returns_with_its_gate_and_a_new_process_gets_a_new_one():
    node = Node(FakeView())
    with running(node):
        node.own(*range(4))
        node.daemon.suspend_target()
        assert node.ask().name == "MOVING"
        node.daemon.resume_target()
        assert node.ask().status == 200
        node.daemon.suspend_target()
        node.standin.target.incarnation = "another"
        wait_for(lambda: node.ask().status == 200)
        gate = node.daemon._target.admission
        node.daemon.resume_target()
        assert gate is node.daemon._target.admission
