"""Compares the gate with simpler admission under load, on a model; prints tables.

The model is deterministic: the same seeds give the same tables on every machine.
"""

import argparse

import _bench_path  # noqa: F401
import attrs
import bench_placement
from _model_choice import POLICIES, run_shared
from _model_fleet import ServiceShape
from _model_load import Profile
from _model_run import VARIANTS, Figures, Scenario, run

SEEDS = (1, 2, 3)


@attrs.frozen
class User:
    """The deployment of one user, with the number of targets of each service."""

    name: str
    targets: tuple
    slots: int
    zones: int
    caller_delay_s: float

    def shapes(self):
        """Return the shape of each service."""
        return [
            ServiceShape(count, self.slots, self.zones, self.caller_delay_s)
            for count in self.targets
        ]


USERS = (
    User("Polar Freight", (4, 3, 4), 12, 3, 0.003),
    User("Kirkeblomst", (5, 4, 4), 6, 4, 0.001),
)


def _slow(fleet):
    fleet.targets[0].slowdown = 5.0


def _restore_speed(fleet):
    fleet.targets[0].slowdown = 1.0


def _slow_moderately(fleet):
    fleet.targets[0].slowdown = 2.5


def _declare_too_many_slots(fleet):
    """Give one target half of its declared slots, and a steep slowdown above them."""
    fleet.targets[0].actual_slots = fleet.targets[0].slots // 2
    fleet.targets[0].overload_exponent = 2.0


def _slow_one_after_another(fleet):
    """Make the next target in turn slow, and all others fast."""
    index = fleet.straggler_turn = getattr(fleet, "straggler_turn", -1) + 1
    for number, target in enumerate(fleet.targets):
        target.slowdown = 8.0 if number == index % len(fleet.targets) else 1.0


def _restart(fleet):
    fleet.targets[0].stop(1.0)


def _turn_cold(fleet):
    fleet.targets[0].turn_cold()


def _zone_out(fleet):
    fleet.zone_out(0)


def _zone_in(fleet):
    fleet.zone_in(0)


SCENARIOS = (
    Scenario("steady 0.7x", Profile(0.7)),
    Scenario("bursts of 3x", Profile(0.5, burst_load=3.0)),
    Scenario("one hot key", Profile(0.6, hot_fraction=0.4)),
    Scenario("one slow target", Profile(0.6), ((1.0, _slow), (2.0, _restore_speed))),
    Scenario(
        "one target 2.5x slow",
        Profile(0.7),
        ((1.0, _slow_moderately), (2.0, _restore_speed)),
    ),
    Scenario("one target overrated", Profile(0.6), ((0.0, _declare_too_many_slots),)),
    Scenario("long and short", Profile(0.8, long_fraction=0.3)),
    Scenario("saturation 1x", Profile(1.0)),
    Scenario("saturation 1.5x", Profile(1.5)),
    Scenario("saturation 3x", Profile(3.0, seconds=2.0)),
    Scenario("cold return", Profile(0.5, seconds=10.0), ((1.0, _restart),)),
    Scenario("cold unsaid", Profile(0.5, seconds=10.0), ((1.0, _turn_cold),)),
    Scenario(
        "zone out and back",
        Profile(0.5, seconds=10.0),
        ((1.0, _zone_out), (3.0, _zone_in)),
    ),
)

CHOICE_SCENARIOS = (
    Scenario("steady 0.7x", Profile(0.7, booking_fraction=0.0)),
    Scenario(
        "one straggler",
        Profile(0.7, booking_fraction=0.0),
        ((1.0, _slow), (2.0, _restore_speed)),
    ),
    Scenario(
        "momentary stragglers",
        Profile(0.5, booking_fraction=0.0),
        tuple((0.25 * n, _slow_one_after_another) for n in range(2, 12)),
    ),
)
PLACEMENT_SEEDS = 5

HEADINGS = (
    "scenario",
    "variant",
    "in time",
    "other keys",
    "p50",
    "p99",
    "p99.9",
    "tries",
    "over cold",
    "falls",
    "doubled",
    "lost",
    "wrong word",
    "imbalance",
    "refusals",
)


def _percent(count, total):
    return f"{100 * count / total:.1f}%"


def _reasons(figures):
    common = figures.refusals_by_kind.most_common(4)
    return ", ".join(f"{kind.name} {count}" for kind, count in common) or "-"


def _row(scenario, variant, figures):
    return (
        scenario.name,
        variant.name,
        _percent(figures.in_time, figures.offered),
        _percent(figures.other_keys_in_time, figures.other_keys),
        f"{figures.percentile_ms(0.5):.0f}",
        f"{figures.percentile_ms(0.99):.0f}",
        f"{figures.percentile_ms(0.999):.0f}",
        f"{figures.tries / figures.offered:.2f}",
        str(figures.cold_overloads),
        str(figures.crashes),
        str(figures.duplicated),
        str(figures.lost),
        str(figures.wrongly_refused),
        f"{figures.imbalance:.2f}",
        _reasons(figures),
    )


def _print_row(cells):
    print("| " + " | ".join(cells) + " |", flush=True)


def _print_table(user, scenarios, seeds):
    print(f"\n### {user.name}: {user.targets} targets, {user.slots} slots\n")
    _print_row(HEADINGS)
    _print_row(["---"] * len(HEADINGS))
    for scenario in scenarios:
        for variant in VARIANTS:
            figures = Figures()
            for seed in seeds:
                for shape in user.shapes():
                    run(scenario, variant, shape, seed, figures)
            _print_row(_row(scenario, variant, figures))


def _print_choice(user, seeds):
    print(f"\n### {user.name}, shared services: choice among targets\n")
    headings = ("scenario", "choice", "in time", "p50", "p99", "p99.9", "imbalance")
    _print_row(headings)
    _print_row(["---"] * len(headings))
    for scenario in CHOICE_SCENARIOS:
        for policy in POLICIES:
            figures = Figures()
            for seed in seeds:
                for shape in user.shapes():
                    run_shared(scenario, policy, shape, seed, figures)
            _print_row(_choice_row(scenario, policy, figures))


def _choice_row(scenario, policy, figures):
    return (
        scenario.name,
        policy,
        _percent(figures.in_time, figures.offered),
        f"{figures.percentile_ms(0.5):.0f}",
        f"{figures.percentile_ms(0.99):.0f}",
        f"{figures.percentile_ms(0.999):.0f}",
        f"{figures.imbalance:.2f}",
    )


def _print_placement():
    print("\n### Placement of shards: imbalance, churn, time without an owner")
    for size in bench_placement.SIZES[:2]:
        bench_placement.table(size, PLACEMENT_SEEDS)


def main():
    """Print the tables of gates and of choice for each user, and of placement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--scenario", default="", help="part of a scenario's name")
    options = parser.parse_args()
    scenarios = [s for s in SCENARIOS if options.scenario in s.name]
    print(f"Seeds {list(options.seeds)}; times in ms over lookups answered in time.")
    for user in USERS:
        _print_table(user, scenarios, options.seeds)
    if options.scenario:
        return
    for user in USERS:
        _print_choice(user, options.seeds)
    _print_placement()


if __name__ == "__main__":
    main()
