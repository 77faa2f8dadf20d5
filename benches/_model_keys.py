"""A service with owned keys under skewed load, on a fake clock.

The gate, the books of keys, the leader's decisions and the counts of load are the real
code; targets, callers and the ways between them are played. Targets differ in speed
and slow down for moments, some keys are far busier than others, and now and then one
key gets a large part of all requests.
"""

import heapq
import itertools
import random

import attrs

from tamarackhaven.fleet import FleetLeaseSettings
from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._messages import Report
from tamarackhaven.fleet._model import KEY_COUNT, Target, TargetPhase, life_of
from tamarackhaven.fleet._ranges import RangeIndex
from tamarackhaven.fleet._state import FleetState, ReplaceConfiguration
from tamarackhaven.routing import Configuration, HoldOrders, ServiceSpec
from tamarackhaven.sidecar._called_holds import CalledHolds, OrderEnd, ReleaseOrder
from tamarackhaven.sidecar._gate import Gate, Offer, Refuse, Start
from tamarackhaven.sidecar._key_load import KeyLoad
from tamarackhaven.sidecar._target_state import Heartbeat

SERVICE = "owned"
REPORT_S = 0.4
TICK_S = 0.1
SETTLE_S = 0.05
HEARTBEAT_S = 0.87
# Between two daemons, and from a daemon to the control group and back with a quorum.
HOP_S = 0.002
CONFIRM_S = 0.1
COMMIT_S = 0.02
PATIENCE_PART = 0.5


@attrs.frozen
class Load:
    """What callers ask for, and what the targets are like.

    Parameters
    ----------
    per_s : float
        Requests a second.
    hot_part : float
        Part of the requests for one key while it is hot.
    hot_every_s, hot_for_s : float
        How often a key becomes hot, and for how long.
    speeds : tuple of float
        How long work takes at each target, as a part of the usual.
    """

    per_s: float = 203.0
    hot_part: float = 0.35
    hot_every_s: float = 8.0
    hot_for_s: float = 5.0
    speeds: tuple = (0.7, 0.7, 1.6, 0.7, 0.7, 1.6)
    slots: int = 12
    work_s: float = 0.16
    calls: int = 2
    calls_part: float = 0.7
    call_s: float = 0.05
    objective_s: float = 0.5
    deadline_s: float = 1.2
    late_worth: float = 0.3
    skew: float = 0.82
    things: int = 60000
    slow_part: float = 0.2
    slow_times: float = 3.0
    slow_for_s: float = 0.1


@attrs.define(eq=False)
class Request:
    """One attempt of a caller."""

    key: int
    born_s: float
    arrived_s: float
    tries: int = 1
    number: int = 0
    is_held_back: bool = False


