"""Faults of a run and their injection."""

import asyncio
import contextlib
import functools
import random
import signal

import attrs

from soak._poisons import PoisonCallers
from soak._proxy import Direction
from soak._routes import CONTROL_GROUP
from standin.narrow_link import NarrowLink

# Delays of connections that are open, and of those that are opened meanwhile.
FORMER_BACK_DELAYS_S = (0.5, 1.1)
NEW_THERE_DELAYS_S = (0.1, 0.5)
NEW_BACK_DELAYS_S = (0.0, 0.3)
DAEMON_HELLO = b"DaemonHello"
LIMITED_BYTES_PER_S = 400_000.0
# The smallest VMs have this part of a core.
STARVED_CORE_FRACTION = 0.43
STARVED_SLICE_S = 0.1
# What targets name as their limit, one after the other; some of it is no number.
LIMIT_TEXTS = ("0", "0.5", "1.7", "2.4", "5", "12", "many", "-1", "nan")
MAX_LIMIT_CHANGES = 3
# The power loss that ends a run comes right after a change was accepted, or after this
# time if none is.
ACCEPTED_TIMEOUT_S = 5.0


@attrs.frozen
class Fault:
    """A fault; ``selector`` modulo their number selects the affected part.

    ``at_s`` is the time since the start of the run and ``duration_s`` the duration, in
    seconds.
    """

    at_s: float
    selector: int
    duration_s: float


class Kill(Fault):
    """Kills a process and restarts it."""


class Suspend(Fault):
    """Suspends a process by SIGSTOP."""


class RestartDaemon(Fault):
    """Stops a daemon by SIGTERM and restarts it."""


class ReloadSettings(Fault):
    """Makes a daemon reload its settings by SIGHUP."""


class WipeDisk(Fault):
    """Restarts a control VM with an empty disk."""


class ReplaceControl(Fault):
    """Replaces a control VM by one without data at another address."""


class WipePair(Fault):
    """Empties the disks of two control VMs at once, the leader's among them."""


class CutControl(Fault):
    """Cuts a control VM off from the others, in one direction or both."""


class SplitControls(Fault):
    """Cuts two control VMs off from the others, which may reach each other."""


class TornWrite(Fault):
    """Kills a control VM during a write, which leaves a partial record in its log."""


class StallDisk(Fault):
    """Blocks the disk syncs of a control VM."""


class SuspendLeader(Fault):
    """Suspends the leader, so that another control VM is elected."""


class KillAllControls(Fault):
    """Kills all control VMs at once and restarts them."""


class Delay(Fault):
    """Delays the bytes of one proxy."""


class SwitchConnections(Fault):
    """Silences what daemons' connections send to control VMs, and delays what they get.

    New connections are delayed less, so that a daemon has a session before the former
    one has brought all that was sent on it.
    """


class ResetConnections(Fault):
    """Resets all connections of one proxy."""


class LimitBandwidth(Fault):
    """Limits the bandwidth of one proxy."""


class DropAllBytes(Fault):
    """Drops all bytes of one proxy without resetting its connections."""


class DropResponses(Fault):
    """Drops the responses through one proxy; requests still arrive."""


class CrashTarget(Fault):
    """Crashes a target and starts a new one on its VM."""


class DrainTarget(Fault):
    """Drains a target, stops it and starts a new one on its VM."""


class NameLimits(Fault):
    """Makes a target name limits, one after the other, and then none."""


class LeaveByAnswers(Fault):
    """Makes a target announce in its answers that it leaves, then stops it."""


class SendPoison(Fault):
    """Makes callers send a request again and again that ends its targets."""


class LoseUpdates(Fault):
    """Loses every other configuration that leaders send to a daemon."""


class Starve(Fault):
    """Lets a daemon run for a part of each tenth of a second only."""


class EvacuateZone(Fault):
    """Evacuates an availability zone and returns it to service."""


