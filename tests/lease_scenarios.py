"""One fault each in a region at rest: what it costs in time without an owner.

``PYTHONPATH=. python tests/lease_scenarios.py`` prints the table of
docs/design/lease-transport.md.
"""

import random
import statistics

import attrs
from lease_simulation import Simulation

from tamarackhaven._settings import LeaseSettings

TABLE_SEEDS = range(50)


@attrs.frozen
class Scenario:
    """A fault, and the longest time that a shard may be without an owner."""

    fault: object
    bound_s: float
    lasts_s: float = 1.5
    targets: str = "abcd"


@attrs.frozen
class Outcome:
    """Longest time of a shard without an owner, and how many daemons joined anew."""

    longest_s: float
    rejoined: int


def calm(seed, parts=None, settings=None, targets="ab"):
    """Return a region at rest, the owner of shard 0 and the three control VMs."""
    sim = Simulation(random.Random(seed), 3, targets, parts, settings)
    sim.drop = sim.duplicate = sim.slow = sim.racing = 0.0
    sim.trace, sim.hints = [], True
    for node in (*sim.controls.values(), *sim.daemons.values()):
        node.rate = 1 + (-sim.settings.drift if node.target else sim.settings.drift)
    sim.run(2.0)
    owner = sim.daemons[sim.recorder.owner_by_item[0]]
    return sim, owner, *(sim.controls[name] for name in ("c0", "c1", "c2"))


def unowned(scenario, seed):
    """Run a scenario at the default timings; two owners at one instant are an error."""
    sim, *_ = calm(seed, settings=LeaseSettings(), targets=scenario.targets)
    sim.run(2.0 + sim.rng.random())
    daemons = sim.daemons.values()
    before = {node.name: node.holder.epoch for node in daemons}
    scenario.fault(sim)
    ownerless = dict(sim.recorder.ownerless_s)
    sim.run(sim.now + scenario.lasts_s)
    assert sim.recorder.violations == []
    assert len(sim.region.epoch_by_shard) == len(ownerless)
    return Outcome(
        max(sim.recorder.ownerless_s[s] - ownerless[s] for s in ownerless),
        sum(node.holder.epoch != before[node.name] for node in daemons),
    )


def owner(sim):
    return sim.daemons[sim.recorder.owner_by_item[0]]


def any_voter(sim):
    """Return one of the voters, the leader as often as another."""
    return sim.controls[sim.rng.choice(sim.region.membership.voters)]


def control_frozen(sim):
    sim.freeze(any_voter(sim), 2.0)


def control_restarted(sim):
    sim.kill(any_voter(sim), 0.2)


def leader_lost(sim):
    sim.kill(sim.controls[sim.leader], 60.0)


def control_silently_cut_off(sim):
    """No datagram and no log in either direction for 10 s, then back."""
    control = any_voter(sim)
    sim.for_a_while(control, "cut_off", 10.0)
    for daemon in sim.daemons.values():
        sim.cut(daemon, control, 10.0)
        sim.cut(control, daemon, 10.0)


def cut_to_one_control(sim):
    sim.cut(owner(sim), any_voter(sim), 3.0)


def cut_from_one_control(sim):
    sim.cut(any_voter(sim), owner(sim), 3.0)


def datagrams_twice_late_and_out_of_order(sim):
    """Half come twice, and one in ten up to 0.35 s late, so after younger ones."""
    sim.duplicate, sim.slow = 0.5, 0.1


def drift_at_its_limit(sim):
    """The other way than in the region at rest: daemons fast, control VMs slow."""
    for node in (*sim.controls.values(), *sim.daemons.values()):
        rate = 2 - node.rate
        node.offset += sim.now * (node.rate - rate)
        node.rate = rate


def owner_frozen(sim):
    """Frozen for longer than its lease, it wakes when others own its shards."""
    sim.freeze(owner(sim), 1.2)


def owner_lost(sim):
    sim.kill(owner(sim), 60.0)


def owner_restarted(sim):
    """The new process claims the name that its predecessor's promises still hold."""
    sim.kill(owner(sim), 0.05)


def claimed_name_restarted(sim):
    """Two processes claim one name; the one that has it restarts."""
    sim.kill(sim.daemons[sim.recorder.owner_by_item["b"]], 0.05)


def owner_cut_off_from_all(sim):
    """Its renewals arrive nowhere."""
    for control in sim.controls.values():
        sim.cut(owner(sim), control, 9.0)


def answers_to_owner_lost(sim):
    """Its renewals arrive, so promises go on, but no answer reaches it for 3 s.

    Nobody else may own its shards while a majority promises them to it, so they are
    without an owner until answers arrive again. Not mended: the bound is the cut.
    """
    for control in sim.controls.values():
        sim.cut(control, owner(sim), 3.0)


def owner_and_leader_lost(sim):
    sim.kill(sim.controls[sim.leader], 60.0)
    owner_lost(sim)


def owner_and_second_vm_lost_after_repair(sim):
    """One VM is lost and replaced; another and an owner go as soon as that is done."""
    sim.kill(sim.controls["c2"], 60.0)
    sim.run(sim.now + 1.0)
    sim.change_membership(lambda names: names[0])
    sim.run(sim.now + 1.0)
    sim.change_membership(lambda names: names[-2])
    assert sim.region.membership.voters == ["c0", "c1", "c3"]
    sim.kill(sim.controls["c1"], 60.0)
    owner_lost(sim)


SCENARIOS = (
    Scenario(control_frozen, 0.0, 4.0),
    Scenario(control_restarted, 0.0),
    Scenario(leader_lost, 0.0),
    Scenario(control_silently_cut_off, 0.0, 12.0),
    Scenario(cut_to_one_control, 0.0, 4.0),
    Scenario(cut_from_one_control, 0.0, 4.0),
    Scenario(datagrams_twice_late_and_out_of_order, 0.0, 5.0),
    Scenario(drift_at_its_limit, 0.0, 5.0),
    Scenario(owner_frozen, 0.6, 3.0),
    Scenario(owner_lost, 0.6),
    Scenario(owner_restarted, 0.6),
    Scenario(claimed_name_restarted, 0.6, targets="abcb"),
    Scenario(owner_cut_off_from_all, 0.6),
    Scenario(owner_and_second_vm_lost_after_repair, 0.6),
    Scenario(owner_and_leader_lost, 1.0),
    Scenario(answers_to_owner_lost, 3.0, 4.5),
)


def main():
    """Print a row for each scenario."""
    for scenario in SCENARIOS:
        runs = [unowned(scenario, seed) for seed in TABLE_SEEDS]
        times = [run.longest_s for run in runs]
        name = scenario.fault.__name__.replace("_", " ")
        lost = sum(run.rejoined > 0 for run in runs)
        print(
            f"| {name} | {statistics.median(times):.3f} | {max(times):.3f}"
            f" | {lost} of {len(runs)} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
