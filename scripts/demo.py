"""Demo with real processes on loopback; fails if a booking is lost or doubled.

Runs two services with seven targets in two availability zones, three control VMs, and
callers that send lookups and bookings over HTTP. One target and its daemon are killed
while callers send requests.
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
PHASE_DURATION_S = 6.0


def main():
    """Run the demo and return the exit code."""
    cluster = Cluster(ROOT / ".demo", [str(ROOT / "dist" / "tamarackhaven")], TARGETS)
    started_s = time.monotonic()
    try:
        cluster.start(RESOURCES)
        print(f"started {len(cluster.process_by_name)} processes in ", end="")
        print(f"{time.monotonic() - started_s:.1f} s")
        return run(cluster)
    finally:
        cluster.stop()


def run(cluster):
    """Send requests, kill the victim, measure its outage and return the exit code."""
    running_names = [name for name in cluster.ports_by_name if name != VICTIM]
    ports = [cluster.ports_by_name[name].caller for name in running_names]
    lookups = Load(lambda: ports, "tracking", KEYS, 0.0, callers=4, pause_s=0.02)
    bookings = Load(lambda: ports, "booking", KEYS, 0.7, callers=6, pause_s=0.03)
    for load in (lookups, bookings):
        load.start()
    time.sleep(PHASE_DURATION_S)
    owned_keys = victim_keys(cluster)
    print(f"killing target {VICTIM} and its daemon, which own {len(owned_keys)} keys")
    kill_s = time.monotonic()
    cluster.kill(f"t-{VICTIM}", f"d-{VICTIM}")
    with ThreadPoolExecutor(4) as executor:
        futures = [
            executor.submit(outage_s, ports[n % len(ports)], "booking", key, kill_s)
            for n, key in enumerate(owned_keys[:4])
        ]
        outages_s = [future.result() for future in futures]
    time.sleep(PHASE_DURATION_S)
    for load in (lookups, bookings):
        load.stop()
    wait_until(cluster.all_owned, 30, "every shard has an owner again")
    return report(cluster, lookups, bookings, outages_s)


def victim_keys(cluster):
    """Return the booking keys whose shards the victim owns."""
    from tamarackhaven._keys import hash_key, shard_of

    owned_shards = {
        row["shard"]
        for row in cluster.records("shard")
        if row["service"] == "booking" and row["owner"] == VICTIM
    }
    return [
        key for key in KEYS if shard_of(hash_key("booking", key), 64) in owned_shards
    ]


def report(cluster, lookups, bookings, outages_s):
    """Print the report and return the exit code.

    It is 1 if a booking was lost or doubled, or none was acknowledged; otherwise 0.
    """
    for title, load in (("tracking", lookups), ("booking", bookings)):
        total = sum(load.answers.values())
        print(f"{title}: {total} requests, responses by kind:")
        for kind, count in load.answers.most_common():
            print(f"  {kind}: {count}")
    audit = bookings.audit(cluster.journal())
    print(f"maximum time without an owner after the kill: {max(outages_s):.2f} s")
    print(f"acknowledged bookings: {audit.booked}")
    print(f"lost bookings: {audit.lost}")
    print(f"doubled bookings: {audit.doubled}")
    print(f"unacknowledged bookings: {audit.unresolved}")
    print(f"  of those, executed: {audit.unresolved_but_run}")
    return 1 if audit.lost or audit.doubled or not audit.booked else 0


if __name__ == "__main__":
    sys.exit(main())
