"""Simulation of a service with owned keys under skewed load.

The gate, the holds of keys, the leader's decisions and the load counters are the real
code; targets, callers, delays and the clock are simulated. Targets differ in speed and
slow down for short times, some keys are far busier than others, and from time to time
one key gets a large part of all requests.
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
REPORT_INTERVAL_S = 0.4
TICK_INTERVAL_S = 0.1
SETTLE_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 0.87
# Delays between two daemons, from a daemon to the control group and back with a
# quorum, and of a commit.
DAEMON_DELAY_S = 0.002
CONFIRM_DELAY_S = 0.1
COMMIT_DELAY_S = 0.02
MAX_HOLD_BACK_FRACTION = 0.5


@attrs.frozen
class Load:
    """The requests that callers send, and the properties of the targets.

    Parameters
    ----------
    requests_per_s : float
        Requests a second of all callers.
    hot_fraction : float
        Fraction of the requests that are for the hot key while there is one.
    hot_interval_s, hot_duration_s : float
        Interval between two hot keys, and how long each is hot.
    speeds : tuple of float
        Factor on the time of work at each target; larger is slower.
    """

    requests_per_s: float = 203.0
    hot_fraction: float = 0.35
    hot_interval_s: float = 8.0
    hot_duration_s: float = 5.0
    speeds: tuple = (0.7, 0.7, 1.6, 0.7, 0.7, 1.6)
    slots: int = 12
    work_s: float = 0.16
    calls: int = 2
    call_probability: float = 0.7
    call_s: float = 0.05
    objective_s: float = 0.5
    deadline_s: float = 1.2
    late_value: float = 0.3
    skew: float = 0.82
    key_count: int = 60000
    slow_fraction: float = 0.2
    slow_factor: float = 3.0
    slow_duration_s: float = 0.1


@attrs.define(eq=False)
class Request:
    """One try of a caller."""

    key: int
    sent_s: float
    arrived_s: float
    tries: int = 1
    number: int = 0
    is_held_back: bool = False


@attrs.define
class Tally:
    """Numbers of requests by outcome."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals_by_kind: dict = attrs.field(factory=dict)

    def worth(self, load):
        """Return the earned value as a fraction of the value of all requests.

        A request in time counts 1, a late one ``late_value``.
        """
        return (self.in_time + load.late_value * self.late) / max(self.asked, 1)


