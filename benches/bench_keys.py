"""Measures how many requests a service with owned keys answers under skewed load."""

import concurrent.futures
import statistics

import attrs
from _model_keys import Load, simulate

LOADS = {
    "usual": Load(),
    "no hot key": Load(hot_fraction=0.0),
    "high": Load(requests_per_s=300.0),
    "few slots": Load(requests_per_s=100.0, slots=6, speeds=(0.7, 0.7, 1.6, 0.7, 1.6)),
    "equal targets": Load(requests_per_s=180.0, speeds=(1.0, 1.0, 1.0, 1.0)),
}
SEEDS = range(6)


def _simulate_one(key):
    name, seed = key
    load = LOADS[name]
    world = simulate(load, seed)
    tally = world.tally
    moved = world.moved_keys / 65536
    return name, tally.worth(load), attrs.asdict(tally), moved


def main():
    """Print one line for each load: means over the seeds."""
    keys = [(name, seed) for name in LOADS for seed in SEEDS]
    with concurrent.futures.ProcessPoolExecutor(7) as pool:
        results = list(pool.map(_simulate_one, keys))
    for name in LOADS:
        of_load = [each for each in results if each[0] == name]
        asked = sum(each[2]["asked"] for each in of_load)
        values = [each[1] for each in of_load]
        parts = [
            f"{part} {sum(each[2][part] for each in of_load) / asked:.3f}"
            for part in ("in_time", "late", "refused", "failed")
        ]
        standard_error = statistics.stdev(values) / len(values) ** 0.5
        moved = statistics.fmean(each[3] for each in of_load)
        print(
            f"{name:14} worth {statistics.fmean(values):.4f} +- {standard_error:.4f}  "
            f"{'  '.join(parts)}  all keys moved {moved:.2f} times"
        )


if __name__ == "__main__":
    main()
