"""Measures how long a shard is without an owner after one fault in a healthy region.

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
    """A fault and the longest time that a shard may then be without an owner.

    ``bound_s`` and ``lasts_s``, the simulated time after the fault, are in seconds.
    """

    fault: object
    bound_s: float
    lasts_s: float = 1.5
    targets: str = "abcd"


@attrs.frozen
class Outcome:
    """Longest time of a shard without an owner, and how many daemons rejoined."""

    longest_s: float
    rejoined: int


def fault_free_region(seed, parts=None, settings=None, targets="ab"):
    """Return a fault-free region, the owner of shard 0 and the three control VMs."""
    sim = Simulation(random.Random(seed), 3, targets, parts, settings)
    sim.drop_probability = sim.duplicate_probability = sim.delay_probability = (
        sim.race_probability
    ) = 0.0
    sim.trace, sim.has_hints = [], True
    for node in (*sim.controls.values(), *sim.daemons.values()):
        node.rate = 1 + (-sim.settings.drift if node.target else sim.settings.drift)
    sim.run(2.0)
    owner = sim.daemons[sim.recorder.owner_by_item[0]]
    return sim, owner, *(sim.controls[name] for name in ("c0", "c1", "c2"))


def run_scenario(scenario, seed):
    """Run a scenario at the default timings and check that no shard has two owners."""
    sim, *_ = fault_free_region(
        seed, settings=LeaseSettings(), targets=scenario.targets
    )
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
    """Return a random voter; the leader is as likely as any other."""
    return sim.controls[sim.rng.choice(sim.region.membership.voters)]


def control_frozen(sim):
    sim.freeze(any_voter(sim), 2.0)


def control_restarted(sim):
    sim.kill(any_voter(sim), 0.2)


def leader_lost(sim):
    sim.kill(sim.controls[sim.leader], 60.0)


def control_silently_cut_off(sim):
    """Datagrams and log updates are lost in both directions for 10 s."""
    control = any_voter(sim)
    sim.set_for(control, "cut_off", 10.0)
    for daemon in sim.daemons.values():
        sim.cut(daemon, control, 10.0)
        sim.cut(control, daemon, 10.0)


def cut_to_one_control(sim):
    sim.cut(owner(sim), any_voter(sim), 3.0)


def cut_from_one_control(sim):
    sim.cut(any_voter(sim), owner(sim), 3.0)


def datagrams_twice_late_and_out_of_order(sim):
    """Half are duplicated, and one in ten is up to 0.35 s late, so out of order."""
    sim.duplicate_probability, sim.delay_probability = 0.5, 0.1


def drift_at_its_limit(sim):
    """The drift of all clocks is reversed: daemons are fast, control VMs slow."""
    for node in (*sim.controls.values(), *sim.daemons.values()):
        rate = 2 - node.rate
        node.offset += sim.now * (node.rate - rate)
        node.rate = rate


def owner_frozen(sim):
    """The owner is frozen for longer than its lease, until others own its shards."""
    sim.freeze(owner(sim), 1.2)


def owner_lost(sim):
    sim.kill(owner(sim), 60.0)


def owner_restarted(sim):
    """The new process claims its name while promises to the previous one still run."""
    sim.kill(owner(sim), 0.05)


def claimed_name_restarted(sim):
    """Two processes claim one name; the one that holds it restarts."""
    sim.kill(sim.daemons[sim.recorder.owner_by_item["b"]], 0.05)


def owner_cut_off_from_all(sim):
    """The owner's renewals reach no control VM."""
    for control in sim.controls.values():
        sim.cut(owner(sim), control, 9.0)


def answers_to_owner_lost(sim):
    """The owner's renewals arrive and are promised, but no answer arrives for 3 s.

    No other target may own its shards while a majority promises them to it, so they
    have no owner until answers arrive again. This isn't fixed: the bound equals the
    duration of the cut.
    """
    for control in sim.controls.values():
        sim.cut(control, owner(sim), 3.0)


def owner_and_leader_lost(sim):
    sim.kill(sim.controls[sim.leader], 60.0)
    owner_lost(sim)


def owner_and_second_vm_lost_after_repair(sim):
    """A VM is lost and replaced; then another VM and an owner are lost together."""
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
    """Print a table row for each scenario; times are in seconds."""
    for scenario in SCENARIOS:
        runs = [run_scenario(scenario, seed) for seed in TABLE_SEEDS]
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
