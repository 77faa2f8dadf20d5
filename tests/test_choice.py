"""Tests of target choice, outlier ejection, retries and hedges."""

import collections
import heapq
import itertools
import random

import pytest

from tamarackhaven._choice import Candidate, TargetChooser
from tamarackhaven._gate_messages import TargetReport
from tamarackhaven._hedge import (
    HedgedRequest,
    HedgeSettings,
    Settled,
    hedge_delay,
    may_hedge,
)
from tamarackhaven._model import PolicyMode
from tamarackhaven._outliers import OutlierEjector
from tamarackhaven._retry import (
    LOST_KINDS,
    REFUSED_KINDS,
    RELOCATED_KINDS,
    FailedTry,
    NoRetry,
    Retry,
    RetryBudget,
    RetryPlace,
    RetryReason,
    RetryRefusal,
)
from tamarackhaven.errors import ANSWER_BY_KIND, ErrorKind, Ran

SLOTS, SERVICE_S = 6, 0.005
TARGETS = [Candidate(f"t{n}", "a" if n < 2 else "b", SLOTS) for n in range(4)]


class Queues:
    """A seeded queueing model with slots and a first-in, first-out queue per target."""

    def __init__(self, seed, slowdown_by_target):
        self.rng = random.Random(seed)
        self.slowdown_by_target = slowdown_by_target
        self.free = {c.target: [0.0] * SLOTS for c in TARGETS}

    def run(self, chooser, arrivals):
        """Return the sorted latencies in seconds and the requests sent by target."""
        ends, latencies, sent = [], [], collections.Counter()
        for now in arrivals:
            while ends and ends[0][0] <= now:
                chooser.ended(*heapq.heappop(ends)[1:])
            target = chooser.pick(now, self.rng)
            chooser.started(target)
            slots = self.free[target]
            begin = max(now, heapq.heappop(slots))
            mean = SERVICE_S * self.slowdown_by_target.get(target, 1.0)
            end = begin + self.rng.expovariate(1.0 / mean)
            heapq.heappush(slots, end)
            heapq.heappush(ends, (end, target, end - now, end))
            latencies.append(end - now)
            sent[target] += 1
        return sorted(latencies), sent


class ProductionChooser(TargetChooser):
    """The chooser of the program, always with the same candidates."""

    def pick(self, now, rng):
        return self.choose(TARGETS, now, rng).target


class LoadBlindChooser:
    """Chooses round robin or at random, without regard to load or latency."""

    def __init__(self, at_random):
        self.names = itertools.cycle(c.target for c in TARGETS)
        self.at_random = at_random

    def pick(self, now, rng):
        return rng.choice(TARGETS).target if self.at_random else next(self.names)

    def started(self, target):
        pass

    def ended(self, target, latency_s, now):
        pass


def bursts(seed, load, count=6000):
    """Return arrival times whose rate alternates by a factor of three every 200 ms."""
    rng, now, times = random.Random(seed), 0.0, []
    rate = load * len(TARGETS) * SLOTS / SERVICE_S
    for _ in range(count):
        factor = 1.5 if int(now / 0.2) % 2 else 0.5
        now += rng.expovariate(rate * factor)
        times.append(now)
    return times


def p99(latencies):
    return latencies[int(len(latencies) * 0.99)]


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_target_gets_few_requests_under_bursts(seed):
    """One of four targets becomes eight times as slow during bursts.

    Round robin and random choice still send it a quarter of all requests, which wait in
    its queue. The chooser must send it few, with a far lower 99th percentile.
    """
    arrivals = bursts(seed, 0.45)
    latencies, sent = Queues(seed, {"t3": 8.0}).run(ProductionChooser("a"), arrivals)
    for at_random in (True, False):
        blind_latencies, _ = Queues(seed, {"t3": 8.0}).run(
            LoadBlindChooser(at_random), arrivals
        )
        assert p99(latencies) < p99(blind_latencies) / 50
    assert sent["t3"] < len(arrivals) / 50


def test_with_healthy_targets_choice_is_no_worse_than_random():
    arrivals = bursts(7, 0.6)
    latencies, sent = Queues(7, {}).run(ProductionChooser("a"), arrivals)
    blind_latencies, _ = Queues(7, {}).run(LoadBlindChooser(at_random=True), arrivals)
    assert p99(latencies) <= p99(blind_latencies)
    assert sent["t0"] + sent["t1"] > len(arrivals) / 2


def test_a_lagging_report_loses_its_weight():
    """A target reports itself full, then its reports stop.

    It must be chosen again without a new report, because a report loses weight with
    age. Requests that this daemon sent itself count at any age.
    """
    chooser = TargetChooser("a")
    full, other = TARGETS[:2]
    report = TargetReport(0.0, 60, 6, 100.0, "1", 5)
    chooser.report("t0", report, 10.0)
    for _ in range(12):
        chooser.started("t1")
    assert chooser.cost(full, 10.0) > chooser.cost(other, 10.0)
    assert chooser.cost(full, 15.0) < chooser.cost(other, 15.0)
    assert chooser.choose(TARGETS[:1], 10.0, random.Random(1), tried={"t0"}) is None


