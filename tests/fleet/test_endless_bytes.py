"""Real processes: what targets and callers send without end."""

import asyncio
import itertools
import time
from pathlib import Path

import pytest

from standin.call import call
from standin.endless_target import KINDS, EndlessTarget
from standin.fleet import CONFIGURATION, Fleet
from standin.fleet_target import PORTS
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(70)
KEY = 7
ENDLESS_COUNT = 8
DEADLINE_S = 1.5
# An answer may come this much after the deadline.
MAX_LATENESS_S = 0.5
INNOCENT_INTERVAL_S = 0.03
MIN_SERVED_FRACTION = 0.95
# The smallest memory of a daemon's VM in use, less what bodies of requests may take.
MAX_DAEMON_MB = 200 - 67
SENT_BLOCK_BYTES = 256 << 10
SENT_BLOCK_INTERVAL_S = 0.01


class EndlessFleet(Fleet):
    """Two targets; the one that owns keys answers some requests without end."""

    def __init__(self, folder, net):
        super().__init__(folder, ("owned", "shared"), net)
        self.targets[0] = EndlessTarget(self.target_hosts[0], "owned")

    def peak_mb(self, at):
        """The most memory that a daemon has had, in MB."""
        status = Path(f"/proc/{self.daemons[at].pid}/status").read_text()
        (line,) = (row for row in status.splitlines() if row.startswith("VmHWM:"))
        return int(line.split()[1]) / 1000


async def ask_innocently(fleet, until_s):
    """Send requests for the other target at the same daemon; return the answers."""
    asked = []
    while time.monotonic() < until_s:
        asked.append(asyncio.create_task(fleet.ask("/shared/", None, 0)))
        await asyncio.sleep(INNOCENT_INTERVAL_S)
    return await asyncio.gather(*asked)


async def ask_for_endless(fleet, kind):
    """Send a request that is answered without end; return its status and time."""
    started_s = time.monotonic()
    headers = [
        ("Host", "h.example"),
        ("Tamarackhaven-Attempt-Id", f"e{next(fleet._attempts)}"),
        ("Tamarackhaven-Deadline-Ms", f"{DEADLINE_S * 1000:.0f}"),
        ("Tamarackhaven-Shard-Key", str(KEY)),
    ]
    path = f"/owned/endless/{kind}"
    address = (fleet.target_hosts[0], PORTS["callers"])
    answer = await call(*address, "GET", path, headers, timeout_s=10.0)
    return answer.status, time.monotonic() - started_s


@pytest.mark.parametrize("kind", KINDS)
def test_a_target_that_sends_without_end_harms_no_other_request(tmp_path, kind):
    # Guards against a daemon that one target's answers fill or keep busy.
    async def test(fleet):
        until_s = time.monotonic() + 2 * DEADLINE_S
        innocent = asyncio.create_task(ask_innocently(fleet, until_s))
        await asyncio.sleep(0.2)
        endless = await asyncio.gather(
            *(ask_for_endless(fleet, kind) for _ in range(ENDLESS_COUNT))
        )
        statuses = {status for status, _ in endless}
        assert statuses <= ({200} if kind == "after-answer" else {502, 503, 504})
        assert max(took_s for _, took_s in endless) < DEADLINE_S + MAX_LATENESS_S
        answers = await innocent
        served = sum(answer.status == 200 for answer in answers)
        assert served >= MIN_SERVED_FRACTION * len(answers)
        assert fleet.peak_mb(0) < MAX_DAEMON_MB
        assert not fleet.daemons[0].has_ended

    real_fleet.run(test, (tmp_path, next(NETWORK_NUMBERS)), fleet_class=EndlessFleet)


class EndlessHealthFleet(EndlessFleet):
    """The target that owns keys is asked for its health under load."""

    configuration = CONFIGURATION | {
        "services": [each | {"cold_per_s": 4.0} for each in CONFIGURATION["services"]]
    }


@pytest.mark.parametrize("kind", KINDS)
def test_a_target_whose_health_answers_never_end_is_bounded(tmp_path, kind):
    # Guards against a daemon that its own checks fill or keep busy.
    async def test(fleet):
        fleet.targets[0].health_kind = kind
        until_s = time.monotonic() + 2 * DEADLINE_S
        innocent = asyncio.create_task(ask_innocently(fleet, until_s))
        asked = []
        while time.monotonic() < until_s:
            asked.append(asyncio.create_task(fleet.ask("/owned/", KEY, 0)))
            await asyncio.sleep(INNOCENT_INTERVAL_S)
        answers = await asyncio.gather(*asked)
        # Unasked it gets what a cold target bears; the rest is refused.
        assert {each.status for each in answers} <= {200, 503}
        assert sum(each.status == 200 for each in answers) >= 4
        innocent = await innocent
        served = sum(answer.status == 200 for answer in innocent)
        assert served >= MIN_SERVED_FRACTION * len(innocent)
        assert fleet.peak_mb(0) < MAX_DAEMON_MB
        assert not fleet.daemons[0].has_ended

    real_fleet.run(test, (tmp_path, next(NETWORK_NUMBERS)), EndlessHealthFleet)


CALLER_HEAD = b"POST /owned/x HTTP/1.1\r\nHost: h.example\r\n"
CALLER_CHUNKED = CALLER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What a caller starts with, and what it repeats until the daemon closes.
CALLER_PARTS_BY_KIND = {
    "line": (b"GET /", b"x"),
    "headers": (CALLER_HEAD, b"Y: x\r\n"),
    "tiny-chunks": (CALLER_CHUNKED, b"1\r\nx\r\n"),
    "chunk-size": (CALLER_CHUNKED, b"0"),
    "trailers": (CALLER_CHUNKED + b"0\r\n", b"Y: x\r\n"),
    "pipelined": (b"", b"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n"),
}


async def send_without_end(host, port, start, repeated, until_s):
    """Send bytes until a time, or until the other end closes the connection."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        block = repeated * (SENT_BLOCK_BYTES // len(repeated))
        writer.write(start)
        while time.monotonic() < until_s and not reader.at_eof():
            writer.write(block)
            async with asyncio.timeout(until_s - time.monotonic()):
                await writer.drain()
            await asyncio.sleep(SENT_BLOCK_INTERVAL_S)
        writer.transport.abort()
    except (OSError, TimeoutError):
        return


@pytest.mark.parametrize(
    ("kind", "port"),
    [
        *((kind, "callers") for kind in CALLER_PARTS_BY_KIND),
        ("tiny-chunks", "operators"),
        ("tiny-chunks", "readiness"),
    ],
)
def test_a_caller_that_sends_without_end_harms_no_other_request(tmp_path, kind, port):
    # Guards against a daemon that one caller's bytes fill or keep busy.
    async def test(fleet):
        until_s = time.monotonic() + 2 * DEADLINE_S
        start, repeated = CALLER_PARTS_BY_KIND[kind]
        senders = [
            send_without_end(
                fleet.target_hosts[0], PORTS[port], start, repeated, until_s
            )
            for _ in range(ENDLESS_COUNT)
        ]
        answers, *_ = await asyncio.gather(ask_innocently(fleet, until_s), *senders)
        served = sum(answer.status == 200 for answer in answers)
        assert served >= MIN_SERVED_FRACTION * len(answers)
        assert fleet.peak_mb(0) < MAX_DAEMON_MB
        assert not fleet.daemons[0].has_ended

    real_fleet.run(test, (tmp_path, next(NETWORK_NUMBERS)), fleet_class=EndlessFleet)
