"""Random fault sequences on the Raft state machine, checked against a simple model."""

import pytest

from tamarackhaven._raft import Role
from tamarackhaven.errors import TamarackhavenError
from tests.raft_group import Group

ACTIONS = (
    ["tick"] * 30
    + ["deliver"] * 60
    + ["late", "drop", "read", "duplicate", "propose", "propose", "propose"] * 3
    + ["crash", "start", "start", "start", "torn", "cut", "one_way"]
    + ["heal", "heal", "compact", "member"]
)


class Session:
    """One random sequence of actions; any action may hit a member that is down."""

    def __init__(self, seed):
        self.group = Group("a", "b", "c", seed=seed)
        self.rng = self.group.rng
        self.joined = 0
        self.min_index_by_token = {}

    def run(self, steps):
        for number in range(steps):
            action = self.rng.choice(ACTIONS)
            getattr(self, f"_{action}")(number)
        self._heal_and_check()

    def _heal_and_check(self):
        group = self.group
        group.heal()
        for name in set(group.disks) - set(group.nodes):
            group.start(name)
        group.run(4.0, step=0.02)
        leader = group.leader()
        assert leader is not None
        index = group.propose(leader, b"last")
        group.run(1.0, step=0.02)
        for name in group.nodes[leader].membership.by_name:
            assert group.applied[name] >= index
        self._check_logs_match()
        for token, min_index in self.min_index_by_token.items():
            confirmed = group.reads.get(token)
            assert confirmed is None or confirmed >= min_index

    def _check_logs_match(self):
        entry_by_position = {}
        for disk in self.group.disks.values():
            for entry in disk.entries:
                known = entry_by_position.setdefault((entry.index, entry.term), entry)
                assert known == entry

    def _random_member(self):
        return self.rng.choice(sorted(self.group.nodes) or [None])

    def _tick(self, _number):
        if name := self._random_member():
            self.group.tick(name, self.rng.random() * 0.02)

    def _pop(self, position):
        return self.group.in_flight.pop(position) if self.group.in_flight else None

    def _deliver(self, _number):
        if message := self._pop(0):
            self.group.deliver(message)

    def _late(self, _number):
        if self.group.in_flight:
            position = self.rng.randrange(len(self.group.in_flight))
            self.group.deliver(self._pop(position))

    def _drop(self, _number):
        self._pop(0)

    def _duplicate(self, _number):
        if self.group.in_flight:
            self.group.in_flight.append(self.rng.choice(self.group.in_flight))

    def _torn(self, _number):
        """Deliver a message to a member that crashes before its sync."""
        if message := self._pop(0):
            self.group.deliver(message, syncs=False)

    def _propose(self, number):
        for name, node in list(self.group.nodes.items()):
            if node.role is Role.LEADER:
                self.group.propose(name, b"%d" % number)

    def _read(self, number):
        """Read; the result must include all that any member had committed before."""
        if name := self._random_member():
            self.min_index_by_token[number] = max(
                self.group.committed_by_index, default=0
            )
            output = self.group.nodes[name].read(number, self.group.now)
            self.group.take(name, output)

    def _crash(self, _number):
        if name := self._random_member():
            self.group.crash(name)

    def _start(self, _number):
        stopped = sorted(set(self.group.disks) - set(self.group.nodes))
        if stopped:
            self.group.start(self.rng.choice(stopped))

    def _cut(self, _number):
        self.group.cut(self.rng.choice(sorted(self.group.disks)))

    def _one_way(self, _number):
        pair = self.rng.sample(sorted(self.group.disks), 2)
        self.group.blocked.add(tuple(pair))

    def _heal(self, _number):
        self.group.heal()

    def _compact(self, _number):
        if name := self._random_member():
            self.group.compact(name)

    def _member(self, _number):
        """Promote a learner, remove a member or add one, depending on the group."""
        leader = self.group.leader()
        if leader is None:
            return
        members = self.group.nodes[leader].membership.by_name
        learners = [name for name in members if not members[name].voter]
        try:
            if learners:
                self.group.change(leader, "promote", learners[0])
            elif len(members) > 3:
                self.group.change(leader, "remove", self.rng.choice(sorted(members)))
            else:
                self.joined += 1
                self.group.change(leader, "add", f"n{self.joined}")
                self.group.join(f"n{self.joined}")
        except TamarackhavenError:
            return


@pytest.mark.parametrize("seed", range(40))
def test_random_faults_lose_no_committed_entry(seed):
    """Guards against the loss of an acknowledged entry after any combination of faults.

    Messages are dropped, duplicated and reordered, members crash with or without their
    last sync, links fail in one direction or both, logs are compacted, and members
    change. The group checks at each commit that all members agree, that a term has one
    leader, and that logs match the simulated disks. At the end all faults are repaired,
    every member must catch up, and no confirmed read may have missed an entry that was
    committed before it.
    """
    Session(seed).run(1500)


class ReplacingSession(Session):
    """As ``Session``, but learners take over the votes of voters."""

    def _member(self, _number):
        """Finish a replacement, begin one, or add a learner for one."""
        leader = self.group.leader()
        if leader is None:
            return
        membership = self.group.nodes[leader].membership
        try:
            if membership.former_voters:
                (gone,) = set(membership.former_voters) - set(membership.voters)
                self.group.change(leader, "finish", gone, gone)
            elif membership.learners:
                replaced = self.rng.choice(membership.voters)
                learner = membership.learners[0]
                self.group.change(leader, "replace", learner, replaced)
            else:
                self.joined += 1
                self.group.change(leader, "add", f"n{self.joined}")
                self.group.join(f"n{self.joined}")
        except TamarackhavenError:
            return


@pytest.mark.parametrize("seed", range(40))
def test_random_faults_lose_no_committed_entry_while_voters_are_replaced(seed):
    # Guards against two leaders, or a lost entry, while the voters before and after a
    # replacement both count.
    ReplacingSession(seed).run(1500)
