"""To which targets of a shared service a request is offered."""

import heapq
import random

import pytest

from tamarackhaven.fleet._model import Target
from tamarackhaven.sidecar._choice import Chooser
from tamarackhaven.sidecar._gate import Gate, Offer, Start
from tamarackhaven.sidecar._messages import GateLoad
from tamarackhaven.sidecar._offers import MAX_WAIT_QUERIES, Ask, Offers, Send


def target(number, slots=3):
    name = f"t{number}"
    return Target(f"{name}@1@{name}:1", name, 1, "s", "a", name, 1, slots)


TARGETS = [target(number) for number in range(8)]


@pytest.fixture
def offers():
    return Offers(Chooser("a", lambda: 0.0), "r")


def test_a_request_is_queued_where_the_wait_is_shortest(offers):
    first = offers.next(TARGETS, 0.0)
    assert not first.waits
    offers.busy(first.target, 0.3)
    queried = offers.next(TARGETS, 0.0).targets
    assert first.target not in queried
    for target, wait_s in zip(queried, (0.2, 0.1, 0.4), strict=True):
        offers.busy(target, wait_s)
    assert offers.next(TARGETS, 0.0) == Send(queried[1], True)


def test_a_few_targets_are_queried_once_each(offers):
    offers.busy(offers.next(TARGETS, 0.0).target, 0.3)
    queried = offers.next(TARGETS, 0.0).targets
    assert len(set(queried)) == MAX_WAIT_QUERIES
    assert isinstance(offers.next(TARGETS, 0.0), Send)


def test_a_request_is_queued_at_the_first_target_if_queries_fail(offers):
    first = offers.next(TARGETS, 0.0).target
    offers.busy(first, 0.3)
    offers.next(TARGETS, 0.0)
    assert offers.next(TARGETS, 0.0) == Send(first, True)


def test_the_only_target_is_not_queried(offers):
    assert offers.next(TARGETS[:1], 0.0) == Send(TARGETS[0], True)


def test_a_closed_target_is_not_offered_again(offers):
    first = offers.next(TARGETS[:2], 0.0).target
    offers.close(first)
    second = offers.next(TARGETS[:2], 0.0)
    assert second.target is not first
    assert second.waits
    offers.close(second.target)
    assert offers.next(TARGETS[:2], 0.0) is None


def test_a_request_refused_at_queried_targets_is_sent_to_others(offers):
    # The queried targets have filled up meanwhile: the request is refused at each, and
    # then queued at one that wasn't queried.
    offers.busy(offers.next(TARGETS, 0.0).target, 0.3)
    for target in offers.next(TARGETS, 0.0).targets:
        offers.busy(target, 0.1)
    tried = set()
    for _ in range(MAX_WAIT_QUERIES + 2):
        offer = offers.next(TARGETS, 0.0)
        assert offer.waits
        assert offer.target.life not in tried
        tried.add(offer.target.life)
        offers.close(offer.target)


class Simulation:
    """Many daemons whose callers send short calls and long requests in equal parts.

    A daemon knows a target's load only from the results of its own requests.

    Parameters
    ----------
    queries_waits : bool
        Whether daemons query the wait at other targets; otherwise a request is queued
        at its first target.
    daemons, targets : int
        How many there are.
    """

    WORK_S = {"call": 0.055, "long": 0.4}

    def __init__(self, queries_waits, daemons=60, targets=18):
        self.queries_waits = queries_waits
        self.random = random.Random(7)
        self.targets = [target(number) for number in range(targets)]
        self.gates = {t.life: Gate(t.slots, self.random.random) for t in self.targets}
        self.choosers = [Chooser("a", self.random.random) for _ in range(daemons)]
        self.events = []
        self.waited_s = {"call": [], "long": []}
        self.refused = 0
        self.number = 0
        self.request_by_number = {}

    def run(self, seconds=30.0, utilization=0.85):
        """Return the mean wait of calls in seconds and the fraction refused.

        Parameters
        ----------
        seconds : float
            Simulated time.
        utilization : float
            Demand, as a fraction of the capacity of all targets.
        """
        slots = sum(each.slots for each in self.targets)
        mean_s = 0.5 * sum(self.WORK_S.values())
        now, interval_s = 0.0, mean_s / (utilization * slots)
        while now < seconds:
            now += self.random.expovariate(1 / interval_s)
            self.finish_until(now)
            self.add_request(self.random.choice(["call", "long"]), now)
        calls = self.waited_s["call"]
        return sum(calls) / len(calls), self.refused / self.number

    def finish_until(self, now):
        while self.events and self.events[0][0] <= now:
            at, number, life, route, chooser = heapq.heappop(self.events)
            gate = self.gates[life]
            load = GateLoad(gate.running, gate.waiting, gate.slots, 100.0)
            chooser.record_result(life, route, load, False, at)
            for decision in gate.finish(number, True, at):
                self.apply_decision(decision, life, at)

    def apply_decision(self, decision, life, now):
        arrived_s, route, chooser = self.request_by_number.pop(decision.number)
        if isinstance(decision, Start):
            self.waited_s[route].append(now - arrived_s)
            work_s = self.random.lognormvariate(-0.2, 0.6) * self.WORK_S[route]
            event = now + work_s, decision.number, life, route, chooser
            heapq.heappush(self.events, event)
        else:
            self.refused += 1

    def add_request(self, route, now):
        self.number += 1
        chooser = self.random.choice(self.choosers)
        offers = Offers(chooser, route)
        objective_s, deadline_s = now + 1.0, now + 2.0
        while True:
            step = offers.next(self.targets, now)
            if isinstance(step, Ask):
                for each in step.targets:
                    query = Offer(0, route, 1, objective_s, objective_s)
                    gate = self.gates[each.life]
                    offers.busy(each, gate.expected_wait_s(query, now))
                continue
            waits = step.waits or not self.queries_waits
            life = step.target.life
            gate = self.gates[life]
            chooser.record_sent(life)
            self.request_by_number[self.number] = now, route, chooser
            offer = Offer(self.number, route, 1, objective_s, deadline_s, waits)
            decision = gate.offer(offer, now)
            if decision is None:
                return
            if isinstance(decision, Start) or waits:
                self.apply_decision(decision, life, now)
                return
            load = GateLoad(gate.running, gate.waiting, gate.slots, 100.0)
            chooser.record_result(life, route, load, None, now)
            offers.busy(step.target, decision.retry_after_s)


def test_calls_wait_less_if_daemons_query_waits_first():
    # Guards against: 60 daemons share 18 nearly full targets, and each gets a target's
    # load only every other second. Without queries, calls queue behind long requests
    # while other targets have free slots, and the work that waits for the calls becomes
    # late.
    plain_wait_s, plain_refused = Simulation(queries_waits=False).run()
    queried_wait_s, queried_refused = Simulation(queries_waits=True).run()
    assert queried_wait_s < 0.5 * plain_wait_s
    assert queried_refused <= plain_refused