@attrs.define
class Tally:
    """What callers got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals_by_kind: dict = attrs.field(factory=dict)

    def worth(self, load):
        """Return the part of the worth that was earned."""
        return (self.in_time + load.late_worth * self.late) / max(self.asked, 1)


class PlayedTarget:
    """A target with its daemon."""

    def __init__(self, world, number, speed):
        self.world = world
        self.speed = speed
        self.name = f"i{number}"
        self.life = life_of(self.name, 1, f"{self.name}:1")
        self.gate = Gate(world.load.slots, world.random.random)
        self.keys = CalledHolds(FleetLeaseSettings(HEARTBEAT_S), self.life)
        self.key_load = KeyLoad()
        self.running = {}
        self.waiting = {}
        self.slow_until_s = 0.0
        self.calm_until_s = 0.0
        self.is_slow = False
        beat = Heartbeat(
            self.name, 1, SERVICE, "z", world.load.slots, TargetPhase.READY, 1
        )
        self.keys.record_heartbeat(beat, world.now)
        world.later(world.random.uniform(0, REPORT_S), self.report_on)
        world.later(0.0, self.change_pace)

    # The machine.

    def change_pace(self):
        """Turn slow, or usual again; what runs takes longer from then on."""
        load = self.world.load
        before = self.pace
        self.is_slow = not self.is_slow and load.slow_part > 0
        mean_s = load.slow_for_s
        if not self.is_slow:
            mean_s *= (1 - load.slow_part) / max(load.slow_part, 1e-9)
        now = self.world.now
        for run in self.running.values():
            run[1] = now + (run[1] - now) * self.pace / before
            self.world.at(run[1], run[2])
        self.world.later(self.world.random.expovariate(1 / mean_s), self.change_pace)

    @property
    def pace(self):
        """How long work takes now, as a part of the usual."""
        return self.speed * (self.world.load.slow_times if self.is_slow else 1.0)

    # Reports and calls.

    def report_on(self):
        """Report again and again."""
        self.report()
        self.world.later(REPORT_S, self.report_on)

    def report(self):
        """Send a report, and take the lease that answers it."""
        world, now = self.world, self.world.now
        rates, rest = self.key_load.rates(now)
        gate = self.gate
        fill = (gate.running + gate.waiting) / gate.slots
        target = Target(
            self.life,
            self.name,
            1,
            SERVICE,
            "z",
            self.name,
            1,
            gate.slots,
            load=round(fill, 2),
            work_s=round(gate.work_s, 4) if gate.has_worked else 0.0,
        )
        report = Report(
            1,
            target,
            holds=self.keys.held(now),
            releases=self.keys.releases,
            settled=self.keys.settled,
            key_load=rates,
            key_rest=rest,
            knows_holds=self.keys.is_known(now),
        )

        def arrive():
            world.leader.report(report, world.now)
            if report.releases:
                world.decide()
            world.later(CONFIRM_S, confirmed)

        def confirmed():
            grant = world.leader.grant(report, world.state, world.now)
            world.later(HOP_S, lambda: self.apply_grant(grant, now))

        world.later(HOP_S, arrive)

    def apply_grant(self, grant, requested_s):
        """Take a lease, and make the calls that follow from it."""
        self.keys.apply_grant(grant, requested_s)
        self.make_calls()

    def make_calls(self):
        """Make the calls that are due."""
        for order in self.keys.due(self.world.now):
            if isinstance(order, ReleaseOrder):
                self._release(order)
            else:
                self.world.later(0.002, lambda order=order: self._called(order))

    def _called(self, order):
        self.keys.ended(order, OrderEnd.DONE, self.world.now, "token")
        if isinstance(order, ReleaseOrder):
            self.report()
        self.make_calls()
        self.world.wake()

    def _release(self, order):
        """Answer a release when the work on its keys has ended."""
        ends = [
            run[1]
            for run in self.running.values()
            if order.first <= run[0].key <= order.last
        ]
        self.world.at(max([self.world.now + 0.002, *ends]), lambda: self._called(order))

    # Requests.

    def offer(self, request):
        """Take a request at the gate."""
        world, load = self.world, self.world.load
        request.number = next(world.numbers)
        offer = Offer(
            request.number,
            "r",
            2,
            request.arrived_s + load.objective_s,
            request.arrived_s + load.deadline_s,
        )
        decision = self.gate.offer(offer, world.now)
        if isinstance(decision, Refuse):
            world.refuse(request, decision.kind.name, decision.retry_after_s)
            return
        self.waiting[request.number] = request
        if decision is not None:
            self.carry_out([decision])

    def carry_out(self, decisions):
        """Start or refuse requests that waited."""
        for decision in decisions:
            request = self.waiting.pop(decision.number)
            if isinstance(decision, Start):
                if self.keys.holds(request.key, self.world.now):
                    self._start(request)
                else:
                    self.carry_out(
                        self.gate.finish(request.number, False, self.world.now)
                    )
                    self.world.route(request)
            else:
                self.world.refuse(request, decision.kind.name, decision.retry_after_s)

    def _start(self, request):
        world, load = self.world, self.world.load
        work_s = world.random.lognormvariate(0, 0.5) / 1.133 * load.work_s
        if world.random.random() < 0.01:
            work_s *= 5
        calls_s = 0.0
        for _ in range(load.calls):
            if world.random.random() < load.calls_part:
                calls_s += load.call_s * world.random.lognormvariate(0, 0.6)
        until_s = world.now + work_s * self.pace + calls_s
        deadline_s = request.arrived_s + load.deadline_s

        def end():
            run = self.running.get(request.number)
            if run is None or run[1] > world.now + 1e-9:
                return
            del self.running[request.number]
            world.answered(request, run[1] <= deadline_s)
            self.carry_out(self.gate.finish(request.number, True, world.now))

        self.running[request.number] = [request, min(until_s, deadline_s), end]
        world.at(min(until_s, deadline_s), end)

    def settle(self):
        """Ask the gate again."""
        self.carry_out(self.gate.settle(self.world.now))


class World:
    """All of it, for one seed.

    Parameters
    ----------
    load : Load
        What is asked for.
    seed : int
        Of everything drawn.
    """

    def __init__(self, load, seed):
        self.load = load
        self.random = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.tally = Tally()
        self.is_measuring = False
        self._order = itertools.count()
        self._due = []
        self._held_back = []
        self.state = FleetState()
        service = ServiceSpec(SERVICE, sharded=True, hold_orders=HoldOrders.CALLS)
        first = ReplaceConfiguration(0, Configuration(1, (service,)), "first")
        self.state.apply(1, first)
        self._index = 1
        self.leader = Leadership(1, FleetLeaseSettings(HEARTBEAT_S).lease_s, 0.0)
        speeds = list(load.speeds)
        self.random.shuffle(speeds)
        self.targets = [PlayedTarget(self, n, s) for n, s in enumerate(speeds)]
        self._by_life = {each.life: each for each in self.targets}
        self._view = RangeIndex(self.state.ranges_by_service[SERVICE])
        self.moved_keys = 0
        self._center = self.random.randrange(KEY_COUNT)
        self._weights = list(
            itertools.accumulate(
                1 / (rank + 1) ** load.skew for rank in range(load.things)
            )
        )
        self._hot_key = None
        self.later(TICK_S, self._tick)
        self.later(SETTLE_S, self._settle)
        self.later(5.0, self._arrive)
        self.later(8.0, self._heat)

    # The clock.

    def at(self, when_s, action):
        """Do something at a time."""
        heapq.heappush(self._due, (when_s, next(self._order), action))

    def later(self, delay_s, action):
        """Do something in a while."""
        self.at(self.now + delay_s, action)

    def run(self, until_s):
        """Let time pass."""
        while self._due and self._due[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._due)
            action()

    # Control.

    def _tick(self):
        self.decide()
        self.later(TICK_S, self._tick)

    def decide(self):
        """Let the leader decide, and carry its changes out."""
        for command in self.leader.tick(self.state, self.now):
            self.later(COMMIT_S, lambda command=command: self._commit(command))

    def _commit(self, command):
        self._index += 1
        before = {r: r.owner for r in self.state.ranges_by_service[SERVICE]}
        if self.state.apply(self._index, command).kind is not None:
            return
        if "" not in before.values():
            self.moved_keys += sum(r.last - r.first + 1 for r in command.ranges)
        ranges = self.state.ranges_by_service[SERVICE]
        owners = {each.owner for each in command.ranges}

        def seen():
            self._view = RangeIndex(ranges)
            for life in owners:
                self._by_life[life].report()
            self.wake()

        self.later(HOP_S, seen)

    def _settle(self):
        for target in self.targets:
            target.settle()
            target.make_calls()
        self.later(SETTLE_S, self._settle)

    # Callers.

    def _heat(self):
        self._hot_key = self.random.randrange(KEY_COUNT)
        self.later(self.load.hot_for_s, self._cool)
        self.later(self.load.hot_every_s, self._heat)

    def _cool(self):
        self._hot_key = None

    def _arrive(self):
        self.later(self.random.expovariate(self.load.per_s), self._arrive)
        request = Request(self._draw_key(), self.now, self.now)
        if self.is_measuring:
            self.tally.asked += 1
        self.route(request)

    def _draw_key(self):
        if self._hot_key is not None and self.random.random() < self.load.hot_part:
            return self._hot_key
        (rank,) = self.random.choices(
            range(self.load.things), cum_weights=self._weights
        )
        return (self._center + rank) % KEY_COUNT

    def route(self, request):
        """Bring a request to its key's owner, or let it wait for one."""
        owner = self._by_life.get(self._view.find(request.key).owner)
        if owner is None:
            self._hold_back(request)
            return
        owner.key_load.count(request.key, self.now)
        if owner.keys.holds(request.key, self.now):
            owner.offer(request)
        else:
            self._hold_back(request)

    def _hold_back(self, request):
        patience_s = request.arrived_s + PATIENCE_PART * self.load.deadline_s
        if self.now >= patience_s:
            self.refuse(request, "MOVING", 0.5)
            return
        if not request.is_held_back:
            request.is_held_back = True
            self.at(patience_s, self.wake)
        self._held_back.append(request)

    def wake(self):
        """Try the requests again that wait for an owner."""
        held, self._held_back = self._held_back, []
        for request in held:
            self.route(request)

    def refuse(self, request, kind, retry_after_s):
        """Send a caller away; it comes back once."""
        kinds = self.tally.refusals_by_kind
        if self.is_measuring:
            kinds[kind] = kinds.get(kind, 0) + 1
        left_s = request.born_s + self.load.deadline_s - self.now
        if request.tries > 1 or left_s <= 0.01:
            if self.is_measuring:
                self.tally.refused += 1
            return
        again = Request(request.key, request.born_s, request.born_s, request.tries + 1)
        self.later(min(retry_after_s, left_s / 3) + 0.006, lambda: self.route(again))

    def answered(self, request, is_success):
        """Count an answer."""
        if not self.is_measuring:
            return
        took_s = self.now - request.born_s + 0.006
        if not is_success or took_s > self.load.deadline_s:
            self.tally.failed += 1
        elif took_s <= self.load.objective_s:
            self.tally.in_time += 1
        else:
            self.tally.late += 1


def play(load, seed, seconds=60.0):
    """Return the ``World`` after a run; figures count from second 8 on."""
    world = World(load, seed)
    world.run(8.0)
    world.is_measuring = True
    world.run(8.0 + seconds)
    return world
