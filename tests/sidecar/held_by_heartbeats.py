"""Simulates targets that are told their keys in replies to heartbeats, and a slow log.

The leader, clock and checks are those of ``held_by_calls``. In addition, changes are
committed late, leaders change while some are uncommitted, and messages to a stalled
daemon wait for it.
"""

import attrs

from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._model import Hold, Release, TargetPhase
from tamarackhaven.fleet._state import FleetState, ReplaceConfiguration
from tamarackhaven.routing import Configuration, HoldOrders, ServiceSpec
from tamarackhaven.sidecar._target_state import Heartbeat, TargetState
from tests.sidecar import held_by_calls
from tests.sidecar.held_by_calls import (
    REPORT_INTERVAL_S,
    SERVICE,
    SLOWEST_CLOCK,
    VM,
    HeldRange,
    World,
)

HEARTBEAT_INTERVAL_S = 0.3
RELEASE_DELAY_S = 0.05
ANSWER_TIMEOUT_S = 1.0
VM_COUNT = 3
LEASE = attrs.evolve(held_by_calls.SETTINGS.lease, heartbeat_s=HEARTBEAT_INTERVAL_S)
SETTINGS = attrs.evolve(held_by_calls.SETTINGS, lease=LEASE)


@attrs.frozen
class _PendingHeartbeat:
    """One heartbeat that awaits its reply."""

    target: object
    sent_s: float
    heartbeat: Heartbeat


class HeartbeatVM(VM):
    """A VM whose target sends heartbeats over links that may lose or delay them."""

    def restart_daemon(self):
        self.boot += 1
        self.state = TargetState(SETTINGS, self.host, 1)
        self.state.set_hold_orders(HoldOrders.HEARTBEATS)
        self.next_report_s = self.next_beat_s = self.world.now
        self.stalled_until_s = self.world.now

    def restart_target(self):
        super().restart_target()
        self.pending_beat = None
        self.released = []

    def deliver(self, delay_s, boot, action):
        """Run ``action`` at the daemon of that boot, once it isn't stalled."""

        def arrive():
            if boot != self.boot:
                return
            if self.world.now < self.stalled_until_s:
                self.deliver(self.stalled_until_s - self.world.now, boot, action)
            else:
                action()

        self.world.later(delay_s, arrive)

    def step(self):
        world = self.world
        if world.now >= self.next_beat_s and self.pending_beat is None:
            self.beat()
        if world.now >= max(self.next_report_s, self.stalled_until_s):
            self.next_report_s = world.now + REPORT_INTERVAL_S
            self.report()

    def beat(self):
        target, world = self.target, self.world
        target.sequence += 1
        target.held = [each for each in target.held if each.until_s > world.now]
        beat = Heartbeat(
            target.name,
            target.born_ms,
            SERVICE,
            "a",
            12,
            TargetPhase.READY,
            target.sequence,
            holds=tuple(
                Hold(each.first, each.last, each.fence) for each in target.held
            ),
            releases=tuple(self.released),
        )
        pending = self.pending_beat = _PendingHeartbeat(target, world.now, beat)
        if not world.is_message_lost():
            self.deliver(world.delay_s(), self.boot, lambda: self.take(pending))
        world.later(ANSWER_TIMEOUT_S, lambda: self.end(pending, HEARTBEAT_INTERVAL_S))

    def take(self, pending):
        """Simulate the daemon's handling of a heartbeat."""
        reply = self.state.apply_heartbeat(pending.heartbeat, self.world.now)
        if not self.world.is_message_lost():
            self.world.later(
                self.world.delay_s(), lambda: self.handle_reply(pending, reply)
            )

    def handle_reply(self, pending, reply):
        """Simulate the target's handling of a reply; a late one is dropped."""
        target, now = self.target, self.world.now
        if self.pending_beat is not pending:
            return
        self.released = []
        if reply.ranges is not None:
            until_s = pending.sent_s + reply.hold_s / SLOWEST_CLOCK
            rows = {(each.first, each.last) for each in reply.ranges}
            removed = [
                each for each in target.held if (each.first, each.last) not in rows
            ]
            self.released = [
                Release(each.first, each.last, "token") for each in removed
            ]
            for each in reply.ranges:
                self.world.check_token(target, each)
            target.held = [
                HeldRange(each.first, each.last, each.fence, until_s)
                for each in reply.ranges
                if until_s > now
            ]
        self.end(pending, RELEASE_DELAY_S if self.released else HEARTBEAT_INTERVAL_S)

    def end(self, pending, pause_s):
        """Schedule the next heartbeat."""
        if self.pending_beat is pending:
            self.pending_beat = None
            self.next_beat_s = self.world.now + pause_s

    def report(self):
        world, report = self.world, self.make_report()
        requested_s, boot = world.now, self.boot
        if not world.is_message_lost():
            delay_s = world.delay_s()
            world.later(delay_s, lambda: world.answer(self, report, requested_s, boot))


