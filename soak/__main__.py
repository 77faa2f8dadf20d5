"""Executes runs of the soak test: ``python -m soak --seeds 50 --jobs 4``."""

import asyncio
import concurrent.futures
import os
import secrets
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import attrs
import defopt

from soak._answer_faults import draw_answer_faults
from soak._busy import CHECK_INTERVAL_S, BusyWatch
from soak._draws import (
    draw_control_faults,
    draw_faults,
    draw_group_faults,
    draw_group_run_faults,
    draw_link_faults,
    draw_notice_faults,
    draw_poison_faults,
    draw_poison_run_faults,
    draw_session_faults,
    draw_update_faults,
)
from soak._faults import inject, lose_power
from soak._fleet import DEFAULT_VMS, SoakFleet
from soak._lives import draw_life_faults
from soak._load import STORM_FRACTION, Caller, Operator, describe
from soak._undisturbed import draw_undisturbed_run_faults, draw_undisturbing_faults
from standin.fleet_target import PORTS

REGRESSIONS = Path(__file__).with_name("regressions.toml")
CALLER_COUNT = 24
# One run in so many changes only daemons' sessions.
SESSION_RUN_INTERVAL = 3
# One run in so many is about requests that end targets, with few faults beside them.
POISON_RUN_INTERVAL = 4
# One run in so many is about the control group.
GROUP_RUN_INTERVAL = 5
# One run in so many disturbs no daemon, and stalls whoever leads.
UNDISTURBED_RUN_INTERVAL = 6
# Regressions keep the control VMs with which they failed.
REGRESSION_CONTROLS = 3
REGRESSION_TOLERATED_LOSSES = 1
STALL_CHECK_INTERVAL_S = 0.05
CANCEL_RETRY_INTERVAL_S = 1.0
# During an election each control VM answers 503.
READ_TIMEOUT_S = 3.0
READ_INTERVAL_S = 0.2
# Loopback networks of runs; other tests use lower ones. Each soak process picks a block
# of networks by its process id, so that concurrent soaks rarely collide.
FIRST_NET = 100
NETS_PER_BLOCK = 16
NET_BLOCK_COUNT = 9
MAX_JOBS = NETS_PER_BLOCK // 2


@attrs.frozen
class Outcome:
    """The result of one run: the violations found and a summary as JSON."""

    seed: int
    violations: tuple[str, ...]
    summary: str


