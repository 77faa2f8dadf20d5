"""A small HTTP/1.1 client, an operator and the platform's readiness checks."""

import asyncio
import itertools
import json
import time

from review.lab.platform_stub import PORTS, Unusable

_CONNECT_TIMEOUT_S = 1.0


class Answer:
    """An answer; ``status`` 0 and not complete if there was none."""

    def __init__(self, status=0, headers=None, body=b"", is_complete=False, detail=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete
        self.detail = detail


async def send(host, port, method, path, headers=(), body=b"", timeout_s=3.0):
    """Send one request on a new connection; return its ``Answer``."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(host, port, method, path, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(detail=repr(error))


async def _exchange(host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request_bytes(method, path, headers, body))
        status, found = await read_head(reader)
        length = int(found.get("content-length", 0))
        return Answer(status, found, await reader.readexactly(length), True)
    finally:
        writer.close()


def request_bytes(method, path, headers, body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_head(reader):
    """Return the status and the headers, by lower-case name, of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    found = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    return int(head[0].split()[1]), found


class Caller:
    """Sends clients' requests to the daemons; each attempt has its own id."""

    def __init__(self, record, deadline_ms=2500):
        self._record = record
        self._deadline_ms = deadline_ms
        self._numbers = itertools.count(1)

    def headers(self, key=None):
        """Return the headers of a new attempt, and its id."""
        attempt = f"a{next(self._numbers):06d}"
        found = [
            ("Host", "jepu9.example"),
            ("Tamarackhaven-Attempt-Id", attempt),
            ("Tamarackhaven-Deadline-Ms", str(self._deadline_ms)),
        ]
        if key is not None:
            found.append(("Tamarackhaven-Shard-Key", str(key)))
        return attempt, found

    async def ask(self, host, path, key=None, method="GET", body=b""):
        """Send one request; return its ``Answer``."""
        _, answer = await self.ask_named(host, path, key, method, body)
        return answer

    async def ask_named(self, host, path, key=None, method="GET", body=b""):
        """Send one request; return its attempt's id and its ``Answer``."""
        attempt, headers = self.headers(key)
        self._record.say("sent", attempt=attempt, to=host, path=path, key=key)
        answer = await send(
            host,
            PORTS["outbound"],
            method,
            path,
            [*headers, ("Connection", "close")],
            body,
            self._deadline_ms / 1000,
        )
        is_signed = "tamarackhaven-response-signature" in answer.headers
        self._record.say(
            "answered",
            attempt=attempt,
            status=answer.status,
            signed=is_signed,
            detail=answer.detail,
        )
        return attempt, answer


class Operator:
    """Sends orders to the control VMs in turn until one answers clearly."""

    def __init__(self, hosts, record):
        self._hosts = hosts
        self._record = record

    async def order(self, path, document=None, base=None, for_s=30.0):
        """Send an order; return its final status.

        Raises
        ------
        Unusable
            If there is no clear answer in time.
        """
        headers = [("Host", "control"), ("Connection", "close")]
        if base is not None:
            headers.append(("Tamarackhaven-Base-Version", base))
        body = json.dumps(document).encode() if document is not None else b""
        self._record.say("order", path=path, document=document)
        until_s = time.monotonic() + for_s
        hosts = itertools.cycle(self._hosts)
        while True:
            answer = await self._send(next(hosts), path, headers, body)
            if answer.status and answer.status < 500:
                self._record.say("order answered", path=path, status=answer.status)
                return answer.status
            if time.monotonic() > until_s:
                raise Unusable(f"no clear answer to {path}: {answer.detail}")
            await asyncio.sleep(0.1)

    async def _send(self, host, path, headers, body):
        for _ in range(3):
            answer = await send(
                host, PORTS["control"], "POST", path, headers, body, 1.0
            )
            if answer.status != 307:
                return answer
            host = answer.headers["location"].split("/")[2].split(":")[0]
        return Answer(detail="redirected too often")


class Readiness:
    """Asks daemons once a second whether they are ready, as the platform does."""

    def __init__(self, hosts, record):
        self._misses_by_host = dict.fromkeys(hosts, 0)
        self._record = record

    def is_in(self, host):
        """Whether clients on this machine get work: not after two misses."""
        return self._misses_by_host[host] < 2

    async def run(self):
        """Ask until cancelled."""
        while True:
            await asyncio.gather(*(self._check(host) for host in self._misses_by_host))
            await asyncio.sleep(1.0)

    async def _check(self, host):
        headers = [("Host", "x"), ("Connection", "close")]
        answer = await send(
            host, PORTS["ready"], "GET", "/api/readiness", headers, timeout_s=0.9
        )
        was_in = self.is_in(host)
        misses = 0 if answer.status == 200 else self._misses_by_host[host] + 1
        self._misses_by_host[host] = misses
        if self.is_in(host) != was_in:
            self._record.say("readiness", machine=host, is_in=self.is_in(host))


def configuration(version, routes, services, limits=None):
    """Return a configuration document of one host.

    Parameters
    ----------
    version : str
        Such as ``r1``.
    routes : list of dict
        ``path_routes`` of the host.
    services : list of dict
        Only what differs from the example on the users' page.
    limits : dict or None
        What differs from the limits of that example.
    """
    return {
        "version": version,
        "services": [
            {
                "health_path": "/health",
                "max_connections": 130,
                "protocol": "h1",
                "tls": False,
                "cold_s": 3.0,
                "cold_per_s": 12.0,
            }
            | each
            for each in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        | (limits or {}),
        "virtual_hosts": [{"host": "jepu9.example", "path_routes": routes}],
    }


def route(name, service, kind="safe", timeout_s=2.5):
    """Return a route whose path prefix is ``/name/``."""
    return {
        "name": f"r-{name}",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_s": timeout_s,
        "target_latency_s": 0.8,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
