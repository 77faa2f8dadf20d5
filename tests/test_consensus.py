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


def make_consensus(name, storage, first, send, machine, on_fatal):
    clock, rng = _clock.boot_s, random.Random(name)
    return Consensus(
        name, SETTINGS, storage, first, send, machine, clock, rng, on_fatal
    )


class MemberGroup:
    """Up to three running members that exchange encoded messages by direct calls."""

    def __init__(self, folder):
        self.folder = folder
        self.first = membership("a", "b", "c")
        self.running = {}
        self.machine_by_name = {}
        self.files_by_name = {}
        self.error_by_name = {}
        self.cut = set()

    def start(self, name, first=None):
        self.files_by_name[name] = BrokenFiles()
        storage = Storage.open(self.folder / name, self.files_by_name[name])
        self.machine_by_name[name] = ListMachine()
        self.running[name] = make_consensus(
            name,
            storage,
            first or self.first,
            self.send,
            self.machine_by_name[name],
            lambda error: self.error_by_name.update({name: error}),
        )
        self.running[name].start()
        return self.running[name]

    def send(self, messages):
        for message in messages:
            receiver = self.running.get(message.receiver)
            if receiver and not {message.sender, message.receiver} & self.cut:
                kind = type(_raft_wire.to_wire(message))
                data = _raft_wire.to_wire(message).SerializeToString()
                receiver.deliver([_raft_wire.from_wire(kind.FromString(data))])

    def stop(self, name):
        self.running.pop(name).stop()

    def leader(self, candidates=None):
        def find_leader():
            for running_member in list(self.running.values()):
                status = running_member.status()
                if status.role is Role.LEADER and status.name in (
                    candidates or self.running
                ):
                    return running_member
            return None

        return wait_for(find_leader)


def wait_for(condition):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(0.005)
    raise AssertionError("the condition was not met in time")


@pytest.fixture
def group(tmp_path):
    started = MemberGroup(tmp_path)
    for name in "abc":
        started.start(name)
    yield started
    for name in list(started.running):
        started.stop(name)


def propose_until_committed(group, command):
    """Propose a command, with retries, until it is committed; return the leader."""
    for _ in range(100):
        leader = group.leader()
        try:
            leader.propose(command).result(WAIT_S)
            return leader
        except TamarackhavenError as error:
            assert error.kind in (ErrorKind.NO_QUORUM, ErrorKind.CHANGE_UNCONFIRMED)
    raise AssertionError("the command was not confirmed after 100 attempts")


def test_confirmed_changes_are_applied_on_all_members_and_survive_a_restart(group):
    leader = propose_until_committed(group, b"first")
    futures = [leader.propose(b"%d" % n) for n in range(100)]
    assert [f.result(WAIT_S) for f in futures] == list(range(2, 102))
    assert leader.read().result(WAIT_S) >= 101
    others = [name for name in "abc" if name != leader.status().name]
    error = group.running[others[0]].propose(b"x").exception(WAIT_S)
    assert error.kind is ErrorKind.NO_QUORUM
    expected = [b"first"] + [b"%d" % n for n in range(100)]
    wait_for(
        lambda: all(m.commands == expected for m in group.machine_by_name.values())
    )
    for name in "abc":
        group.stop(name)
    for name in "abc":
        group.start(name)
    propose_until_committed(group, b"after")
    wait_for(
        lambda: all(
            m.commands[:101] == expected for m in group.machine_by_name.values()
        )
    )


def test_partitioned_leader_reports_its_pending_change_as_unconfirmed(group):
    """Guards against a caller that waits indefinitely at a partitioned leader.

    The leader appends a change, gets no replies from a quorum for an election timeout
    and steps down. The caller must get CHANGE_UNCONFIRMED at that time; the others
    elect a leader, and the old one returns without that change.
    """
    old = propose_until_committed(group, b"kept")
    name = old.status().name
    group.cut = {name}
    error = old.propose(b"lost").exception(WAIT_S)
    assert error.kind is ErrorKind.CHANGE_UNCONFIRMED
    group.leader(candidates=set("abc") - {name})
    group.cut = set()
    propose_until_committed(group, b"new")
    wait_for(lambda: group.machine_by_name[name].commands == [b"kept", b"new"])


def test_change_decided_in_an_earlier_term_is_refused(group):
    # Guards against a change that was decided before another leader's grants and takes
    # effect after them.
    leader = propose_until_committed(group, b"first")
    term = leader.status().term
    error = leader.propose(b"late", term - 1).exception(WAIT_S)
    assert error.kind is ErrorKind.NO_QUORUM
    leader.propose(b"now", term).result(WAIT_S)
    assert group.machine_by_name[leader.status().name].commands == [b"first", b"now"]


