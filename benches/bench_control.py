"""Measures the control group: commits, leases, outages and lost leases.

The control VMs are real processes on loopback. The stand-in daemons are lease clients,
with many in a process. Absolute times depend on the load of the machine, so compare
only figures of one run.
"""

import argparse
import multiprocessing
import statistics
import sys
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standin.cluster import Cluster, TargetSpec, wait_until  # noqa: E402
from standin.load import ask, outage_s  # noqa: E402
from tamarackhaven._changes import JoinTarget, PutResource  # noqa: E402
from tamarackhaven._control_client import ControlClient  # noqa: E402
from tamarackhaven._lease_client import LeaseClient  # noqa: E402
from tamarackhaven._lease_wire import Ack, Reason, Renewal, encode  # noqa: E402
from tamarackhaven._members import Member, Membership  # noqa: E402
from tamarackhaven._model import Address, AvailabilityZone  # noqa: E402
from tamarackhaven._settings import LeaseSettings  # noqa: E402
from tamarackhaven.plumbing import new_change_id  # noqa: E402

RESOURCES = """
[[zone]]
name = "a"
[[zone]]
name = "b"
[[policy]]
name = "one-owner"
[[service]]
name = "s"
policy = "one-owner"
shard_count = 64
"""
UDP_HEADER_BYTES = 28
LEASE_MEASUREMENT_S = 10.0
STANDIN_PROCESSES = 5
COMMITS = 320
CHANGES = 30
UNCHANGED_S = 1.0


def new_cluster(folder, targets):
    """Return a cluster that runs the program from source."""
    program = [sys.executable, "-m", "tamarackhaven"]
    return Cluster(ROOT / ".demo" / folder, program, targets)


def members(cluster):
    """Return the control VMs as group members."""
    return [
        Member(name, "127.0.0.1", *ports)
        for name, ports in cluster.control_ports.items()
    ]


def start_controls(cluster):
    """Start the control VMs and wait for a leader."""
    for name in cluster.control_names:
        cluster.start_control(name, "--first-start")
    wait_until(cluster.leader, 30, "a leader")


def gauge(cluster, name, wanted):
    """Return a gauge from the metrics page of a process, or 0 if it isn't there."""
    settings = (cluster.folder / name / "settings.toml").read_text()
    port = settings.partition("[metrics]")[2].partition("port = ")[2].split()[0]
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as page:
        for line in page.read().decode().splitlines():
            if line.startswith(wanted + " "):
                return float(line.split()[1])
    return 0.0


def bench_commits(cluster):
    """Print the rate of commits and the syncs for each, for 1 and 64 writers."""
    print("\n| writers | commits | commits/s | syncs at the leader a commit |")
    print("|---|---|---|---|")
    leader = cluster.leader()
    for writers in (1, 64):
        client = ControlClient(members(cluster))
        before = gauge(cluster, leader, "tamarackhaven_control_syncs")
        start = time.monotonic()
        with ThreadPoolExecutor(writers) as executor:
            list(executor.map(put_zone, [client] * COMMITS))
        elapsed_s = time.monotonic() - start
        syncs = gauge(cluster, leader, "tamarackhaven_control_syncs") - before
        client.close()
        print(f"| {writers} | {COMMITS} | {COMMITS / elapsed_s:.0f} | ", end="")
        print(f"{syncs / COMMITS:.2f} |")


def put_zone(client):
    """Commit one new zone."""
    name = f"z-{new_change_id()}"
    outcome = client.change(PutResource(name, AvailabilityZone(name)), 10)
    assert not outcome.code, outcome
    return outcome.version


def run_standins(rows, numbers, ready, stop, result):
    """Renew leases for some targets in one process until ``stop`` is set.

    Puts the used fraction of a core, and the leases held and lost, into ``result``.
    """
    client = ControlClient(rows)
    leases = []
    for number in numbers:
        instance = f"i-{number}"
        change = JoinTarget(
            "s", f"t-{number}", "a", instance, "1", Address("127.0.0.1", 9)
        )
        member = client.change(change, 20).member
        lease = LeaseClient(
            LeaseSettings(),
            Membership(tuple(rows)),
            on_version=lambda version: None,
            on_must_rejoin=lambda reason: None,
        )
        lease.set_grant(member.epoch)
        leases.append(lease)
    ready.put(len(leases))
    start = time.process_time()
    started_s = time.monotonic()
    stop.wait()
    cpu = time.process_time() - start
    held = sum(lease.holds() for lease in leases)
    lost = sum(sum(lease.losses_by_reason.values()) for lease in leases)
    for lease in leases:
        lease.stop()
    client.close()
    result.put((cpu / (time.monotonic() - started_s), held, lost))


