"""Tests of running members: groups in one process, with real threads and files."""

import itertools
import random
import threading
import time

import pytest

from tamarackhaven import _clock, _consensus, _raft_wire
from tamarackhaven._consensus import Consensus
from tamarackhaven._members import Membership, Step
from tamarackhaven._raft import Role
from tamarackhaven._raft_messages import Append, Entry, EntryKind, Vote
from tamarackhaven._settings import RaftSettings
from tamarackhaven._storage import Storage
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.broken_files import BrokenFiles
from tests.raft_group import member, membership

WAIT_S = 30.0
SETTINGS = RaftSettings(heartbeat_ms=20, election_ms=200, snapshot_entries=16)


class ListMachine:
    """State machine whose state is the list of applied commands."""

    def __init__(self):
        self.commands = []

    def apply(self, entry):
        if entry.kind is EntryKind.CHANGE:
            self.commands.append(entry.command)
        return len(self.commands)

    def snapshot(self):
        return b",".join(self.commands)

    def restore(self, snapshot):
        self.commands = snapshot.data.split(b",") if snapshot.data else []


def consensus(name, storage, first, send, machine, on_fatal):
    clock, rng = _clock.boot_s, random.Random(name)
    return Consensus(
        name, SETTINGS, storage, first, send, machine, clock, rng, on_fatal
    )


class Trio:
    """Up to three running members that exchange encoded messages by direct calls."""

    def __init__(self, folder):
        self.folder = folder
        self.first = membership("a", "b", "c")
        self.running = {}
        self.machines = {}
        self.files = {}
        self.fatal = {}
        self.cut = set()

    def start(self, name, first=None):
        self.files[name] = BrokenFiles()
        storage = Storage.open(self.folder / name, self.files[name])
        self.machines[name] = ListMachine()
        self.running[name] = consensus(
            name,
            storage,
            first or self.first,
            self.send,
            self.machines[name],
            lambda error: self.fatal.update({name: error}),
        )
        self.running[name].start()
        return self.running[name]

    def send(self, messages):
        for message in messages:
            to = self.running.get(message.receiver)
            if to and not {message.sender, message.receiver} & self.cut:
                kind = type(_raft_wire.to_wire(message))
                data = _raft_wire.to_wire(message).SerializeToString()
                to.deliver([_raft_wire.from_wire(kind.FromString(data))])

    def stop(self, name):
        self.running.pop(name).stop()

    def leader(self, among=None):
        def found():
            for each in list(self.running.values()):
                status = each.status()
                if status.role is Role.LEADER and status.name in (
                    among or self.running
                ):
                    return each
            return None

        return wait_for(found)


def wait_for(condition):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(0.005)
    raise AssertionError("the condition was not met in time")


@pytest.fixture
def trio(tmp_path):
    group = Trio(tmp_path)
    for name in "abc":
        group.start(name)
    yield group
    for name in list(group.running):
        group.stop(name)


def committed(trio, command):
    """Propose a command, with retries, until it is committed; return the leader."""
    for _ in range(100):
        leader = trio.leader()
        try:
            leader.propose(command).result(WAIT_S)
            return leader
        except TamarackhavenError as error:
            assert error.kind in (ErrorKind.NO_QUORUM, ErrorKind.CHANGE_UNCONFIRMED)
    raise AssertionError("the command was not confirmed after 100 attempts")


def test_every_member_applies_what_was_confirmed_and_keeps_it(trio):
    leader = committed(trio, b"first")
    futures = [leader.propose(b"%d" % n) for n in range(100)]
    assert [f.result(WAIT_S) for f in futures] == list(range(2, 102))
    assert leader.read().result(WAIT_S) >= 101
    others = [name for name in "abc" if name != leader.status().name]
    error = trio.running[others[0]].propose(b"x").exception(WAIT_S)
    assert error.kind is ErrorKind.NO_QUORUM
    expected = [b"first"] + [b"%d" % n for n in range(100)]
    wait_for(lambda: all(m.commands == expected for m in trio.machines.values()))
    for name in "abc":
        trio.stop(name)
    for name in "abc":
        trio.start(name)
    committed(trio, b"after")
    wait_for(lambda: all(m.commands[:101] == expected for m in trio.machines.values()))


def test_leader_cut_off_answers_at_once_that_it_does_not_know(trio):
    """Guards against a caller that waits indefinitely at a partitioned leader.

    The leader appends a change, gets no replies from a quorum for an election timeout
    and steps down. The caller must get CHANGE_UNCONFIRMED at that time; the others
    elect a leader, and the old one returns without that change.
    """
    old = committed(trio, b"kept")
    name = old.status().name
    trio.cut = {name}
    error = old.propose(b"lost").exception(WAIT_S)
    assert error.kind is ErrorKind.CHANGE_UNCONFIRMED
    trio.leader(among=set("abc") - {name})
    trio.cut = set()
    committed(trio, b"new")
    wait_for(lambda: trio.machines[name].commands == [b"kept", b"new"])


def test_a_change_decided_in_a_former_term_never_comes_into_the_log(trio):
    # Guards against a change that was decided before another leader's grants and takes
    # effect after them.
    leader = committed(trio, b"first")
    term = leader.status().term
    error = leader.propose(b"late", term - 1).exception(WAIT_S)
    assert error.kind is ErrorKind.NO_QUORUM
    leader.propose(b"now", term).result(WAIT_S)
    assert trio.machines[leader.status().name].commands == [b"first", b"now"]