class SlowLogWorld(World):
    """Three such VMs; changes are committed late, and some are lost with their leader.

    Parameters
    ----------
    seed : int
        Of the random generator.
    faults : float
        Fraction of messages that are lost, and of those that are delayed.
    max_commit_s : float
        Longest time to commit one change.
    """

    def __init__(self, seed, faults=0.05, max_commit_s=1.5):
        super().__init__(seed, faults)
        self.max_commit_s = max_commit_s
        self.state = FleetState()
        first = Configuration(1, (ServiceSpec(SERVICE, sharded=True),))
        self.state.apply(1, ReplaceConfiguration(0, first, "first"))
        self.lease_s = SETTINGS.lease.lease_s
        self.term = 1
        self.leader = Leadership(1, self.lease_s, self.now)
        self.vms = [HeartbeatVM(self, number) for number in range(VM_COUNT)]
        self._log = []
        self._last_commit_s = self.now

    def is_message_lost(self):
        """Whether a message is lost, by chance."""
        return not self.is_calm and self.random.random() < self.faults

    def delay_s(self):
        """Return the delay of a message in seconds."""
        if self.is_calm or self.random.random() > self.faults:
            return self.random.uniform(0.0, 0.03)
        return self.random.uniform(0.0, 1.5)

    def answer(self, vm, report, requested_s, boot):
        """Simulate the leader's handling of a report, which a quorum confirms first."""
        leader = self.leader
        if leader is None:
            return
        leader.directory.record(report, self.now)

        def confirmed():
            if leader is not self.leader:
                return
            grant = leader.grant(report, self.state, self.now)
            vm.deliver(
                self.delay_s(), boot, lambda: vm.state.apply_grant(grant, requested_s)
            )

        self.later(self.delay_s(), confirmed)

    def propose(self, command):
        """Append a change to the log."""
        slow_s = 0.0 if self.is_calm else self.max_commit_s
        self._last_commit_s = max(self._last_commit_s, self.now) + self.random.uniform(
            0.0, slow_s
        )
        self._log.append((self._last_commit_s, self.leader, command))

    def commit(self, until_s):
        """Apply the changes that are committed by then."""
        while self._log and self._log[0][0] <= until_s:
            _, leader, command = self._log.pop(0)
            self.index += 1
            outcome = self.state.apply(self.index, command)
            if outcome.kind is not None and leader is self.leader is not None:
                leader.discard_change(command)

    def _inject_fault(self):
        vm = self.random.choice(self.vms)
        draw = self.random.random()
        if draw < 0.001:
            vm.restart_daemon()
        elif draw < 0.0015:
            vm.restart_target()
        elif draw < 0.004:
            vm.stalled_until_s = self.now + self.random.uniform(0.5, 4.0)
        elif draw < 0.006 and self.leader is not None:
            self._remove_leader()

    def _remove_leader(self):
        """Remove the leader; the next one keeps some of the uncommitted changes."""
        self.leader = None
        kept = self.random.randint(0, len(self._log))
        del self._log[kept:]
        self.later(self.random.uniform(0.0, 1.5), self._elect_leader)

    def _elect_leader(self):
        self.commit(float("inf"))
        self._last_commit_s = self.now
        self.term += 1
        self.leader = Leadership(self.term, self.lease_s, self.now)

    def run_leader(self):
        """Commit changes and run a tick of the leader."""
        self.commit(self.now)
        if self.leader is not None:
            for command in self.leader.tick(self.state, self.now):
                self.propose(command)


__all__ = ["SlowLogWorld"]
