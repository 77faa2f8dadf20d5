"""Simulations on a fake clock that check that no two daemons own the same shard."""

import math
import random

import attrs
import golden
import pytest
from lease_scenarios import SCENARIOS, fault_free_region, owner_lost, run_scenario
from lease_simulation import Parts, Simulation

from tamarackhaven._lease_holder import LeaseHolder
from tamarackhaven._lease_promises import LeasePromises
from tamarackhaven._settings import LeaseSettings

SEEDS = range(20)


def random_faults(seed, parts=None):
    """Simulate 10 s with a random fault about every 0.2 s."""
    rng = random.Random(seed)
    sim = Simulation(rng, count=3 if seed % 3 else 5, parts=parts)
    controls, daemons = list(sim.controls.values()), list(sim.daemons.values())

    def fault():
        control, daemon = rng.choice(controls), rng.choice(daemons)
        seconds = rng.uniform(0.1, 2.5)
        rng.choice(
            (
                lambda: sim.freeze(control, seconds),
                lambda: sim.freeze(daemon, seconds),
                lambda: sim.kill(control, seconds / 10),
                lambda: sim.kill(daemon, seconds / 5),
                lambda: sim.kill(sim.controls[sim.leader or "c0"], seconds / 3),
                lambda: sim.cut(daemon, control, seconds),
                lambda: sim.cut(control, daemon, seconds),
                lambda: sim.set_for(control, "cut_off", seconds),
                lambda: sim.set_for(control, "lags", seconds),
                lambda: sim.set_for(daemon, "cut_off", 2 * seconds),
                lambda: sim.change_membership(rng.choice),
            )
        )()
        sim.after(rng.uniform(0.05, 0.4), fault)

    sim.after(1.0, fault)
    sim.run(10.0)
    return sim


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_never_cause_two_owners(seed):
    """Freezes, kills, cuts, lags, membership changes and slow clocks are mixed."""
    assert random_faults(seed).recorder.violations == []


class LeaseCountedFromAnswer(LeaseHolder):
    def process_ack(self, ack, now):
        if ack.seq in self._sent_by_seq:
            sent = self._sent_by_seq[ack.seq]
            self._sent_by_seq[ack.seq] = attrs.evolve(sent, at=now)
        super().process_ack(ack, now)


class AnyVoter(LeaseHolder):
    def _majority(self, time_by_voter):
        return max(time_by_voter.values(), default=None)


class NoDriftMargin(LeasePromises):
    def __init__(self, settings, *more):
        super().__init__(attrs.evolve(settings, drift=0.0), *more)


class NoWaitAfterRestart(LeasePromises):
    def __init__(self, settings, boot_now, fences):
        super().__init__(settings, -math.inf, fences)


class OldMembershipAccepted(LeasePromises):
    def answer_renewal(self, renewal, now, view):
        version = renewal.membership_version
        seen = attrs.evolve(
            view, membership_version=min(view.membership_version, version)
        )
        return super().answer_renewal(renewal, now, seen)


class FenceDespitePromise(LeasePromises):
    def fence(self, service, target, epoch, now):
        self._promise_by_target.pop((service, target), None)
        return super().fence(service, target, epoch, now)


class ClaimedNameGranted(LeasePromises):
    def answer_renewal(self, renewal, now, view):
        promise = self._promise_by_target.get(view.target)
        if promise is not None and promise.epoch < renewal.epoch:
            del self._promise_by_target[view.target]
        return super().answer_renewal(renewal, now, view)


class UnknownEpochGranted(LeasePromises):
    def answer_renewal(self, renewal, now, view):
        if view.target is None and renewal.epoch > view.state_version:
            view = attrs.evolve(view, target=("unknown", str(renewal.epoch)))
        return super().answer_renewal(renewal, now, view)


