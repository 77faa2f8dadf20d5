"""A limit over all VMs in random histories of limits, answers and restarts.

The gate, the notices and the memory of daemons are the real ones; the target, the
network and the clock are simulated. The users' rule is counted by ``NoticeWatch``.
"""

import heapq
import itertools
import random

import pytest

from standin.notice_watch import NoticeWatch
from tamarackhaven.sidecar import TargetNotice
from tamarackhaven.sidecar._gate import Gate, Offer, Start
from tamarackhaven.sidecar._named_limit import NamedLimit
from tamarackhaven.sidecar._notice_memory import NoticeMemory

VMS = ("gate", "b", "c")
SLOTS = 12
DURATION_S = 60.0
SETTLE_INTERVAL_S = 0.05
# Time in which a killed daemon is back.
RESTART_S = 0.3


class Simulation:
    """One target, the daemon beside it, and two more that forward requests to it."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._events = []
        self._event_numbers = itertools.count()
        self._numbers = itertools.count()
        self._sent_by_number = {}
        self._named = TargetNotice()
        self._boot = 0
        self._is_up = True
        self.watch = NoticeWatch()
        self.memory_by_vm = {vm: NoticeMemory(drain_s=2.0) for vm in VMS}
        self.broken = []
        self.starts = 0
        self.limited_starts = 0
        self._start_daemon()

    def _start_daemon(self):
        self._gate = Gate(SLOTS, lambda: 0.5)
        self._limit = NamedLimit()

    def _at(self, at_s, action, *arguments):
        event = at_s, next(self._event_numbers), action, arguments
        heapq.heappush(self._events, event)

    def run(self):
        """Play the whole history; violations are in ``broken``."""
        self._plan()
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            if now > DURATION_S:
                return
            action(now, *arguments)

    def _plan(self):
        rng = self._random
        at_s = 2.0
        while at_s < DURATION_S:
            self._at(
                at_s, self._name, rng.choice([None, 0.0, 0.5, 2.0, 2.0, 6.0, 20.0])
            )
            at_s += rng.uniform(0.5, 12.0)
        # Restarts come in series.
        for _ in range(5):
            at_s = rng.uniform(0.0, DURATION_S)
            for _ in range(rng.randint(1, 4)):
                self._at(at_s, self._kill, rng.choice(("gate", "gate", "b")))
                at_s += rng.uniform(0.4, 1.2)
        for vm in VMS:
            self._at(0.0, self._request, vm)
        self._at(0.0, self._settle)

    # The target.

    def _name(self, now, limit_per_s):
        self._named = TargetNotice(limit_per_s)
        self.watch.name_limit(limit_per_s, now)

    def _answer(self, now, number, vm, boot, sent_s):
        notice = self._named
        read_s = now + self._random.uniform(0.0, 0.15)
        self._at(read_s, self._read, number, vm, boot, sent_s, notice)

    # The daemon beside it.

    def _request(self, now, vm):
        self._at(now + self._random.expovariate(15.0), self._request, vm)
        if not self._is_up:
            return
        known_per_s = self.memory_by_vm[vm].known_limit_per_s("t", now)
        if known_per_s is not None:
            self._limit.adopt(known_per_s, now)
        number = next(self._numbers)
        self._sent_by_number[number] = vm, now
        self._update_limit(now)
        offer = Offer(number, "r", 1, now + 0.6, now + 2.0)
        decision = self._gate.offer(offer, now)
        self._apply([decision] if decision else [], now)

    def _update_limit(self, now):
        self._gate.set_limit(self._limit.start_rate_per_s, now)

    def _settle(self, now):
        self._at(now + SETTLE_INTERVAL_S, self._settle)
        self._update_limit(now)
        self._apply(self._gate.settle(now), now)

    def _apply(self, decisions, now):
        for decision in decisions:
            if not isinstance(decision, Start):
                continue
            vm, asked_s = self._sent_by_number[decision.number]
            self.starts += 1
            self.limited_starts += self.watch.limit_per_s is not None
            self.broken += self.watch.arrived(vm, asked_s, now)
            end_s = now + self._random.uniform(0.05, 0.4)
            self._at(end_s, self._answer, decision.number, vm, self._boot, now)

    def _read(self, now, number, vm, boot, sent_s, notice):
        if boot != self._boot or not self._is_up:
            return
        self._limit.record(notice, sent_s, now)
        self._update_limit(now)
        self._apply(self._gate.finish(number, True, now), now)
        self.memory_by_vm[vm].record("t", notice, sent_s, now)
        limit = notice.limit_per_s
        self.watch.returned(vm, None if limit is None else str(limit), False, now)

    # Faults.

    def _kill(self, now, vm):
        self.memory_by_vm[vm] = NoticeMemory(drain_s=2.0)
        self.watch.excuse(vm)
        if vm == "gate":
            self._boot += 1
            self._is_up = False
            self._start_daemon()
            self._at(now + RESTART_S, self._come_back)

    def _come_back(self, now):
        self._is_up = True


@pytest.mark.parametrize("seed", range(150))
def test_a_limit_holds_for_all_vms_over_restarts_and_overtaking_answers(seed):
    # Guards against: a restart of the daemon that counts, or an answer that overtakes
    # another, lets a target in need get more than it named.
    simulation = Simulation(seed)
    simulation.run()
    assert not simulation.broken, simulation.broken[0]
    assert simulation.limited_starts > 0
