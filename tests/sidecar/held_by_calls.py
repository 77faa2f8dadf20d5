"""Simulates daemons that tell their targets keys by calls, and a leader, with faults.

The leader, its state, and the key holds of the daemons are the real code; the network,
the clock and the targets are simulated. ``World.check`` looks for keys with two holders
after every step.
"""

import itertools
import random

import attrs

from tamarackhaven.fleet import DaemonSettings
from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._messages import Report
from tamarackhaven.fleet._model import TargetPhase
from tamarackhaven.fleet._ranges import overlaps
from tamarackhaven.fleet._state import FleetState, ReplaceConfiguration
from tamarackhaven.routing import Configuration, HoldOrders, ServiceSpec
from tamarackhaven.sidecar import _target_state
from tamarackhaven.sidecar._called_holds import (
    CALL_TIMEOUT_S,
    RELEASE_TIMEOUT_S,
    CalledHolds,
    OrderEnd,
    ReleaseOrder,
)
from tamarackhaven.sidecar._target_state import Heartbeat, TargetState

SERVICE = "owned"
STEP_S = 0.04
REPORT_INTERVAL_S = 0.4
HEARTBEAT_INTERVAL_S = 0.9
SLOWEST_CLOCK = 0.98
ADDRESS = "10.0.0.1:80"
SETTINGS = DaemonSettings(
    name="vm",
    zone="a",
    callers=ADDRESS,
    readiness=ADDRESS,
    registry=ADDRESS,
    links=ADDRESS,
    target=ADDRESS,
    service=SERVICE,
)


class TwoHoldersError(AssertionError):
    """Two lives held one key, or a fencing token wasn't above all earlier ones."""


@attrs.define
class HeldRange:
    """Keys that a simulated target holds."""

    first: int
    last: int
    fence: int
    until_s: float


class SimulatedTarget:
    """One life of a target, with the slowest clock that is allowed."""

    def __init__(self, world, name, born_ms):
        self.world = world
        self.name = name
        self.born_ms = born_ms
        self.sequence = 0
        self.held = []
        self.seen = []

    def grant(self, order, arrived_s, now):
        """Execute a grant; return whether it was accepted."""
        until_s = arrived_s + order.hold_s / SLOWEST_CLOCK
        if until_s <= now:
            # Executed so late that the hold has expired.
            return True
        if any(
            overlaps(each, order) and each.fence > order.fence for each in self.seen
        ):
            return False
        self.seen.append(order)
        self.world.check_token(self, order)
        self._remove_keys(order, order.fence)
        self.held.append(HeldRange(order.first, order.last, order.fence, until_s))
        return True

    def release(self, order):
        """Execute a release."""
        self._remove_keys(order, order.fence)

    def _remove_keys(self, keys, fence):
        kept = []
        for each in self.held:
            if not overlaps(each, keys) or each.fence > fence:
                kept.append(each)
                continue
            if each.first < keys.first:
                kept.append(attrs.evolve(each, last=keys.first - 1))
            if each.last > keys.last:
                kept.append(attrs.evolve(each, first=keys.last + 1))
        self.held = kept


class VM:
    """A VM with a target and its daemon."""

    def __init__(self, world, number):
        self.world = world
        self.host = f"10.0.0.{number}"
        self.target = None
        self.boot = 0
        self.restart_target()
        self.restart_daemon()

    def restart_daemon(self):
        """Replace the daemon by a new process that has no state."""
        self.boot += 1
        self.state = TargetState(SETTINGS, self.host, 1)
        self.state.set_hold_orders(HoldOrders.CALLS)
        self.next_report_s = self.next_beat_s = self.world.now

    def restart_target(self):
        """Replace the target by a new life that holds no keys."""
        born_ms = next(self.world.birth_times_ms)
        self.target = SimulatedTarget(self.world, f"i-{self.host}", born_ms)
        self.next_beat_s = self.world.now

    def step(self):
        world = self.world
        if world.now >= self.next_beat_s:
            self.next_beat_s = world.now + HEARTBEAT_INTERVAL_S
            self.beat()
        if world.now >= self.next_report_s:
            self.next_report_s = world.now + REPORT_INTERVAL_S
            self.report()
        keys = self.state.keys
        if keys is not None:
            for order in keys.due(world.now):
                self.send(keys, order)

    def beat(self):
        self.target.sequence += 1
        beat = Heartbeat(
            self.target.name,
            self.target.born_ms,
            SERVICE,
            "a",
            12,
            TargetPhase.READY,
            self.target.sequence,
        )
        self.state.apply_heartbeat(beat, self.world.now)

    def make_report(self):
        """Return a report in which random keys are busy at random rates."""
        state, world = self.state, self.world
        busy = world.random.randrange(0, 4096)
        rate = 0.0 if world.is_calm else world.random.choice((0.0, 60.0, 120.0))
        return Report(
            1,
            state.target(world.now, work_s=0.1),
            holds=state.held(world.now),
            releases=state.releases,
            settled=state.settled,
            ended_lives=tuple(state.ended_lives),
            key_load=((busy, rate),),
            refused=state.refused,
        )

    def report(self):
        world, report = self.world, self.make_report()
        requested_s, boot = world.now, self.boot
        delay_s = world.random.uniform(0.01, 0.3)
        world.later(delay_s, lambda: self.world.answer(self, report, requested_s, boot))

    def send(self, keys, order):
        """Make a call; a fraction of them, ``World.faults``, fails in some way."""
        world, target, boot = self.world, self.target, self.boot
        is_release = isinstance(order, ReleaseOrder)
        timeout_s = RELEASE_TIMEOUT_S if is_release else CALL_TIMEOUT_S
        arrival_delay_s = world.random.uniform(0.0, 0.02)
        outcome = 1.0 if world.is_calm else world.random.random()

        def execute(arrived_s):
            if target is not self.target:
                return OrderEnd.UNANSWERED
            if is_release:
                target.release(order)
            elif not target.grant(order, arrived_s, world.now):
                return OrderEnd.SUPERSEDED
            return OrderEnd.DONE

        def end(result):
            if boot == self.boot and self.state.keys is keys:
                keys.ended(order, result, world.now, "token")

        if outcome < world.faults * 0.5:
            # The call arrives before the timeout but is unanswered; it may be executed
            # seconds later.
            arrival_delay_s = world.random.uniform(0.0, CALL_TIMEOUT_S)
            arrived_s = world.now + arrival_delay_s
            extra_delay_s = world.random.choice((0.0, world.random.uniform(2.0, 12.0)))
            world.later(arrival_delay_s + extra_delay_s, lambda: execute(arrived_s))
            world.later(timeout_s, lambda: end(OrderEnd.UNANSWERED))
        elif outcome < world.faults:
            world.later(timeout_s, lambda: end(OrderEnd.UNANSWERED))
        else:
            answer_s = world.random.uniform(0.0, 0.3) if is_release else 0.01

            def arrive():
                result = execute(world.now)
                world.later(answer_s, lambda: end(result))

            world.later(arrival_delay_s, arrive)


