"""Measures the latency of requests directly to a target, and via one and two daemons.

The three ways are measured in turn within one run, so that a busy machine slows them
equally; compare their ratios. The daemons are separate processes with a fixed view and
a lease that never expires.
"""

import argparse
import http.client
import json
import math
import pathlib
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from tamarackhaven import _clock  # noqa: E402
from tamarackhaven._daemon import Daemon  # noqa: E402
from tamarackhaven._logs import Log  # noqa: E402
from tamarackhaven._metrics import Metrics  # noqa: E402
from tamarackhaven._model import Address, TargetMember  # noqa: E402
from tests.fakes import FakeLease, FakeView, daemon_settings  # noqa: E402

OWNER = "t1"
TARGETS = (OWNER, "t2")
SHARDS = range(4)
WARM_UP_REQUESTS = 200
PATH = "/s/k"


def run_daemon(target):
    """Run one daemon until its standard input is closed."""
    view = FakeView()
    settings = daemon_settings(target, stale_s=60.0)
    log = Log("bench", write=lambda **fields: None)
    daemon = Daemon(settings, view, FakeLease(), Metrics(), log, _clock)
    ports = {
        "caller": daemon.caller.port,
        "peer": daemon.peer.port,
        "announce": daemon.announce.port,
    }
    print(json.dumps(ports), flush=True)
    for name, port in json.loads(sys.stdin.readline()).items():
        peer = Address("127.0.0.1", port)
        view.member_by_name[name] = TargetMember("s", name, "z", "i", "i", peer)
    grants = [view.grant(shard, OWNER, 10) for shard in SHARDS]
    daemon.on_grants(grants if target == OWNER else [])
    daemon.start()
    ended = threading.Event()
    threading.Thread(target=_confirm_lease, args=(daemon, ended), daemon=True).start()
    sys.stdin.read()
    ended.set()
    daemon.stop()


def _confirm_lease(daemon, ended):
    while not ended.wait(1.0):
        daemon.on_confirmed(_clock.boot_s())


def _spawn(*arguments):
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def _memory_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def _measure(port_by_way, requests):
    """Return latencies in milliseconds by way, measured in turn on open connections."""
    connection_by_way = {
        way: http.client.HTTPConnection("127.0.0.1", port, timeout=20)
        for way, port in port_by_way.items()
    }
    latencies_by_way = {way: [] for way in port_by_way}
    for number in range(requests + WARM_UP_REQUESTS):
        for way, connection in connection_by_way.items():
            started = time.perf_counter()
            connection.request("GET", PATH, headers={"Tamarackhaven-Request-Id": "r"})
            response = connection.getresponse()
            response.read()
            latency_ms = (time.perf_counter() - started) * 1000
            if response.status != http.client.OK:
                raise SystemExit(f"{way}: HTTP {response.status}")
            if number >= WARM_UP_REQUESTS:
                latencies_by_way[way].append(latency_ms)
    return latencies_by_way


def _measure_all(port_by_way, requests, callers):
    found = []
    threads = [
        threading.Thread(
            target=lambda: found.append(_measure(port_by_way, requests // callers))
        )
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(found) < callers:
        raise SystemExit("a caller failed")
    return {way: sum((part[way] for part in found), []) for way in port_by_way}


def _print_latencies(latencies_by_way):
    print(f"{'way':<14}{'mean ms':>9}{'p99 ms':>9}{'mean ratio':>12}{'p99 ratio':>11}")
    base = None
    for way, latencies in latencies_by_way.items():
        mean = sum(latencies) / len(latencies)
        p99 = sorted(latencies)[math.ceil(len(latencies) * 0.99) - 1]
        base = base or (mean, p99)
        ratios = f"{mean / base[0]:>12.2f}{p99 / base[1]:>11.2f}"
        print(f"{way:<14}{mean:>9.3f}{p99:>9.3f}{ratios}")


def run(requests, callers, service_ms):
    """Start all processes, measure and print latencies, and stop the processes."""
    processes = []
    try:
        daemon_by_name = {}
        ports_by_name = {}
        for name in TARGETS:
            daemon = _spawn(__file__, "--daemon", name)
            processes.append(daemon)
            daemon_by_name[name] = daemon
            ports_by_name[name] = json.loads(daemon.stdout.readline())
        peers = {name: ports["peer"] for name, ports in ports_by_name.items()}
        for daemon in daemon_by_name.values():
            daemon.stdin.write(json.dumps(peers) + "\n")
            daemon.stdin.flush()
        announce = f"127.0.0.1:{ports_by_name[OWNER]['announce']}"
        options = ["--announce", announce, "--service-ms", str(service_ms)]
        target = _spawn("-m", "standin.target", *options)
        processes.append(target)
        target_port = int(target.stdout.readline().rpartition(":")[2])
        time.sleep(1.0)
        port_by_way = {
            "target": target_port,
            "one daemon": ports_by_name[OWNER]["caller"],
            "two daemons": ports_by_name["t2"]["caller"],
        }
        _print_latencies(_measure_all(port_by_way, requests, callers))
        for name, daemon in daemon_by_name.items():
            print(f"memory of the daemon of {name}: {_memory_mb(daemon):.1f} MB")
    finally:
        for process in processes:
            process.terminate()
            process.wait(10)


def main():
    """Parse the command line; run the bench or one of its daemons."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--daemon", help="run one daemon; used by the bench itself")
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--service-ms", type=float, default=0.0)
    options = parser.parse_args()
    if options.daemon:
        run_daemon(options.daemon)
    else:
        run(options.requests, options.clients, options.service_ms)


if __name__ == "__main__":
    main()
