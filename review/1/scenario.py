"""REFUSED: an extra answer ends the second send of a booking that is running."""

import asyncio
import itertools
import random

from review.lab import case
from review.lab.http_stub import configuration, route
from review.lab.server_stub import Server, answer_bytes

SERVICES = ["ledger"] * 18
# The largest doses of the users' site, of servers, answers and seconds.
SHED_SHARE = 0.15
SHED_FOR_S = 8.5
EXTRA_SERVERS = 10
EXTRA_SHARE = 0.03
EXTRA_FOR_S = 5.0
RUN_S = 90.0
PAUSE_BETWEEN_S = 0.5
# How long a client waits between two bookings; there are so many clients.
PAUSE_S = 0.3
CLIENTS = 44
# Statuses that promise that a request hasn't run and never will.
PROMISES = (408, 421, 429, 503)


class GarblingServer(Server):
    """A backend that sheds part of its requests, and gives some answers twice.

    The second copy comes late, "at the point where the next response is expected".
    """

    def __init__(self, *args, gives_extra, **kwargs):
        super().__init__(*args, **kwargs)
        self.gives_extra = gives_extra
        self._random = random.Random(self.host)
        self._extra_by_writer = {}
        self.is_shedding = False
        self.is_garbling = False
        self.answers = 0
        self.extras = 0

    async def run(self, writer, path, headers):
        """Run or shed a request, after the extra answer that is due before it."""
        extra = self._extra_by_writer.pop(writer, None)
        if extra is not None:
            writer.write(extra)
            self.record.say(
                "extra answer",
                id=self.id,
                before=headers.get("tamarackhaven-attempt-id"),
            )
        is_shed = self.is_shedding and self._random.random() < SHED_SHARE
        self.answers += 1
        if self.is_garbling and self._random.random() < EXTRA_SHARE:
            self.extras += 1
            if is_shed:
                attempt = headers.get("tamarackhaven-attempt-id", "")
                found = self.refusal_headers(attempt)
                self._extra_by_writer[writer] = answer_bytes(503, found)
        if is_shed:
            self.record.say(
                "shed", id=self.id, attempt=headers.get("tamarackhaven-attempt-id")
            )
            await self.not_executed(writer, 503, headers)
            return
        await super().run(writer, path, headers)


async def shed(servers):
    """Let backends shed, again and again."""
    while True:
        await asyncio.sleep(PAUSE_BETWEEN_S)
        for server in servers:
            server.is_shedding = True
        await asyncio.sleep(SHED_FOR_S)
        for server in servers:
            server.is_shedding = False


async def garble(servers):
    """Let some backends give extra answers, again and again."""
    while True:
        await asyncio.sleep(PAUSE_BETWEEN_S)
        for server in servers:
            server.is_garbling = server.gives_extra
        await asyncio.sleep(EXTRA_FOR_S)
        for server in servers:
            server.is_garbling = False


async def book(lab, host, rng, status_by_attempt):
    """Send bookings, one after the other."""
    while True:
        attempt, answer = await lab.caller.ask_named(
            host, "/ledger/entry", rng.randrange(65536), "POST", b"entry"
        )
        status_by_attempt[attempt] = answer.status
        await asyncio.sleep(PAUSE_S)


async def scenario(lab):
    """Return the breaks of the rule."""
    hosts = lab.deployment.hosts
    servers = [
        GarblingServer(
            host,
            "ledger",
            lab.record,
            is_sharded=True,
            work_s=0.06,
            gives_extra=number < EXTRA_SERVERS,
        )
        for number, host in enumerate(hosts)
    ]
    services = [{"name": "ledger", "sharded": True, "warmup_s": 2.0}]
    routes = [route("ledger", "ledger", "unsafe")]
    await lab.start(servers, configuration("r1", routes, services))
    for host in hosts:
        keys = range(0, 65536, 8192)
        await lab.until_served(host, "/ledger/x", keys, method="POST")
    status_by_attempt = {}
    rng = random.Random(1)
    for _, host in zip(range(CLIENTS), itertools.cycle(hosts), strict=False):
        lab.begin(book(lab, host, rng, status_by_attempt))
    if lab.has_trouble:
        lab.begin(shed(servers))
        lab.begin(garble(servers))
    await asyncio.sleep(RUN_S)
    runs = [attempt for server in servers for _, attempt, _ in server.begun]
    refused = [
        attempt for attempt in set(runs) if status_by_attempt.get(attempt) in PROMISES
    ]
    twice = [attempt for attempt in set(runs) if runs.count(attempt) > 1]
    lab.record.say(
        "counts",
        bookings=len(status_by_attempt),
        answers=sum(each.answers for each in servers),
        extras=sum(each.extras for each in servers),
        refused_though_run=refused,
        run_twice=twice,
    )
    breaks = []
    if refused:
        breaks.append(
            f"REFUSED: {len(refused)} of {len(status_by_attempt)} bookings were refused"
            " with 503 and have run"
        )
    if twice:
        breaks.append(f"TWICE: {len(twice)} bookings ran twice")
    return breaks


if __name__ == "__main__":
    case.run(__file__, SERVICES, scenario)
