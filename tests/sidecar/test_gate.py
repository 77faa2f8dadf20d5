"""Admission under load: which requests start, are queued or are refused."""

import collections
import heapq
import random

import pytest

from tamarackhaven.errors import ErrorKind
from tamarackhaven.sidecar._cold_starts import ColdLimits, cold_starts
from tamarackhaven.sidecar._gate import Gate, Offer, Refuse, Start

MEAN_RANDOM = 0.5


def trained_gate(slots=2, work_s=0.1):
    """Return a gate that has measured processing times of ``work_s``."""
    gate = Gate(slots, lambda: MEAN_RANDOM)
    for number in range(-40, 0):
        gate.offer(Offer(number, "r", 1, 1e9, 1e9), 0.0)
        gate.finish(number, True, work_s)
    return gate


def offer(number, objective_s=1.0, deadline_s=2.0, priority=1, route="r"):
    return Offer(number, route, priority, objective_s, deadline_s)


def test_starts_are_limited_to_the_slots_of_the_target():
    gate = trained_gate(slots=2)
    assert gate.offer(offer(1), 0.0) == Start(1)
    assert gate.offer(offer(2), 0.0) == Start(2)
    assert gate.offer(offer(3), 0.0) is None
    assert gate.running == 2 and gate.waiting == 1


def test_a_queued_request_starts_when_one_finishes():
    gate = trained_gate(slots=1)
    gate.offer(offer(1), 0.0)
    gate.offer(offer(2), 0.0)
    assert gate.finish(1, True, 0.1) == [Start(2)]


def test_requests_that_cannot_be_answered_in_time_are_refused_at_once():
    # Guards against: a caller with no chance of an answer in time is queued and learns
    # of it late. Refused at once, it still has time to retry.
    gate = trained_gate(slots=1, work_s=0.5)
    decisions = [gate.offer(offer(number), 0.0) for number in range(20)]
    refused = [each for each in decisions if isinstance(each, Refuse)]
    assert len(refused) >= 16
    assert all(each.kind is ErrorKind.QUEUE_FULL for each in refused)
    assert all(0 < each.retry_after_s <= 2.0 for each in refused)


def test_a_request_of_higher_priority_starts_first():
    gate = trained_gate(slots=1)
    gate.offer(offer(1), 0.0)
    gate.offer(offer(2, priority=2), 0.0)
    gate.offer(offer(3, priority=0), 0.0)
    assert gate.finish(1, True, 0.1) == [Start(3)]


def test_requests_that_can_be_in_time_start_before_late_ones():
    gate = trained_gate(slots=1)
    gate.offer(offer(1), 0.0)
    gate.offer(offer(2, objective_s=0.05), 0.0)
    gate.offer(offer(3, objective_s=1.0), 0.0)
    assert gate.finish(1, True, 0.1) == [Start(3)]


def test_short_calls_start_before_long_requests_of_the_same_priority():
    # Guards against: short calls miss their deadline behind long requests. The running
    # work elsewhere that waits for them then fails, and all that it used is lost.
    gate = trained_gate(slots=1)
    for number in range(100, 130):
        gate.offer(offer(number, 1e9, 1e9, route="call"), 0.0)
        gate.finish(number, True, 0.02)
    gate.offer(offer(1), 0.0)
    gate.offer(offer(2), 0.0)
    gate.offer(offer(3, route="call"), 0.0)
    assert gate.finish(1, True, 0.1) == [Start(3)]


def test_starts_at_a_cold_target_stay_below_its_rate_in_any_second():
    gate = trained_gate(slots=100)
    gate.cold.limits = ColdLimits(cold=5)
    started = collections.deque()
    for number in range(400):
        now = 10 + number * 0.01
        decision = gate.offer(offer(number, now + 9, now + 9), now)
        decisions = [decision] if isinstance(decision, Start) else []
        decisions += gate.settle(now)
        started.extend(now for each in decisions if isinstance(each, Start))
        for each in decisions:
            if isinstance(each, Start):
                gate.finish(each.number, True, now)
    for first in started:
        assert sum(first <= at < first + 0.999 for at in started) <= 5


@pytest.mark.parametrize(("per_s", "starts"), [(14.0, 17), (4.6, 5), (0.3, 1)])
def test_cold_starts_are_slightly_above_the_cold_rate(per_s, starts):
    # At the bare rate, most callers of a zone that comes back cold would be refused; at
    # 1.5 times the rate the targets would fail.
    assert cold_starts(per_s) == starts
    assert cold_starts(per_s) < 1.5 * per_s + 1


