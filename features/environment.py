"""One cluster of real processes for each feature tagged ``cluster``.

A scenario may leave the cluster broken; the next one restores it first.
"""

import shutil
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standin.cluster import HOST, Cluster, TargetSpec  # noqa: E402
from tamarackhaven._control_client import ControlClient  # noqa: E402
from tamarackhaven._settings import ControlMember  # noqa: E402

PROGRAM = [sys.executable, "-m", "tamarackhaven"]
ZONE_BY_TARGET = {"t1": "a", "t2": "a", "t3": "b", "t4": "c"}
DAEMON_SETTINGS = "\n[gate]\ncold_requests = 4\ncold_s = 0.5\n"
RESOURCES = """
[[zone]]
name = "a"
[[zone]]
name = "b"
[[zone]]
name = "c"

[[policy]]
name = "one-owner"
move_batch = 16

[[service]]
name = "booking"
policy = "one-owner"
shard_count = 64
"""


def before_feature(context, feature):
    context.folder = Path(tempfile.mkdtemp(prefix="tamarackhaven-"))
    context.cluster = context.client = None
    if "cluster" in feature.tags:
        targets = [
            TargetSpec("booking", name, zone, cold_s=0.5)
            for name, zone in ZONE_BY_TARGET.items()
        ]
        extra = {"daemon": DAEMON_SETTINGS}
        context.cluster = Cluster(context.folder, PROGRAM, targets, extra=extra)
        context.cluster.start(RESOURCES)
        members = [
            ControlMember(name, HOST, *ports)
            for name, ports in context.cluster.control_ports.items()
        ]
        context.client = ControlClient(members)


def after_feature(context, feature):
    if context.cluster is not None:
        context.cluster.stop()
    if context.client is not None:
        context.client.close()
    shutil.rmtree(context.folder)


def before_scenario(context, scenario):
    context.load = None
    context.measured = []
    context.started_s = time.monotonic()
    context.processes = []
    context.second = ""
    if "settings" in scenario.effective_tags:
        target = TargetSpec("booking", "t1", "a")
        context.cluster = Cluster(context.folder, PROGRAM, [target])


def remove_target(cluster, name):
    cluster.kill(f"t-{name}", f"d-{name}")
    for process in (f"t-{name}", f"d-{name}"):
        del cluster.process_by_name[process]
    del cluster.spec_by_name[name]
    del cluster.ports_by_name[name]


def after_scenario(context, scenario):
    if context.load is not None:
        context.load.stop()
    for process in context.processes:
        if process.poll() is None:
            process.kill()
            process.wait(10)
    if context.second:
        remove_target(context.cluster, context.second)
    if "settings" in scenario.effective_tags:
        context.cluster.stop()
        context.cluster = None
    duration_s = time.monotonic() - context.started_s
    rows = [*context.measured, f"{duration_s:.1f} s in all"]
    # Bypasses behave's capture, so that the figures are shown for passed scenarios too.
    print(f"\n{scenario.name}: {'; '.join(rows)}", file=sys.__stdout__, flush=True)
