"""Sessions of the consensus state machine, as golden text and as failures."""

import random

import attrs
import pytest

from tamarackhaven import _raft_wire
from tamarackhaven._consensus_waiting import PendingRequests
from tamarackhaven._members import Membership
from tamarackhaven._raft import Role
from tamarackhaven._raft_messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
    InstallSnapshotReply,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests import golden
from tests.raft_group import SETTINGS, Group, membership


def session(*names, leader=None):
    group = Group(*names)
    if leader:
        group.elect(leader)
    group.log = []
    return group


def check(group, name):
    golden.check(name, "\n".join(group.log) + "\n")


def led(*names):
    """A group whose first member leads and has committed its first entry."""
    group = Group(*names)
    group.elect(names[0])
    group.run(0.1)
    return group


def kind_of(call, *args):
    with pytest.raises(TamarackhavenError) as caught:
        call(*args)
    return caught.value.kind


# Golden sessions.


def test_golden_election():
    group = session("a", "b", "c")
    group.say("a hears no leader for an election timeout")
    group.elect("a")
    group.say("c is asked for a vote by b, while it hears a")
    group.deliver(PreVote("b", "c", 2, last_index=1, last_term=1))
    group.deliver(Vote("b", "c", 2, last_index=1, last_term=1))
    group.say("a is cut off; b and c go on without it")
    group.cut("a")
    group.now += 1.0
    group.tick("b")
    group.settle()
    group.say("a hears no quorum for an election timeout and steps down")
    for _ in range(5):
        group.tick("a", 0.1)
    group.settle()
    assert group.nodes["a"].role is Role.FOLLOWER
    group.say(f"a is {group.nodes['a'].role.value}, b {group.nodes['b'].role.value}")
    check(group, "raft_election")


def test_golden_replication_with_a_lagging_follower():
    group = session("a", "b", "c", leader="a")
    group.say("c hears nothing while a and b commit six changes")
    group.cut("c")
    for number in range(6):
        group.propose("a", b"change-%d" % number)
    group.settle()
    group.say("c hears the leader again")
    group.heal()
    group.tick("a", 0.05)
    group.settle()
    check(group, "raft_replication")


def test_golden_snapshot_transfer():
    group = session("a", "b", "c", leader="a")
    group.say("c hears nothing while a and b commit 6 changes")
    group.cut("c")
    for number in range(6):
        group.propose("a", b"change-%d" % number)
    group.settle()
    group.say("a replaces its log by a snapshot of 3,000 bytes; c is behind it")
    group.compact("a")
    group.heal()
    group.tick("a", 0.05)
    group.settle()
    check(group, "raft_snapshot")


def test_golden_membership_change():
    group = session("a", "b", "c", leader="a")
    group.say("d joins as a learner")
    group.join("d")
    group.change("a", "add", "d")
    group.settle()
    group.say("d has caught up and gets a vote")
    group.change("a", "promote", "d")
    group.settle()
    group.say("a removes itself; it leads until that is committed")
    group.change("a", "remove", "a")
    group.settle()
    group.say(f"a is {group.nodes['a'].role.value}")
    check(group, "raft_membership")


# Elections under failures.


def test_member_cut_off_for_long_returns_without_deposing_the_leader():
    """Callers see no pause when a member that was silently cut off comes back.

    It hears no leader for a long time and asks for pre-votes that nobody hears. Its
    term stays, so its messages depose nobody when the cut ends.
    """
    group = led("a", "b", "c")
    term = group.nodes["a"].term
    group.cut("c")
    group.run(20.0, step=0.05)
    assert group.nodes["c"].term == term
    group.heal()
    group.run(3.0, step=0.05)
    assert group.leader() == "a"
    assert {node.term for node in group.nodes.values()} == {term}


def test_members_that_start_together_elect_a_leader_sooner():
    """Callers wait for a leader after a loss of power that nobody could have led.

    All members start at the same moment. None of them can have missed a leader's
    heartbeat, so there is no reason to wait a whole election timeout for one.
    """
    settings = attrs.evolve(SETTINGS, election_ms=500, first_election_ms=100)
    group = Group("a", "b", "c", settings=settings)
    group.run(0.3)
    assert group.leader()