@pytest.mark.parametrize("failure", ["sync", "full"], ids=["failed sync", "full disk"])
def test_failed_disk_stops_the_member_and_the_others_go_on(trio, failure):
    """Guards against a wrong answer after a disk failure at the leader.

    The write or its sync fails while a change is pending. The entry may be on the disk
    or not, so the caller must get CHANGE_UNCONFIRMED and later callers the error of the
    disk. The member must stop, and the other two elect a leader and commit.
    """
    leader = committed(trio, b"kept")
    name = leader.status().name
    trio.files[name].failure = failure
    error = leader.propose(b"unknown").exception(WAIT_S)
    assert error.kind is ErrorKind.CHANGE_UNCONFIRMED
    kind = {"sync": ErrorKind.SYNC_FAILED, "full": ErrorKind.DISK_FULL}[failure]
    wait_for(lambda: name in trio.fatal)
    assert trio.fatal[name].kind is kind
    for future in (leader.propose(b"later"), leader.read()):
        assert future.exception(WAIT_S).kind is kind
    trio.running.pop(name)
    committed(trio, b"after")


def test_member_with_a_lost_disk_comes_back_under_a_new_name(trio):
    """Guards against an outage after a lost disk and the loss of a second VM.

    The member without its disk is removed; a new one joins empty, catches up by
    snapshot and is promoted; then another old member stops. Changes must still commit.
    """
    leader = committed(trio, b"0")
    lost = next(name for name in "abc" if name != leader.status().name)
    trio.stop(lost)
    for number in range(1, 40):
        leader.propose(b"%d" % number).result(WAIT_S)
    for action, name in (("remove", lost), ("add", "d")):
        leader.change_membership(Step(action, member(name))).result(WAIT_S)
    trio.start("d", first=Membership(()))
    _promote(leader, "d")
    second = next(n for n in "abc" if n not in (lost, leader.status().name))
    trio.stop(second)
    committed(trio, b"40")
    expected = [b"%d" % number for number in range(41)]
    wait_for(lambda: trio.machines["d"].commands == expected)


def _promote(leader, name):
    for _ in itertools.count():
        try:
            leader.change_membership(Step("promote", member(name))).result(WAIT_S)
            return
        except TamarackhavenError as error:
            assert error.kind is ErrorKind.MEMBERSHIP_BUSY
            time.sleep(0.02)


def test_folder_of_another_member_is_refused(tmp_path):
    trio = Trio(tmp_path)
    trio.start("a")
    trio.stop("a")
    (tmp_path / "a").rename(tmp_path / "b")
    with pytest.raises(TamarackhavenError) as caught:
        trio.start("b")
    assert caught.value.kind is ErrorKind.MEMBER_UNKNOWN


def test_burst_beyond_the_limit_is_refused_at_once(tmp_path, monkeypatch):
    """Guards against changes that wait past their deadline in an unbounded queue.

    More changes arrive than the group can commit while it is busy. Those within the
    limit are confirmed; the others fail at once with CONTROL_BUSY, which says that they
    aren't in the log, and with a retry delay.
    """
    monkeypatch.setattr(_consensus, "MAX_PENDING_CHANGES", 2)
    trio = Trio(tmp_path)
    trio.start("a", first=membership("a"))
    leader = trio.leader()
    leader.read().result(WAIT_S)
    is_busy, is_free = threading.Event(), threading.Event()

    def apply(_entry):
        is_busy.set()
        is_free.wait(WAIT_S)

    monkeypatch.setattr(trio.machines["a"], "apply", apply)
    leader.propose(b"first")
    assert is_busy.wait(WAIT_S)
    futures = [leader.propose(b"x") for _ in range(5)]
    is_free.set()
    errors = [future.exception(WAIT_S) for future in futures]
    trio.stop("a")
    assert errors[:2] == [None, None]
    assert {error.kind for error in errors[2:]} == {ErrorKind.CONTROL_BUSY}
    assert all(error.retry_after_s > 0 for error in errors[2:])


def test_nothing_is_answered_before_it_is_synced(tmp_path):
    """Guards against a reply for entries that a follower hasn't synced.

    The follower's disk fails while it stores entries of the leader. With a reply before
    the sync, the leader would confirm a change that is on one disk only. The follower
    must send no message, then or later.
    """
    sent, fatal, files = [], [], BrokenFiles()
    storage = Storage.open(tmp_path, files)
    first = membership("a", "b", "c")
    follower = consensus("b", storage, first, sent.extend, ListMachine(), fatal.append)
    files.failure = "sync"
    entry = Entry(1, 1, EntryKind.CHANGE, b"x")
    follower.deliver([Append("a", "b", 1, 0, 0, 0, 1, (entry,))])
    follower.deliver([Vote("c", "b", 2, 5, 1)])
    follower.start()
    wait_for(lambda: fatal)
    follower.deliver([Vote("c", "b", 2, 5, 1)])
    follower.stop()
    assert fatal[0].kind is ErrorKind.SYNC_FAILED
    assert sent == []
