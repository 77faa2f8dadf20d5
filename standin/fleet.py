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

import attrs

from standin.process import Process

HEARTBEAT_S = 0.3
PORTS = {"operators": 18620, "links": 17600, "callers": 18629, "readiness": 18625}
TARGET_PORT = 18628
BUDGET = {"slack": 100}
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


@attrs.frozen
class Answer:
    """Response to an HTTP call; status 0 if none was received."""

    status: int
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""


async def call(host, port, method, path, headers=(), body=b"", timeout_s=3.0):
    """Make one HTTP call on a new connection; return its ``Answer``.

    Connection errors, a timeout and malformed responses give status 0.
    """
    try:
        # ``asyncio.wait_for`` could swallow the cancellation of the caller.
        async with asyncio.timeout(timeout_s):
            return await _call(host, port, method, path, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)


async def _call(host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        found = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
        length = int(found.get("content-length", 0))
        return Answer(int(head[0].split()[1]), found, await reader.readexactly(length))
    finally:
        writer.close()


@attrs.frozen
class Started:
    """A request that a target starts to run; ``key`` is -1 without one."""

    attempt: str
    path: str
    key: int
    body: bytes


class Target:
    """A target that sends heartbeats, holds the granted keys and records executions.

    Parameters
    ----------
    host : str
        Address of its VM.
    service : str
        ``owned`` or ``shared``.
    """

    _next_born_ms = itertools.count(1_700_000_000_000)

    def __init__(self, host, service, zone="z"):
        self.host = host
        self.service = service
        self.zone = zone
        self.name = f"i-{host}"
        self.born_ms = next(self._next_born_ms)
        self.state = "ready"
        self.work_s = 0.01
        # Value of the header that names a limit, None for no header.
        self.limit_text = None
        self.is_announced = False
        self.on_arrival = lambda attempt: None
        self.on_start = lambda attempt: None
        # Returns after how many seconds a request ends the target, None if it doesn't.
        self.ends_under = lambda started: None
        self.on_ended = lambda target: None
        self.ran = []
        self.begun = []
        self.held_by_range = {}
        self.fence_by_key_range = {}
        self._held_until_s = 0.0
        self._sequence = 0
        self._released = []
        self._server = None
        self._heartbeats = None
        self._end_task = None
        self._writers = set()

    async def start(self):
        """Listen and start sending heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.host, TARGET_PORT)
        self._heartbeats = asyncio.create_task(self._send_heartbeats_forever())

    async def restart(self):
        """Start again under the same name, as another life that holds nothing."""
        self.born_ms = next(self._next_born_ms)
        self._sequence = 0
        self._released = []
        self._end_task = None
        await self.start()

    async def stop(self):
        """Simulate a crash: send no leave request and drop all holds."""
        self.held_by_range = {}
        if self._server is None:
            return
        self._heartbeats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def holds(self, key):
        """Whether the target may execute requests for ``key`` now."""
        return time.monotonic() < self._held_until_s and any(
            first <= key <= last for first, last in self.held_by_range
        )

    async def _send_heartbeats_forever(self):
        while True:
            more = await self._send_heartbeat()
            await asyncio.sleep(0.05 if more else HEARTBEAT_S)

    async def _send_heartbeat(self):
        self._sequence += 1
        sent_s = time.monotonic()
        if sent_s >= self._held_until_s:
            self.held_by_range = {}
        rows = [[*keys, fence] for keys, fence in self.held_by_range.items()]
        document = {
            "address": f"{self.host}:{TARGET_PORT}",
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max_concurrency": 8,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_s_time": 0,
            },
            "active_holds": rows,
            "released": self._released,
        }
        return await self._post("heartbeat", document, sent_s)

    async def _post(self, action, document, sent_s):
        """Send a heartbeat or leave request; return whether holds were released.

        If so, the next heartbeat is due soon, to report the release.
        ``sent_s`` is the ``time.monotonic()`` of sending, in seconds.
        """
        answer = await call(
            self.host,
            PORTS["operators"],
            "POST",
            f"/api/instances/{self.name}/{action}",
            [("Host", "x")],
            json.dumps(document).encode(),
            1.0,
        )
        if answer.status != 200:
            return False
        self._released = []
        return self._apply_grants(json.loads(answer.body), sent_s)

    async def send_leave(self):
        """Send a leave request; the target goes on serving and sending heartbeats."""
        await self._post("leave", {}, time.monotonic())

    def _apply_grants(self, response, sent_s):
        if "active_holds" not in response:
            return False
        new = {
            (first, last): fence for first, last, fence, _ in response["active_holds"]
        }
        released = [keys for keys in self.held_by_range if keys not in new]
        self._released = [[*keys, f"t{keys[0]}"] for keys in released]
        self.held_by_range = new
        self._held_until_s = sent_s + response["hold_s"]
        return bool(released)

    async def _serve(self, reader, writer):
        if not self._server.is_serving():
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {
                    n.lower(): v.strip()
                    for n, _, v in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(await self._answer(lines[0], headers, body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The run has ended; asyncio logs a cancelled server task as an error.
            return
        finally:
            self._writers.discard(writer)

    def _record_start(self, attempt, key):
        """Record that the execution of an attempt starts."""
        self.begun.append(attempt)
        self.on_start(attempt)

    def _end_later(self, seconds):
        """Crash after ``seconds``, unless this life has ended by then."""
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._end_life, self.born_ms)

    def _end_life(self, born_ms):
        is_over = self._end_task is not None or not self._server.is_serving()
        if born_ms == self.born_ms and not is_over:
            self._end_task = asyncio.create_task(self._end())

    async def _end(self):
        await self.stop()
        self.on_ended(self)

    async def _answer(self, line, headers, body):
        attempt = headers.get("tamarackhaven-attempt-id", "")
        key = int(headers.get("tamarackhaven-shard-key", -1))
        self.on_arrival(attempt)
        misdirected = headers.get("tamarackhaven-expected-instance") != self.name
        if misdirected or (self.service == "owned" and not self.holds(key)):
            return (
                b"HTTP/1.1 421 Misdirected\r\nTamarackhaven-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        self._record_start(attempt, key)
        end_s = self.ends_under(Started(attempt, line.split()[1], key, body))
        if end_s is not None:
            self._end_later(end_s)
            await asyncio.sleep(end_s)
        await asyncio.sleep(self.work_s)
        self.ran.append((attempt, key, time.monotonic()))
        text = f"{self.name} {line.split()[1]} ".encode() + body
        return (
            b"HTTP/1.1 200 OK\r\nTamarackhaven-Attempt-Id: %s\r\n"
            b"Tamarackhaven-Response-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s"
        ) % (attempt.encode(), self._notice_headers(), len(text), text)

    def _notice_headers(self):
        """Return the headers with which it reports its limit and that it leaves."""
        limit, leaving = self.limit_text, self.is_announced
        lines = f"Server-Limit: {limit}\r\n" if limit is not None else ""
        return (lines + ("Server-Leaving: 1\r\n" if leaving else "")).encode()


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
    """

    def __init__(self, folder, services, net, controls=3):
        self.folder = folder
        self.net = net
        self.control_hosts = [f"127.{net}.1.{n + 1}" for n in range(controls)]
        self.target_hosts = [f"127.{net}.2.{n + 1}" for n in range(len(services))]
        self.targets = [
            Target(host, service)
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
tolerated_losses = 1
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
        shutil.rmtree(self.folder / control.name)
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
            await self.order("/api/config/replace", CONFIGURATION, "r0")
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

    async def ask(self, prefix, key, at, attempt=None, body=b"b"):
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
        return await call(host, PORTS["callers"], "POST", f"{prefix}x", headers, body)

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
            answer = await call(host, PORTS["operators"], method, path, headers, body)
            if answer.status == 307:
                other = answer.headers["location"].split("/")[2].split(":")[0]
                answer = await call(
                    other, PORTS["operators"], method, path, headers, body
                )
            if answer.status and answer.status not in (307,) and answer.status < 500:
                return answer
            assert time.monotonic() < deadline_s, "no control VM accepted the request"
            await asyncio.sleep(0.1)
        return None

    async def leader(self):
        """Return the index of the leader in ``control_hosts``, or None."""
        for number, host in enumerate(self.control_hosts):
            answer = await call(
                host, PORTS["operators"], "GET", "/api/config/read", [("Host", "x")]
            )
            if answer.status == 200:
                return number
        return None