def test_member_that_restarts_deposes_no_leader_by_its_short_first_wait():
    """Callers see no pause when one member restarts while another leads.

    It runs out of patience before it hears the leader, and asks for pre-votes. The
    others hear the leader and refuse.
    """
    settings = attrs.evolve(SETTINGS, election_ms=500, first_election_ms=20)
    group = Group("a", "b", "c", settings=settings)
    group.run(1.0)
    leader, term = group.leader(), group.nodes[group.leader()].term
    other = next(name for name in group.nodes if name != leader)
    group.crash(other)
    group.start(other)
    group.blocked |= {(leader, other)}
    group.run(0.2)
    group.heal()
    group.run(0.5)
    assert group.leader() == leader
    assert group.nodes[leader].term == term


def test_leader_that_hears_nobody_steps_down():
    """A caller of a leader on the far side of a partition gets no stale answer.

    The leader's read waits for a quorum's round. It hears none within an election
    timeout, steps down and drops the read; the others have a leader of their own.
    """
    group = led("a", "b", "c")
    group.cut("a")
    group.take("a", group.nodes["a"].read(1, group.now))
    group.run(0.35)
    assert group.nodes["a"].role is not Role.LEADER
    assert group.reads == {1: None}
    group.run(2.0)
    assert group.leader() in ("b", "c")
    assert kind_of(group.propose, "a", b"x") is ErrorKind.NO_QUORUM


def test_leader_that_stood_still_goes_on_if_nobody_took_over():
    """A caller waits for a slow sync, not for an election on top of it.

    The leader's disk holds its thread for longer than an election timeout, and no
    other has elected yet. Its own silence must not count as theirs.
    """
    group = led("a", "b", "c")
    term = group.nodes["a"].term
    group.tick("a", 0.32)
    group.run(1.0)
    assert group.leader() == "a"
    assert group.nodes["a"].term == term


def test_leader_that_is_heard_but_hears_nobody_is_replaced():
    """A one-way cut: the leader's heartbeats arrive, no answer comes back.

    Heartbeats alone would keep the others from electing while nothing commits. The
    leader hears no quorum, steps down, and another takes over.
    """
    group = led("a", "b", "c")
    group.blocked = {("b", "a"), ("c", "a")}
    group.run(3.0)
    assert group.leader() in ("b", "c")
    index = group.propose(group.leader(), b"after")
    group.run(0.2)
    assert group.nodes[group.leader()].commit >= index


def test_follower_that_does_not_hear_the_leader_deposes_nobody():
    """A one-way cut: the leader doesn't reach one follower, which reaches all.

    It asks for votes again and again; the other follower hears the leader and
    refuses, and so does the leader, so callers see no change of leader.
    """
    group = led("a", "b", "c")
    term = group.nodes["a"].term
    group.blocked = {("a", "c")}
    group.run(5.0)
    assert group.leader() == "a"
    assert group.nodes["a"].term == term


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """The case of figure 8 of the Raft paper.

    Leader a of term 2 leaves an entry on b only; e takes term 3 and keeps an entry to
    itself; a leads again in term 4 and brings its old entry to a majority. e can
    still win with its newer last term, so the old entry must not count as committed.
    """
    group = Group("a", "b", "c", "d", "e")
    two, three = Entry(1, 2), Entry(1, 3)
    for name in ("a", "b"):
        group.disks[name].entries = [two]
    group.disks["e"].entries = [three]
    for name in "abcde":
        group.disks[name].hard_state = HardState(3)
        group.start(name)
    group.cut("d", "e")
    group.now += 1.0
    group.tick("a")
    for _ in range(100):
        if group.disks["c"].entries == [two]:
            break
        message = group.wire.pop(0)
        last = message.entries[-1:] if isinstance(message, Append) else ()
        if last and last[0].term == 4:
            # The own entry of term 4 gets lost; the old one arrives everywhere.
            message = attrs.evolve(message, entries=message.entries[:-1])
        group.deliver(message)
    for message in [m for m in group.wire if isinstance(m, AppendReply)]:
        group.deliver(message)
    assert group.nodes["a"].role is Role.LEADER
    assert group.nodes["a"].commit == 0
    group.wire.clear()
    group.heal()
    group.cut("a", "b")
    group.crash("a")
    group.run(3.0)
    assert group.leader() == "e"
    group.heal()
    group.run(1.0)
    assert group.committed_by_index[1] == three


