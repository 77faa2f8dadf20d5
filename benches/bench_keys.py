"""Prints what callers get from a service with owned keys under skewed load."""

import concurrent.futures
import statistics

import attrs
from _model_keys import Load, play

LOADS = {
    "usual": Load(),
    "no hot key": Load(hot_part=0.0),
    "high": Load(per_s=300.0),
    "few slots": Load(per_s=100.0, slots=6, speeds=(0.7, 0.7, 1.6, 0.7, 1.6)),
    "equal targets": Load(per_s=180.0, speeds=(1.0, 1.0, 1.0, 1.0)),
}
SEEDS = range(6)


def _one(key):
    name, seed = key
    load = LOADS[name]
    world = play(load, seed)
    tally = world.tally
    moved = world.moved_keys / 65536
    return name, tally.worth(load), attrs.asdict(tally), moved


def main():
    """Print one line a load: means over the seeds."""
    keys = [(name, seed) for name in LOADS for seed in SEEDS]
    with concurrent.futures.ProcessPoolExecutor(7) as pool:
        results = list(pool.map(_one, keys))
    for name in LOADS:
        mine = [each for each in results if each[0] == name]
        asked = sum(each[2]["asked"] for each in mine)
        worths = [each[1] for each in mine]
        parts = [
            f"{part} {sum(each[2][part] for each in mine) / asked:.3f}"
            for part in ("in_time", "late", "refused", "failed")
        ]
        spread = statistics.stdev(worths) / len(worths) ** 0.5
        moved = statistics.fmean(each[3] for each in mine)
        print(
            f"{name:14} worth {statistics.fmean(worths):.4f} +- {spread:.4f}  "
            f"{'  '.join(parts)}  all keys moved {moved:.2f} times"
        )


if __name__ == "__main__":
    main()