@pytest.mark.parametrize("failure", ["sync", "full"], ids=["failed sync", "full disk"])
def test_disk_failure_stops_the_member_and_the_others_continue(group, failure):
    """Guards against a wrong answer after a disk failure at the leader.

    The write or its sync fails while a change is pending. The entry may be on the disk
    or not, so the caller must get CHANGE_UNCONFIRMED and later callers the error of the
    disk. The member must stop, and the other two elect a leader and commit.
    """
    leader = propose_until_committed(group, b"kept")
    name = leader.status().name
    group.files_by_name[name].failure = failure
    error = leader.propose(b"unknown").exception(WAIT_S)
    assert error.kind is ErrorKind.CHANGE_UNCONFIRMED
    kind = {"sync": ErrorKind.SYNC_FAILED, "full": ErrorKind.DISK_FULL}[failure]
    wait_for(lambda: name in group.error_by_name)
    assert group.error_by_name[name].kind is kind
    for future in (leader.propose(b"later"), leader.read()):
        assert future.exception(WAIT_S).kind is kind
    group.running.pop(name)
    propose_until_committed(group, b"after")


def test_member_with_a_lost_disk_is_replaced_under_a_new_name(group):
    """Guards against an outage after a lost disk and the loss of a second VM.

    The member without its disk is removed; a new one joins empty, catches up by
    snapshot and is promoted; then another old member stops. Changes must still commit.
    """
    leader = propose_until_committed(group, b"0")
    lost = next(name for name in "abc" if name != leader.status().name)
    group.stop(lost)
    for number in range(1, 40):
        leader.propose(b"%d" % number).result(WAIT_S)
    for action, name in (("remove", lost), ("add", "d")):
        leader.change_membership(Step(action, member(name))).result(WAIT_S)
    group.start("d", first=Membership(()))
    _promote(leader, "d")
    second = next(n for n in "abc" if n not in (lost, leader.status().name))
    group.stop(second)
    propose_until_committed(group, b"40")
    expected = [b"%d" % number for number in range(41)]
    wait_for(lambda: group.machine_by_name["d"].commands == expected)


def _promote(leader, name):
    for _ in itertools.count():
        try:
            leader.change_membership(Step("promote", member(name))).result(WAIT_S)
            return
        except TamarackhavenError as error:
            assert error.kind is ErrorKind.MEMBERSHIP_BUSY
            time.sleep(0.02)


def test_folder_of_another_member_is_refused(tmp_path):
    group = MemberGroup(tmp_path)
    group.start("a")
    group.stop("a")
    (tmp_path / "a").rename(tmp_path / "b")
    with pytest.raises(TamarackhavenError) as caught:
        group.start("b")
    assert caught.value.kind is ErrorKind.MEMBER_UNKNOWN


def test_changes_above_the_pending_limit_are_refused_at_once(tmp_path, monkeypatch):
    """Guards against changes that wait past their deadline in an unbounded queue.

    More changes arrive than the group can commit while it is busy. Those within the
    limit are confirmed; the others fail at once with CONTROL_BUSY, which says that they
    aren't in the log, and with a retry delay.
    """
    monkeypatch.setattr(_consensus, "MAX_PENDING_CHANGES", 2)
    group = MemberGroup(tmp_path)
    group.start("a", first=membership("a"))
    leader = group.leader()
    leader.read().result(WAIT_S)
    is_busy, may_continue = threading.Event(), threading.Event()

    def apply(_entry):
        is_busy.set()
        may_continue.wait(WAIT_S)

    monkeypatch.setattr(group.machine_by_name["a"], "apply", apply)
    leader.propose(b"first")
    assert is_busy.wait(WAIT_S)
    futures = [leader.propose(b"x") for _ in range(5)]
    may_continue.set()
    errors = [future.exception(WAIT_S) for future in futures]
    group.stop("a")
    assert errors[:2] == [None, None]
    assert {error.kind for error in errors[2:]} == {ErrorKind.CONTROL_BUSY}
    assert all(error.retry_after_s > 0 for error in errors[2:])


def test_no_message_is_sent_before_its_sync(tmp_path):
    """Guards against a reply for entries that a follower hasn't synced.

    The follower's disk fails while it stores entries of the leader. With a reply before
    the sync, the leader would confirm a change that is on one disk only. The follower
    must send no message, then or later.
    """
    sent, fatal, files = [], [], BrokenFiles()
    storage = Storage.open(tmp_path, files)
    first = membership("a", "b", "c")
    follower = make_consensus(
        "b", storage, first, sent.extend, ListMachine(), fatal.append
    )
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
