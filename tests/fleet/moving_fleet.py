"""A fleet whose operator moves routes, and by which version each daemon serves them."""

import asyncio
import copy
import itertools
import json
import time

from soak._routes import RouteWatch
from standin.call import call
from standin.fleet import CONFIGURATION, OPERATOR_TIMEOUT_S
from standin.fleet_target import PORTS
from tests.fleet.real_fleet import ProxiedFleet

MOVED_PREFIX = "/moved/"
KEY = 7
OPERATOR_PAUSE_S = 0.1
REQUEST_INTERVAL_S = 0.1


class MovingFleet(ProxiedFleet):
    """A fleet with a route that moves between its services, and a watch of it."""

    def __init__(self, *settings):
        super().__init__(*settings)
        self.watch = RouteWatch()
        self.served = 0
        # What the watch has found wrong, as texts.
        self.wrong = []
        self._versions = itertools.count(2)
        for control in self.controls:
            control.may_stall()

    async def move(self, service):
        """Move the route to a service; return its version and the acknowledgement.

        The latter is the time in seconds after the order was first sent.

        The order goes to each control VM in turn until one acknowledges it.
        """
        version = next(self._versions)
        document = copy.deepcopy(CONFIGURATION)
        document["version"] = f"r{version}"
        path_routes = document["virtual_hosts"][0]["path_routes"]
        moved = {"name": "moved", "path_prefix": MOVED_PREFIX, "service": service}
        path_routes.append({**path_routes[0], **moved})
        headers = [("Host", "x"), ("Tamarackhaven-Base-Version", f"r{version - 1}")]
        self.watch.declare(version, {MOVED_PREFIX: service})
        sent_s = time.monotonic()
        hosts = itertools.cycle(self.control_hosts)
        host = next(hosts)
        body = json.dumps(document).encode()
        while True:
            answer = await call(
                host,
                PORTS["operators"],
                "POST",
                "/api/config/replace",
                headers,
                body,
                OPERATOR_TIMEOUT_S,
            )
            if answer.status == 200:
                self.watch.acknowledge(version)
                return version, time.monotonic() - sent_s
            assert answer.status in (0, 307, 503), answer
            if answer.status == 307:
                host = answer.headers["location"].split("/")[2].split(":")[0]
            else:
                host = next(hosts)
                await asyncio.sleep(OPERATOR_PAUSE_S)

    async def judge(self):
        """Ask each daemon for the moved route until cancelled, and judge who ran it."""
        await asyncio.gather(
            *(self._judge_daemon(at) for at in range(len(self.target_hosts)))
        )

    async def _judge_daemon(self, at):
        while True:
            attempt = f"m{next(self._attempts)}"
            self.watch.sent(attempt, self.target_hosts[at], MOVED_PREFIX)
            answer = await self.ask(MOVED_PREFIX, KEY, at, attempt)
            if answer.status == 200:
                self.served += 1
                wrong = self.watch.handled(attempt, self._service_of(answer))
                if wrong:
                    self.wrong.append(wrong)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def flows_of(self, daemon, control):
        """Return the open connections of a daemon to a control VM, by index."""
        hello = daemon.name.encode()
        return [
            each for each in self.proxies[control].flows if hello in each.first_bytes
        ]

    def has_taken(self, daemon, version):
        """Whether a daemon has logged that it took a version."""
        return any(
            line.get("sentence") == "daemon: configuration taken"
            and line["version"] == version
            for line in daemon.lines
        )

    def _service_of(self, answer):
        """Return the service of the target that has answered."""
        return next(
            target.service
            for target in self.targets
            if answer.body.startswith(f"{target.name} ".encode())
        )
