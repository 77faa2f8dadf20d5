"""Real processes: targets that name a limit, and targets that announce that they leave.

Each test starts three control VMs and a daemon beside each stand-in target.
"""

import asyncio
import itertools
import time

import pytest

from standin.notice_watch import NoticeWatch
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(81)
SERVICES = ("owned", "owned", "shared", "shared")
LIMIT_PER_S = 2.0
# Requests per second to each daemon, and for how many seconds.
RATE_PER_S = 12
DURATION_S = 7.0


class WatchedTarget:
    """Watches what one target of a fleet gets, and which daemon got it from a caller.

    Parameters
    ----------
    fleet : Fleet
        With the target at index ``number``.
    """

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.target = fleet.targets[number]
        self.target.on_start = self._on_start
        self.watch = NoticeWatch()
        self.broken = []
        self.answers = []
        self._sent_by_attempt = {}
        self._attempts = itertools.count()

    def _on_start(self, attempt):
        if attempt in self._sent_by_attempt:
            at, sent_s = self._sent_by_attempt[attempt]
            self.broken += self.watch.arrived(at, sent_s, time.monotonic())

    def name_limit(self, limit_per_s):
        self.target.limit_text = str(limit_per_s)
        self.watch.name_limit(limit_per_s, time.monotonic())

    async def ask(self, prefix, key, at):
        attempt = f"w{next(self._attempts)}"
        self._sent_by_attempt[attempt] = at, time.monotonic()
        answer = await self._fleet.ask(prefix, key, at, attempt)
        self.answers.append(answer)
        if answer.body.startswith(self.target.name.encode()):
            self.watch.returned(
                at,
                answer.headers.get("server-limit"),
                answer.headers.get("server-leaving") == "1",
                time.monotonic(),
            )

    async def load(self, prefix, keys, duration_s=DURATION_S):
        """Send requests through all daemons at a steady rate."""
        tasks = []
        until_s = time.monotonic() + duration_s
        for number in itertools.count():
            if time.monotonic() >= until_s:
                break
            for at in range(len(self._fleet.daemons)):
                key = keys[number % len(keys)] if keys else None
                tasks.append(asyncio.create_task(self.ask(prefix, key, at)))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)


def run(test, tmp_path):
    real_fleet.run(test, (tmp_path, SERVICES, next(NETWORK_NUMBERS)))


def test_all_daemons_together_keep_the_limit_that_a_target_names(tmp_path):
    # Guards against: a target in need gets many times the requests that it named.
    async def test(fleet):
        owner, shared = WatchedTarget(fleet, 0), WatchedTarget(fleet, 2)
        keys = [k for k in range(0, 65536, 257) if owner.target.holds(k)]
        for each in (owner, shared):
            each.name_limit(LIMIT_PER_S)
        await asyncio.gather(owner.load("/owned/", keys), shared.load("/shared/", ()))
        for each in (owner, shared):
            assert not each.broken, each.broken[-1]

    run(test, tmp_path)


def test_a_restarted_daemon_learns_a_limit_from_the_others(tmp_path):
    # Guards against: a daemon that counts from nothing floods its target after each
    # restart.
    async def test(fleet):
        watched = WatchedTarget(fleet, 0)
        key = next(k for k in range(65536) if watched.target.holds(k))
        watched.name_limit(LIMIT_PER_S)
        await watched.ask("/owned/", key, 1)
        # From now on only the other daemons know it.
        watched.target.limit_text = "unreadable"
        lines_before = len(fleet.daemons[0].lines)
        fleet.daemons[0].kill()
        fleet.daemons[0].start()

        async def has_learned():
            await watched.ask("/owned/", key, 1)
            return any(
                line.get("sentence") == "gate: limit changed"
                and line["limit_from"] == "peer"
                and line["limit_per_s"] == LIMIT_PER_S
                for line in fleet.daemons[0].lines[lines_before:]
            )

        await fleet.until(has_learned)

    run(test, tmp_path)


@pytest.mark.parametrize("has_control_group", [True, False])
def test_no_new_request_reaches_a_target_that_announced_that_it_leaves(
    tmp_path, has_control_group
):
    # Guards against: a daemon goes on sending to a leaving target until the control
    # group tells it, which it may never do.
    async def test(fleet):
        owner, shared = WatchedTarget(fleet, 0), WatchedTarget(fleet, 2)
        keys = [k for k in range(0, 65536, 257) if owner.target.holds(k)]
        if not has_control_group:
            for control in fleet.controls:
                control.kill()
        for each in (owner, shared):
            each.target.is_announced = True
        await asyncio.gather(
            owner.load("/owned/", keys, 5.0), shared.load("/shared/", (), 5.0)
        )
        for each in (owner, shared):
            assert not each.broken, each.broken[-1]
        assert {answer.status for answer in shared.answers} == {200}
        if has_control_group:
            assert {answer.status for answer in owner.answers} == {200}

    run(test, tmp_path)


def test_a_target_that_leaves_stays_leaving_when_its_daemon_restarts(tmp_path):
    # Guards against: the daemon's next process takes the target for a ready one.
    async def test(fleet):
        leaving = fleet.targets[2]
        await leaving.send_leave()
        await asyncio.sleep(0.5)
        lines_before = len(fleet.daemons[2].lines)
        fleet.daemons[2].kill()
        fleet.daemons[2].start()

        async def knows_its_target():
            lines = fleet.daemons[2].lines[lines_before:]
            return any(each.get("sentence") == "daemon: target told" for each in lines)

        await fleet.until(knows_its_target)
        begun = len(leaving.begun)
        for number in range(60):
            answer = await fleet.ask("/shared/", None, number % 4)
            assert answer.status == 200
            await asyncio.sleep(0.02)
        assert len(leaving.begun) == begun

    run(test, tmp_path)
