"""A fleet of real processes whose connections run through proxies."""

import asyncio
import collections
import contextlib
import errno
import time

import attrs

from soak._proxy import Proxy
from soak._records import Records
from soak._target import SoakTarget
from standin.fleet import HEARTBEAT_S, PORTS, TARGET_PORT, Fleet, call

# Processes listen here; the stand-in's usual ports are those of the proxies.
LISTEN_OFFSET = 10
ZONES = ("z0", "z1")
SERVICES = ("owned", "owned", "owned", "shared", "shared")
# Between two lost disks, beside the wait until the first one's VM votes again.
WIPE_PAUSE_S = 8.0
# After the last fault, the whole fleet serves within this time.
RECOVERY_S = 15.0
# A former life's port is free again within this time, also on a busy machine.
PORT_FREE_S = 3.0


@attrs.define(eq=False)
class Place:
    """A VM of a target, and the target that lives there now."""

    host: str
    service: str
    zone: str
    target: object


class SoakFleet(Fleet):
    """A fleet under faults.

    Parameters
    ----------
    folder : Path
        For settings, logs and data.
    net : int
        Part of the loopback addresses.
    """

    def __init__(self, folder, net):
        self.records = Records()
        self.proxies = []
        super().__init__(folder, SERVICES, net)
        self.zones = ZONES
        self.places = []
        for number, (host, service) in enumerate(
            zip(self.target_hosts, SERVICES, strict=True)
        ):
            zone = self._zone(host)
            target = SoakTarget(host, service, zone, self.records)
            self.targets[number] = target
            self.places.append(Place(host, service, zone, target))
        self._taken = set()
        self._disturbances = collections.Counter()
        self._wiped_s = float("-inf")
        self._newcomer = None

    def _zone(self, host):
        return ZONES[self.target_hosts.index(host) % len(ZONES)]

    def _behind_proxy(self, host, port):
        """Put a proxy at an address; return the address behind it."""
        self.proxies.append(Proxy((host, port), (host, port + LISTEN_OFFSET)))
        return f"{host}:{port + LISTEN_OFFSET}"

    def _control(self, host, seeds, is_first=True):
        process = super()._control(host, seeds, is_first)
        listen = self._behind_proxy(host, PORTS["links"])
        process.write(self._with_links_listen(process, listen))
        process.may_stall()
        return process

    def _daemon(self, target, seeds):
        process = super()._daemon(target, seeds)
        host = target.host
        text = self._with_links_listen(
            process, self._behind_proxy(host, PORTS["links"])
        )
        registry = self._behind_proxy(host, PORTS["operators"])
        text = text.replace(
            f'registry = "{host}:{PORTS["operators"]}"', f'registry = "{registry}"'
        )
        # The target keeps its usual port, so its proxy stands beside it.
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

    # Parts that a fault has in its hands.

    @contextlib.asynccontextmanager
    async def taken(self, part):
        """Hold a process, place or zone; others wait until it is whole again."""
        while part in self._taken:
            await asyncio.sleep(0.05)
        self._taken.add(part)
        self._disturbances[part] += 1
        try:
            yield part
        finally:
            self._taken.discard(part)

    def is_taken(self, part):
        """Whether a fault has the part in its hands."""
        return part in self._taken

    def disturbances(self, part):
        """Return how often a fault took the part; rises also when it lets go."""
        return 2 * self._disturbances[part] - self.is_taken(part)

    def may_wipe(self):
        """Whether the group can bear the loss of a disk now."""
        now = time.monotonic()
        if now - self._wiped_s < WIPE_PAUSE_S or self._taken & set(self.controls):
            return False
        if not self._is_newcomer_in():
            return False
        self._wiped_s = now
        return True

    def wipe_control(self, control):
        """Kill a control VM and let it come back with an empty disk."""
        self._newcomer = control
        super().wipe_control(control)

    def _is_newcomer_in(self):
        """Whether the control VM that last began with an empty disk votes."""
        if self._newcomer is None:
            return True
        is_in = False
        for line in self._newcomer.lines:
            if line.get("sentence") == "control: started":
                is_in = False
            elif line.get("sentence") == "control: role changed":
                is_in = line["role"] != "learner"
        return is_in

    async def replaced(self, control, told):
        """Let an empty control VM stand in for ``control`` at another address.

        Parameters
        ----------
        control : Process
            Ends for good.
        told : int
            Picks the one living control VM that the new one is told.
        """
        number = self.controls.index(control)
        others = [host for host in self.control_hosts if host != control.name]
        proxies = len(self.proxies)
        seeds = [control.name, others[told % len(others)]]
        await asyncio.to_thread(self.replace_control, number, seeds)
        self._newcomer = self.controls[number]
        for proxy in self.proxies[proxies:]:
            await proxy.start()

    def place(self, number):
        """Return the place of a target."""
        return self.places[number % len(self.places)]

    async def reborn(self, place):
        """Start the next life of a place's target."""
        target = SoakTarget(place.host, place.service, place.zone, self.records)
        await self._listening(target)
        self.targets[self.places.index(place)] = place.target = target

    async def _listening(self, target):
        """Start a target as soon as its port is free.

        A process that another run's thread is just starting holds a copy of the former
        life's listening socket until it runs its own program.
        """
        until_s = time.monotonic() + PORT_FREE_S
        while True:
            try:
                await target.start()
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > until_s:
                    raise
            await asyncio.sleep(0.05)

    async def zone_out(self, zone, for_s):
        """Take a zone out, look on until nothing may arrive there, take it in."""
        answer = await self.order(f"/api/evacuation/{zone}/start")
        if answer.status != 200:
            return
        self.records.zone_out_since_s[zone] = time.monotonic()
        await asyncio.sleep(self.records.zone_out_s + for_s)
        # From the first try on, the zone may be in again.
        del self.records.zone_out_since_s[zone]
        await self.order(f"/api/evacuation/{zone}/finish", timeout_s=40.0)

    def leading(self):
        """Return the control VM that said last that it leads, None if none did."""
        terms = {
            line["term"]: control
            for control in self.controls
            for line in control.lines
            if line.get("sentence") == "control: leads"
        }
        return terms[max(terms)] if terms else None

    def is_up(self, process):
        """Whether the process has said that it started, since it was started last."""
        lines = process.lines
        started = [
            each for each in lines if each.get("sentence", "").endswith(": started")
        ]
        return len(started) >= process.starts

    # Start and end.

    async def start(self):
        """Start the proxies and the fleet."""
        for proxy in self.proxies:
            await proxy.start()
        await super().start()

    async def stop(self):
        """Kill all processes that this fleet started."""
        await super().stop()
        for proxy in self.proxies:
            await proxy.stop()

    async def check_whole(self):
        """Check that all is well again once the faults are over."""
        try:
            await self.until(self._serves, RECOVERY_S)
        except AssertionError:
            self.records.breaks("recovery", f"not whole after {RECOVERY_S} s")
        if not self._is_newcomer_in():
            self.records.breaks("recovery", f"{self._newcomer.name} was not let in")
        for process in (*self.controls, *self.daemons):
            if process.has_ended:
                code = process.wait(0.0)
                self.records.breaks("runs on", f"{process.name} ended with {code}")
            for line in process.lines:
                if line.get("sentence", "").endswith(("internal error", "duty failed")):
                    self.records.breaks("no faults", f"{process.name}: {line}")

    async def settle(self):
        """Wait until targets have ended what they work on."""
        await asyncio.sleep(4 * HEARTBEAT_S)


async def read_version(host):
    """Return the version that a control VM reads back, None if it can't."""
    headers = [("Host", "x")]
    answer = await call(host, PORTS["operators"], "GET", "/api/config/read", headers)
    if answer.status != 200:
        return None
    return int(answer.body.split(b'"version":"r', 1)[1].split(b'"', 1)[0])
