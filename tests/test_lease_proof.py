"""Proofs on a fake clock that no two daemons ever believe to own the same."""

import math
import random

import attrs
import golden
import pytest
from lease_scenarios import SCENARIOS, calm, owner_lost, unowned
from lease_simulation import Parts, Simulation

from tamarackhaven._lease_holder import LeaseHolder
from tamarackhaven._lease_promises import LeasePromises
from tamarackhaven._settings import LeaseSettings

SEEDS = range(20)


def trouble(seed, parts=None):
    """Run 10 s with a new fault every 0.2 s or so."""
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
                lambda: sim.for_a_while(control, "cut_off", seconds),
                lambda: sim.for_a_while(control, "lags", seconds),
                lambda: sim.for_a_while(daemon, "cut_off", 2 * seconds),
                lambda: sim.change_membership(rng.choice),
            )
        )()
        sim.after(rng.uniform(0.05, 0.4), fault)

    sim.after(1.0, fault)
    sim.run(10.0)
    return sim


@pytest.mark.parametrize("seed", SEEDS)
def test_never_two_owners(seed):
    """Any mix of freezes, kills, cuts, lags, changes of membership and slow clocks."""
    assert trouble(seed).recorder.violations == []


class HoldFromAnswer(LeaseHolder):
    def acked(self, ack, now):
        if ack.seq in self._sent_by_seq:
            sent = self._sent_by_seq[ack.seq]
            self._sent_by_seq[ack.seq] = attrs.evolve(sent, at=now)
        super().acked(ack, now)


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
    def renewal(self, renewal, now, view):
        version = renewal.membership_version
        seen = attrs.evolve(
            view, membership_version=min(view.membership_version, version)
        )
        return super().renewal(renewal, now, seen)


class FenceDespitePromise(LeasePromises):
    def fence(self, service, target, epoch, now):
        self._promise_by_target.pop((service, target), None)
        return super().fence(service, target, epoch, now)


class NameNotClaimed(LeasePromises):
    def renewal(self, renewal, now, view):
        promise = self._promise_by_target.get(view.target)
        if promise is not None and promise.epoch < renewal.epoch:
            del self._promise_by_target[view.target]
        return super().renewal(renewal, now, view)


class UnknownEpochGranted(LeasePromises):
    def renewal(self, renewal, now, view):
        if view.target is None and renewal.epoch > view.state_version:
            view = attrs.evolve(view, target=("unknown", str(renewal.epoch)))
        return super().renewal(renewal, now, view)


MUTANTS = {
    "any voter in place of a majority": Parts(holder=AnyVoter),
    "name granted while claimed": Parts(promises=NameNotClaimed),
    "epoch granted before it is applied": Parts(promises=UnknownEpochGranted),
    "clock stands still while frozen": Parts(clock_counts_freezes=False),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_recorder_sees_two_owners_without_the_safeguard(name):
    """The same troubles with one safeguard taken out end with two owners."""
    assert any(trouble(seed, MUTANTS[name]).recorder.violations for seed in SEEDS)


def late_answers(seed, parts):
    """A frozen daemon wakes and finds answers that are as old as its freeze.

    It sent a renewal, was frozen, and its way to all control VMs is cut meanwhile.
    Counted from the answers, its lease would outlive every promise.
    """
    sim, daemon, *controls = calm(seed, parts)
    while not sim.trace or f"{daemon.name} > " not in sim.trace[-1]:
        sim.run(sim.now + 0.0005)
    sim.freeze(daemon, 0.42)
    for control in controls:
        sim.cut(daemon, control, 9.0)
    return sim


def slow_clock_at_the_owner(seed, parts):
    """The owner's clock is as slow as allowed, and those of all control VMs as fast.

    No renewal arrives any more. By their clocks a lease time is over while the owner
    still counts the last tenth of its own.
    """
    sim, daemon, *controls = calm(seed, parts)
    for control in controls:
        sim.cut(daemon, control, 9.0)
    return sim


def way_to_the_leader_cut(seed, parts):
    """Only the datagrams from an owner to the leader are lost, and news to the owner.

    The leader sees a silent target. The other control VMs still promise, so they
    refuse to fence and the owner stays.
    """
    sim, daemon, leader, *_ = calm(seed, parts)
    daemon.cut_off = True
    sim.cut(daemon, leader, 9.0)
    return sim


def restart_before_fence(seed, parts):
    """A control VM restarts just before the leader asks it to fence.

    The leader does not hear the owner, so it asks for fences; the restarted VM has
    forgotten that it promised. The owner still holds by its answer and a third one's.
    """
    sim, daemon, leader, second, _ = calm(seed, parts)
    sim.cut(daemon, leader, 9.0)
    sim.run(sim.now + 0.3)
    sim.cut(daemon, second, 9.0)
    sim.kill(second, 0.001)
    return sim


def restart_after_fence(seed, parts):
    """A control VM fences, restarts, and the fenced daemon wakes with an old map.

    The third control VM never heard that the epoch is retired and the second one has
    not applied it, so only the second one's fence stands between the daemon and a
    majority.
    """
    sim, daemon, _, second, third = calm(seed, parts)
    second.lags = third.cut_off = daemon.cut_off = True
    sim.freeze(daemon, 3.0)
    sim.run(sim.now + 2.0)
    sim.kill(second, 0.01)
    return sim


def two_memberships_behind(seed, parts):
    """An owner renews by the membership before the last but one.

    It cannot reach the leader and no news reaches it. Two voters are added; they and
    the leader make a majority without the two voters that the owner relies on.
    """
    sim, daemon, leader, *_ = calm(seed, parts)
    daemon.cut_off = True
    sim.cut(daemon, leader, 9.0)
    for _ in range(2):
        sim.change_membership(lambda names: names[0])
        sim.run(sim.now + 1.0)
    assert len(sim.region.membership.voters) == 5
    return sim


SCRIPTS = {
    slow_clock_at_the_owner: Parts(promises=NoDriftMargin),
    way_to_the_leader_cut: Parts(promises=FenceDespitePromise),
    late_answers: Parts(holder=HoldFromAnswer),
    restart_before_fence: Parts(promises=NoWaitAfterRestart),
    restart_after_fence: Parts(fences_are_kept=False),
    two_memberships_behind: Parts(promises=OldMembershipAccepted),
}


@pytest.mark.parametrize("script", SCRIPTS)
def test_rare_sequence_needs_its_safeguard(script):
    """One owner with the safeguard, two without it; the script says how."""
    for parts, is_safe in ((None, True), (SCRIPTS[script], False)):
        found = []
        for seed in range(5):
            sim = script(seed, parts)
            sim.run(sim.now + 1.5)
            found += sim.recorder.violations
        assert (found == []) is is_safe


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.fault.__name__)
def test_shards_are_owned_again_in_time(scenario):
    """No two owners; a healthy owner keeps its lease, a lost one is soon replaced."""
    runs = [unowned(scenario, seed) for seed in range(8)]
    assert max(run.longest_s for run in runs) <= scenario.bound_s
    assert scenario.bound_s or not any(run.rejoined for run in runs)


def test_session_of_a_lost_owner():
    """Owner lost: promises end, a majority fences, the epoch retires, others hold."""
    sim, *_ = calm(1, settings=LeaseSettings(400, 100), targets="ab")
    owner_lost(sim)
    start = len(sim.trace)
    sim.run(2.45)
    golden.check("lease_owner_lost", "\n".join(sim.trace[start:]) + "\n")
