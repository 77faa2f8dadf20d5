"""Tests of choice, outlier ejection, retries and hedges for shared services."""

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
    GiveUp,
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
    """A seeded queue model: each target has slots, and a queue in order of arrival."""

    def __init__(self, seed, slow_by_target):
        self.rng = random.Random(seed)
        self.slow_by_target = slow_by_target
        self.free = {c.target: [0.0] * SLOTS for c in TARGETS}

    def run(self, chooser, arrivals):
        """Return the latencies of requests that arrive at the given times."""
        ends, latencies, sent = [], [], collections.Counter()
        for now in arrivals:
            while ends and ends[0][0] <= now:
                chooser.ended(*heapq.heappop(ends)[1:])
            target = chooser.pick(now, self.rng)
            chooser.started(target)
            slots = self.free[target]
            begin = max(now, heapq.heappop(slots))
            mean = SERVICE_S * self.slow_by_target.get(target, 1.0)
            end = begin + self.rng.expovariate(1.0 / mean)
            heapq.heappush(slots, end)
            heapq.heappush(ends, (end, target, end - now, end))
            latencies.append(end - now)
            sent[target] += 1
        return sorted(latencies), sent


class Better(TargetChooser):
    """Ours."""

    def pick(self, now, rng):
        return self.choose(TARGETS, now, rng).target


class Naive:
    """Round robin, or at random; it learns nothing."""

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
    """Return arrival times: every other 200 ms brings three times as much."""
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
def test_one_slow_target_under_bursts(seed):
    """One of four targets becomes eight times as slow while bursts come.

    A naive choice goes on sending it a quarter of all requests, which wait in its
    queue; ours sends it few, and the caller's 99th percentile stays far lower.
    """
    arrivals = bursts(seed, 0.45)
    ours, sent = Queues(seed, {"t3": 8.0}).run(Better("a"), arrivals)
    for at_random in (True, False):
        naive, _ = Queues(seed, {"t3": 8.0}).run(Naive(at_random), arrivals)
        assert p99(ours) < p99(naive) / 50
    assert sent["t3"] < len(arrivals) / 50


def test_all_well_choice_is_no_worse_than_chance():
    arrivals = bursts(7, 0.6)
    ours, sent = Queues(7, {}).run(Better("a"), arrivals)
    naive, _ = Queues(7, {}).run(Naive(at_random=True), arrivals)
    assert p99(ours) <= p99(naive)
    assert sent["t0"] + sent["t1"] > len(arrivals) / 2


def test_a_lagging_report_loses_its_weight():
    """A target reported itself full, then its reports stopped.

    It must get work again although nobody says that it is free: a report's weight
    halves with its age. What this daemon has sent itself counts however old.
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


def test_outliers_are_ejected_up_to_a_cap_and_return():
    """Three of four targets fail at once, then one is merely slow.

    With all three out the fourth would take four times its load and fall over too:
    only one may be out. It returns on time, and stays out longer if it fails again.
    """
    ejector = OutlierEjector()
    ejector.keep(["t0", "t1", "t2", "t3"])
    record(ejector, "t0", 0.0)
    assert record(ejector, "t1", 0.0, ok=False)
    assert not record(ejector, "t2", 0.0, ok=False)
    assert ejector.ejected(1.9) == {"t1"}
    assert ejector.capped
    assert ejector.ejected(2.1) == set()
    assert record(ejector, "t1", 3.0, ok=False)
    assert ejector.ejected(6.9) == {"t1"}
    for target in ("t0", "t2", "t3"):
        record(ejector, target, 8.0, count=60)
    assert record(ejector, "t3", 8.0, latency=0.1)
    assert ejector.ejected(8.0) == {"t3"}


def failed(kind, mode=PolicyMode.SHARED, idempotent=False, attempts=1, deadline=9.0):
    return FailedTry(kind, mode, idempotent, attempts, deadline, 0.3)


@pytest.mark.parametrize("kind", ErrorKind)
def test_only_what_did_not_run_is_repeated_unless_idempotent(kind):
    """For each kind of error: a booking whose answer was lost must not run twice."""
    for mode, idempotent in itertools.product(PolicyMode, (False, True)):
        decision = RetryBudget().may_retry(failed(kind, mode, idempotent), 0.0, 0.5)
        if isinstance(decision, GiveUp):
            assert (decision.kind, decision.retry_after_s) == (kind, 0.3)
            continue
        assert idempotent or ANSWER_BY_KIND[kind].ran is Ran.NO
        assert kind in RELOCATED_KINDS | REFUSED_KINDS | LOST_KINDS
        at_owner = decision.place is RetryPlace.OWNER
        assert at_owner == (mode is PolicyMode.EXCLUSIVE)
        assert not (at_owner and kind in REFUSED_KINDS)


def test_limits_of_retries_are_counted():
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


def test_retries_dry_up_when_all_fail():
    """A target refuses everything for ten seconds; 1,000 requests a second come.

    Retrying each would double the load on what is left. Only the saved tokens and the
    floor are spent: 20 and 10; afterwards one success in ten earns a retry again.
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


def test_hedge_only_where_harmless_and_one_answer_wins():
    """The first try is at a straggler; a second one starts and answers.

    The caller gets that answer, the first try is cancelled, and its late answer goes
    nowhere. Bookings and exclusive keys never have two tries at once.
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
