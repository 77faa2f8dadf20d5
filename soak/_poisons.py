"""Requests that end the targets that run them, and checks of what becomes of them."""

import asyncio
import itertools
import random
import time

import attrs

from soak._records import CallerRequest
from standin.poison import MAX_ENDS, RESTART_S, Poison

# A target's end is known everywhere when its next life has reported, at the latest.
KNOWN_AFTER_S = RESTART_S + 1.5
DEADLINE_S = 2.0
MAX_CALLERS = 3
MAX_PAUSE_S = 0.4
MAX_END_S = 0.3


@attrs.define
class _Watched:
    """A poison, when it has ended targets, and since when daemons must know that."""

    poison: Poison
    ends_s: list = attrs.field(factory=list)
    known_s_by_vm: dict = attrs.field(factory=dict)


class PoisonWatch:
    """Lets requests end targets, and checks that each ends few of them.

    A daemon must know that a request has ended ``MAX_ENDS`` targets once it and the
    control group have been in touch for a while after that, and must not forget it:
    later restarts, cuts and leaders are no excuse.

    Parameters
    ----------
    routes : RouteWatch
        Knows which daemons are in touch with the control group.
    report_violation : callable
        ``report_violation(guarantee, detail)``.
    """

    def __init__(self, routes, report_violation):
        self._routes = routes
        self._report_violation = report_violation
        self._watched = []
        self._sent_by_attempt = {}
        self._poison_by_target = {}
        self.arrivals = 0
        self.judged = 0

    @property
    def ends(self):
        """Targets that have ended under poisons."""
        return sum(len(each.ends_s) for each in self._watched)

    def add(self, poison):
        """Let a ``Poison`` end the targets that run it."""
        self._watched.append(_Watched(poison))

    def sent(self, attempt, vm):
        """Record that an attempt of a poison is sent to the daemon of a VM."""
        now = time.monotonic()
        self._sent_by_attempt[attempt] = vm, now
        self.judged += any(vm in each.known_s_by_vm for each in self._watched)

    def note_known(self, vms):
        """Note which poisons the daemons of ``vms`` must know from now on."""
        now = time.monotonic()
        for watched in self._watched:
            if len(watched.ends_s) < MAX_ENDS:
                continue
            if now < watched.ends_s[MAX_ENDS - 1] + KNOWN_AFTER_S:
                continue
            for vm in vms:
                if self._routes.is_in_touch(vm, now):
                    watched.known_s_by_vm.setdefault(vm, now)

    def arrived(self, target, started):
        """Check an arrival; return after how many seconds it ends the target, or None.

        ``started`` is a ``Started``.
        """
        for watched in self._watched:
            if watched.poison.matches(started):
                self.arrivals += 1
                self._check(watched, started.attempt)
                self._poison_by_target.setdefault(target, watched)
                return watched.poison.after_s
        return None

    def _check(self, watched, attempt):
        vm, sent_s = self._sent_by_attempt[attempt]
        known_s = watched.known_s_by_vm.get(vm, float("inf"))
        if sent_s >= known_s:
            self._report_violation(
                "ends",
                f"{attempt} at {vm} reached a target {sent_s - known_s:.2f} s after"
                f" {len(watched.ends_s)} had ended under {watched.poison}",
            )

    def ended(self, target):
        """Record that a target has ended under the first poison that it ran."""
        self._poison_by_target.pop(target).ends_s.append(time.monotonic())


def draw_poison(rng, number):
    """Return a ``Poison``, and path prefix, key and body of the requests for it.

    Parameters
    ----------
    rng : random.Random
        Chooses what ends the target: path, body or key.
    number : int
        Unique in a run.
    """
    mark = f"poison{number}-"
    after_s = rng.uniform(0.0, MAX_END_S)
    kind = rng.choice(("path", "body", "key"))
    if kind == "key":
        key = rng.randrange(65536)
        prefix = "/owned/poison"
        return Poison(path=prefix, key=key, after_s=after_s), prefix, key, b""
    if kind == "body":
        body = mark.encode()
        return Poison(body=body, after_s=after_s), "/shared/", None, body
    return (
        Poison(path=mark, after_s=after_s),
        f"/owned/{mark}",
        rng.randrange(65536),
        b"",
    )


class PoisonCallers:
    """Callers that send one poison again and again, under new ids at any daemon.

    Parameters
    ----------
    fleet : SoakFleet
        Receives the requests.
    selector : int
        Seed of the choices, and part of the ids.
    """

    _numbers = itertools.count()

    def __init__(self, fleet, selector):
        self._fleet = fleet
        self._random = random.Random(selector)
        self._number = next(self._numbers)
        self._attempts = (f"p{self._number}-{n}" for n in itertools.count())
        poison, *self._request = draw_poison(self._random, self._number)
        fleet.records.poisons.add(poison)

    async def run(self, duration_s):
        """Send requests for ``duration_s`` seconds."""
        until_s = time.monotonic() + duration_s
        callers = self._random.randint(1, MAX_CALLERS)
        await asyncio.gather(*(self._send_until(until_s) for _ in range(callers)))

    async def _send_until(self, until_s):
        vms = [each.name for each in self._fleet.daemons]
        while time.monotonic() < until_s:
            self._fleet.records.poisons.note_known(vms)
            await self._send()
            await asyncio.sleep(self._random.uniform(0, MAX_PAUSE_S))

    async def _send(self):
        prefix, key, body = self._request
        fleet = self._fleet
        at = self._random.randrange(len(fleet.daemons))
        daemon, attempt = fleet.daemons[at], next(self._attempts)
        now = time.monotonic()
        is_safe = key is not None
        request = CallerRequest(attempt, key, is_safe, now, now + DEADLINE_S)
        before = fleet.disturbances(daemon)
        request.was_disturbed = fleet.is_taken(daemon)
        fleet.records.sent(attempt, daemon.name)
        fleet.records.poisons.sent(attempt, daemon.name)
        answer = await fleet.ask(prefix, key, at, attempt, body)
        request.status, request.body = answer.status, answer.body
        request.ended_s = time.monotonic()
        request.was_disturbed |= fleet.disturbances(daemon) != before
        fleet.records.ended(request)