MUTANTS = {
    "any voter in place of a majority": Parts(holder=AnyVoter),
    "name granted while claimed": Parts(promises=ClaimedNameGranted),
    "epoch granted before it is applied": Parts(promises=UnknownEpochGranted),
    "clock stops while frozen": Parts(clock_counts_freezes=False),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_recorder_detects_two_owners_without_a_safeguard(name):
    """The same random faults must lead to two owners when one safeguard is removed."""
    assert any(random_faults(seed, MUTANTS[name]).recorder.violations for seed in SEEDS)


def answers_received_after_freeze(seed, parts):
    """A frozen daemon resumes and receives answers that are as old as its freeze.

    It was frozen after it sent a renewal, and its datagrams to all control VMs are lost
    from then on. If its lease were counted from the answers, it would outlast every
    promise.
    """
    sim, daemon, *controls = fault_free_region(seed, parts)
    while not sim.trace or f"{daemon.name} > " not in sim.trace[-1]:
        sim.run(sim.now + 0.0005)
    sim.freeze(daemon, 0.42)
    for control in controls:
        sim.cut(daemon, control, 9.0)
    return sim


def slow_clock_of_the_owner(seed, parts):
    """The owner's clock is as slow as allowed, and all control VMs' are as fast.

    No renewal arrives any more. On their clocks a lease time is over while the owner
    still counts the last tenth of its own.
    """
    sim, daemon, *controls = fault_free_region(seed, parts)
    for control in controls:
        sim.cut(daemon, control, 9.0)
    return sim


def datagrams_to_the_leader_lost(seed, parts):
    """Datagrams from an owner to the leader and log updates to the owner are lost.

    The leader sees a silent target. The other control VMs still promise, so they
    refuse to fence and the owner stays.
    """
    sim, daemon, leader, *_ = fault_free_region(seed, parts)
    daemon.cut_off = True
    sim.cut(daemon, leader, 9.0)
    return sim


def restart_before_fence(seed, parts):
    """A control VM restarts just before the leader asks it to fence.

    The leader receives no renewals of the owner, so it asks for fences; the restarted
    VM has lost its promise. The owner still holds its lease by the answers of that VM
    and a third one.
    """
    sim, daemon, leader, second, _ = fault_free_region(seed, parts)
    sim.cut(daemon, leader, 9.0)
    sim.run(sim.now + 0.3)
    sim.cut(daemon, second, 9.0)
    sim.kill(second, 0.001)
    return sim


def restart_after_fence(seed, parts):
    """A control VM fences and restarts, and the fenced daemon resumes with an old map.

    The third control VM has not received the retirement of the epoch and the second one
    has not applied it, so only the second one's fence keeps the daemon from a majority.
    """
    sim, daemon, _, second, third = fault_free_region(seed, parts)
    second.lags = third.cut_off = daemon.cut_off = True
    sim.freeze(daemon, 3.0)
    sim.run(sim.now + 2.0)
    sim.kill(second, 0.01)
    return sim


def two_memberships_behind(seed, parts):
    """An owner renews with a membership that is two changes old.

    It cannot reach the leader and receives no log updates. Two voters are added; they
    and the leader are a majority without the two voters that the owner relies on.
    """
    sim, daemon, leader, *_ = fault_free_region(seed, parts)
    daemon.cut_off = True
    sim.cut(daemon, leader, 9.0)
    for _ in range(2):
        sim.change_membership(lambda names: names[0])
        sim.run(sim.now + 1.0)
    assert len(sim.region.membership.voters) == 5
    return sim


SCRIPTS = {
    slow_clock_of_the_owner: Parts(promises=NoDriftMargin),
    datagrams_to_the_leader_lost: Parts(promises=FenceDespitePromise),
    answers_received_after_freeze: Parts(holder=LeaseCountedFromAnswer),
    restart_before_fence: Parts(promises=NoWaitAfterRestart),
    restart_after_fence: Parts(fences_are_kept=False),
    two_memberships_behind: Parts(promises=OldMembershipAccepted),
}


@pytest.mark.parametrize("script", SCRIPTS)
def test_fault_sequence_is_safe_only_with_its_safeguard(script):
    """There is one owner with the safeguard and two without it, as each script says."""
    for parts, is_safe in ((None, True), (SCRIPTS[script], False)):
        found = []
        for seed in range(5):
            sim = script(seed, parts)
            sim.run(sim.now + 1.5)
            found += sim.recorder.violations
        assert (found == []) is is_safe


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.fault.__name__)
def test_shards_have_an_owner_again_within_the_bound(scenario):
    """A healthy owner keeps its lease and a lost one is replaced within the bound.

    ``run_scenario`` also checks that no shard has two owners.
    """
    runs = [run_scenario(scenario, seed) for seed in range(8)]
    assert max(run.longest_s for run in runs) <= scenario.bound_s
    assert scenario.bound_s or not any(run.rejoined for run in runs)


def test_trace_of_a_lost_owner():
    """Promises end, a majority fences, the epoch is retired, another target owns."""
    sim, *_ = fault_free_region(1, settings=LeaseSettings(400, 100), targets="ab")
    owner_lost(sim)
    start = len(sim.trace)
    sim.run(2.45)
    golden.check("lease_owner_lost", "\n".join(sim.trace[start:]) + "\n")
