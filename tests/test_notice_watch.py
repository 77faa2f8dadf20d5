"""The stand-in's checks of limits and of leaving targets detect violations."""

import pytest

from standin.notice_watch import NoticeWatch

LIMIT_PER_S = 2.0


def arrivals(watch, vm, start_s, per_s, count):
    """Return the violations of ``count`` requests at a steady rate."""
    broken = []
    for number in range(count):
        now = start_s + number / per_s
        broken += watch.arrived(vm, now, now)
    return broken


@pytest.fixture
def watch():
    watch = NoticeWatch()
    watch.name_limit(LIMIT_PER_S, 100.0)
    watch.returned("a", "2", False, 100.0)
    return watch


@pytest.mark.parametrize(("per_s", "is_broken"), [(4.0, False), (5.0, True)])
def test_a_rate_above_the_limit_is_detected(watch, per_s, is_broken):
    assert bool(arrivals(watch, "a", 101.0, per_s, 60)) is is_broken


def test_two_vms_that_each_keep_the_limit_are_detected(watch):
    watch.returned("b", "2", False, 100.0)
    broken = []
    for number in range(40):
        broken += watch.arrived("ab"[number % 2], 0.0, 101.0 + number / 5.0)
    assert broken


def test_requests_of_vms_that_do_not_know_the_limit_do_not_count(watch):
    assert not arrivals(watch, "b", 101.0, 50.0, 100)
    assert not arrivals(watch, "a", 100.0, 50.0, 20)


def test_a_vm_that_returned_a_text_that_is_no_number_does_not_know_the_limit(watch):
    watch.returned("b", "many", False, 100.0)
    assert not arrivals(watch, "b", 101.0, 50.0, 100)


def test_requests_of_a_restarted_vm_count_once_it_returned_the_limit_again(watch):
    watch.excuse("a")
    assert not arrivals(watch, "a", 101.0, 50.0, 20)
    watch.returned("a", "2", False, 102.0)
    assert arrivals(watch, "a", 103.0, 50.0, 20)


def test_a_lowered_limit_counts_from_half_a_second_later():
    watch = NoticeWatch()
    watch.name_limit(20.0, 100.0)
    watch.returned("a", "2", False, 100.0)
    assert not arrivals(watch, "a", 101.0, 20.0, 180)
    watch.name_limit(LIMIT_PER_S, 110.0)
    assert not arrivals(watch, "a", 110.0, 20.0, 10)
    assert arrivals(watch, "a", 110.5, 20.0, 60)


def test_no_request_counts_after_the_limit_ended(watch):
    watch.name_limit(None, 102.0)
    assert not arrivals(watch, "a", 103.0, 50.0, 100)


@pytest.mark.parametrize(("sent_s", "is_broken"), [(101.9, False), (102.1, True)])
def test_a_request_sent_long_after_the_target_announced_to_leave_is_detected(
    sent_s, is_broken
):
    watch = NoticeWatch(drain_s=2.0)
    watch.returned("a", None, True, 100.0)
    assert bool(watch.arrived("a", sent_s, 105.0)) is is_broken
    assert not watch.arrived("b", sent_s, 105.0)