def bench_leases(cluster):
    """Print bytes and CPU of leases at a daemon and at a control VM, with the slope."""
    renewal = len(encode(Renewal(1, 1, 1))) + UDP_HEADER_BYTES
    ack = len(encode(Ack(1, Reason.GRANTED, 1))) + UDP_HEADER_BYTES
    rate = 1000 / LeaseSettings().renew_ms
    voters = len(cluster.control_names)
    print(f"\nrenewal {renewal} and answer {ack} bytes with IP and UDP headers; ")
    sent, received = renewal * rate * voters, ack * rate * voters
    print(f"{sent:.0f} bytes/s sent and {received:.0f} received by each daemon\n")
    print("| daemons | CPU of a daemon's lease, % of a core | of a control VM, % |")
    print("|---|---|---|")
    points = []
    total = 0
    batches = []
    for count in (50, 100, 200):
        batches.append(start_standins(cluster, range(total, count)))
        total = count
        before = [cluster.cpu_s(name) for name in cluster.control_names]
        time.sleep(LEASE_MEASUREMENT_S)
        after = [cluster.cpu_s(name) for name in cluster.control_names]
        control = statistics.mean(b - a for a, b in zip(before, after, strict=True))
        points.append((count, control / LEASE_MEASUREMENT_S * 100))
        print(f"| {count} | | {points[-1][1]:.1f} |")
    rows = [row for batch in batches for row in stop_standins(batch)]
    cpu = sum(row[0] for row in rows) / total * 100
    print(f"| {total} | {cpu:.2f} | |")
    slope, base = statistics.linear_regression(*zip(*points, strict=True))
    print(f"\nslope at a control VM: {slope:.3f} % of a core for each daemon, ", end="")
    print(f"{base:.1f} % without any; leases held at the end: ", end="")
    print(f"{sum(row[1] for row in rows)} of {total}, lost: {sum(r[2] for r in rows)}")


def start_standins(cluster, numbers):
    """Start processes that renew leases for targets; return a batch to be stopped."""
    context = multiprocessing.get_context("spawn")
    ready, result, stop = context.Queue(), context.Queue(), context.Event()
    processes = []
    for part in range(STANDIN_PROCESSES):
        own_numbers = list(numbers)[part::STANDIN_PROCESSES]
        arguments = (members(cluster), own_numbers, ready, stop, result)
        processes.append(context.Process(target=run_standins, args=arguments))
    for process in processes:
        process.start()
    for _ in processes:
        ready.get(timeout=120)
    return processes, stop, result


def stop_standins(batch):
    """Stop the processes of a batch and return their results."""
    processes, stop, result = batch
    stop.set()
    rows = [result.get(timeout=60) for _ in processes]
    for process in processes:
        process.join(30)
    return rows


def bench_losses(rounds):
    """Print the outage of a key after kills of its owner, of the leader and of both."""
    targets = [TargetSpec("s", f"t{n}", "ab"[n % 2], cold_s=0) for n in range(4)]
    cluster = new_cluster("losses", targets)
    print("\n| killed | times | median s | longest s |\n|---|---|---|---|")
    try:
        cluster.start(RESOURCES)
        outages = {"owner": [], "leader": [], "both": []}
        for number in range(rounds):
            killed = list(outages)[number % 3]
            outages[killed].append(measure_loss(cluster, killed, f"t{number % 4}"))
    finally:
        cluster.stop()
    for killed, times in outages.items():
        row = f"{statistics.median(times):.2f} | {max(times):.2f}"
        print(f"| {killed} | {len(times)} | {row} |")


