"""Targets that are told their keys in answers to heartbeats, and a log that is slow.

As ``held_by_calls``, whose leader, time and checks this uses. Besides, changes are
committed late, leaders change while some are on their way, and messages to a daemon
that stands still wait for it.
"""

import attrs

from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._model import Hold, Release, TargetPhase
from tamarackhaven.fleet._state import FleetState, ReplaceConfiguration
from tamarackhaven.routing import Configuration, HoldOrders, ServiceSpec
from tamarackhaven.sidecar._target_state import Heartbeat, TargetState
from tests.sidecar import held_by_calls
from tests.sidecar.held_by_calls import (
    REPORT_S,
    SERVICE,
    SLOWEST_CLOCK,
    Held,
    Machine,
    World,
)

HEARTBEAT_S = 0.3
SOON_S = 0.05
ANSWER_TIMEOUT_S = 1.0
MACHINES = 3
LEASE = attrs.evolve(held_by_calls.SETTINGS.lease, heartbeat_s=HEARTBEAT_S)
SETTINGS = attrs.evolve(held_by_calls.SETTINGS, lease=LEASE)


@attrs.frozen
class _Beat:
    """One heartbeat on its way."""

    target: object
    sent_s: float
    heartbeat: Heartbeat


class HeartbeatMachine(Machine):
    """A VM whose target sends heartbeats over links that may lose or delay them."""

    def restart_daemon(self):
        self.boot += 1
        self.state = TargetState(SETTINGS, self.host, 1)
        self.state.tell_keys_by(HoldOrders.HEARTBEATS)
        self.next_report_s = self.next_beat_s = self.world.now
        self.still_until_s = self.world.now

    def restart_target(self):
        super().restart_target()
        self.beat_out = None
        self.released = []

    def arrives(self, delay_s, boot, action):
        """Let the daemon of that boot do something, once it doesn't stand still."""

        def arrive():
            if boot != self.boot:
                return
            if self.world.now < self.still_until_s:
                self.arrives(self.still_until_s - self.world.now, boot, action)
            else:
                action()

        self.world.later(delay_s, arrive)

    def step(self):
        world = self.world
        if world.now >= self.next_beat_s and self.beat_out is None:
            self.beat()
        if world.now >= max(self.next_report_s, self.still_until_s):
            self.next_report_s = world.now + REPORT_S
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
        out = self.beat_out = _Beat(target, world.now, beat)
        if not world.fails():
            self.arrives(world.delay_s(), self.boot, lambda: self.take(out))
        world.later(ANSWER_TIMEOUT_S, lambda: self.end(out, HEARTBEAT_S))

    def take(self, out):
        """Play the daemon's part of a heartbeat."""
        reply = self.state.take(out.heartbeat, self.world.now)
        if not self.world.fails():
            self.world.later(self.world.delay_s(), lambda: self.told(out, reply))

    def told(self, out, reply):
        """Play the target's part of an answer; a late one is dropped."""
        target, now = self.target, self.world.now
        if self.beat_out is not out:
            return
        self.released = []
        if reply.ranges is not None:
            until_s = out.sent_s + reply.hold_s / SLOWEST_CLOCK
            rows = {(each.first, each.last) for each in reply.ranges}
            gone = [each for each in target.held if (each.first, each.last) not in rows]
            self.released = [Release(each.first, each.last, "token") for each in gone]
            for each in reply.ranges:
                self.world.took(target, each)
            target.held = [
                Held(each.first, each.last, each.fence, until_s)
                for each in reply.ranges
                if until_s > now
            ]
        self.end(out, SOON_S if self.released else HEARTBEAT_S)

    def end(self, out, pause_s):
        """Let the next heartbeat follow."""
        if self.beat_out is out:
            self.beat_out = None
            self.next_beat_s = self.world.now + pause_s

    def report(self):
        world, report = self.world, self.make_report()
        asked_s, boot = world.now, self.boot
        if not world.fails():
            delay_s = world.delay_s()
            world.later(delay_s, lambda: world.answer(self, report, asked_s, boot))


class SlowLogWorld(World):
    """Three such machines; changes are committed late, and leaders lose some."""

    def __init__(self, seed, faults=0.05, longest_commit_s=1.5):
        super().__init__(seed, faults)
        self.longest_commit_s = longest_commit_s
        self.state = FleetState()
        first = Configuration(1, (ServiceSpec(SERVICE, sharded=True),))
        self.state.apply(1, ReplaceConfiguration(0, first, "first"))
        self.lease_s = SETTINGS.lease.lease_s
        self.term = 1
        self.leader = Leadership(1, self.lease_s, self.now)
        self.machines = [HeartbeatMachine(self, number) for number in range(MACHINES)]
        self._log = []
        self._commits_s = self.now

    def fails(self):
        """Whether a message is lost."""
        return not self.is_calm and self.random.random() < self.faults

    def delay_s(self):
        """Return how long a message takes."""
        if self.is_calm or self.random.random() > self.faults:
            return self.random.uniform(0.0, 0.03)
        return self.random.uniform(0.0, 1.5)

    def answer(self, machine, report, asked_s, boot):
        """Play the leader's part of one report: first a quorum confirms it."""
        leader = self.leader
        if leader is None:
            return
        leader.report(report, self.now)

        def confirmed():
            if leader is not self.leader:
                return
            grant = leader.grant(report, self.state, self.now)
            machine.arrives(
                self.delay_s(), boot, lambda: machine.state.take_grant(grant, asked_s)
            )

        self.later(self.delay_s(), confirmed)

    def propose(self, command):
        """Take a change into the log."""
        slow_s = 0.0 if self.is_calm else self.longest_commit_s
        self._commits_s = max(self._commits_s, self.now) + self.random.uniform(
            0.0, slow_s
        )
        self._log.append((self._commits_s, self.leader, command))

    def commit(self, until_s):
        """Apply what is committed by then."""
        while self._log and self._log[0][0] <= until_s:
            _, leader, command = self._log.pop(0)
            self.index += 1
            outcome = self.state.apply(self.index, command)
            if outcome.kind is not None and leader is self.leader is not None:
                leader.not_taken(command)

    def _draw(self):
        machine = self.random.choice(self.machines)
        drawn = self.random.random()
        if drawn < 0.001:
            machine.restart_daemon()
        elif drawn < 0.0015:
            machine.restart_target()
        elif drawn < 0.004:
            machine.still_until_s = self.now + self.random.uniform(0.5, 4.0)
        elif drawn < 0.006 and self.leader is not None:
            self._lose_leader()

    def _lose_leader(self):
        """The lead is gone; another one begins with a part of the open changes."""
        self.leader = None
        kept = self.random.randint(0, len(self._log))
        del self._log[kept:]
        self.later(self.random.uniform(0.0, 1.5), self._lead)

    def _lead(self):
        self.commit(float("inf"))
        self._commits_s = self.now
        self.term += 1
        self.leader = Leadership(self.term, self.lease_s, self.now)

    def decide(self):
        """Play a look of the leader."""
        self.commit(self.now)
        if self.leader is not None:
            for command in self.leader.tick(self.state, self.now):
                self.propose(command)


__all__ = ["SlowLogWorld"]
