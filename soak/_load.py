"""Simulated callers and operators of a soak; callers reuse their connections."""

import asyncio
import contextlib
import copy
import itertools
import json
import random
import time

from soak._fleet import CONFIGURATION, read_version
from soak._records import CallerRequest
from soak._routes import MOVING_PREFIXES, draw_change, path_routes
from standin.call import status_of
from standin.fleet import SERVICE_BY_ROUTE
from standin.fleet_target import PORTS

DEADLINE_S = 2.0
# A caller without a response this long after its deadline closes the connection.
RESPONSE_GRACE_S = 4.0
MEAN_CALLER_PAUSE_S = 0.05
MEAN_CHANGE_INTERVAL_S = 0.7
# Fraction of changes that two operators send at once, based on the same version.
RACE_FRACTION = 0.3
# Fraction of changes that start a storm, its length, and the time between changes.
STORM_FRACTION = 0.2
MAX_STORM_CHANGES = 8
MAX_STORM_PAUSE_S = 0.3
# The update of a change is on its way to a daemon for less than this.
UNSEEN_S = 0.3
# Fraction of runs whose changes have limits that callers keep and heartbeats exceed.
TIGHT_LIMITS_FRACTION = 0.5
TIGHT_LIMITS = {"max_header_bytes": 400, "idle_timeout_s": 0.0}
# Fraction of lookups that go to a route that moves between services, comes and goes.
MOVING_FRACTION = 0.4
# Fraction of bookings with a large body, and how often it repeats the attempt id.
LARGE_BODY_FRACTION = 0.15
MAX_BODY_REPEATS = 20_000