def test_leader_counts_its_own_log_only_once_it_is_synced():
    """A group of one voter and a learner; a change waits for the voter's sync.

    The learner answers a heartbeat meanwhile. Counting the unsynced entry would
    confirm a change to its caller that a crash still takes away.
    """
    group = led("a")
    group.join("d")
    group.change("a", "add", "d")
    group.run(0.1)
    node = group.nodes["a"]
    index, _term, output = node.propose(b"x", group.now)
    reply = AppendReply("d", "a", node.term, True, index - 1, 99)
    assert node.step(reply, group.now).committed == ()
    group.take("a", output)
    assert node.commit == index


def test_member_that_does_not_answer_gets_few_snapshot_pieces():
    """A lost member needs a snapshot; a full piece a heartbeat would fill the link."""
    group = led("a", "b", "c")
    group.cut("c")
    for number in range(10):
        group.propose("a", b"%d" % number)
    group.settle()
    group.compact("a")
    group.heal()
    group.tick("a", 0.1)
    while not isinstance(group.wire[-1], InstallSnapshot):
        group.deliver(group.wire.pop(0))
    group.log = []
    group.crash("c")
    group.run(3.0)
    sent = [line for line in group.log if "InstallSnapshot receiver=c" in line]
    full = [line for line in sent if "chunk=0B" not in line]
    assert len(sent) >= 50
    assert 5 <= len(full) <= 11


# Membership.


def test_second_member_lost_right_after_a_repair():
    """Callers are served when a VM is replaced and another is lost at once.

    The new member gets its vote only when it has caught up, so that with it and the
    leader a quorum answers as soon as the second member is gone.
    """
    group = led("a", "b", "c")
    group.crash("c")
    group.change("a", "remove", "c")
    group.settle()
    for number in range(12):
        group.propose("a", b"%d" % number)
    group.settle()
    group.join("d")
    group.blocked = {("a", "d")}
    group.change("a", "add", "d")
    group.settle()
    assert kind_of(group.change, "a", "promote", "d") is ErrorKind.MEMBERSHIP_BUSY
    group.heal()
    group.run(0.1)
    assert group.nodes["d"].role is Role.LEARNER
    group.change("a", "promote", "d")
    group.settle()
    group.crash("b")
    index = group.propose("a", b"after")
    group.settle()
    assert group.nodes["a"].commit == index
    group.run(3.0)
    assert group.leader() == "a"


def test_membership_changes_one_at_a_time_and_only_sensibly():
    group = Group("a", "b", "c")
    group.elect("a")
    change = group.change
    group.wire.clear()
    assert kind_of(change, "b", "remove", "c") is ErrorKind.NO_QUORUM
    group.run(0.1)
    assert kind_of(change, "a", "add", "b") is ErrorKind.ALREADY_EXISTS
    assert kind_of(change, "a", "promote", "x") is ErrorKind.NOT_FOUND
    assert kind_of(change, "a", "remove", "x") is ErrorKind.NOT_FOUND
    assert kind_of(change, "a", "rename", "b") is ErrorKind.INVALID_RESOURCE
    change("a", "add", "d")
    assert kind_of(change, "a", "remove", "b") is ErrorKind.MEMBERSHIP_BUSY
    group.settle()
    change("a", "remove", "b")
    group.settle()
    assert group.nodes["a"].membership.voters == ["a", "c"]