class SimulatedTarget:
    """A simulated target and its daemon."""

    def __init__(self, world, number, speed):
        self.world = world
        self.speed = speed
        self.name = f"i{number}"
        self.life = life_of(self.name, 1, f"{self.name}:1")
        self.gate = Gate(world.load.slots, world.random.random)
        self.keys = CalledHolds(FleetLeaseSettings(HEARTBEAT_INTERVAL_S), self.life)
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
        world.later(
            world.random.uniform(0, REPORT_INTERVAL_S), self.report_periodically
        )
        world.later(0.0, self.toggle_slowness)

    # Speed of the target.

    def toggle_slowness(self):
        """Become slow, or fast again, and rescale the rest of the running work."""
        load = self.world.load
        before = self.work_factor
        self.is_slow = not self.is_slow and load.slow_fraction > 0
        mean_s = load.slow_duration_s
        if not self.is_slow:
            mean_s *= (1 - load.slow_fraction) / max(load.slow_fraction, 1e-9)
        now = self.world.now
        for run in self.running.values():
            run[1] = now + (run[1] - now) * self.work_factor / before
            self.world.at(run[1], run[2])
        self.world.later(
            self.world.random.expovariate(1 / mean_s), self.toggle_slowness
        )

    @property
    def work_factor(self):
        """Current factor on the time of work; larger is slower."""
        return self.speed * (self.world.load.slow_factor if self.is_slow else 1.0)

    # Reports and calls.

    def report_periodically(self):
        """Send a report every ``REPORT_INTERVAL_S``."""
        self.report()
        self.world.later(REPORT_INTERVAL_S, self.report_periodically)

    def report(self):
        """Send a report; the lease that answers it is applied later."""
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

        def on_arrival():
            world.leader.directory.record(report, world.now)
            if report.releases:
                world.decide()
            world.later(CONFIRM_DELAY_S, on_confirmed)

        def on_confirmed():
            grant = world.leader.grant(report, world.state, world.now)
            world.later(DAEMON_DELAY_S, lambda: self.apply_grant(grant, now))

        world.later(DAEMON_DELAY_S, on_arrival)

    def apply_grant(self, grant, requested_s):
        """Apply a lease requested at ``requested_s``, and make the calls due."""
        self.keys.apply_grant(grant, requested_s)
        self.make_calls()

    def make_calls(self):
        """Make the calls that are due."""
        for order in self.keys.due(self.world.now):
            if isinstance(order, ReleaseOrder):
                self._release(order)
            else:
                self.world.later(0.002, lambda order=order: self._on_call_done(order))

    def _on_call_done(self, order):
        self.keys.ended(order, OrderEnd.DONE, self.world.now, "token")
        if isinstance(order, ReleaseOrder):
            self.report()
        self.make_calls()
        self.world.route_held_back()

    def _release(self, order):
        """Confirm a release when the running work on its keys has ended."""
        ends = [
            run[1]
            for run in self.running.values()
            if order.first <= run[0].key <= order.last
        ]
        self.world.at(
            max([self.world.now + 0.002, *ends]), lambda: self._on_call_done(order)
        )

    # Requests.

    def offer(self, request):
        """Offer a request to the gate."""
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
        """Start or refuse waiting requests as the gate decided."""
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
            if world.random.random() < load.call_probability:
                calls_s += load.call_s * world.random.lognormvariate(0, 0.6)
        until_s = world.now + work_s * self.work_factor + calls_s
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
        """Carry out the gate's decisions that became due with time."""
        self.carry_out(self.gate.settle(self.world.now))


