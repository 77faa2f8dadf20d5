"""Cost of a leader's look at all targets and keys: ``python benches/bench_tick.py``.

Owners of part of the keys are silent, so that changes are due; the log takes none of
them, as while a disk stalls. Prints milliseconds of processor time for one look, after
a number of looks before it.
"""

import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._messages import Report
from tamarackhaven.fleet._model import KEY_COUNT, KeyRange, Target, life_of
from tamarackhaven.fleet._state import AssignKeys, FleetState, ReplaceConfiguration
from tamarackhaven.routing import Configuration, ServiceSpec

SERVICE = "owned"
TARGETS = 20
SILENT = 5
LEASE_S = 4.0
RANGES = (100, 1000)
LOOKS = (0, 10, 1000)
REPEATS = 5


def target(number):
    """Return one of the targets."""
    host = f"10.0.0.{number}"
    life = life_of(f"i{number}", 1, f"{host}:1")
    return Target(life, f"i{number}", 1, SERVICE, "z", host, 1, 8, work_s=0.1)


def state_of(ranges):
    """Return a state with so many ranges, whose owners take turns."""
    state = FleetState()
    services = (ServiceSpec(SERVICE, sharded=True),)
    state.apply(1, ReplaceConfiguration(0, Configuration(1, services), "1"))
    size = KEY_COUNT // ranges
    owners = itertools.cycle(target(number).life for number in range(TARGETS))
    new = [
        KeyRange(
            number * size,
            KEY_COUNT - 1 if number == ranges - 1 else (number + 1) * size - 1,
            owner=next(owners),
        )
        for number in range(ranges)
    ]
    expected = state.ranges_by_service[SERVICE]
    state.apply(2, AssignKeys(SERVICE, tuple(new), expected))
    return state


def cost_ms(ranges, looks):
    """Return the processor time of one look after ``looks`` others."""
    state = state_of(ranges)
    now = 100.0
    leader = Leadership(1, LEASE_S, now)
    now += 2 * LEASE_S
    for number in range(SILENT, TARGETS):
        leader.report(Report(1, target(number)), now)
    for _ in range(looks):
        leader.tick(state, now)
    started_s = time.process_time()
    for _ in range(REPEATS):
        leader.tick(state, now)
    return (time.process_time() - started_s) / REPEATS * 1000


def main():
    """Print the table."""
    for ranges in RANGES:
        for looks in LOOKS:
            cost = cost_ms(ranges, looks)
            print(f"{ranges:5} ranges, after {looks:4} looks: {cost:8.2f} ms a look")


if __name__ == "__main__":
    main()
