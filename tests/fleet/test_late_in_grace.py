"""Real processes: requests that come all through the grace time of a planned stop."""

import asyncio
import itertools
import signal
import time

import attrs
import pytest

from standin.call import status_of
from standin.fleet_target import PORTS
from tests.fleet.real_fleet import run

NETS = itertools.count(13)
SERVICES = ("owned", "shared", "owned", "shared")
STOPPED = 0
# By the platform's rule, a request that wasn't passed on may be cut this early.
LOSS_SLACK_S = 0.2
NOT_RUN = frozenset((408, 421, 429, 503))
BODY = b"b" * 2000


@attrs.define
class Sent:
    """One request on a kept connection; status 0 if the connection ended first."""

    attempt: str
    status: int = 0
    whole_s: float = 0.0
    ended_s: float = 0.0


class KeptCaller:
    """Sends one request after the other on a connection, until no one listens.

    Parameters
    ----------
    host : str
        Of the daemon.
    prefix, key : str, int or None
        Of its requests.
    pause_s : float
        Between the halves of each body.
    """

    def __init__(self, host, prefix, key, pause_s):
        self._host = host
        self._prefix = prefix
        self._key = key
        self._pause_s = pause_s
        self.sent = []

    async def run(self, names, until_s):
        while time.monotonic() < until_s:
            try:
                address = self._host, PORTS["callers"]
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                return
            try:
                while time.monotonic() < until_s:
                    request = Sent(f"g{next(names)}")
                    await self._ask(request, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                continue
            finally:
                writer.close()

    async def _ask(self, request, reader, writer):
        lines = [
            f"POST {self._prefix}x HTTP/1.1",
            "Host: h.example",
            f"Tamarackhaven-Attempt-Id: {request.attempt}",
            "Tamarackhaven-Deadline-Ms: 2000",
            f"Content-Length: {len(BODY)}",
        ]
        if self._key is not None:
            lines.append(f"Tamarackhaven-Shard-Key: {self._key}")
        half = len(BODY) // 2
        writer.write("\r\n".join([*lines, "", ""]).encode() + BODY[:half])
        if self._pause_s:
            await asyncio.sleep(self._pause_s)
        writer.write(BODY[half:])
        await writer.drain()
        request.whole_s = time.monotonic()
        self.sent.append(request)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = int(head.lower().split("content-length:")[1].split("\r\n")[0])
            await reader.readexactly(length)
            request.status = status_of(head.split("\r\n")[0])
        finally:
            request.ended_s = time.monotonic()
        if "connection: close" in head.lower():
            raise OSError("closed by the daemon")


def broken(sent, begun):
    """Return what breaks the promises of a planned stop, as texts."""
    found = []
    for each in sent:
        has_begun = each.attempt in begun
        if has_begun and not each.status:
            found.append(f"{each.attempt} was passed on and has no answer")
        elif not each.status and each.ended_s - each.whole_s > LOSS_SLACK_S:
            held_s = each.ended_s - each.whole_s
            found.append(f"{each.attempt} was cut after {held_s:.2f} s")
        if has_begun and each.status in NOT_RUN:
            found.append(f"{each.attempt} ran and was answered {each.status}")
    return found


@pytest.mark.parametrize(
    ("prefix", "work_s", "pause_s", "callers"),
    [
        ("/shared/", 0.05, 0.0, 16),
        ("/shared/", 1.0, 0.0, 16),
        ("/shared/", 0.4, 0.6, 16),
        ("/owned/", 0.4, 0.6, 16),
        ("/owned/", 1.0, 0.0, 16),
        ("/owned/", 0.3, 0.0, 48),
    ],
    ids=["short", "long", "bodies", "owner bodies", "owner", "queue"],
)
def test_no_request_of_a_planned_stops_grace_is_cut(
    tmp_path, prefix, work_s, pause_s, callers
):
    # Guards against: requests that come late in the grace time are passed on, and cut
    # without an answer when it ends.
    async def test(fleet):
        for target in fleet.targets:
            target.work_s = work_s
        stopped = fleet.daemons[STOPPED]
        key = None
        if prefix == "/owned/":
            key = next(k for k in range(65536) if fleet.targets[STOPPED].holds(k))
        names = itertools.count()
        until_s = time.monotonic() + 8.0
        # Half of them at the daemon that stops, the others at those that forward to it.
        hosts = [
            fleet.target_hosts[STOPPED if n % 2 else n // 2 % len(SERVICES)]
            for n in range(callers)
        ]
        kept = [KeptCaller(host, prefix, key, pause_s) for host in hosts]
        tasks = [asyncio.create_task(each.run(names, until_s)) for each in kept]
        await asyncio.sleep(1.0)
        stopped.send(signal.SIGTERM)
        code = await asyncio.to_thread(stopped.wait, 10.0)
        await asyncio.gather(*tasks)
        begun = {name for each in fleet.targets for name in each.begun}
        sent = [request for each in kept for request in each.sent]
        assert code == 0
        assert sum(each.status == 200 for each in sent) > callers
        assert broken(sent, begun) == []

    run(test, (tmp_path, SERVICES, next(NETS)))