class World:
    """The clock, control group, targets and callers of one simulation.

    Parameters
    ----------
    load : Load
        The requests and the targets.
    seed : int
        Seed of all random numbers.
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
        self.leader = Leadership(
            1, FleetLeaseSettings(HEARTBEAT_INTERVAL_S).lease_s, 0.0
        )
        speeds = list(load.speeds)
        self.random.shuffle(speeds)
        self.targets = [SimulatedTarget(self, n, s) for n, s in enumerate(speeds)]
        self._target_by_life = {each.life: each for each in self.targets}
        self._ranges_seen = RangeIndex(self.state.ranges_by_service[SERVICE])
        self.moved_keys = 0
        self._first_key = self.random.randrange(KEY_COUNT)
        self._weights = list(
            itertools.accumulate(
                1 / (rank + 1) ** load.skew for rank in range(load.key_count)
            )
        )
        self._hot_key = None
        self.later(TICK_INTERVAL_S, self._tick)
        self.later(SETTLE_INTERVAL_S, self._settle)
        self.later(5.0, self._arrive)
        self.later(8.0, self._make_key_hot)

    # The clock.

    def at(self, when_s, action):
        """Schedule ``action`` at a simulated time."""
        heapq.heappush(self._due, (when_s, next(self._order), action))

    def later(self, delay_s, action):
        """Schedule ``action`` after a delay."""
        self.at(self.now + delay_s, action)

    def run(self, until_s):
        """Run all events that are due up to ``until_s``."""
        while self._due and self._due[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._due)
            action()

    # Control group.

    def _tick(self):
        self.decide()
        self.later(TICK_INTERVAL_S, self._tick)

    def decide(self):
        """Run a tick of the leader, and commit its commands after a delay."""
        for command in self.leader.tick(self.state, self.now):
            self.later(COMMIT_DELAY_S, lambda command=command: self._commit(command))

    def _commit(self, command):
        self._index += 1
        before = {r: r.owner for r in self.state.ranges_by_service[SERVICE]}
        if self.state.apply(self._index, command).kind is not None:
            return
        if "" not in before.values():
            self.moved_keys += sum(r.last - r.first + 1 for r in command.ranges)
        ranges = self.state.ranges_by_service[SERVICE]
        owners = {each.owner for each in command.ranges}

        def on_seen():
            self._ranges_seen = RangeIndex(ranges)
            for life in owners:
                self._target_by_life[life].report()
            self.route_held_back()

        self.later(DAEMON_DELAY_S, on_seen)

    def _settle(self):
        for target in self.targets:
            target.settle()
            target.make_calls()
        self.later(SETTLE_INTERVAL_S, self._settle)

    # Callers.

    def _make_key_hot(self):
        self._hot_key = self.random.randrange(KEY_COUNT)
        self.later(self.load.hot_duration_s, self._end_hot_key)
        self.later(self.load.hot_interval_s, self._make_key_hot)

    def _end_hot_key(self):
        self._hot_key = None

    def _arrive(self):
        self.later(self.random.expovariate(self.load.requests_per_s), self._arrive)
        request = Request(self._draw_key(), self.now, self.now)
        if self.is_measuring:
            self.tally.asked += 1
        self.route(request)

    def _draw_key(self):
        if self._hot_key is not None and self.random.random() < self.load.hot_fraction:
            return self._hot_key
        (rank,) = self.random.choices(
            range(self.load.key_count), cum_weights=self._weights
        )
        return (self._first_key + rank) % KEY_COUNT

    def route(self, request):
        """Offer a request to its key's owner, or hold it back until there is one."""
        owner = self._target_by_life.get(self._ranges_seen.find(request.key).owner)
        if owner is None:
            self._hold_back(request)
            return
        owner.key_load.count(request.key, self.now)
        if owner.keys.holds(request.key, self.now):
            owner.offer(request)
        else:
            self._hold_back(request)

    def _hold_back(self, request):
        held_back_until_s = (
            request.arrived_s + MAX_HOLD_BACK_FRACTION * self.load.deadline_s
        )
        if self.now >= held_back_until_s:
            self.refuse(request, "MOVING", 0.5)
            return
        if not request.is_held_back:
            request.is_held_back = True
            self.at(held_back_until_s, self.route_held_back)
        self._held_back.append(request)

    def route_held_back(self):
        """Route all held-back requests again."""
        held, self._held_back = self._held_back, []
        for request in held:
            self.route(request)

    def refuse(self, request, kind, retry_after_s):
        """Refuse a request; its caller retries once if its deadline allows."""
        kinds = self.tally.refusals_by_kind
        if self.is_measuring:
            kinds[kind] = kinds.get(kind, 0) + 1
        left_s = request.sent_s + self.load.deadline_s - self.now
        if request.tries > 1 or left_s <= 0.01:
            if self.is_measuring:
                self.tally.refused += 1
            return
        again = Request(request.key, request.sent_s, request.sent_s, request.tries + 1)
        self.later(min(retry_after_s, left_s / 3) + 0.006, lambda: self.route(again))

    def answered(self, request, is_success):
        """Count an answer by its time, while measuring."""
        if not self.is_measuring:
            return
        latency_s = self.now - request.sent_s + 0.006
        if not is_success or latency_s > self.load.deadline_s:
            self.tally.failed += 1
        elif latency_s <= self.load.objective_s:
            self.tally.in_time += 1
        else:
            self.tally.late += 1


def simulate(load, seed, seconds=60.0):
    """Return the ``World`` after a run.

    Requests are counted for ``seconds``, from second 8 on.
    """
    world = World(load, seed)
    world.run(8.0)
    world.is_measuring = True
    world.run(8.0 + seconds)
    return world