def test_refusals_of_a_cold_target_have_their_own_kind():
    gate = trained_gate(slots=100)
    gate.cold.limits = ColdLimits(cold=1)
    gate.offer(offer(1), 10.0)
    decisions = [gate.offer(offer(n, 11, 11.5), 10.0) for n in range(2, 9)]
    refused = [each for each in decisions if isinstance(each, Refuse)]
    assert {each.kind for each in refused} == {ErrorKind.TARGET_COLD}


def test_a_queued_request_is_refused_before_its_deadline():
    gate = trained_gate(slots=1, work_s=0.2)
    gate.offer(offer(1), 0.0)
    gate.offer(offer(2, 0.5, 1.0), 0.0)
    assert gate.settle(0.5) == []
    (refused,) = gate.settle(0.95)
    assert refused.number == 2 and refused.kind is ErrorKind.QUEUE_FULL


def test_a_withdrawn_request_does_not_start():
    gate = trained_gate(slots=1)
    gate.offer(offer(1), 0.0)
    gate.offer(offer(2), 0.0)
    assert gate.withdraw(2, 0.0) == []
    assert gate.finish(1, True, 0.1) == []


def test_a_request_past_its_deadline_is_refused():
    assert (
        refusal_kind(trained_gate().offer(offer(1, 0.5, 1.0), 1.0))
        is ErrorKind.DEADLINE_PAST
    )


def refusal_kind(decision):
    assert isinstance(decision, Refuse)
    return decision.kind


@pytest.mark.parametrize("factor", [1.5, 3.0])
def test_most_answers_are_in_time_under_overload(factor):
    # Steady demand of 1.5 and 3 times the target's capacity, for twenty seconds.
    # Without refusals the queue would grow until every answer is late.
    gate = trained_gate(slots=4, work_s=0.1)
    interval_s = 0.1 / 4 / factor
    ends, in_time, late, refused = [], 0, 0, 0
    now, number = 0.0, 0
    offers = {}

    def apply_decisions(decisions, at):
        nonlocal refused
        for each in decisions:
            if isinstance(each, Start):
                ends.append((at + 0.1, each.number))
            else:
                refused += 1

    while now < 20:
        now += interval_s
        for end_s, number_ended in sorted(e for e in ends if e[0] <= now):
            ends.remove((end_s, number_ended))
            if end_s <= offers[number_ended].objective_s:
                in_time += 1
            else:
                late += 1
            apply_decisions(gate.finish(number_ended, True, end_s), end_s)
        number += 1
        offers[number] = offer(number, now + 0.5, now + 1.0)
        decision = gate.offer(offers[number], now)
        apply_decisions([decision] if decision else [], now)
    max_answers = 20 / 0.1 * 4
    assert in_time > 0.75 * max_answers
    assert in_time + late > 0.95 * max_answers
    assert refused > 0


def test_a_request_is_queued_if_the_next_slot_is_free_in_time():
    # All three slots have just begun a request; one is free after about a third of
    # their processing time. Refused, the caller would retry later than it could be
    # answered.
    gate = trained_gate(slots=3, work_s=0.3)
    for number in range(3):
        assert gate.offer(offer(number, objective_s=0.6), 0.0) == Start(number)
    assert gate.offer(offer(3, objective_s=0.6), 0.0) is None


def simulate_overload(seconds=200.0, slots=3, mean_s=0.38, objective_s=0.6, load=1.1):
    """Simulate an overloaded target.

    Parameters
    ----------
    seconds : float
        Simulated time.
    slots : int
        Of the target.
    mean_s : float
        Mean processing time.
    objective_s : float
        For each request, from its arrival.
    load : float
        Demand, as a multiple of the target's capacity.

    Returns
    -------
    tuple of (float, float)
        Fractions of the requests that were answered in time and late.
    """
    generator = random.Random(3)
    gate = Gate(slots, lambda: MEAN_RANDOM)
    events, arrived_s_by_number = [], {}
    answers = collections.Counter()
    now, number = 0.0, 0

    def apply_decisions(decisions, at):
        for decision in decisions:
            if isinstance(decision, Start):
                work_s = generator.lognormvariate(-0.32, 0.8) * mean_s
                heapq.heappush(events, (at + work_s, decision.number))

    while now < seconds:
        now += generator.expovariate(load * slots / mean_s)
        while events and events[0][0] <= now:
            at, ended = heapq.heappop(events)
            is_in_time = at - arrived_s_by_number[ended] <= objective_s
            answers["in time" if is_in_time else "late"] += 1
            apply_decisions(gate.finish(ended, True, at), at)
        number += 1
        arrived_s_by_number[number] = now
        decision = gate.offer(offer(number, now + objective_s, now + 1.2), now)
        apply_decisions([decision] if decision is not None else [], now)
    return answers["in time"] / number, answers["late"] / number


