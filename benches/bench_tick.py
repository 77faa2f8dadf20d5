"""Measures the cost of a tick of the leader: ``python benches/bench_tick.py``.

Some owners of keys send no reports, so that changes are due, but none is committed, as
while a disk stalls. Prints the processor time of one tick in milliseconds, after
different numbers of earlier ticks.
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
TARGET_COUNT = 20
SILENT_TARGETS = 5
LEASE_S = 4.0
RANGE_COUNTS = (100, 1000)
EARLIER_TICKS = (0, 10, 1000)
MEASURED_TICKS = 5


def target(number):
    """Return the target with a number."""
    host = f"10.0.0.{number}"
    life = life_of(f"i{number}", 1, f"{host}:1")
    return Target(life, f"i{number}", 1, SERVICE, "z", host, 1, 8, work_s=0.1)


def state_with(ranges):
    """Return a state with ``ranges`` ranges, assigned to the targets in turn."""
    state = FleetState()
    services = (ServiceSpec(SERVICE, sharded=True),)
    state.apply(1, ReplaceConfiguration(0, Configuration(1, services), "1"))
    size = KEY_COUNT // ranges
    owners = itertools.cycle(target(number).life for number in range(TARGET_COUNT))
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


def cost_ms(ranges, ticks):
    """Return the processor time of one tick in milliseconds, after ``ticks`` others."""
    state = state_with(ranges)
    now = 100.0
    leader = Leadership(1, LEASE_S, now)
    now += 2 * LEASE_S
    for number in range(SILENT_TARGETS, TARGET_COUNT):
        leader.directory.record(Report(1, target(number)), now)
    for _ in range(ticks):
        leader.tick(state, now)
    started_s = time.process_time()
    for _ in range(MEASURED_TICKS):
        leader.tick(state, now)
    return (time.process_time() - started_s) / MEASURED_TICKS * 1000


def main():
    """Print a line for each number of ranges and of earlier ticks."""
    for ranges in RANGE_COUNTS:
        for ticks in EARLIER_TICKS:
            cost = cost_ms(ranges, ticks)
            print(f"{ranges:5} ranges, after {ticks:4} looks: {cost:8.2f} ms a look")


if __name__ == "__main__":
    main()