def record(ejector, target, now, ok=True, latency=0.005, count=30):
    return any(ejector.record(target, ok, latency, now) for _ in range(count))


def test_ejections_are_limited_and_end():
    """Three of four targets fail at the same time; later one is only slow.

    If all three were ejected, the fourth would get four times its load and fail too, so
    only one may be ejected. It returns on time; its next ejection is longer.
    """
    ejector = OutlierEjector()
    ejector.keep(["t0", "t1", "t2", "t3"])
    record(ejector, "t0", 0.0)
    assert record(ejector, "t1", 0.0, ok=False)
    assert not record(ejector, "t2", 0.0, ok=False)
    assert ejector.ejected(1.9) == {"t1"}
    assert ejector.suppressed_ejections
    assert ejector.ejected(2.1) == set()
    assert record(ejector, "t1", 3.0, ok=False)
    assert ejector.ejected(6.9) == {"t1"}
    for target in ("t0", "t2", "t3"):
        record(ejector, target, 8.0, count=60)
    assert record(ejector, "t3", 8.0, latency=0.1)
    assert ejector.ejected(8.0) == {"t3"}


def failed(kind, mode=PolicyMode.SHARED, is_idempotent=False, attempts=1, deadline=9.0):
    return FailedTry(kind, mode, is_idempotent, attempts, deadline, 0.3)


@pytest.mark.parametrize("kind", ErrorKind)
def test_only_requests_that_did_not_run_are_retried_unless_idempotent(kind):
    """A booking must not be retried after an error that leaves open whether it ran."""
    for mode, is_idempotent in itertools.product(PolicyMode, (False, True)):
        decision = RetryBudget().may_retry(failed(kind, mode, is_idempotent), 0.0, 0.5)
        if isinstance(decision, NoRetry):
            assert (decision.kind, decision.retry_after_s) == (kind, 0.3)
            continue
        assert is_idempotent or ANSWER_BY_KIND[kind].ran is Ran.NO
        assert kind in RELOCATED_KINDS | REFUSED_KINDS | LOST_KINDS
        at_owner = decision.place is RetryPlace.OWNER
        assert at_owner == (mode is PolicyMode.EXCLUSIVE)
        assert not (at_owner and kind in REFUSED_KINDS)


def test_refused_retries_are_counted_by_reason():
    budget = RetryBudget()
    moving = failed(ErrorKind.MOVING, PolicyMode.EXCLUSIVE)
    first = budget.may_retry(moving, 0.0, 1.0)
    assert first == Retry(RetryPlace.OWNER, 0.02, RetryReason.RELOCATED)
    for late in (failed(ErrorKind.MOVING, attempts=3), failed(ErrorKind.MOVING)):
        budget.may_retry(late, 8.999, 0.5)
    assert budget.counts_by_refusal == {
        RetryRefusal.ATTEMPTS: 1,
        RetryRefusal.DEADLINE: 1,
    }
    assert budget.counts_by_reason == {RetryReason.RELOCATED: 1}


def test_retries_stop_when_all_requests_fail():
    """A target refuses 1,000 requests a second for ten seconds.

    Retrying each would double the load on the remaining targets. Only the 20 saved
    tokens and the 10 of the floor are spent; then ten successes earn one retry.
    """
    budget = RetryBudget()
    full = failed(ErrorKind.TARGET_REFUSED, deadline=99.0)
    tries = [budget.may_retry(full, n / 1000, 0.5) for n in range(10_000)]
    assert 25 <= sum(isinstance(decision, Retry) for decision in tries) <= 30
    budget.tokens = 0.0
    for _ in range(50):
        budget.succeeded()
    tries = [budget.may_retry(full, 9.999, 0.5) for _ in range(50)]
    assert 4 <= sum(isinstance(decision, Retry) for decision in tries) <= 6


def test_only_lookups_of_shared_services_are_hedged_and_one_answer_wins():
    """The first try is slow; a second one starts and answers.

    The caller gets that answer, the first try is cancelled, and its late answer is
    dropped. Bookings and exclusive services are never hedged.
    """
    limits = HedgeSettings()
    assert hedge_delay(PolicyMode.EXCLUSIVE, True, 0.02, limits) is None
    assert hedge_delay(PolicyMode.SHARED, False, 0.02, limits) is None
    assert hedge_delay(PolicyMode.SHARED, True, 0.02, limits) == 0.02
    budget = RetryBudget()
    assert not may_hedge(budget, 1.0, 1.001, limits)
    assert sum(may_hedge(budget, 0.0, 9.0, limits) for _ in range(99)) == 20
    request = HedgedRequest("t1")
    request.hedge("t2")
    assert request.ended("t2", answered=True) == Settled("t2", cancel="t1")
    assert request.ended("t1", answered=True) is None
    failing = HedgedRequest("t1")
    failing.hedge("t2")
    assert failing.ended("t1", answered=False) is None
    assert failing.ended("t2", answered=False) == Settled("t2")
