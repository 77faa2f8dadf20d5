"""A fleet in which one small service is offered more than its VMs can do.

Its targets are slow, or send without end; their VMs have small links that bodies fill
in both directions, and a part of a core.
"""

import asyncio
import contextlib
import itertools
import signal
import time

from soak._proxy import Direction, Proxy
from standin.call import call
from standin.endless_target import EndlessTarget
from standin.fleet_target import PORTS
from standin.narrow_link import NarrowLink
from tests.fleet.real_fleet import LISTEN_OFFSET, ProxiedFleet

SERVICES = ("owned", "owned", "owned", "shared", "shared")
SMALL_SERVICE = "shared"
LINK_BYTES_PER_S = 800_000.0
BODY = b"b" * 60_000
# A target of the small service runs eight requests at once, each for so long.
WORK_S = 0.3
# Twice what its two targets can run.
UPLOADS_PER_S = 107.0
ENDLESS_KINDS = ("tiny-chunks", "interim", "chunks", "body", "headers")
ENDLESS_INTERVAL_S = 0.5
# Of each slice of time, a VM's daemon runs for this fraction.
CORE_FRACTION = 0.43
SLICE_S = 0.1
READY_INTERVAL_S = 1.0


class OverloadedFleet(ProxiedFleet):
    """Three targets that are idle, and two of the small service.

    Attributes
    ----------
    small_hosts : list of str
        VMs of the small service.
    ready_by_host : dict
        Whether each readiness check was answered with 200, by VM.
    upload_statuses : list of int
        Of all answers to uploads, 0 for none.
    """

    def __init__(self, *settings):
        self._links_by_host = {}
        super().__init__(*settings)
        self.small_hosts = []
        for number, service in enumerate(SERVICES):
            if service != SMALL_SERVICE:
                continue
            host = self.target_hosts[number]
            self.small_hosts.append(host)
            self._links_by_host[host] = (
                NarrowLink(LINK_BYTES_PER_S),
                NarrowLink(LINK_BYTES_PER_S),
            )
            self.targets[number] = EndlessTarget(host, service)
        self.ready_by_host = {host: [] for host in self.target_hosts}
        self.upload_statuses = []
        self._uploads = itertools.count()
        for proxy in self.proxies:
            proxy.on_flow = self._limit_session(proxy)

    def _daemon(self, target, seeds):
        process = super()._daemon(target, seeds)
        address = target.host, PORTS["links"]
        listen = target.host, PORTS["links"] + LISTEN_OFFSET
        self.proxies.append(Proxy(address, listen))
        process.write(f'links_listen = "{listen[0]}:{listen[1]}"\n{process.settings}')
        return process

    def _limit_session(self, proxy):
        """Return what limits a new connection to a proxy's VM, or from a daemon."""
        called_host, _ = proxy.address

        def limit(flow):
            if called_host in self._links_by_host:
                into, out = self._links_by_host[called_host]
                flow.link_by_direction = {Direction.THERE: into, Direction.BACK: out}
            for host, (into, out) in self._links_by_host.items():
                if f"{host}:{PORTS['links']}".encode() in flow.first_bytes:
                    flow.link_by_direction = {
                        Direction.THERE: out,
                        Direction.BACK: into,
                    }

        return limit

    @contextlib.asynccontextmanager
    async def overloaded(self):
        """Overload the small service meanwhile."""
        for target in self.targets:
            if target.service == SMALL_SERVICE:
                target.work_s = WORK_S
        tasks = [
            asyncio.create_task(each)
            for each in (
                self._upload(),
                self._ask_for_endless(),
                *(self._starve(host) for host in self.small_hosts),
                *(self._check_readiness(host) for host in self.target_hosts),
            )
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for host in self.small_hosts:
                self._send_signal(host, signal.SIGCONT)

    async def _upload(self):
        async with asyncio.TaskGroup() as group:
            while True:
                at = next(self._uploads) % len(SERVICES)
                group.create_task(self._upload_once(at))
                await asyncio.sleep(1 / UPLOADS_PER_S)

    async def _upload_once(self, at):
        answer = await self.ask("/shared/", None, at, body=BODY)
        self.upload_statuses.append(answer.status)

    async def _ask_for_endless(self):
        async with asyncio.TaskGroup() as group:
            for kind in itertools.cycle(ENDLESS_KINDS):
                group.create_task(self.ask(f"/shared/endless/{kind}?", None, 0))
                await asyncio.sleep(ENDLESS_INTERVAL_S)

    async def _starve(self, host):
        """Let a VM's daemon run for a part of the time only."""
        while True:
            self._send_signal(host, signal.SIGSTOP)
            await asyncio.sleep(SLICE_S * (1 - CORE_FRACTION))
            self._send_signal(host, signal.SIGCONT)
            await asyncio.sleep(SLICE_S * CORE_FRACTION)

    def _send_signal(self, host, number):
        self.daemons[self.target_hosts.index(host)].send(number)

    async def _check_readiness(self, host):
        while True:
            due_s = time.monotonic() + READY_INTERVAL_S
            answer = await call(
                host,
                PORTS["readiness"],
                "GET",
                "/api/readiness",
                [("Host", "x")],
                timeout_s=READY_INTERVAL_S,
            )
            self.ready_by_host[host].append(answer.status == 200)
            await asyncio.sleep(max(due_s - time.monotonic(), 0.0))

    def news_lags_s(self):
        """Return how late each configuration came to each daemon, in seconds, by VM."""
        committed_at = {}
        for control in self.controls:
            for line in control.lines:
                if line.get("sentence") == "control: configuration in force":
                    at = committed_at.get(line["index"], line["at"])
                    committed_at[line["index"]] = min(at, line["at"])
        return {
            daemon.name: [
                round(line["at"] - committed_at[line["index"]], 3)
                for line in daemon.lines
                if line.get("sentence") == "daemon: configuration taken"
                and line["index"] in committed_at
            ]
            for daemon in self.daemons
        }

    def describe(self):
        """Return the readiness of each VM and the fraction of uploads by status."""
        ready = {
            host: f"{sum(checks)} of {len(checks)}"
            for host, checks in self.ready_by_host.items()
        }
        uploads = {
            status: self.upload_statuses.count(status)
            for status in sorted(set(self.upload_statuses))
        }
        lags_s = {host: max(lags) for host, lags in self.news_lags_s().items()}
        return f"ready: {ready}\nuploads: {uploads}\nlatest news: {lags_s}"
