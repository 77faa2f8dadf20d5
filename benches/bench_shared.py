"""Measures lookups with one slow target and with a frozen owner, on real processes.

The program is compared with variants without hedging, without choice among targets, and
without detection of a frozen owner. With a slow target, all variants run at once and
are loaded in turn, so that a busy machine slows them equally; compare their ratios.
"""

import argparse
import collections
import pathlib
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from standin.cluster import START_S, Cluster, TargetSpec, wait_until  # noqa: E402
from standin.load import Load  # noqa: E402
from tamarackhaven._keys import hash_key, shard_of  # noqa: E402

RESOURCES = """
[[zone]]
name = "a"
region = "ice"

[[policy]]
name = "p"
mode = "{mode}"

[[service]]
name = "s"
policy = "p"
shard_count = 16
"""
EXTRA = {
    "daemon": "\n[gate]\ncold_s = 0.0\ncold_requests = 12\n",
    # Without pinned keys, the keys of a target are those of its shards.
    "control": "\n[placement]\npin_share = 1.0\n",
}
KEYS = [f"k{number}" for number in range(200)]
FAST_MS, SLOW_MS = 5.0, 100.0
VARIANTS = ("whole", "no-hedge", "no-choice")
FROZEN_S = 3.0


class SharedCluster(Cluster):
    """A cluster whose keys have no owners: ready once all targets are active."""

    def all_owned(self):
        """Return whether all targets are active."""
        rows = self.records("target")
        active = sum(row["state"] == "active" for row in rows)
        return active == len(self.spec_by_name)


def program(variant):
    """Return the command line that runs a variant of the program."""
    return [sys.executable, str(ROOT / "benches" / "_variant.py"), variant]


def measure_slow_target(folder, rounds, round_s):
    """Print the percentiles of lookups with one of four targets 20 times as slow."""
    cluster_by_variant = {}
    times, answers = collections.defaultdict(list), {}
    try:
        for variant in VARIANTS:
            specs = [
                TargetSpec("s", f"t{n}", "a", cold_s=0.0, service_ms=FAST_MS)
                for n in range(3)
            ]
            specs += [TargetSpec("s", "t3", "a", cold_s=0.0, service_ms=SLOW_MS)]
            cluster = SharedCluster(folder / variant, program(variant), specs, 1, EXTRA)
            cluster_by_variant[variant] = cluster
            cluster.start(RESOURCES.format(mode="shared"))
            answers[variant] = collections.Counter()
        time.sleep(2.0)
        for _ in range(rounds):
            for variant, cluster in cluster_by_variant.items():
                load = _load(cluster)
                load.start()
                time.sleep(round_s)
                load.stop()
                times[variant] += load.latencies_s
                answers[variant].update(load.answers)
        _print_times(times, answers)
        _print_processes(cluster_by_variant)
    finally:
        for cluster in cluster_by_variant.values():
            cluster.stop()


def _load(cluster):
    ports = [p.caller for p in cluster.ports_by_name.values()]
    return Load(lambda: ports, "s", KEYS, 0.0, callers=8, pause_s=0.02)


def _print_times(times, answers):
    base = None
    print(f"one of four targets takes {SLOW_MS:g} ms, the others {FAST_MS:g} ms")
    for variant in reversed(VARIANTS):
        ordered = sorted(times[variant])
        values = [
            ordered[int(len(ordered) * part)] * 1000 for part in (0.5, 0.95, 0.99)
        ]
        base = base or values
        shown = " ".join(f"{value:7.1f} ms" for value in values)
        ratio = " ".join(
            f"{value / first:5.2f}" for value, first in zip(values, base, strict=True)
        )
        print(f"{variant:10} p50 p95 p99: {shown}   to no-choice: {ratio}")
        print(f"{'':10} answers: {dict(answers[variant])}")


def _print_processes(cluster_by_variant):
    for variant, cluster in cluster_by_variant.items():
        resident = max(cluster.resident_mb(f"d-{n}") for n in cluster.spec_by_name)
        print(f"{variant:10} daemon resident at most {resident:.1f} MB")


def measure_frozen_owner(folder, rounds):
    """Print the answers to lookups while their owner's daemon is stopped."""
    for variant in ("no-watch", "whole"):
        specs = [TargetSpec("s", f"t{n}", "a", cold_s=0.0) for n in range(3)]
        cluster = Cluster(
            folder / f"frozen-{variant}", program(variant), specs, 3, EXTRA
        )
        try:
            cluster.start(RESOURCES.format(mode="exclusive"))
            time.sleep(1.0)
            counts = collections.Counter()
            for number in range(rounds):
                counts += _answers_while_frozen(cluster, f"t{number % 3}")
            print(f"{variant:10} lookups of a frozen owner's keys: {dict(counts)}")
        finally:
            cluster.stop()


def _answers_while_frozen(cluster, name):
    """Stop one daemon for ``FROZEN_S``; return the answers meanwhile, by kind."""
    rows = cluster.records("shard")
    shards = {row["shard"] for row in rows if row["owner"] == name}
    keys = [key for key in KEYS if shard_of(hash_key("s", key), 16) in shards]
    ports = [p.caller for n, p in cluster.ports_by_name.items() if n != name]
    load = Load(lambda: ports, "s", keys, 0.0, callers=4, pause_s=0.01)
    load.start()
    time.sleep(0.5)
    cluster.send_signal(f"d-{name}", signal.SIGSTOP)
    time.sleep(FROZEN_S)
    cluster.send_signal(f"d-{name}", signal.SIGCONT)
    load.stop()
    wait_until(cluster.all_owned, START_S, "all shards owned again")
    time.sleep(1.0)
    return load.answers


def main():
    """Run both measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--round-s", type=float, default=4.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        measure_slow_target(pathlib.Path(folder), arguments.rounds, arguments.round_s)
        measure_frozen_owner(pathlib.Path(folder), arguments.rounds)


if __name__ == "__main__":
    main()
