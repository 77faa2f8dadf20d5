"""Runs a fleet of real processes on loopback, with a simulated user platform.

The simulated platform consists of targets that send heartbeats and hold keys, an
operator, and callers. Each VM has its own loopback address.
"""

import asyncio
import itertools
import json
import shutil
import time
from pathlib import Path

from standin.call import call
from standin.fleet_target import HEARTBEAT_S, PORTS, TARGET_PORT, Target
from standin.process import Process

BUDGET = {"slack": 100}
# Operators try another control VM after this time without an answer.
OPERATOR_TIMEOUT_S = 1.0
SERVICE_BY_ROUTE = {"/owned/": "owned", "/shared/": "shared"}
CONFIGURATION = {
    "version": "r1",
    "services": [
        {"name": "owned", "sharded": True, "warmup_s": 0.1},
        {"name": "shared"},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_s": 15},
    "virtual_hosts": [
        {
            "host": "h.example",
            "path_routes": [
                {
                    "name": service,
                    "path_prefix": prefix,
                    "kind": "safe" if service == "owned" else "unsafe",
                    "timeout_s": 2.0,
                    "target_latency_s": 1.0,
                    "service": service,
                    "max_attempts": 2,
                }
                for prefix, service in SERVICE_BY_ROUTE.items()
            ],
        }
    ],
}


class Fleet:
    """Control VMs, daemons and their targets.

    Parameters
    ----------
    folder : Path
        Contains settings, logs and data.
    services : sequence of str
        Service of each target.
    net : int
        Second octet of the loopback addresses; must differ between fleets that run
        at the same time.
    controls : int
        Number of control VMs.
    tolerated_losses : int
        How many of them may be lost at once.
    """

    target_class = Target
    configuration = CONFIGURATION

    def __init__(self, folder, services, net, controls=3, tolerated_losses=1):
        self.folder = folder
        self._tolerated_losses = tolerated_losses
        self.net = net
        self.control_hosts = [f"127.{net}.1.{n + 1}" for n in range(controls)]
        self.target_hosts = [f"127.{net}.2.{n + 1}" for n in range(len(services))]
        self.targets = [
            self.target_class(host, service)
            for host, service in zip(self.target_hosts, services, strict=True)
        ]
        seeds = [f"{host}:{PORTS['operators']}" for host in self.control_hosts[:3]]
        self.controls = [self._control(host, seeds) for host in self.control_hosts]
        self.daemons = [self._daemon(target, seeds) for target in self.targets]
        self._attempts = itertools.count()
        self._new_control_numbers = itertools.count(controls + 1)

    def _control(self, host, seeds, is_first=True):
        text = f"""
name = "{host}"
operators = "{host}:{PORTS["operators"]}"
links = "{host}:{PORTS["links"]}"
data_folder = "{self.folder / host}"
seeds = {json.dumps(seeds)}
is_first_start = {json.dumps(is_first)}
tolerated_losses = {self._tolerated_losses}
[lease]
heartbeat_s = {HEARTBEAT_S}
"""
        return Process("control", host, text, self.folder)

    def replace_control(self, number, seed_hosts):
        """Retire a control VM and start one without data at another address.

        Parameters
        ----------
        number : int
            Index of the retired control VM; the new one gets the same index.
        seed_hosts : sequence of str
            Addresses of the new control VM's seeds, besides its own.
        """
        self.controls[number].retire()
        host = f"127.{self.net}.1.{next(self._new_control_numbers)}"
        seeds = [f"{each}:{PORTS['operators']}" for each in (*seed_hosts, host)]
        self.control_hosts[number] = host
        self.controls[number] = self._control(host, seeds, is_first=False)
        self.controls[number].start()

    def wipe_control(self, control):
        """Kill a control VM, delete its data and restart it."""
        control.kill()
        data = self.folder / control.name
        # One that has just been started may not have made its folder yet.
        if data.exists():
            shutil.rmtree(data)
        control.write(
            control.settings.replace("is_first_start = true", "is_first_start = false")
        )
        control.start()

    def _daemon(self, target, seeds):
        host = target.host
        text = f"""
name = "{host}"
zone = "z"
service = "{target.service}"
target = "{host}:{TARGET_PORT}"
callers = "{host}:{PORTS["callers"]}"
readiness = "{host}:{PORTS["readiness"]}"
registry = "{host}:{PORTS["operators"]}"
links = "{host}:{PORTS["links"]}"
seeds = {json.dumps(seeds)}
[lease]
heartbeat_s = {HEARTBEAT_S}
[budget]
slack = {BUDGET["slack"]}
"""
        return Process("daemon", host, text, self.folder)

    async def start(self):
        """Start all processes, configure them and wait until every target serves.

        The first target to report gets all keys if another one's daemon starts more
        than a second later; that one gets its share some seconds after its report.

        Raises
        ------
        AssertionError
            If that takes too long; the text describes every process.
        """
        for process in (*self.controls, *self.daemons):
            process.start()
        for target in self.targets:
            await target.start()
        try:
            await self.order("/api/config/replace", self.configuration, "r0")
            await self.until(self._serves, 20.0)
            await self.until(self._all_own_keys, 20.0)
        except AssertionError as error:
            descriptions = "\n".join(
                each.describe() for each in (*self.controls, *self.daemons)
            )
            load = Path("/proc/loadavg").read_text().strip()
            raise AssertionError(f"{error}; load {load}\n{descriptions}") from error

    async def stop(self):
        """Kill all processes that this fleet started."""
        for process in (*self.daemons, *self.controls):
            process.kill()
        for target in self.targets:
            await target.stop()

    async def _serves(self):
        answers = [await self.ask("/owned/", key, 0) for key in range(0, 65536, 9001)]
        answers += [await self.ask("/shared/", None, n) for n in range(2)]
        return all(answer.status == 200 for answer in answers)

    async def _all_own_keys(self):
        """Whether each target of the sharded service holds keys."""
        return all(
            each.held_by_range for each in self.targets if each.service == "owned"
        )

    async def until(self, condition, timeout_s=10.0):
        """Wait until an async condition holds.

        Raises
        ------
        AssertionError
            If it doesn't hold within ``timeout_s`` seconds.
        """
        deadline_s = time.monotonic() + timeout_s
        while not await condition():
            assert time.monotonic() < deadline_s, "condition not met in time"
            await asyncio.sleep(0.1)

    async def ask(self, prefix, key, at, attempt=None, body=b"b", timeout_s=3.0):
        """Send a caller's request to the daemon at index ``at``."""
        attempt = attempt or f"a{next(self._attempts)}"
        headers = [
            ("Host", "h.example"),
            ("Tamarackhaven-Attempt-Id", attempt),
            ("Tamarackhaven-Deadline-Ms", "2000"),
        ]
        if key is not None:
            headers.append(("Tamarackhaven-Shard-Key", str(key)))
        host = self.target_hosts[at]
        path = f"{prefix}x"
        return await call(
            host, PORTS["callers"], "POST", path, headers, body, timeout_s
        )

    async def order(self, path, document=None, base=None, timeout_s=20.0):
        """Send an operator's request to the control VMs in turn until one accepts it.

        Returns
        -------
        Answer
            The first one that isn't 5xx; redirects are followed once.

        Raises
        ------
        AssertionError
            If there is none within ``timeout_s`` seconds.
        """
        headers = [("Host", "x")]
        if base is not None:
            headers.append(("Tamarackhaven-Base-Version", base))
        body = json.dumps(document).encode() if document is not None else b""
        method = "POST" if path != "/api/config/read" else "GET"
        deadline_s = time.monotonic() + timeout_s
        for host in itertools.cycle(self.control_hosts):
            answer = await self._order_at(host, method, path, headers, body)
            if answer.status == 307:
                other = answer.headers["location"].split("/")[2].split(":")[0]
                answer = await self._order_at(other, method, path, headers, body)
            if answer.status and answer.status not in (307,) and answer.status < 500:
                return answer
            assert time.monotonic() < deadline_s, "no control VM accepted the request"
            await asyncio.sleep(0.1)
        return None

    async def _order_at(self, host, method, path, headers, body):
        port = PORTS["operators"]
        return await call(host, port, method, path, headers, body, OPERATOR_TIMEOUT_S)

    async def leader(self):
        """Return the index of the leader in ``control_hosts``, or None."""
        for number, host in enumerate(self.control_hosts):
            answer = await call(
                host, PORTS["operators"], "GET", "/api/config/read", [("Host", "x")]
            )
            if answer.status == 200:
                return number
        return None
