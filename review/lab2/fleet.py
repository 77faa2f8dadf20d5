"""A small deployment: control VMs, daemons, their backends, operator, clients."""

import asyncio
import itertools
import json
import random
import shutil
import signal
import tempfile
import time
from pathlib import Path

from review.lab2.backend import Backend
from review.lab2.deploy import PORTS, Machine, free_network
from review.lab2.http import call, read_message, write_message

HEARTBEAT_S = 0.87
HOST = "jepu9.example"
BOUNDS = {
    "contact_s": 3,
    "ack_deadline_s": 4,
    "drain_deadline_s": 2,
    "grace_period_s": 6,
    "config_deadline_s": 2,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 62,
    "evacuate_s": 5,
    "max_hold_s": 10,
    "thaw_s": 0.3,
}


class CannotRunError(Exception):
    """The case couldn't run on this machine; it says nothing of the software."""


class Service:
    """A service of the deployment and how its backends work.

    Parameters
    ----------
    name : str
        Also the prefix of its route.
    count : int
        Number of its backends, one in each zone in turn.
    sharded : bool
        Whether its keys belong to one backend each.
    kind : str
        Kind of its route.
    work_s : callable
        Returns the seconds that a run takes.
    slots : int
        Requests that a backend runs at once.
    """

    def __init__(self, name, count, sharded, kind, work_s, slots=12):
        self.name = name
        self.count = count
        self.sharded = sharded
        self.kind = kind
        self.work_s = work_s
        self.slots = slots

    def document(self):
        """Return the service as the operator declares it."""
        return {
            "name": self.name,
            "health_path": "/health",
            "max_connections": 130,
            "protocol": "h1",
            "tls": False,
            "cold_s": 3.0,
            "cold_per_s": 12.0,
            "sharded": self.sharded,
            "warmup_s": 2.0,
            "lease_grants": "heartbeat",
        }

    def route(self):
        """Return the route to it as the operator declares it."""
        return {
            "name": f"r-{self.name}",
            "path_prefix": f"/{self.name}/",
            "kind": self.kind,
            "timeout_s": 2.0,
            "target_latency_s": 0.8,
            "priority": 1,
            "service": self.name,
            "max_attempts": 2,
        }