def test_new_leader_changes_no_membership_before_its_first_commit():
    """Two leaders without a common voter, if a change of an older term is still open.

    The leader of a new term doesn't know whether the change that an earlier leader
    began has a majority somewhere; its own committed entry settles that.
    """
    group = Group("a", "b", "c")
    group.now += 1.0
    group.tick("a")
    while group.nodes["a"].role is not Role.LEADER:
        group.deliver(group.wire.pop(0))
    assert kind_of(group.change, "a", "remove", "c") is ErrorKind.MEMBERSHIP_BUSY
    group.settle()
    group.change("a", "remove", "c")


def test_uncommitted_membership_is_rolled_back_with_its_entry():
    group = led("a", "b", "c")
    group.cut("a")
    group.change("a", "remove", "b")
    assert group.nodes["a"].membership.voters == ["a", "c"]
    group.run(3.0)
    group.heal()
    group.run(1.0)
    assert group.nodes["a"].membership == membership("a", "b", "c")


def test_removed_member_does_not_campaign():
    group = led("a", "b", "c")
    group.change("a", "remove", "c")
    group.settle()
    group.cut("c")
    group.run(5.0, step=0.05)
    assert group.nodes["c"].term == group.nodes["a"].term
    assert not any(isinstance(m, PreVote | Vote) for m in group.wire)


# Reads.


def test_read_waits_for_the_first_commit_of_the_term():
    """A new leader may not know yet that an older leader's entry is committed.

    A read confirmed at its own commit index would miss an acknowledged change; it
    waits until the leader's first entry, which comes after that change, is committed.
    """
    group = led("a", "b", "c")
    group.blocked = {("a", "c"), ("b", "a")}
    index = group.propose("a", b"acknowledged")
    group.settle()
    group.blocked.clear()
    group.tick("a", 0.1)
    while group.nodes["a"].commit < index:
        group.deliver(group.wire.pop(0))
    group.wire.clear()
    group.cut("a")
    group.now += 1.0
    group.tick("b")
    while group.nodes["b"].role is not Role.LEADER:
        group.deliver(group.wire.pop(0))
    group.take("b", group.nodes["b"].read(5, group.now))
    assert group.reads == {}
    group.run(0.1)
    assert group.reads[5] >= index


def test_index_taken_by_another_term_answers_unconfirmed():
    class Future:
        def set_exception(self, error):
            self.kind = error.kind

    waiting, future = PendingRequests(), Future()
    waiting.add_proposal(3, 1, future)
    waiting.complete_proposal(Entry(3, 2), "another's outcome")
    assert future.kind is ErrorKind.CHANGE_UNCONFIRMED


# The wire.

MESSAGES = [
    PreVote("a", "b", 3, 7, 2),
    PreVoteReply("a", "b", 3, True),
    Vote("a", "b", 3, 7, 2),
    VoteReply("a", "b", 3, False),
    Append("a", "b", 3, 7, 2, 6, 9, (Entry(8, 3, EntryKind.CHANGE, b"x"),)),
    AppendReply("a", "b", 3, True, 8, 9),
    InstallSnapshot("a", "b", 3, 7, 2, membership("a", "b"), 4, b"yz", True, 9),
    InstallSnapshotReply("a", "b", 3, 4, 7, 9),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_messages_come_back_from_the_wire(message):
    assert _raft_wire.from_wire(_raft_wire.to_wire(message)) == message


def test_unknown_message_is_refused():
    wire = _raft_wire.to_wire(MESSAGES[0])
    wire.kind = "Shutdown"
    assert kind_of(_raft_wire.from_wire, wire) is ErrorKind.MALFORMED_REQUEST


def test_member_without_membership_waits_to_be_added():
    group = Group("a")
    group.join("n")
    assert group.nodes["n"].membership == Membership(())
    group.rng = random.Random(1)
    group.now += 100.0
    group.tick("n")
    assert group.nodes["n"].role is Role.LEARNER
    assert group.wire == []
