"""The main job with real processes on loopback; fails if a booking is lost or doubled.

Two services with seven targets in two availability zones, three control VMs, lookups
and bookings over HTTP. One target is killed with its daemon while callers ask.
"""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standin.cluster import Cluster, TargetSpec, wait_until  # noqa: E402
from standin.load import Load, outage_s  # noqa: E402

RESOURCES = """
[[zone]]
name = "a"
region = "ice"

[[zone]]
name = "b"
region = "ice"

[[policy]]
name = "one-owner"
mode = "exclusive"
move_batch = 8

[[service]]
name = "tracking"
policy = "one-owner"
shard_count = 64

[[service]]
name = "booking"
policy = "one-owner"
shard_count = 64
"""
TARGETS = [TargetSpec("tracking", f"track-{n}", "ab"[n % 2]) for n in range(4)]
TARGETS += [TargetSpec("booking", f"book-{n}", "ab"[n % 2]) for n in range(3)]
VICTIM = "book-1"
KEYS = [f"voyage-{n}" for n in range(200)]
PHASE_S = 6.0


def main():
    """Run the demo; return the exit code."""
    cluster = Cluster(ROOT / ".demo", [str(ROOT / "dist" / "tamarackhaven")], TARGETS)
    started = time.monotonic()
    try:
        cluster.start(RESOURCES)
        print(f"started {len(cluster.process_by_name)} processes in ", end="")
        print(f"{time.monotonic() - started:.1f} s")
        return run(cluster)
    finally:
        cluster.stop()


def run(cluster):
    """Ask and book, kill, report."""
    alive = [name for name in cluster.ports_by_name if name != VICTIM]
    ports = [cluster.ports_by_name[name].caller for name in alive]
    lookups = Load(lambda: ports, "tracking", KEYS, 0.0, callers=4, pause_s=0.02)
    bookings = Load(lambda: ports, "booking", KEYS, 0.7, callers=6, pause_s=0.03)
    for load in (lookups, bookings):
        load.start()
    time.sleep(PHASE_S)
    victims = victim_keys(cluster)
    print(f"killing target {VICTIM} and its daemon, which own {len(victims)} keys")
    kill_s = time.monotonic()
    cluster.kill(f"t-{VICTIM}", f"d-{VICTIM}")
    with ThreadPoolExecutor(4) as executor:
        asked = [
            executor.submit(outage_s, ports[n % len(ports)], "booking", key, kill_s)
            for n, key in enumerate(victims[:4])
        ]
        outages = [future.result() for future in asked]
    time.sleep(PHASE_S)
    for load in (lookups, bookings):
        load.stop()
    wait_until(cluster.all_owned, 30, "every shard has an owner again")
    return report(cluster, lookups, bookings, outages)


def victim_keys(cluster):
    """Return the keys whose shards the victim owns."""
    from tamarackhaven._keys import hash_key, shard_of

    owned = {
        row["shard"]
        for row in cluster.records("shard")
        if row["service"] == "booking" and row["owner"] == VICTIM
    }
    return [key for key in KEYS if shard_of(hash_key("booking", key), 64) in owned]


def report(cluster, lookups, bookings, outages):
    """Print the report; return 0 unless a booking was lost or doubled."""
    for title, load in (("tracking", lookups), ("booking", bookings)):
        total = sum(load.answers.values())
        print(f"{title}: {total} requests, answers by kind:")
        for kind, count in load.answers.most_common():
            print(f"  {kind}: {count}")
    audit = bookings.audit(cluster.journal())
    print(f"time without an owner after the kill: {max(outages):.2f} s at most")
    print(f"bookings told done: {audit.booked}")
    print(f"lost bookings: {audit.lost}")
    print(f"doubled bookings: {audit.doubled}")
    print(f"bookings left open: {audit.unresolved}")
    print(f"  of those, run: {audit.unresolved_but_run}")
    return 1 if audit.lost or audit.doubled or not audit.booked else 0


if __name__ == "__main__":
    sys.exit(main())
