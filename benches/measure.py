"""Simulates the same days with several checkouts, and compares their scores.

A single run says little: a change is an improvement only if its mean gain over days and
seeds exceeds its standard error. The program that simulates a day is given on the
command line; it must accept ``run SITE DAY --seed N --no-cpu --report FILE --why TEXT``
in a checkout's folder.
"""

import concurrent.futures
import json
import statistics
import subprocess
import tempfile
from pathlib import Path

import attrs
import defopt

# Prices below this fraction of a day's worth are left out of the table.
MIN_PRICE_SHOWN = 0.002


@attrs.frozen
class DayRun:
    """A day of a site with a seed; 0 stands for the day's own seed."""

    site: Path
    day: str
    seed: int

    @property
    def name(self):
        """Label in the tables."""
        return f"{self.site.stem} {self.day} {self.seed or ''}".strip()


@attrs.frozen
class Result:
    """Scores of one checkout on one day; ``worth`` is None without a report."""

    worth: float | None
    parts: dict
    prices: dict
    kinds: list
    broken: list

    @classmethod
    def read(cls, path):
        """Return the result in a report, or an empty one if it can't be read."""
        try:
            report = json.loads(path.read_text())
        except (OSError, json.JSONDecodeError):
            return cls(None, {}, {}, [], ["no report"])
        broken = [str(each) for each in report["breaks"]]
        if report["fault"]:
            broken.append(report["fault"])
        return cls(
            report["G"],
            {name: value for name, _, value in report["parts"]},
            {name: price for name, _, price in report["prices"]},
            report["by_class"],
            broken,
        )


def run_day(player, checkout, day_run, folder):
    """Simulate a day with a checkout; return its ``Result``."""
    name = f"{checkout.name}-{day_run.name}".replace(" ", "-")
    report = folder / f"{name}.json"
    command = [player, "run", str(day_run.site), day_run.day, "--no-cpu"]
    command += ["--report", str(report), "--why", f"measure: {checkout.name}"]
    if day_run.seed:
        command += ["--seed", str(day_run.seed)]
    log = (folder / f"{name}.log").open("w")
    with log:
        subprocess.run(command, cwd=checkout, stdout=log, stderr=log)
    return Result.read(report)


def show(day_runs, checkouts, result_by_key):
    """Print a line for each day, then the means of each checkout and its mean gains.

    Gains are over the first checkout.
    """
    width = max(len(day_run.name) for day_run in day_runs)
    for day_run in day_runs:
        cells = []
        for checkout in checkouts:
            result = result_by_key[checkout, day_run]
            worth = "-" if result.worth is None else f"{result.worth:.3f}"
            cells.append(f"{worth}{'!' if result.broken else ' '}")
        print(f"{day_run.name:{width}}  {'  '.join(cells)}")
        for checkout in checkouts:
            for broken in result_by_key[checkout, day_run].broken:
                print(f"{'':{width}}  {checkout.name}: {broken}")
    for checkout in checkouts:
        _show_means(checkout, checkouts[0], day_runs, result_by_key)


def _show_means(checkout, first, day_runs, result_by_key):
    pairs = [
        (result_by_key[checkout, day_run], result_by_key[first, day_run])
        for day_run in day_runs
    ]
    pairs = [(a, b) for a, b in pairs if None not in (a.worth, b.worth)]
    if not pairs:
        return
    worth = statistics.fmean(a.worth for a, _ in pairs)
    gains = [a.worth - b.worth for a, b in pairs]
    gain = statistics.fmean(gains)
    std_error = statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0.0
    print(f"\n{checkout.name}: worth {worth:.4f}, gain {gain:+.4f} +- {std_error:.4f}")
    for name in pairs[0][0].parts:
        _show_mean(name, [(a.parts[name], b.parts[name]) for a, b in pairs])
    for name in pairs[0][0].prices:
        values = [(a.prices[name], b.prices[name]) for a, b in pairs]
        if max(max(pair) for pair in values) >= MIN_PRICE_SHOWN:
            _show_mean(f"price: {name}", values)
    for number in range(len(pairs[0][0].kinds)):
        values = [(a.kinds[number], b.kinds[number]) for a, b in pairs]
        if all(None not in pair for pair in values):
            _show_mean(f"kind {number} of request", values)


def _show_mean(name, values):
    mean = statistics.fmean(a for a, _ in values)
    gain = mean - statistics.fmean(b for _, b in values)
    print(f"  {name:52} {mean:7.4f} {gain:+8.4f}")


def measure(
    *,
    player: str,
    site: list[Path],
    day: list[str],
    checkout: list[Path],
    seed: list[int] | None = None,
    jobs: int = 3,
):
    """Simulate days with several checkouts and print their scores.

    Parameters
    ----------
    player
        Program that simulates a day.
    site
        Site files.
    day
        Names or files of days.
    checkout
        Folders of checkouts; the others are compared with the first one.
    seed
        Seeds of the days; 0, the default, is each day's own seed.
    jobs
        Number of days simulated at a time.
    """
    day_runs = [
        DayRun(place.resolve(), name, number)
        for place in site
        for name in day
        for number in seed or [0]
    ]
    checkouts = [each.resolve() for each in checkout]
    keys = [(each, day_run) for day_run in day_runs for each in checkouts]
    folder = Path(tempfile.mkdtemp(prefix="measure-"))
    print(f"logs in {folder}")
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = pool.map(lambda key: run_day(player, *key, folder), keys)
        show(day_runs, checkouts, dict(zip(keys, results, strict=True)))


if __name__ == "__main__":
    defopt.run(measure)