class Fleet:
    """All processes and stand-ins of one deployment.

    Parameters
    ----------
    services : sequence of Service
        Their backends stand on the sidecar machines, in this order.
    record : Record
        Gets all that happens.
    controls : int
        Number of control VMs.
    tolerated : int
        How many of them may be lost at once.
    zones : int
        Number of zones.
    """

    backend_class = Backend

    def __init__(self, services, record, controls=5, tolerated=2, zones=3):
        self.record = record
        self.services = services
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._rng = random.Random(7)
        self._attempts = itertools.count(1)
        # Number of the daemon to which each request was sent.
        self.machine_by_attempt = {}
        self.version = 0
        count = sum(each.count for each in services)
        suffixes = [f"{kind}.{n}" for kind in (1, 2) for n in range(1, 40)]
        net, port = free_network(suffixes[:controls] + suffixes[39 : 39 + count])
        self.ports = {name: port + offset for name, offset in PORTS.items()}
        self.zones = [f"zone-{letter}" for letter in "abcdef"[:zones]]
        hosts = [f"{net}.1.{n + 1}" for n in range(controls)]
        seeds = [f"{host}:{self.ports['control']}" for host in hosts[:3]]
        self.controls = [
            self._machine("control", host, number, seeds, tolerated)
            for number, host in enumerate(hosts)
        ]
        self.daemons, self.backends = [], []
        number = 0
        for service in services:
            for _ in range(service.count):
                host = f"{net}.2.{number + 1}"
                machine = self._machine("daemon", host, number, seeds, tolerated)
                machine.fields["service"] = service.name
                self.daemons.append(machine)
                place = {
                    "host": host,
                    "app": self.ports["app"],
                    "control": self.ports["control"],
                    "zone": machine.fields["zone"],
                    "service": service.name,
                }
                self.backends.append(
                    self.backend_class(
                        place,
                        record,
                        HEARTBEAT_S,
                        service.sharded,
                        service.slots,
                        service.work_s,
                    )
                )
                number += 1

    def _machine(self, role, host, number, seeds, tolerated):
        at = {name: f"{host}:{port}" for name, port in self.ports.items()}
        fields = {
            "node_name": f"{role}-{number + 1}",
            "ip": host,
            "zone": self.zones[number % len(self.zones)],
            "bootstrap": True,
            "data_dir": str(self.folder / f"data-{host}"),
            "listen": {
                "control": at["control"],
                "outbound": at["outbound"],
                "inbound": at["inbound"],
                "ready": at["ready"],
            },
            "internal_ports": [self.ports["links"], self.ports["links"]],
            "app_addr": at["app"],
            "seed_addrs": seeds,
            "heartbeat_s": HEARTBEAT_S,
            "fault_tolerance": {"machines": tolerated},
            "bounds": BOUNDS,
        }
        return Machine(role, fields, self.folder)

    def backends_of(self, service):
        """Return the backends of a service."""
        return [each for each in self.backends if each.machine["service"] == service]

    def daemon_of(self, backend):
        """Return the daemon on a backend's machine."""
        return self.daemons[self.backends.index(backend)]

    # Start and end.

    async def start(self):
        """Start everything and wait until all backends serve.

        Raises
        ------
        CannotRunError
            If that takes too long.
        """
        for machine in (*self.controls, *self.daemons):
            machine.start()
        for backend in self.backends:
            await backend.start()
        await self.replace_configuration()
        await self.until(self._serves, 25.0, "all services serve")
        await self.until(self._all_own_keys, 25.0, "all sharded backends hold keys")
        for machine in (*self.controls, *self.daemons):
            machine.fields["bootstrap"] = False
            machine.write_settings()
        self.record.line("deployment serves")

    async def _serves(self):
        statuses = []
        for service in self.services:
            for key in range(500, 65536, 9001) if service.sharded else [None]:
                answer = await self.request(0, service.name, key, record=False)
                statuses.append(answer and answer.status)
        return all(status == 200 for status in statuses)

    async def _all_own_keys(self):
        return all(each.held() for each in self.backends if each.sharded)

    async def until(self, condition, timeout_s, text):
        """Wait until an async condition holds.

        Raises
        ------
        CannotRunError
            If it doesn't in time.
        """
        end_s = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end_s:
                raise CannotRunError(f"not in {timeout_s} s: {text}")
            await asyncio.sleep(0.1)

    async def stop(self):
        """End all processes that were started, and remove the temporary folder."""
        for backend in self.backends:
            if backend.is_up:
                await backend.crash()
        for machine in (*self.daemons, *self.controls):
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Operator.

    async def replace_configuration(self):
        """Declare all services and routes as the next version."""
        document = {
            "version": f"r{self.version + 1}",
            "services": [each.document() for each in self.services],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "virtual_hosts": [
                {"host": HOST, "path_routes": [each.route() for each in self.services]}
            ],
        }
        await self.order("/api/config/replace", document, f"r{self.version}")
        self.version += 1

    async def order(self, path, document=None, base=None, timeout_s=30.0):
        """Send an order to the control VMs until one acknowledges it.

        Raises
        ------
        CannotRunError
            If none does in time.
        """
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        if base is not None:
            headers.append(("Tamarackhaven-Base-Version", base))
        body = json.dumps(document).encode() if document is not None else b""
        end_s = time.monotonic() + timeout_s
        self.record.line("order sent", path=path)
        for machine in itertools.cycle(self.controls):
            host, answer = machine.fields["ip"], None
            for _ in range(3):
                answer = await call(
                    (host, self.ports["control"]), f"POST {path}", headers, body
                )
                if answer is None or answer.status != 307:
                    break
                host = answer.get("location").split("/")[2].split(":")[0]
            if answer is not None and answer.status == 200:
                self.record.line("order acknowledged", path=path, by=host)
                return
            if time.monotonic() > end_s:
                raise CannotRunError(f"no acknowledgement of {path}")
            await asyncio.sleep(0.1)

    async def leader(self):
        """Return the control VM that answers a read of the configuration, or None."""
        for machine in self.controls:
            answer = await call(
                (machine.fields["ip"], self.ports["control"]),
                "GET /api/config/read",
                [("Host", "control")],
            )
            if answer is not None and answer.status == 200:
                return machine
        return None

    # Clients.

    async def request(self, at, service, key=None, deadline_s=2.0, record=True):
        """Send a request to the daemon number ``at``; return its answer or None."""
        attempt = f"{next(self._attempts):016x}"
        self.machine_by_attempt[attempt] = at
        kind = next(each.kind for each in self.services if each.name == service)
        method = "GET" if kind == "safe" else "POST"
        headers = [
            ("Host", HOST),
            ("Tamarackhaven-Attempt-Id", attempt),
            ("Tamarackhaven-Deadline-Ms", str(int(deadline_s * 1000))),
        ]
        if key is not None:
            headers.append(("Tamarackhaven-Shard-Key", str(key)))
        body = b"" if kind == "safe" else b"booking"
        first = f"{method} /{service}/{attempt}"
        if record:
            self.record.line("request sent", request=attempt, to=at + 1, key=key or -1)
        answer = await call(
            (self.daemons[at].fields["ip"], self.ports["outbound"]),
            first,
            headers,
            body,
            deadline_s + 0.2,
        )
        if record:
            status = answer.status if answer is not None else 0
            code = answer.get("tamarackhaven-code") if answer is not None else ""
            self.record.line("answered", request=attempt, status=status, code=code)
        return answer

    async def load(self, service, per_s, keys=None, weights=None, clients_at=None):
        """Send requests at a steady mean rate until cancelled."""
        tasks = set()
        rng = random.Random(11)
        try:
            while True:
                at = rng.choice(clients_at or range(len(self.daemons)))
                key = rng.choices(keys, weights)[0] if keys else None
                task = asyncio.create_task(self.request(at, service, key))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(rng.expovariate(per_s))
        finally:
            for task in tuple(tasks):
                task.cancel()


def skewed_keys(count=600, exponent=0.8, seed=5):
    """Return keys and their weights: some are far busier than others."""
    rng = random.Random(seed)
    keys = [rng.randrange(65536) for _ in range(count)]
    return keys, [1 / (rank + 1) ** exponent for rank in range(count)]


__all__ = [
    "BOUNDS",
    "HEARTBEAT_S",
    "CannotRunError",
    "Fleet",
    "Service",
    "read_message",
    "signal",
    "skewed_keys",
    "write_message",
]
