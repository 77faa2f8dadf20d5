"""A fleet of real processes whose connections pass through fault-injecting proxies."""

import asyncio
import collections
import contextlib
import errno
import functools
import time

import attrs

from soak._controls import ControlGroup
from soak._lost_updates import LostUpdates
from soak._poisons import PoisonWatch
from soak._proxy import Proxy
from soak._records import Records
from soak._routes import CONFIG_DEADLINE_S, CONTACT_S, CONTROL_GROUP, MOVING_PREFIXES
from soak._target import COLD_PER_S, SoakTarget
from standin.call import call
from standin.fleet import CONFIGURATION as BASE_CONFIGURATION, Fleet
from standin.fleet_target import HEARTBEAT_S, PORTS, TARGET_PORT
from standin.poison import RESTART_S

# Processes listen on the usual port plus this offset; proxies take the usual ports.
LISTEN_OFFSET = 10
ZONES = ("z0", "z1")
CONFIGURATION = BASE_CONFIGURATION | {
    "services": [
        each | {"cold_per_s": COLD_PER_S} for each in BASE_CONFIGURATION["services"]
    ]
}
# Services of the targets of a small run; larger ones repeat them.
SERVICES = ("owned", "owned", "owned", "shared", "shared")
DEFAULT_VMS = len(SERVICES)
# A request on a changing route is repeated while its daemon refuses it, for so long.
PROBE_TIMEOUT_S = 5.0
PROBE_KEY = 7
# As many as the users have, and as many losses as they bear.
CONTROLS = 5
TOLERATED_LOSSES = 2
# The whole fleet must serve within this time after the last fault.
RECOVERY_TIMEOUT_S = 15.0
# The port of a stopped target is free within this time, even under high CPU load.
PORT_RELEASE_TIMEOUT_S = 3.0


@attrs.define(eq=False)
class TargetVM:
    """A VM of a target, and the target that currently runs there."""

    host: str
    service: str
    zone: str
    target: object


