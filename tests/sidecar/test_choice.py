"""Which target of a shared service gets a request."""

import pytest

from tamarackhaven.errors import ErrorKind
from tamarackhaven.fleet._model import Target
from tamarackhaven.sidecar._choice import MIN_PAUSE_S, Chooser, has_failed
from tamarackhaven.sidecar._messages import Answered, GateLoad, Lost, NotRun


def target(name, zone="a", slots=10):
    return Target(f"{name}@1@{name}:1", name, 1, "s", zone, name, 1, slots)


A, B, C = target("a"), target("b"), target("c", zone="c")


@pytest.fixture
def chooser():
    return Chooser("a", lambda: 0.0)


def report_load(chooser, chosen, route="r", now=0.0, failed=False, **load):
    load = {"running": 0, "waiting": 0, "slots": 10, "work_ms": 100.0, **load}
    chooser.record_sent(chosen.life)
    chooser.record_result(chosen.life, route, GateLoad(**load), failed, now)


def test_the_faster_target_is_chosen(chooser):
    report_load(chooser, A, work_ms=200.0)
    report_load(chooser, B, work_ms=100.0)
    assert chooser.pick([A, B], "r", 0.1) is B


def test_a_slower_target_with_free_slots_is_preferred_to_a_full_one(chooser):
    report_load(chooser, A, running=10, waiting=15, work_ms=100.0)
    report_load(chooser, B, running=2, work_ms=180.0)
    assert chooser.pick([A, B], "r", 0.1) is B


def test_targets_are_compared_by_processing_times_of_the_requested_route(chooser):
    # Guards against: of two targets, the slower one has recently got many short calls
    # and the other one long requests. By the mean over all routes the slower one would
    # look faster and get ever more requests.
    report_load(chooser, A, "call", work_ms=80.0)
    report_load(chooser, A, "long", work_ms=900.0)
    report_load(chooser, B, "long", work_ms=400.0)
    report_load(chooser, B, "call", work_ms=40.0)
    assert chooser.pick([A, B], "call", 0.1) is B
    assert chooser.pick([A, B], "long", 0.1) is B


def test_requests_sent_since_the_last_load_report_count(chooser):
    report_load(chooser, A)
    report_load(chooser, B)
    for _ in range(10):
        chooser.record_sent(A.life)
    assert chooser.pick([A, B], "r", 0.1) is B


def test_the_own_zone_is_preferred_unless_it_is_much_busier(chooser):
    report_load(chooser, A, work_ms=105.0)
    report_load(chooser, C, work_ms=100.0)
    assert chooser.pick([A, C], "r", 0.1) is A
    report_load(chooser, A, running=10, waiting=10)
    assert chooser.pick([A, C], "r", 0.1) is C


def test_a_large_body_stays_in_its_zone_if_that_is_nearly_as_fast(chooser):
    # Uploads are most of the bytes between availability zones, and those bytes are paid
    # for.
    report_load(chooser, A, running=10, waiting=2)
    report_load(chooser, C, running=0)
    assert chooser.pick([A, C], "r", 0.1) is C
    assert chooser.pick([A, C], "r", 0.1, body_bytes=60_000) is A
    report_load(chooser, A, running=10, waiting=20)
    assert chooser.pick([A, C], "r", 0.1, body_bytes=60_000) is C


def test_a_slow_target_is_tried_again_once_its_report_is_old(chooser):
    # Guards against: a target was slow for some seconds. It gets no requests, so no new
    # load report of it arrives; if the old one never lost weight, the target would stay
    # idle after it has recovered.
    report_load(chooser, A, work_ms=1000.0)
    report_load(chooser, B, running=5, work_ms=100.0, now=20.0)
    assert chooser.pick([A, B], "r", 0.1) is B
    report_load(chooser, B, running=9, waiting=6, work_ms=100.0, now=20.0)
    assert chooser.pick([A, B], "r", 20.1) is A


def test_an_unreachable_target_is_paused(chooser):
    report_load(chooser, A, work_ms=10.0)
    report_load(chooser, B)
    chooser.record_unreachable(A.life, 0.1)
    assert chooser.pick([A, B], "r", 0.2) is B
    assert chooser.pick([A, B], "r", 0.2 + MIN_PAUSE_S) is A


def test_with_all_targets_paused_the_earliest_to_resume_is_chosen(chooser):
    chooser.record_unreachable(A.life, 0.0)
    chooser.record_unreachable(B.life, 0.1)
    assert chooser.pick([A, B], "r", 0.2) is A


def test_a_target_that_fails_requests_is_avoided(chooser):
    for _ in range(10):
        report_load(chooser, A, failed=True)
        report_load(chooser, B, work_ms=200.0)
    assert chooser.pick([A, B], "r", 0.1) is B


def test_a_target_that_refuses_requests_is_avoided(chooser):
    # Guards against: a faulty target refuses half of its requests. It runs few, so it
    # looks like the one with the most free slots and gets most requests.
    refused = NotRun(1, ErrorKind.TARGET_REFUSED.name, was_offered=True)
    answered = Answered(2, 200, (), b"")
    for number in range(10):
        end = refused if number % 2 else answered
        report_load(chooser, A, failed=has_failed(end), running=1)
        report_load(chooser, B, failed=has_failed(answered), running=9, work_ms=150.0)
    assert chooser.pick([A, B], "r", 0.1) is B


def test_a_full_queue_is_no_failure_of_its_target():
    assert has_failed(NotRun(1, ErrorKind.QUEUE_FULL.name)) is None
    assert has_failed(Lost(1, ErrorKind.TARGET_SENT_NOTHING.name))
    assert has_failed(Answered(1, 500, (), b""))


def test_targets_that_were_tried_are_not_chosen(chooser):
    assert chooser.pick([A], "r", 0.0, {A.life}) is None


def test_a_target_gets_no_request_before_its_limit_allows_one(chooser):
    # Guards against: a target in need is idle, and every request is offered to it.
    report_load(chooser, A, limit_wait_s=0.6)
    report_load(chooser, B, running=9)
    assert chooser.pick([A, B], "r", 0.5) is B
    assert chooser.pick([A, B], "r", 0.7) is A


def test_a_refusal_by_limit_is_not_a_failure_of_the_target(chooser):
    assert has_failed(NotRun(1, ErrorKind.TARGET_LIMITED.name, 0.5)) is None
