"""Real processes: what targets and callers send without end."""

import asyncio
import itertools
import time
from pathlib import Path

import pytest

from standin.call import call
from standin.endless_target import KINDS, EndlessTarget
from standin.fleet import Fleet
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