class SoakFleet(Fleet):
    """A fleet into which faults are injected.

    Parameters
    ----------
    folder : Path
        Contains settings, logs and data.
    net : int
        Second octet of the loopback addresses.
    vms : int
        Number of VMs with a target.
    controls, tolerated_losses : int
        Number of control VMs, and how many of them may be lost at once.
    """

    configuration = CONFIGURATION

    def __init__(
        self,
        folder,
        net,
        vms=DEFAULT_VMS,
        controls=CONTROLS,
        tolerated_losses=TOLERATED_LOSSES,
    ):
        self.group = ControlGroup(self, tolerated_losses)
        self.lost_updates = LostUpdates()
        self.records = Records()
        self.records.poisons = PoisonWatch(
            self.records.routes, self.records.report_violation
        )
        self._restarts = set()
        self.proxies = []
        services = [SERVICES[number % len(SERVICES)] for number in range(vms)]
        super().__init__(folder, services, net, controls, tolerated_losses)
        self.zones = ZONES
        self.target_vms = []
        for number, (host, service) in enumerate(
            zip(self.target_hosts, services, strict=True)
        ):
            zone = self._zone(host)
            target = self._new_target(host, service, zone)
            self.targets[number] = target
            self.target_vms.append(TargetVM(host, service, zone, target))
        self._taken = set()
        self._disturbances = collections.Counter()

    def _new_target(self, host, service, zone):
        target = SoakTarget(host, service, zone, self.records)
        target.address = f"{host}:{TARGET_PORT + LISTEN_OFFSET}"
        target.on_ended = self._restart_soon
        return target

    def _zone(self, host):
        return ZONES[self.target_hosts.index(host) % len(ZONES)]

    def _add_proxy(self, host, port):
        """Add a proxy at an address; return the address to which it forwards."""
        self.proxies.append(Proxy((host, port), (host, port + LISTEN_OFFSET)))
        return f"{host}:{port + LISTEN_OFFSET}"

    def _control(self, host, seeds, is_first=True):
        process = super()._control(host, seeds, is_first)
        listen = self._add_proxy(host, PORTS["links"])
        proxy = self.proxies[-1]
        proxy.on_flow = functools.partial(self._on_control_flow, proxy)
        process.write(self._with_links_listen(process, listen))
        process.may_stall()
        return process

    def _on_control_flow(self, proxy, flow):
        self.group.silence_if_cut(proxy, flow)
        self.lost_updates.filter_flow(self.target_hosts, flow)

    def _daemon(self, target, seeds):
        process = super()._daemon(target, seeds)
        host = target.host
        text = self._with_links_listen(process, self._add_proxy(host, PORTS["links"]))
        registry = self._add_proxy(host, PORTS["operators"])
        text = text.replace(
            f'registry = "{host}:{PORTS["operators"]}"', f'registry = "{registry}"'
        )
        # The target keeps its usual port, so its proxy gets the other one.
        proxy = Proxy((host, TARGET_PORT + LISTEN_OFFSET), (host, TARGET_PORT))
        self.proxies.append(proxy)
        text = text.replace(
            f'target = "{host}:{TARGET_PORT}"',
            f'target = "{host}:{TARGET_PORT + LISTEN_OFFSET}"',
        )
        process.write(text.replace('zone = "z"', f'zone = "{self._zone(host)}"'))
        return process

    def _with_links_listen(self, process, listen):
        return f'links_listen = "{listen}"\n{process.settings}'

    # Parts reserved by a fault.

    @contextlib.asynccontextmanager
    async def taken(self, part):
        """Reserve a process, target VM or zone; other faults wait for its release."""
        while part in self._taken:
            await asyncio.sleep(0.05)
        self._taken.add(part)
        self._disturbances[part] += 1
        self.records.excuse(part)
        try:
            with self.records.routes.disturbed(self._disturbed_by(part)):
                yield part
        finally:
            self.records.excuse(part)
            self._taken.discard(part)

    def _disturbed_by(self, part):
        """Return which daemon a fault on a part disturbs, or that it's all of them."""
        if part in self.controls:
            return CONTROL_GROUP
        return getattr(part, "name", part)

    @contextlib.contextmanager
    def disturbed_link(self, proxy):
        """Excuse the daemons whose links to the control group a proxy carries."""
        is_control = proxy in self.control_proxies
        vm = CONTROL_GROUP if is_control else proxy.address[0]
        with self.records.routes.disturbed(vm):
            yield proxy

    @property
    def control_proxies(self):
        """The proxies of the links to control VMs."""
        address = {(host, PORTS["links"]) for host in self.control_hosts}
        return [each for each in self.proxies if each.address in address]

    def is_taken(self, part):
        """Whether a fault has reserved the part."""
        return part in self._taken

    def disturbances(self, part):
        """Return a counter that rises when a fault reserves or releases the part."""
        return 2 * self._disturbances[part] - self.is_taken(part)

    def wipe_control(self, control):
        """Kill a control VM, delete its data and restart it."""
        self.group.emptied(control)
        super().wipe_control(control)

    async def replace_with_seeds(self, control, seed_selector):
        """Replace ``control`` by a control VM without data at another address.

        Parameters
        ----------
        control : Process
            Control VM that is retired.
        seed_selector : int
            Selects the one running control VM among the seeds of the new one.
        """
        number = self.controls.index(control)
        others = [host for host in self.control_hosts if host != control.name]
        proxies = len(self.proxies)
        seeds = [control.name, others[seed_selector % len(others)]]
        await asyncio.to_thread(self.replace_control, number, seeds)
        self.group.emptied(self.controls[number], control)
        for proxy in self.proxies[proxies:]:
            await proxy.start()

    def target_vm(self, number):
        """Return a target's VM; ``number`` is taken modulo their count."""
        return self.target_vms[number % len(self.target_vms)]

    def _restart_soon(self, ended):
        """Start a new target where one has ended under a request."""
        task = asyncio.create_task(self._restart_ended(ended))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_ended(self, ended):
        vm = next(each for each in self.target_vms if each.host == ended.host)
        await asyncio.sleep(RESTART_S)
        async with self.taken(vm):
            # A fault may have put another one there meanwhile.
            if vm.target is ended:
                await self.restart_target(vm)

    async def restart_target(self, vm):
        """Start a new target on a target's VM."""
        target = self._new_target(vm.host, vm.service, vm.zone)
        await self._start_target(target)
        self.targets[self.target_vms.index(vm)] = vm.target = target

    async def _start_target(self, target):
        """Start a target as soon as its port is free.

        A process that another run's thread is just forking keeps a copy of the previous
        target's listening socket until its exec.

        Raises
        ------
        OSError
            If the port is still in use after ``PORT_RELEASE_TIMEOUT_S``, or another
            error occurs.
        """
        deadline_s = time.monotonic() + PORT_RELEASE_TIMEOUT_S
        while True:
            try:
                await target.start()
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > deadline_s:
                    raise
            await asyncio.sleep(0.05)

    async def evacuate_zone(self, zone, duration_s):
        """Evacuate a zone, wait until no request may start there, then return it."""
        answer = await self.order(f"/api/evacuation/{zone}/start")
        if answer.status != 200:
            return
        self.records.zone_out_since_s[zone] = time.monotonic()
        await asyncio.sleep(self.records.zone_out_s + duration_s)
        # The zone may be in service again from the first attempt on.
        del self.records.zone_out_since_s[zone]
        await self.order(f"/api/evacuation/{zone}/finish", timeout_s=40.0)

    def leading_control(self):
        """Return the control VM that logged the highest term as leader, or None."""
        control_by_term = {
            line["term"]: control
            for control in self.controls
            for line in control.lines
            if line.get("sentence") == "control: leads"
        }
        return control_by_term[max(control_by_term)] if control_by_term else None

    def is_up(self, process):
        """Whether the process has logged its start since it was last started."""
        lines = process.lines
        started = [
            each for each in lines if each.get("sentence", "").endswith(": started")
        ]
        return len(started) >= process.starts

    # Lifecycle and final checks.

    async def start(self):
        """Start the proxies, then the fleet."""
        for proxy in self.proxies:
            await proxy.start()
        await super().start()

    async def stop(self):
        """Kill all processes of the fleet and stop the proxies."""
        for task in tuple(self._restarts):
            task.cancel()
        await super().stop()
        for proxy in self.proxies:
            await proxy.stop()

    async def check_recovered(self):
        """Check that the whole fleet has recovered from the faults."""
        try:
            await self.until(self._serves, RECOVERY_TIMEOUT_S)
        except AssertionError:
            self.records.report_violation(
                "recovery", f"not recovered after {RECOVERY_TIMEOUT_S} s"
            )
        await self._check_group()
        self._check_views()
        for process in (*self.controls, *self.daemons):
            if process.has_ended:
                code = process.wait(0.0)
                self.records.report_violation(
                    "runs on", f"{process.name} exited with code {code}"
                )
            for line in process.lines:
                if line.get("sentence", "").endswith(("internal error", "duty failed")):
                    self.records.report_violation(
                        "no faults", f"{process.name}: {line}"
                    )

    def _check_views(self):
        """Check that daemons were behind their leaders only where updates were lost."""
        for daemon in self.daemons:
            is_behind = any(
                line.get("sentence") == "daemon: view behind" for line in daemon.lines
            )
            if is_behind and not self.lost_updates.lost_by_host[daemon.name]:
                self.records.report_violation(
                    "updates", f"{daemon.name} was behind its leader"
                )

    async def _check_group(self):
        """Check that each control VM votes, so that the group bears the next losses."""

        async def all_vote():
            return not self.group.without_vote()

        try:
            await self.until(all_vote, RECOVERY_TIMEOUT_S)
        except AssertionError:
            self.records.report_violation(
                "recovery", f"without a vote: {self.group.without_vote()}"
            )

    async def check_routes(self):
        """Check on each daemon that each changing route is the newest version's."""
        await asyncio.sleep(CONFIG_DEADLINE_S + CONTACT_S)
        await asyncio.gather(
            *(self._check_routes_of(at) for at in range(len(self.target_hosts)))
        )

    async def _check_routes_of(self, at):
        for prefix in MOVING_PREFIXES:
            answer = await self._probe(prefix, at)
            if answer.status not in (200, 404):
                self.records.report_violation(
                    "recovery",
                    f"{prefix} at {self.target_hosts[at]}: status {answer.status}",
                )

    async def _probe(self, prefix, at):
        """Ask for a changing route until its daemon doesn't refuse; return the answer.

        A target may refuse while its keys move or it's full.
        """
        deadline_s = time.monotonic() + PROBE_TIMEOUT_S
        while True:
            attempt = f"probe{next(self._attempts)}"
            self.records.routes.sent(attempt, self.target_hosts[at], prefix)
            answer = await self.ask(prefix, PROBE_KEY, at, attempt)
            if answer.status == 404:
                self.records.check_route(attempt, None)
            if answer.status in (200, 404) or time.monotonic() > deadline_s:
                return answer
            await asyncio.sleep(0.1)

    async def wait_for_targets(self):
        """Wait until targets have completed their requests."""
        await asyncio.sleep(4 * HEARTBEAT_S)


async def read_version(host):
    """Return the configuration version read from a control VM, None if it fails."""
    headers = [("Host", "x")]
    answer = await call(host, PORTS["operators"], "GET", "/api/config/read", headers)
    if answer.status != 200:
        return None
    return int(answer.body.split(b'"version":"r', 1)[1].split(b'"', 1)[0])