def test_an_overloaded_target_with_few_slots_is_not_left_idle():
    # Demand is a tenth more than three slots can process. When the wait was estimated
    # as the time until all work ahead is done, 54.3% of the callers were answered in
    # time and 16.0% late; the others were refused while slots were idle.
    in_time, late = simulate_overload()
    assert in_time > 0.56
    assert in_time + late > 0.72


def limited_gate(per_s, slots=8, work_s=0.1):
    """Return a trained gate with a limit, whose first start is due now."""
    gate = trained_gate(slots, work_s)
    gate.set_limit(per_s, 100.0 - 1 / per_s)
    return gate


def limited_offer(number, now=100.0, objective_s=1.0, key=-1):
    return Offer(number, "r", 1, now + objective_s, now + 2 * objective_s, True, key)


def test_a_request_above_the_limit_of_the_target_is_refused_at_once():
    # Guards against: callers wait at a target that may not take them in time.
    gate = limited_gate(0.5)
    assert gate.offer(limited_offer(1), 100.0) == Start(1)
    refused = gate.offer(limited_offer(2), 100.0)
    assert refused.kind is ErrorKind.TARGET_LIMITED
    assert refused.retry_after_s == pytest.approx(2.0)


def test_a_request_waits_for_the_limit_if_it_can_still_be_in_time():
    gate = limited_gate(4.0)
    assert gate.offer(limited_offer(1), 100.0) == Start(1)
    assert gate.offer(limited_offer(2), 100.0) is None
    assert gate.settle(100.24) == []
    assert gate.settle(100.25) == [Start(2)]


def test_requests_in_the_queue_are_refused_when_a_limit_leaves_them_no_time():
    # Guards against: requests that waited when a limit began wait for their deadline.
    gate = trained_gate(slots=1)
    gate.offer(limited_offer(1), 100.0)
    for number in (2, 3, 4):
        assert gate.offer(limited_offer(number), 100.0) is None
    gate.set_limit(2.0, 100.0)
    refused = gate.settle(100.0)
    assert [each.number for each in refused] == [4, 3]
    assert gate.waiting == 1


def test_the_key_with_the_fewest_starts_is_next_under_a_limit():
    # Guards against: a hot key gets every start that a limit leaves.
    gate = limited_gate(4.0)
    assert gate.offer(limited_offer(1, key=7), 100.0) == Start(1)
    assert gate.offer(limited_offer(2, key=7), 100.1) is None
    assert gate.offer(limited_offer(3, key=9), 100.2) is None
    assert gate.settle(100.25) == [Start(3)]


def test_all_slots_are_free_again_once_the_limit_ends():
    gate = limited_gate(0.5)
    gate.offer(limited_offer(1), 100.0)
    gate.set_limit(None, 100.1)
    for number in range(2, 9):
        assert gate.offer(limited_offer(number), 100.1) == Start(number)


def test_a_restarted_gate_begins_without_unused_starts():
    # Guards against: each restart of the daemon allows a burst above the limit.
    gate = trained_gate()
    gate.set_limit(2.0, 100.0)
    assert gate.limit_wait_s(100.0) == pytest.approx(0.5)


def test_a_restarted_gate_starts_no_cold_requests_in_the_second_of_the_former_one():
    # Guards against: a cold target gets its rate once more after each restart of the
    # daemon beside it, within the same second.
    starts = []
    for started_s in (100.0, 100.4, 100.8):
        gate = Gate(100, lambda: MEAN_RANDOM, started_s)
        gate.cold.limits = ColdLimits(cold=5)
        for number in range(40):
            now = started_s + 0.01 * number
            if isinstance(gate.offer(offer(number, now + 9, now + 9), now), Start):
                starts.append(now)
    assert len(starts) <= 5
    gate = Gate(100, lambda: MEAN_RANDOM, 100.0)
    gate.cold.limits = ColdLimits(cold=5)
    assert gate.offer(offer(1, 110.0, 110.0), 101.0) == Start(1)