class Caller:
    """A caller that sends one request at a time on a persistent connection.

    Parameters
    ----------
    fleet : SoakFleet
        Receives the requests, at one daemon until the connection to it closes.
    number : int
        Unique number, part of the attempt ids.
    seed : int
        Seed of the run.
    """

    def __init__(self, fleet, number, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed} {number}")
        self._attempts = (f"c{number}-{count}" for count in itertools.count())
        self._daemon = None
        self._streams = None

    async def run(self):
        """Send requests until cancelled."""
        try:
            while True:
                await self._send_request()
                await asyncio.sleep(self._random.uniform(0, 2 * MEAN_CALLER_PAUSE_S))
        finally:
            self._close()

    async def _send_request(self):
        if self._streams is None and not await self._open():
            return
        is_safe = self._random.random() < 0.5
        key = self._random.randrange(65536) if is_safe else None
        prefix = "/owned/" if is_safe else "/shared/"
        if is_safe and self._random.random() < MOVING_FRACTION:
            prefix = self._random.choice(MOVING_PREFIXES)
        now = time.monotonic()
        request = CallerRequest(
            next(self._attempts), key, is_safe, now, now + DEADLINE_S, prefix=prefix
        )
        fleet = self._fleet
        daemon, before = self._daemon, fleet.disturbances(self._daemon)
        request.was_disturbed = fleet.is_taken(daemon)
        timeout_s = DEADLINE_S + RESPONSE_GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                request.status, request.body = await self._exchange(request)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self._close()
        finally:
            request.ended_s = time.monotonic()
            request.was_disturbed |= fleet.disturbances(daemon) != before
            fleet.records.ended(request)

    async def _open(self):
        self._daemon = self._random.choice(self._fleet.daemons)
        try:
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(
                    self._daemon.name, PORTS["callers"]
                )
        except (OSError, TimeoutError):
            await asyncio.sleep(MEAN_CALLER_PAUSE_S)
        return self._streams is not None

    async def _exchange(self, request):
        reader, writer = self._streams
        method = "GET" if request.is_safe else "POST"
        lines = [
            f"{method} {request.prefix}{request.attempt} HTTP/1.1",
            "Host: h.example",
            f"Tamarackhaven-Attempt-Id: {request.attempt}",
            f"Tamarackhaven-Deadline-Ms: {DEADLINE_S * 1000:.0f}",
        ]
        if request.key is not None:
            lines.append(f"Tamarackhaven-Shard-Key: {request.key}")
        if not request.is_safe:
            request.sent = self._body(request.attempt)
        lines += [f"Content-Length: {len(request.sent)}", "", ""]
        daemon = self._daemon.name
        service = SERVICE_BY_ROUTE.get(request.prefix)
        self._fleet.records.sent(request.attempt, daemon, service)
        if request.prefix in MOVING_PREFIXES:
            self._fleet.records.routes.sent(request.attempt, daemon, request.prefix)
        writer.write("\r\n".join(lines).encode() + request.sent)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = status_of(head.split("\r\n", 1)[0])
        head = head.lower()
        length = int(head.split("content-length:", 1)[1].split("\r\n", 1)[0])
        answer = await reader.readexactly(length)
        self._fleet.records.returned(daemon, head, answer)
        if "connection: close" in head:
            self._close()
        return status, answer

    def _body(self, attempt):
        """Return a booking's body: the attempt id, sometimes repeated many times."""
        if self._random.random() >= LARGE_BODY_FRACTION:
            return attempt.encode()
        return attempt.encode() * self._random.randint(1, MAX_BODY_REPEATS)

    def _close(self):
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class Operator:
    """Repeatedly changes the configuration and reads it back.

    ``storm_fraction`` is the fraction of changes that start a storm.
    """

    def __init__(self, fleet, seed, storm_fraction=STORM_FRACTION):
        self._storm_fraction = storm_fraction
        self._fleet = fleet
        self._random = random.Random(f"{seed} operator")
        self._route_random = random.Random(f"{seed} routes")
        self._has_tight_limits = (
            random.Random(f"{seed} limits").random() < TIGHT_LIMITS_FRACTION
        )
        self._base = 1
        self._version = 1
        self._former_services = {}
        fleet.records.routes.declare(1, {})
        fleet.records.routes.acknowledge(1)

    async def run(self):
        """Send changes until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(0, 2 * MEAN_CHANGE_INTERVAL_S))
            if self._random.random() < RACE_FRACTION:
                await self._race()
            else:
                await self._change(self._next_version())
            if self._route_random.random() < self._storm_fraction:
                await self._storm()
            await self.read(self._random.choice(self._fleet.control_hosts))

    async def change_unseen_by(self, host):
        """Send one change whose update is lost on its way to a daemon."""
        await self._refresh_version()
        with self._fleet.lost_updates.losing(host):
            await self._change(self._next_version())
            await asyncio.sleep(UNSEEN_S)

    async def _storm(self):
        """Send changes in quick succession."""
        for _ in range(self._route_random.randint(2, MAX_STORM_CHANGES)):
            await self._change(self._next_version())
            pause_s = self._route_random.uniform(0, MAX_STORM_PAUSE_S)
            await asyncio.sleep(pause_s)

    def _next_version(self):
        self._version += self._random.randint(1, 3)
        return self._version

    async def _change(self, version):
        """Send a change of the last known version; return whether it was accepted."""
        document = copy.deepcopy(CONFIGURATION)
        document["version"] = f"r{version}"
        timeout_s = round(self._random.uniform(1.8, 2.2), 3)
        routes = document["virtual_hosts"][0]["path_routes"]
        for route in routes:
            route["timeout_s"] = timeout_s
        if self._has_tight_limits:
            document["limits"] = TIGHT_LIMITS
        watch = self._fleet.records.routes
        present = watch.services(self._base)
        services = draw_change(self._route_random, present, self._former_services)
        routes += path_routes(services)
        base = f"r{self._base}"
        watch.declare(version, services)
        with contextlib.suppress(AssertionError):
            answer = await self._fleet.order("/api/config/replace", document, base)
            if answer.status == 200:
                self._base = version
                self._former_services = present
                watch.acknowledge(version)
                self._fleet.records.accepted(version)
                return True
            watch.refuse(version)
            await self._refresh_version()
        return False

    async def _race(self):
        """Send two changes of the same version at once; at most one may be accepted."""
        base = self._base
        first, second = self._next_version(), self._next_version()
        are_accepted = await asyncio.gather(self._change(first), self._change(second))
        if all(are_accepted):
            self._fleet.records.report_violation("one wins", f"two changes on r{base}")

    async def _refresh_version(self):
        """Read the current version after a change without a definite result."""
        for host in self._fleet.control_hosts:
            version = await read_version(host)
            if version is not None:
                self._base = version
                self._version = max(self._version, version)

    async def read(self, host):
        """Read the version from one control VM and check it; None if that fails."""
        accepted = self._fleet.records.newest_accepted
        version = await read_version(host)
        if version is not None:
            self._fleet.records.read(version, accepted)
        return version


def describe(records):
    """Return the counts of a run as a line of JSON.

    Includes the requests whose configuration was checked, the longest stall of the
    event loop in seconds and the maximum fraction of a core that a process used.
    """
    count_by_status = {
        str(status): count for status, count in sorted(records.counts.items())
    }
    described = {
        "asked": len(records.requests),
        "answers": count_by_status,
        "routes_judged": records.routes.judged,
        "lost_updates": records.lost_updates,
        "ends": records.poisons.ends,
        "ends_arrivals": records.poisons.arrivals,
        "ends_judged": records.poisons.judged,
        "repeats": records.repeats.most,
        "stall_s": round(records.longest_stall_s, 2),
        "busy": round(records.max_core_fraction, 2),
    }
    return json.dumps(described)