def _process(fleet, fault):
    processes = [*fleet.controls, *fleet.daemons]
    return processes[fault.selector % len(processes)]


def _proxy(fleet, fault):
    return fleet.proxies[fault.selector % len(fleet.proxies)]


def _tear_log(control, folder):
    """Kill a control VM, append a partial record to its log and restart it."""
    control.kill()
    logs = sorted(folder.glob("log-*"))
    if logs:
        with logs[-1].open("ab") as log:
            log.write(b"\x00\x00\x01\x00half a record")
    control.start()


@functools.singledispatch
async def inject(fault, fleet):
    """Inject a fault and undo it; ``fleet`` is a ``SoakFleet``.

    Waits for processes and disks run in threads: a killed process exits only once its
    pending sync has returned, and this event loop carries every link of the fleet.

    Raises
    ------
    TypeError
        If the type of the fault is unknown.
    """
    raise TypeError(f"unknown fault type: {fault!r}")


@inject.register
async def _(fault: Kill, fleet):
    async with fleet.taken(_process(fleet, fault)) as process:
        await asyncio.to_thread(process.kill)
        await asyncio.sleep(fault.duration_s)
        await asyncio.to_thread(process.start)


@inject.register
async def _(fault: Suspend, fleet):
    async with fleet.taken(_process(fleet, fault)) as process:
        process.send(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        process.send(signal.SIGCONT)


@inject.register
async def _(fault: RestartDaemon, fleet):
    daemon = fleet.daemons[fault.selector % len(fleet.daemons)]
    async with fleet.taken(daemon):
        was_up = fleet.is_up(daemon)
        daemon.send(signal.SIGTERM)
        code = await asyncio.to_thread(daemon.wait, 10.0)
        # Before it has started, a daemon has accepted no requests and installed no
        # handler: SIGTERM kills it.
        if code != 0 and was_up:
            fleet.records.report_violation(
                "planned stop", f"{daemon.name} exited with code {code}"
            )
        await asyncio.to_thread(daemon.start)


@inject.register
async def _(fault: ReloadSettings, fleet):
    daemon = fleet.daemons[fault.selector % len(fleet.daemons)]
    # Until the program has installed a handler, SIGHUP kills the process.
    if not fleet.is_taken(daemon) and daemon.survives_signal(signal.SIGHUP):
        daemon.send(signal.SIGHUP)


@inject.register
async def _(fault: WipeDisk, fleet):
    # Before a disk more is lost than tolerated, an emptied control VM must vote again.
    if not fleet.group.may_lose(1):
        return
    control = fleet.controls[fault.selector % len(fleet.controls)]
    async with fleet.taken(control):
        await asyncio.to_thread(fleet.wipe_control, control)


@inject.register
async def _(fault: ReplaceControl, fleet):
    if not fleet.group.may_lose(1):
        return
    control = fleet.controls[fault.selector % len(fleet.controls)]
    async with fleet.taken(control):
        await fleet.replace_with_seeds(control, fault.selector // len(fleet.controls))


@inject.register
async def _(fault: WipePair, fleet):
    leader = fleet.leading_control()
    if leader is None or not fleet.group.may_lose(2):
        return
    others = [each for each in fleet.controls if each is not leader]
    async with contextlib.AsyncExitStack() as stack:
        pair = [leader, others[fault.selector % len(others)]]
        for each in pair:
            await stack.enter_async_context(fleet.taken(each))
        await fleet.records.next_accepted(ACCEPTED_TIMEOUT_S)
        for each in pair:
            each.send(signal.SIGKILL)
        await asyncio.sleep(fault.duration_s / 3)
        await asyncio.gather(
            *(asyncio.to_thread(fleet.wipe_control, each) for each in pair)
        )


@inject.register
async def _(fault: CutControl, fleet):
    leader = fleet.leading_control()
    hosts = fleet.control_hosts
    host = hosts[fault.selector % len(hosts)]
    if leader is not None and fault.selector % 2:
        host = leader.name
    others = [each for each in hosts if each != host]
    outgoing = {(host, other) for other in others}
    incoming = {(other, host) for other in others}
    pairs = (outgoing, incoming, outgoing | incoming)[fault.selector // 2 % 3]
    await _cut(fleet, pairs, fault.duration_s)


@inject.register
async def _(fault: SplitControls, fleet):
    hosts = list(fleet.control_hosts)
    few = set(random.Random(fault.selector).sample(hosts, 2))
    pairs = {(a, b) for a in hosts for b in hosts if (a in few) is not (b in few)}
    await _cut(fleet, pairs, fault.duration_s)


async def _cut(fleet, pairs, seconds):
    with fleet.records.routes.disturbed(CONTROL_GROUP), fleet.group.cut(pairs):
        await asyncio.sleep(seconds)


@inject.register
async def _(fault: TornWrite, fleet):
    control = fleet.controls[fault.selector % len(fleet.controls)]
    async with fleet.taken(control):
        await asyncio.to_thread(
            _tear_log, control, fleet.folder / control.name / "group"
        )


@inject.register
async def _(fault: StallDisk, fleet):
    control = fleet.controls[fault.selector % len(fleet.controls)]
    control.stall()
    await asyncio.sleep(fault.duration_s)
    control.unstall()


@inject.register
async def _(fault: SuspendLeader, fleet):
    control = fleet.leading_control()
    if control is None:
        return
    async with fleet.taken(control):
        control.send(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        control.send(signal.SIGCONT)


@inject.register
async def _(fault: KillAllControls, fleet):
    async with contextlib.AsyncExitStack() as stack:
        free = [each for each in fleet.controls if not fleet.is_taken(each)]
        for each in free:
            await stack.enter_async_context(fleet.taken(each))
        await asyncio.gather(*(asyncio.to_thread(each.kill) for each in free))
        await asyncio.gather(*(asyncio.to_thread(each.start) for each in free))


@inject.register
async def _(fault: Delay, fleet):
    proxy = _proxy(fleet, fault)
    proxy.delay_s = fault.duration_s / 10
    with fleet.disturbed_link(proxy):
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()


@inject.register
async def _(fault: LimitBandwidth, fleet):
    proxy = _proxy(fleet, fault)
    proxy.link = NarrowLink(LIMITED_BYTES_PER_S)
    with fleet.disturbed_link(proxy):
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()


@inject.register
async def _(fault: ResetConnections, fleet):
    with fleet.disturbed_link(_proxy(fleet, fault)) as proxy:
        proxy.reset()


@inject.register
async def _(fault: DropAllBytes, fleet):
    proxy = _proxy(fleet, fault)
    proxy.silenced_directions = frozenset(Direction)
    with fleet.disturbed_link(proxy):
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()


@inject.register
async def _(fault: DropResponses, fleet):
    proxy = _proxy(fleet, fault)
    proxy.silenced_directions = frozenset((Direction.BACK,))
    with fleet.disturbed_link(proxy):
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()


@inject.register
async def _(fault: SwitchConnections, fleet):
    rng = random.Random(fault.selector)
    proxies = fleet.control_proxies
    former = [
        flow
        for proxy in proxies
        for flow in proxy.flows
        if DAEMON_HELLO in flow.first_bytes
    ]
    for flow in former:
        flow.silenced_directions = frozenset((Direction.THERE,))
        flow.delay_s_by_direction[Direction.BACK] = rng.uniform(*FORMER_BACK_DELAYS_S)

    def delay_new(flow):
        if DAEMON_HELLO in flow.first_bytes:
            flow.delay_s_by_direction = {
                Direction.THERE: rng.uniform(*NEW_THERE_DELAYS_S),
                Direction.BACK: rng.uniform(*NEW_BACK_DELAYS_S),
            }

    former_hooks = [proxy.on_flow for proxy in proxies]
    with fleet.records.routes.disturbed(CONTROL_GROUP):
        for proxy in proxies:
            proxy.on_flow = delay_new
        await asyncio.sleep(fault.duration_s)
        for proxy, former_hook in zip(proxies, former_hooks, strict=True):
            proxy.on_flow = former_hook
            for flow in proxy.flows:
                flow.delay_s_by_direction.clear()
        # What they sent meanwhile is lost, and so is all later.
        for flow in former:
            flow.reset()


@inject.register
async def _(fault: CrashTarget, fleet):
    async with fleet.taken(fleet.target_vm(fault.selector)) as vm:
        await vm.target.crash()
        await asyncio.sleep(fault.duration_s)
        await fleet.restart_target(vm)


@inject.register
async def _(fault: DrainTarget, fleet):
    async with fleet.taken(fleet.target_vm(fault.selector)) as vm:
        await vm.target.leave()
        await fleet.restart_target(vm)


@inject.register
async def _(fault: NameLimits, fleet):
    # The target may be replaced meanwhile; limits are those of one life.
    target = fleet.target_vm(fault.selector).target
    rng = random.Random(fault.selector)
    texts = rng.choices(LIMIT_TEXTS, k=rng.randint(1, MAX_LIMIT_CHANGES))
    for text in texts:
        target.name_limit(text)
        await asyncio.sleep(fault.duration_s / len(texts))
    target.name_limit(None)


@inject.register
async def _(fault: LeaveByAnswers, fleet):
    async with fleet.taken(fleet.target_vm(fault.selector)) as vm:
        await vm.target.leave_by_answers(fault.duration_s)
        await fleet.restart_target(vm)


@inject.register
async def _(fault: SendPoison, fleet):
    await PoisonCallers(fleet, fault.selector).run(fault.duration_s)


@inject.register
async def _(fault: LoseUpdates, fleet):
    # The daemon isn't excused: it must notice each loss and get the update again.
    host = fleet.target_hosts[fault.selector % len(fleet.target_hosts)]
    with fleet.lost_updates.losing(host):
        await asyncio.sleep(fault.duration_s)


@inject.register
async def _(fault: Starve, fleet):
    daemon = fleet.daemons[fault.selector % len(fleet.daemons)]
    async with fleet.taken(daemon):
        for _ in range(round(fault.duration_s / STARVED_SLICE_S)):
            daemon.send(signal.SIGSTOP)
            await asyncio.sleep(STARVED_SLICE_S * (1 - STARVED_CORE_FRACTION))
            daemon.send(signal.SIGCONT)
            await asyncio.sleep(STARVED_SLICE_S * STARVED_CORE_FRACTION)


@inject.register
async def _(fault: EvacuateZone, fleet):
    async with fleet.taken(fleet.zones[fault.selector % len(fleet.zones)]) as zone:
        await fleet.evacuate_zone(zone, fault.duration_s)


async def lose_power(seed, fleet):
    """Kill all processes at once, wipe control VMs' disks and restart them.

    This happens right after a change was accepted, when no other disk loss is being
    repaired: the group loses as many disks as it tolerates, and no process keeps the
    change in memory.
    """
    rng = random.Random(f"power {seed}")
    emptied = rng.sample(fleet.controls, fleet.group.tolerated_losses)
    processes = [*fleet.controls, *fleet.daemons]
    async with contextlib.AsyncExitStack() as stack:
        for each in processes:
            await stack.enter_async_context(fleet.taken(each))
        await fleet.records.next_accepted(ACCEPTED_TIMEOUT_S)
        for each in processes:
            each.send(signal.SIGKILL)
        await asyncio.gather(*(asyncio.to_thread(each.kill) for each in processes))
        starts = [
            functools.partial(fleet.wipe_control, each)
            if each in emptied
            else each.start
            for each in processes
        ]
        await asyncio.gather(*(asyncio.to_thread(start) for start in starts))
