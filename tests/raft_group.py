"""Simulated consensus group for tests, with an in-memory network and disks."""

import random

import pytest

from tamarackhaven._members import Member, Membership, Step
from tamarackhaven._raft import Raft, Role
from tamarackhaven._raft_messages import (
    EntryKind,
    HardState,
    Snapshot,
    WriteEntries,
    WriteHardState,
)
from tamarackhaven._settings import RaftSettings
from tamarackhaven.errors import TamarackhavenError

SETTINGS = RaftSettings(batch_entries=4, snapshot_entries=16, chunk_bytes=1024)


def member(name):
    return Member(name, "127.0.0.1", 1, 2)


def membership(*names):
    return Membership(tuple(member(name) for name in names))


class Disk:
    """Synced state of one member, in memory."""

    def __init__(self, first):
        self.hard_state = HardState()
        self.snapshot = Snapshot(0, 0, first)
        self.entries = []

    def write(self, writes):
        for write in writes:
            if isinstance(write, WriteHardState):
                self.hard_state = write.hard_state
            elif isinstance(write, WriteEntries):
                first = write.entries[0].index
                kept = [e for e in self.entries if e.index < first]
                self.entries = [*kept, *write.entries]
            else:
                self._replace(write.snapshot)

    def check_end_matches(self, node):
        """Check that the member's log ends at the same index and term as this one."""
        last = self.entries[-1].index if self.entries else self.snapshot.index
        assert node.last_index == last
        assert node.snapshot_at(last, b"").term == (
            self.entries[-1].term if self.entries else self.snapshot.term
        )

    def _replace(self, snapshot):
        terms = {entry.index: entry.term for entry in self.entries}
        if terms.get(snapshot.index) != snapshot.term:
            self.entries = []
        self.entries = [e for e in self.entries if e.index > snapshot.index]
        self.snapshot = snapshot