class World:
    """Simulated VMs, one leader and the clock.

    Parameters
    ----------
    seed : int
        Of the random generator.
    faults : float
        Fraction of calls that fail.
    """

    # If true, no faults are injected and no key is busy.
    is_calm = False

    def __init__(self, seed, faults=0.25):
        self.random = random.Random(seed)
        self.faults = faults
        self.now = 100.0
        self.birth_times_ms = itertools.count(1)
        self._scheduled = []
        self._tokens_taken = set()
        self.state = FleetState()
        service = ServiceSpec(SERVICE, sharded=True, hold_orders=HoldOrders.CALLS)
        first = ReplaceConfiguration(0, Configuration(1, (service,)), "first")
        self.state.apply(1, first)
        self.index = 1
        self.lease_s = SETTINGS.lease.lease_s
        self.leader = Leadership(1, self.lease_s, self.now)
        self.vms = [VM(self, number) for number in range(1, 4)]

    def later(self, delay_s, action):
        """Run ``action`` in ``delay_s`` seconds."""
        self._scheduled.append((self.now + delay_s, action))

    def answer(self, vm, report, requested_s, boot):
        """Simulate the leader's handling of one report."""
        leader = self.leader
        leader.directory.record(report, self.now)
        grant = leader.grant(report, self.state, self.now)

        def arrive():
            if vm.boot == boot:
                vm.state.apply_grant(grant, requested_s)

        self.later(self.random.uniform(0.0, 0.2), arrive)

    def run(self, seconds):
        """Advance the clock; inject restarts, leader changes and report delays."""
        until_s = self.now + seconds
        while self.now < until_s:
            self.now += STEP_S
            due = [each for each in self._scheduled if each[0] <= self.now]
            self._scheduled = [each for each in self._scheduled if each[0] > self.now]
            for _, action in sorted(due, key=lambda each: each[0]):
                action()
            if not self.is_calm:
                self._inject_fault()
            for vm in self.vms:
                vm.step()
            self.run_leader()
            self.check()

    def run_leader(self):
        """Run a tick of the leader; its commands are committed at once."""
        for command in self.leader.tick(self.state, self.now):
            self.index += 1
            self.state.apply(self.index, command)

    def _inject_fault(self):
        vm = self.random.choice(self.vms)
        draw = self.random.random()
        if draw < 0.001:
            vm.restart_daemon()
        elif draw < 0.0015:
            vm.restart_target()
        elif draw < 0.0025:
            vm.next_report_s = self.now + self.random.uniform(1.0, 6.0)
        elif draw < 0.003:
            self.leader = Leadership(self.leader.term + 1, self.lease_s, self.now)

    def check(self):
        """Raise ``TwoHoldersError`` if two lives hold one key."""
        held = []
        for vm in self.vms:
            target = vm.target
            target.held = [each for each in target.held if each.until_s > self.now]
            held += [(target, each) for each in target.held]
        for (one, a), (other, b) in itertools.combinations(held, 2):
            if one is not other and overlaps(a, b):
                raise TwoHoldersError(
                    f"{self.now:.2f} s: {one.name} holds {a}, {other.name} holds {b}"
                )

    def check_token(self, target, order):
        """Raise ``TwoHoldersError`` if a token isn't above all that other lives had."""
        entry = (target, order.first, order.last, order.fence)
        if entry in self._tokens_taken:
            return
        for life, first, last, fence in self._tokens_taken:
            keys = attrs.evolve(order, first=first, last=last)
            if life is not target and overlaps(keys, order) and fence >= order.fence:
                raise TwoHoldersError(
                    f"fencing token {order.fence} was issued after token {fence}"
                )
        self._tokens_taken.add(entry)

    def served(self):
        """Return the fraction of the keys that some target holds now."""
        count = sum(
            each.last - each.first + 1 for vm in self.vms for each in vm.target.held
        )
        return count / 65536


def holds_by_orders_with(holds):
    """Return the classes of key holds by ``HoldOrders``, with one replaced."""
    return {**_target_state._HOLDS_BY_ORDERS, HoldOrders.CALLS: holds}


__all__ = ["CalledHolds", "TwoHoldersError", "World", "holds_by_orders_with"]
