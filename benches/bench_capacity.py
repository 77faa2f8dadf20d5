"""Measures the cost of each part, its slope and its value at the design size.

Prints Markdown tables. Bytes of calls are counted by a relay on loopback, processor
time by the scheduler, memory by ``tracemalloc``. The first tables are of real
processes, the others of parts within this process. Absolute times depend on the load of
the machine. ``--rest-s`` is how long idle processes are measured.
"""

import argparse
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benches"))

import _capacity_model as model  # noqa: E402
from _capacity_relay import Relay  # noqa: E402

from standin.cluster import Cluster, TargetSpec  # noqa: E402
from tamarackhaven._changes import PutResource  # noqa: E402
from tamarackhaven._control_client import ControlClient  # noqa: E402
from tamarackhaven._events import HotKey, LoadReport  # noqa: E402
from tamarackhaven._fetch_pace import CONFIRMED_INTERVAL_S  # noqa: E402
from tamarackhaven._lease_wire import (  # noqa: E402
    Ack,
    Hint,
    Reason,
    Renewal,
    encode,
)
from tamarackhaven._load_reports import (  # noqa: E402
    MAX_HOT_KEYS,
    PAUSE_PER_HOT_KEY_S,
    REPORT_INTERVAL_S,
)
from tamarackhaven._members import Member  # noqa: E402
from tamarackhaven._model import AvailabilityZone  # noqa: E402
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
VOTERS = 3
CHANGES_PER_DAY = 1_200
BUDGET_BYTES_PER_S, BUDGET_CPU_PERCENT, BUDGET_MB = 2_000, 1.3, 64
SETTLE_TIME_S = 8.0
CALL_TIMEOUT_S = 5.0


def datagram_bytes(message):
    """Return the bytes of a message as a datagram, with IP and UDP headers."""
    return len(encode(message)) + UDP_HEADER_BYTES


def cpu_s(pid):
    """Return the processor time of a process, in seconds.

    Read from ``schedstat``, because ``/proc/PID/stat`` counts whole ticks of 10 ms and
    misses most of the time of a process that runs for less than a tick at a time.
    """
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((t / "schedstat").read_text().split()[0]) for t in tasks) / 1e9


def bench_rest(cluster, rest_s):
    """Print processor time and memory of idle processes."""
    names = ["d-t0", "d-t1", *cluster.control_names]
    time.sleep(SETTLE_TIME_S)
    pids = [cluster.process_by_name[name].pid for name in names]
    before = [cpu_s(pid) for pid in pids]
    time.sleep(rest_s)
    after = [cpu_s(pid) for pid in pids]
    model.table(
        f"Processes at rest for {rest_s:.0f} s, 2 daemons with a target each",
        "process", "% of a core", "resident MB",
    )  # fmt: skip
    for name, start, end in zip(names, before, after, strict=True):
        used_percent = (end - start) / rest_s * 100
        model.row(name, f"{used_percent:.2f}", f"{cluster.resident_mb(name):.0f}")
    model.row("allowed for a daemon", BUDGET_CPU_PERCENT, BUDGET_MB)


def measure_call(relay, call):
    """Return the traffic of a call through the relay, after a first call to connect."""
    call()
    time.sleep(0.1)
    relay.reset()
    call()
    time.sleep(0.1)
    return relay.reset()


def put_zone(client):
    """Commit one new availability zone; return its version."""
    name = f"z-{new_change_id()}"
    outcome = client.change(PutResource(name, AvailabilityZone(name)), CALL_TIMEOUT_S)
    assert not outcome.code, outcome
    return outcome.version


def report_of(keys):
    """Return a report with some hot keys."""
    hot = [HotKey(2**63 + 12_345_678_901 * n, 0.0123) for n in range(keys)]
    return LoadReport("tracking", "track-17", 123_456, 1234.5, 12, False, hot)


def bench_bytes(cluster):
    """Print the bytes between a daemon and the control group, by part."""
    leader = cluster.leader()
    relay = Relay(cluster.control_ports[leader][0])
    client = ControlClient([Member(leader, "127.0.0.1", relay.port, 1)])
    feed = client.fetch(0, CALL_TIMEOUT_S)
    idle = measure_call(relay, lambda: client.fetch(feed.version, CALL_TIMEOUT_S))
    before = put_zone(client) - 1
    changed = measure_call(relay, lambda: client.fetch(before, CALL_TIMEOUT_S))
    reports = {
        keys: measure_call(
            relay, lambda keys=keys: client.report(report_of(keys), CALL_TIMEOUT_S)
        )
        for keys in (0, MAX_HOT_KEYS)
    }
    client.close()
    rounds = 1000 / LeaseSettings().renew_ms * VOTERS
    hints = VOTERS * datagram_bytes(Hint(1))
    change_rate = CHANGES_PER_DAY / 86_400
    full_s = REPORT_INTERVAL_S + PAUSE_PER_HOT_KEY_S * MAX_HOT_KEYS
    rows = [
        ("renewals", datagram_bytes(Renewal(1, 1, 1)), rounds),
        ("answers", datagram_bytes(Ack(1, Reason.GRANTED, 1)), rounds),
        ("watch at rest", idle.on_the_wire, 1 / CONFIRMED_INTERVAL_S),
        ("a change: hints and fetch", changed.on_the_wire + hints, change_rate),
        ("report, no hot key", reports[0].on_the_wire, 1 / REPORT_INTERVAL_S),
    ]
    print_bytes(rows, reports[MAX_HOT_KEYS].on_the_wire, full_s)


def print_bytes(rows, full_report, full_s):
    """Print the parts, and their sums with and without reported hot keys."""
    model.table(
        f"Control at a daemon, both ways, with headers; {VOTERS} voters, "
        f"{CHANGES_PER_DAY} changes a day",
        "part", "bytes each", "a second", "bytes/s",
    )  # fmt: skip
    for name, size, rate in rows:
        model.row(name, size, f"{rate:.3f}", f"{size * rate:.0f}")
    name = f"report, {MAX_HOT_KEYS} hot keys"
    model.row(name, full_report, f"{1 / full_s:.3f}", f"{full_report / full_s:.0f}")
    without_hot_keys = sum(size * rate for _, size, rate in rows)
    with_hot_keys = without_hot_keys - rows[-1][1] * rows[-1][2] + full_report / full_s
    model.row("sum, no hot key", "", "", f"{without_hot_keys:.0f}")
    model.row("sum, all hot keys", "", "", f"{with_hot_keys:.0f}")
    model.row("allowed", "", "", BUDGET_BYTES_PER_S)


def main():
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rest-s", type=float, default=20.0)
    options = parser.parse_args()
    targets = [TargetSpec("s", f"t{n}", "ab"[n], cold_s=0) for n in range(2)]
    program = [sys.executable, "-m", "tamarackhaven"]
    cluster = Cluster(ROOT / ".demo" / "capacity", program, targets)
    try:
        cluster.start(RESOURCES)
        bench_rest(cluster, options.rest_s)
        bench_bytes(cluster)
    finally:
        cluster.stop()
    model.bench_map_changes()
    model.bench_view_memory()
    model.bench_tables()
    model.bench_fan_out()
    model.bench_plan()
    model.bench_snapshot()


if __name__ == "__main__":
    main()