class Group:
    """Group of Raft members; a test controls its messages and its time.

    ``committed_by_index`` holds the entry that the first member committed at each
    index; every later commit of that index, by any member, must be equal to it.
    """

    def __init__(self, *names, seed=0, settings=SETTINGS):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.settings = settings
        first = membership(*names)
        self.disks = {name: Disk(first) for name in names}
        self.nodes = {}
        self.in_flight = []
        self.applied = {}
        self.reads = {}
        self.committed_by_index = {}
        self.leader_by_term = {}
        self.blocked = set()
        self.log = None
        for name in names:
            self.start(name)

    def join(self, name):
        self.disks[name] = Disk(Membership(()))
        self.start(name)

    def start(self, name):
        disk = self.disks[name]
        self.applied[name] = disk.snapshot.index
        self.nodes[name] = Raft(
            name,
            self.settings,
            disk.hard_state,
            disk.snapshot,
            tuple(disk.entries),
            self.now,
            self.rng,
        )

    def crash(self, name):
        del self.nodes[name]

    def take(self, name, output, syncs=True):
        """Process an output; without ``syncs`` the member crashes before its sync."""
        if not syncs:
            self.crash(name)
            return
        if output.writes:
            self.disks[name].write(output.writes)
            self.disks[name].check_end_matches(self.nodes[name])
            self._record(name, "sync", output.writes)
        self._send(name, output.messages)
        self._apply(name, output)
        for ready in output.reads:
            self.reads[ready.token] = ready.index
        for token in output.dropped_reads:
            self.reads[token] = None
        if output.writes:
            self.take(name, self.nodes[name].persisted(output.writes, self.now))
        self._check_leader(name)

    def _send(self, name, messages):
        for message in messages:
            self._record(name, "send", [message])
            self.in_flight.append(message)

    def _apply(self, name, output):
        if output.restored:
            self._record(name, "restore", [output.restored])
            self.applied[name] = output.restored.index
        for entry in output.committed:
            assert entry.index == self.applied[name] + 1
            assert self.committed_by_index.setdefault(entry.index, entry) == entry
            self.applied[name] = entry.index
        if output.committed:
            self._record(name, "commit", output.committed)

    def _check_leader(self, name):
        node = self.nodes[name]
        if node.role is Role.LEADER:
            assert self.leader_by_term.setdefault(node.term, name) == name

    def _record(self, name, what, items):
        if self.log is not None:
            self.log.extend(f"  {name} {what} {render(item)}" for item in items)

    def add_heading(self, text):
        self.log.append(text)

    def tick(self, name, seconds=0.0):
        self.now = round(self.now + seconds, 6)
        self.take(name, self.nodes[name].tick(self.now))

    def deliver(self, message, syncs=True):
        link = (message.sender, message.receiver)
        node = self.nodes.get(message.receiver)
        if node and link not in self.blocked:
            output = node.step(message, self.now)
            self.take(message.receiver, output, syncs)

    def settle(self):
        """Deliver messages until none is in flight."""
        for _ in range(10_000):
            if not self.in_flight:
                return
            self.deliver(self.in_flight.pop(0))
        raise AssertionError("the members still send messages after 10,000 deliveries")

    def run(self, seconds, step=0.01):
        """Tick all members and deliver all messages, for ``seconds`` in steps."""
        for _ in range(round(seconds / step)):
            self.now = round(self.now + step, 6)
            for name in sorted(self.nodes):
                self.tick(name)
            self.settle()

    def elect(self, name):
        """Let only ``name`` reach its election timeout; return it as leader."""
        self.now += 1.0
        self.tick(name)
        self.settle()
        assert self.nodes[name].role is Role.LEADER
        return self.nodes[name]

    def leader(self):
        leads = [n for n in self.nodes if self.nodes[n].role is Role.LEADER]
        return max(leads, key=lambda n: self.nodes[n].term) if leads else None

    def propose(self, name, command):
        index, _term, output = self.nodes[name].propose(command, self.now)
        self.take(name, output)
        return index

    def change(self, name, action, subject, replaced=""):
        step = Step(action, member(subject), replaced)
        index, _term, output = self.nodes[name].change_membership(step, self.now)
        self.take(name, output)
        return index

    def compact(self, name):
        node = self.nodes[name]
        if self.applied[name] > node.snapshot_index:
            data = b"state" * 600
            snapshot = node.snapshot_at(self.applied[name], data)
            self.take(name, node.compact(snapshot))

    def cut(self, *names):
        """Partition ``names`` from all other members, in both directions."""
        for name in names:
            for other in set(self.disks) - set(names):
                self.blocked |= {(name, other), (other, name)}

    def heal(self):
        self.blocked.clear()


def group_led_by_first(*names):
    """Return a group whose first member leads and has committed its first entry."""
    group = Group(*names)
    group.elect(names[0])
    group.run(0.1)
    return group


def raised_kind(call, *args):
    with pytest.raises(TamarackhavenError) as caught:
        call(*args)
    return caught.value.kind


def render(item):
    """Return a readable line: the class name, then all fields except the sender."""
    if isinstance(item, tuple):
        return "[" + " ".join(render(each) for each in item) + "]"
    kind = type(item).__name__
    if kind == "Entry":
        text = item.command.decode() if item.kind is EntryKind.CHANGE else ""
        return f"{item.index}@{item.term}:{item.kind.name}{':' + text if text else ''}"
    if kind == "Membership":
        names = [m.name + ("" if m.voter else "(learner)") for m in item.members]
        return ",".join(names)
    if isinstance(item, bytes):
        return f"{len(item)}B"
    if not hasattr(item, "__attrs_attrs__"):
        return str(item)
    field_names = [a.name for a in item.__attrs_attrs__ if a.name != "sender"]
    parts = [f"{name}={render(getattr(item, name))}" for name in field_names]
    return f"{kind} " + " ".join(parts)