def _faults(seed, seconds):
    """Return the faults of a run in order of time.

    Seeds in regressions.toml get only the faults of ``draw_faults``, with which they
    once failed.
    """
    if seed in regression_seeds():
        return draw_faults(seed, seconds)
    if is_session_run(seed):
        faults = [
            *draw_session_faults(seed, seconds),
            *draw_update_faults(seed, seconds),
            *draw_undisturbing_faults(seed, seconds),
        ]
        return sorted(faults, key=lambda fault: fault.at_s)
    if seed % UNDISTURBED_RUN_INTERVAL == 4:
        return draw_undisturbed_run_faults(seed, seconds)
    if seed % POISON_RUN_INTERVAL == 1:
        return draw_poison_run_faults(seed, seconds)
    if seed % GROUP_RUN_INTERVAL == 2:
        return draw_group_run_faults(seed, seconds)
    faults = [
        *draw_faults(seed, seconds),
        *draw_control_faults(seed, seconds),
        *draw_group_faults(seed, seconds),
        *draw_link_faults(seed, seconds),
        *draw_update_faults(seed, seconds),
        *draw_notice_faults(seed, seconds),
        *draw_poison_faults(seed, seconds),
        *draw_answer_faults(seed, seconds),
        *draw_life_faults(seed, seconds),
        *draw_undisturbing_faults(seed, seconds),
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def is_session_run(seed):
    """Whether a run changes daemons' sessions amid storms of changes, and no more."""
    return seed % SESSION_RUN_INTERVAL == 0 and seed not in regression_seeds()


async def _play(seed, seconds, folder, net, vms):
    group = ()
    if seed in regression_seeds():
        group = REGRESSION_CONTROLS, REGRESSION_TOLERATED_LOSSES
    fleet = SoakFleet(folder, net, vms, *group)
    monitors = [
        asyncio.create_task(_measure_stalls(fleet.records)),
        asyncio.create_task(_check_busy_processes(fleet)),
    ]
    callers = [Caller(fleet, number, seed) for number in range(CALLER_COUNT)]
    storm_fraction = 1.0 if is_session_run(seed) else STORM_FRACTION
    operator = Operator(fleet, seed, storm_fraction)
    try:
        await fleet.start()
        tasks = [asyncio.create_task(each.run()) for each in (*callers, operator)]
        await _inject_all(fleet, _faults(seed, seconds))
        if seed not in regression_seeds():
            await fleet.check_recovered()
            # A restart of a daemon would repair its view.
            await fleet.check_routes()
            await lose_power(seed, fleet)
        await end(tasks)
        await fleet.check_recovered()
        if seed not in regression_seeds():
            # No later change follows that would show the daemon what it lacks.
            await operator.change_unseen_by(fleet.target_hosts[seed % vms])
        await _check_config_readable(fleet, operator)
        await fleet.check_routes()
        await fleet.wait_for_targets()
        fleet.records.check_end()
    finally:
        for task in monitors:
            task.cancel()
        await fleet.stop()
    fleet.records.lost_updates = fleet.lost_updates.lost_by_host.total()
    return Outcome(seed, tuple(fleet.records.violations), describe(fleet.records))


async def end(tasks):
    """Cancel tasks repeatedly until all have ended.

    ``asyncio.wait_for`` swallows a cancellation if the awaited object completes at the
    same moment; the task then continues.
    """
    while tasks:
        for task in tasks:
            task.cancel()
        _, tasks = await asyncio.wait(tasks, timeout=CANCEL_RETRY_INTERVAL_S)


async def _measure_stalls(records):
    """Measure stalls of this run's event loop.

    All proxies, targets and callers of a run share the loop: while it is stalled, no
    link of the fleet carries bytes and every response is received late.
    """
    while True:
        due_s = records.next_loop_check_s = time.monotonic() + STALL_CHECK_INTERVAL_S
        await asyncio.sleep(STALL_CHECK_INTERVAL_S)
        records.stalls.append((due_s, time.monotonic()))


async def _check_busy_processes(fleet):
    """Check the fleet for processes that use a whole core."""
    busy_watch = BusyWatch(lambda: [*fleet.controls, *fleet.daemons], fleet.records)
    while True:
        busy_watch.check()
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _inject_all(fleet, faults):
    """Inject all faults concurrently, each at its time."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    tasks = []
    for fault in faults:
        await asyncio.sleep(max(started_s + fault.at_s - loop.time(), 0))
        tasks.append(asyncio.create_task(inject(fault, fleet)))
    await asyncio.gather(*tasks)


async def _check_config_readable(fleet, operator):
    """Check that a control VM returns the configuration within ``READ_TIMEOUT_S``."""
    deadline_s = time.monotonic() + READ_TIMEOUT_S
    while time.monotonic() < deadline_s:
        versions = [await operator.read(host) for host in fleet.control_hosts]
        if any(versions):
            return
        await asyncio.sleep(READ_INTERVAL_S)
    fleet.records.report_violation(
        "never reverts", "no control VM returned the configuration"
    )


def play(seed, seconds, net, folder=None, vms=DEFAULT_VMS):
    """Execute one run with ``vms`` targets in this process; return its ``Outcome``.

    An exception of the run becomes a violation.
    """
    with tempfile.TemporaryDirectory() as temporary_folder:
        try:
            return asyncio.run(
                _play(seed, seconds, Path(folder or temporary_folder), net, vms)
            )
        except Exception as error:
            # The other runs continue, and the results of all are reported.
            return Outcome(seed, (f"the run itself: {error!r}",), "")


def _free_nets(block):
    """Return the first net of a block without listening processes, from ``block`` on.

    Processes of a soak that was killed keep running and listening; a later run in the
    same net would fail at its start. Blocks with a net in use are therefore skipped.

    Raises
    ------
    SystemExit
        If every block has a net in use.
    """
    for step in range(NET_BLOCK_COUNT):
        first = FIRST_NET + (block + step) % NET_BLOCK_COUNT * NETS_PER_BLOCK
        if not any(is_in_use(net) for net in range(first, first + NETS_PER_BLOCK)):
            return first
    raise SystemExit("all loopback networks of the soak are in use")


def is_in_use(net):
    """Whether a process of a fleet listens in the loopback network 127.``net``."""
    addresses = [(f"127.{net}.1.{n}", PORTS["operators"]) for n in range(1, 9)]
    addresses += [(f"127.{net}.2.{n}", PORTS["callers"]) for n in range(1, 9)]
    return any(_is_taken(address) for address in addresses)


def _is_taken(address):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(address)
        except OSError:
            return True
    return False


def regression_seeds():
    """Return the seeds of regressions.toml, whose runs once failed."""
    return [each["seed"] for each in tomllib.loads(REGRESSIONS.read_text())["run"]]


def main(
    *,
    seeds: int = 4,
    first: int = -1,
    seconds: float = 12.0,
    jobs: int = 4,
    vms: int = DEFAULT_VMS,
    keep: str = "",
    regressions: bool = False,
) -> int:
    """Execute runs of the soak test and print the violations found.

    Parameters
    ----------
    seeds
        Number of runs.
    first
        First seed; a random one if below 0.
    seconds
        Time during which faults are injected in each run.
    jobs
        Number of concurrent runs.
    vms
        Number of VMs with a target in each run.
    keep
        Folder for the logs of the processes; empty to keep none.
    regressions
        Execute the seeds of regressions.toml first.
    """
    first = secrets.randbelow(1 << 31) if first < 0 else first
    chosen = [
        *(regression_seeds() if regressions else ()),
        *range(first, first + seeds),
    ]
    jobs = min(jobs, MAX_JOBS)
    first_net = _free_nets(os.getpid() % NET_BLOCK_COUNT)
    failed = 0
    # Each run has its own event loop and mostly waits for its processes.
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        runs = []
        for number, seed in enumerate(chosen):
            folder = None
            if keep:
                folder = Path(keep) / str(seed)
                folder.mkdir(parents=True)
            # With twice as many nets as jobs, a net is reused only after its last run.
            net = first_net + number % NETS_PER_BLOCK
            runs.append(pool.submit(play, seed, seconds, net, folder, vms))
        for run in concurrent.futures.as_completed(runs):
            outcome = run.result()
            failed += bool(outcome.violations)
            print(f"seed {outcome.seed}: {outcome.summary}", flush=True)
            for line in outcome.violations[:10]:
                print(f"  BROKEN {line}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