def measure_loss(cluster, killed, name):
    """Kill processes, return the outage of one key of target ``name``, and repair.

    ``killed`` is ``owner``, ``leader`` or ``both``; the outage is in seconds.
    """
    from tamarackhaven._keys import hash_key, shard_of

    owned = settled(cluster, name)
    # A new key in each round: one that is used in all of them would become hot and be
    # pinned to another target.
    keys = (f"k{new_change_id()}" for _ in range(10_000))
    key = next(k for k in keys if shard_of(hash_key("s", k), 64) in owned)
    other = next(n for n in cluster.ports_by_name if n != name)
    port = cluster.ports_by_name[other].caller
    assert ask(port, "s", key).status == 200
    leader = cluster.leader()
    victims = [] if killed == "leader" else [f"t-{name}", f"d-{name}"]
    victims += [] if killed == "owner" else [leader]
    start = time.monotonic()
    cluster.kill(*victims)
    outage = outage_s(port, "s", key, start)
    if killed != "owner":
        cluster.start_control(leader)
    if killed != "leader":
        cluster.start_target(name)
        cluster.start_daemon(name)
        wait_until(lambda: owns(cluster, name), 60, f"{name} owns shards again")
    wait_until(cluster.leader, 30, "a leader")
    return outage


def settled(cluster, name):
    """Return the shards of a target once no shard has moved for ``UNCHANGED_S``.

    Shards still move back after a repair. If the measured shard moved away before the
    kill, the loss would be counted without an outage.
    """
    rows = None
    while True:
        wait_until(cluster.all_owned, 60, "every shard has an owner")
        known, rows = rows, cluster.records("shard")
        if rows == known:
            return {row["shard"] for row in rows if row["owner"] == name}
        time.sleep(UNCHANGED_S)


def owns(cluster, name):
    """Return whether a target owns any shard."""
    return any(row["owner"] == name for row in cluster.records("shard"))


def bench_in_force(changes):
    """Print the time from a change until every daemon has applied it."""
    targets = [TargetSpec("s", f"t{n}", "ab"[n % 2], cold_s=0) for n in range(8)]
    cluster = new_cluster("force", targets)
    times = []
    try:
        cluster.start(RESOURCES)
        client = ControlClient(members(cluster))
        for _ in range(changes):
            start = time.monotonic()
            version = put_zone(client)
            for target in targets:
                while map_version(cluster, target.name) < version:
                    time.sleep(0.002)
            times.append(time.monotonic() - start)
        client.close()
    finally:
        cluster.stop()
    times.sort()
    print(f"\na change in force at {len(targets)} daemons, {changes} times: ", end="")
    print(f"median {statistics.median(times):.3f} s, longest {times[-1]:.3f} s")


def map_version(cluster, name):
    """Return the version of a daemon's map."""
    return gauge(cluster, f"d-{name}", "tamarackhaven_map_version")


def keep_core_busy(until):
    """Keep one core busy until a time of ``time.monotonic``."""
    while time.monotonic() < until:
        sum(range(1000))


def bench_false_expiries(seconds):
    """Print the leases lost while all cores are busy, although nothing fails."""
    targets = [TargetSpec("s", f"t{n}", "ab"[n % 2], cold_s=0) for n in range(4)]
    cluster = new_cluster("busy", targets)
    context = multiprocessing.get_context("spawn")
    try:
        cluster.start(RESOURCES)
        until = time.monotonic() + seconds
        processes = [
            context.Process(target=keep_core_busy, args=(until,))
            for _ in range(multiprocessing.cpu_count())
        ]
        for process in processes:
            process.start()
        for process in processes:
            process.join(seconds + 60)
        lost = sum(
            gauge(cluster, f"d-{t.name}", f'tamarackhaven_lease_losses{{reason="{r}"}}')
            for t in targets
            for r in ("expired", "refused")
        )
    finally:
        cluster.stop()
    renewals = seconds * 1000 / LeaseSettings().renew_ms * len(targets)
    print(f"\nleases lost in {seconds:.0f} s with all cores busy: {lost:.0f} ", end="")
    print(f"({len(targets)} daemons, about {renewals:.0f} rounds of renewals)")


def main():
    """Run the chosen measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kills", type=int, default=21)
    parser.add_argument("--busy-s", type=float, default=300.0)
    parser.add_argument("--part", choices=("costs", "force", "losses", "busy", "all"))
    options = parser.parse_args()
    part = options.part or "all"
    if part in ("costs", "all"):
        bench_costs()
    if part in ("force", "all"):
        bench_in_force(CHANGES)
    if part in ("losses", "all"):
        bench_losses(options.kills)
    if part in ("busy", "all"):
        bench_false_expiries(options.busy_s)


def bench_costs():
    """Print commits and leases of one control group."""
    cluster = new_cluster("control", [])
    try:
        start_controls(cluster)
        cluster.apply(RESOURCES)
        bench_commits(cluster)
        bench_leases(cluster)
    finally:
        cluster.stop()


if __name__ == "__main__":
    main()
