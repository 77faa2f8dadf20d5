"""Tests of the Raft state machine: golden transcripts and failure cases."""

import attrs
import pytest

from tamarackhaven import _raft_wire
from tamarackhaven._consensus_waiting import PendingRequests
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
from tamarackhaven.errors import ErrorKind
from tests import golden
from tests.raft_group import (
    SETTINGS,
    Group,
    group_led_by_first,
    membership,
    raised_kind,
)


def recorded_group(*names, leader=None):
    group = Group(*names)
    if leader:
        group.elect(leader)
    group.log = []
    return group


def check(group, name):
    golden.check(name, "\n".join(group.log) + "\n")


# Golden transcripts.


def test_golden_election():
    group = recorded_group("a", "b", "c")
    group.add_heading("a hears no leader for an election timeout")
    group.elect("a")
    group.add_heading("c is asked for a vote by b, while it hears a")
    group.deliver(PreVote("b", "c", 2, last_index=1, last_term=1))
    group.deliver(Vote("b", "c", 2, last_index=1, last_term=1))
    group.add_heading("a is cut off; b and c go on without it")
    group.cut("a")
    group.now += 1.0
    group.tick("b")
    group.settle()
    group.add_heading("a hears no quorum for an election timeout and steps down")
    for _ in range(5):
        group.tick("a", 0.1)
    group.settle()
    assert group.nodes["a"].role is Role.FOLLOWER
    group.add_heading(
        f"a is {group.nodes['a'].role.value}, b {group.nodes['b'].role.value}"
    )
    check(group, "raft_election")


def test_golden_replication_with_a_lagging_follower():
    group = recorded_group("a", "b", "c", leader="a")
    group.add_heading("c hears nothing while a and b commit six changes")
    group.cut("c")
    for number in range(6):
        group.propose("a", b"change-%d" % number)
    group.settle()
    group.add_heading("c hears the leader again")
    group.heal()
    group.tick("a", 0.05)
    group.settle()
    check(group, "raft_replication")


def test_golden_snapshot_transfer():
    group = recorded_group("a", "b", "c", leader="a")
    group.add_heading("c hears nothing while a and b commit 6 changes")
    group.cut("c")
    for number in range(6):
        group.propose("a", b"change-%d" % number)
    group.settle()
    group.add_heading("a replaces its log by a snapshot of 3,000 bytes; c is behind it")
    group.compact("a")
    group.heal()
    group.tick("a", 0.05)
    group.settle()
    check(group, "raft_snapshot")


def test_golden_membership_change():
    group = recorded_group("a", "b", "c", leader="a")
    group.add_heading("d joins as a learner")
    group.join("d")
    group.change("a", "add", "d")
    group.settle()
    group.add_heading("d has caught up and gets a vote")
    group.change("a", "promote", "d")
    group.settle()
    group.add_heading("a removes itself; it leads until that is committed")
    group.change("a", "remove", "a")
    group.settle()
    group.add_heading(f"a is {group.nodes['a'].role.value}")
    check(group, "raft_membership")


def test_a_learner_forgets_a_leader_that_has_fallen_silent():
    # Guards against: a learner is removed while cut off, then gets a late message of
    # the leader, and waits for that leader for ever instead of asking to join again.
    group = group_led_by_first("a", "b", "c")
    group.join("d")
    group.change("a", "add", "d")
    group.run(1.0)
    assert group.nodes["d"].leader == "a"
    group.cut("d")
    group.tick("a", 0.2)
    late = next(each for each in group.in_flight if each.receiver == "d")
    group.change("a", "remove", "d")
    group.run(1.0)
    assert group.nodes["d"].leader == ""
    group.heal()
    group.deliver(late)
    assert group.nodes["d"].leader == "a"
    group.run(1.0)
    assert group.nodes["d"].leader == ""
    group.change("a", "add", "d")
    group.run(1.0)
    assert group.nodes["d"].leader == "a"


# Elections under failures.


def test_partitioned_member_returns_without_deposing_the_leader():
    """Guards against an election when a partitioned member returns.

    It has no leader contact for 20 s, and its pre-vote requests are lost. Its term must
    not rise, so that its messages don't depose the leader after the partition.
    """
    group = group_led_by_first("a", "b", "c")
    term = group.nodes["a"].term
    group.cut("c")
    group.run(20.0, step=0.05)
    assert group.nodes["c"].term == term
    group.heal()
    group.run(3.0, step=0.05)
    assert group.leader() == "a"
    assert {node.term for node in group.nodes.values()} == {term}


def test_members_started_together_use_the_first_election_timeout():
    """Guards against a full election timeout after a simultaneous start.

    All members start at the same time, as after a power failure. No leader can exist,
    so the shorter first election timeout applies and callers wait less.
    """
    settings = attrs.evolve(SETTINGS, election_ms=500, first_election_ms=100)
    group = Group("a", "b", "c", settings=settings)
    group.run(0.3)
    assert group.leader()


def test_restarted_member_with_a_short_first_timeout_deposes_no_leader():
    """Guards against an election when one member restarts while another leads.

    Its short first timeout expires before it gets a heartbeat, and it requests
    pre-votes. The others have leader contact and refuse.
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


def test_partitioned_leader_steps_down_and_drops_reads():
    """Guards against a stale read from a leader that is partitioned from the quorum.

    Its read waits for a heartbeat round of a quorum. Without replies for an election
    timeout it steps down and drops the read; the others elect another leader.
    """
    group = group_led_by_first("a", "b", "c")
    group.cut("a")
    group.take("a", group.nodes["a"].read(1, group.now))
    group.run(0.35)
    assert group.nodes["a"].role is not Role.LEADER
    assert group.reads == {1: None}
    group.run(2.0)
    assert group.leader() in ("b", "c")
    assert raised_kind(group.propose, "a", b"x") is ErrorKind.NO_QUORUM


def test_leader_continues_after_a_stall_without_another_election():
    """Guards against a needless election after a slow sync.

    A sync stalls the leader for longer than an election timeout, and no other leader
    was elected. Replies missing because of its own pause must not make it step down.
    """
    group = group_led_by_first("a", "b", "c")
    term = group.nodes["a"].term
    group.tick("a", 0.32)
    group.run(1.0)
    assert group.leader() == "a"
    assert group.nodes["a"].term == term


def test_leader_that_receives_no_replies_is_replaced():
    """Guards against a group that commits nothing after a one-way network failure.

    The leader's heartbeats arrive, which keeps the others from an election, but their
    replies are lost. The leader steps down without a quorum, and another is elected.
    """
    group = group_led_by_first("a", "b", "c")
    group.blocked = {("b", "a"), ("c", "a")}
    group.run(3.0)
    assert group.leader() in ("b", "c")
    index = group.propose(group.leader(), b"after")
    group.run(0.2)
    assert group.nodes[group.leader()].commit >= index


def test_follower_without_heartbeats_does_not_depose_the_leader():
    """Guards against repeated elections after a one-way network failure.

    One follower doesn't get the leader's messages, but its own arrive everywhere. It
    keeps requesting votes; the leader and the other follower refuse, so the leader
    stays.
    """
    group = group_led_by_first("a", "b", "c")
    term = group.nodes["a"].term
    group.blocked = {("a", "c")}
    group.run(5.0)
    assert group.leader() == "a"
    assert group.nodes["a"].term == term


def test_entry_of_an_earlier_term_is_not_committed_by_counting_replicas():
    """Guards against the loss of a committed entry, as in figure 8 of the Raft paper.

    Leader a of term 2 replicates an entry to b only; e leads in term 3 and replicates
    its entry to no other member; a leads again in term 4 and replicates its old entry
    to a majority. e can still win an election with its newer last term, so the old
    entry must not be committed yet.
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
        message = group.in_flight.pop(0)
        last = message.entries[-1:] if isinstance(message, Append) else ()
        if last and last[0].term == 4:
            # The new entry of term 4 is lost; the old one arrives everywhere.
            message = attrs.evolve(message, entries=message.entries[:-1])
        group.deliver(message)
    for message in [m for m in group.in_flight if isinstance(m, AppendReply)]:
        group.deliver(message)
    assert group.nodes["a"].role is Role.LEADER
    assert group.nodes["a"].commit == 0
    group.in_flight.clear()
    group.heal()
    group.cut("a", "b")
    group.crash("a")
    group.run(3.0)
    assert group.leader() == "e"
    group.heal()
    group.run(1.0)
    assert group.committed_by_index[1] == three


def test_leader_counts_its_own_entries_only_after_their_sync():
    """Guards against the commit of an entry that the leader hasn't synced.

    In a group of one voter and a learner, a change waits for the voter's sync, and the
    learner replies to a heartbeat meanwhile. If the unsynced entry counted, a confirmed
    change could be lost in a crash.
    """
    group = group_led_by_first("a")
    group.join("d")
    group.change("a", "add", "d")
    group.run(0.1)
    node = group.nodes["a"]
    index, _term, output = node.propose(b"x", group.now)
    reply = AppendReply("d", "a", node.term, True, index - 1, 99)
    assert node.step(reply, group.now).committed == ()
    group.take("a", output)
    assert node.commit == index


def test_unresponsive_member_gets_few_snapshot_chunks():
    """Guards against a saturated link to a lost member that needs a snapshot.

    A full chunk with every heartbeat would saturate it.
    """
    group = group_led_by_first("a", "b", "c")
    group.cut("c")
    for number in range(10):
        group.propose("a", b"%d" % number)
    group.settle()
    group.compact("a")
    group.heal()
    group.tick("a", 0.1)
    while not isinstance(group.in_flight[-1], InstallSnapshot):
        group.deliver(group.in_flight.pop(0))
    group.log = []
    group.crash("c")
    group.run(3.0)
    sent = [line for line in group.log if "InstallSnapshot receiver=c" in line]
    full = [line for line in sent if "chunk=0B" not in line]
    assert len(sent) >= 50
    assert 5 <= len(full) <= 11


# Reads.


def test_read_waits_for_the_first_commit_of_the_term():
    """Guards against a read at a new leader that misses an acknowledged change.

    The new leader may not know yet that an entry of an earlier leader is committed, so
    its commit index may be too low. The read waits until the first entry of its own
    term, which follows that change, is committed.
    """
    group = group_led_by_first("a", "b", "c")
    group.blocked = {("a", "c"), ("b", "a")}
    index = group.propose("a", b"acknowledged")
    group.settle()
    group.blocked.clear()
    group.tick("a", 0.1)
    while group.nodes["a"].commit < index:
        group.deliver(group.in_flight.pop(0))
    group.in_flight.clear()
    group.cut("a")
    group.now += 1.0
    group.tick("b")
    while group.nodes["b"].role is not Role.LEADER:
        group.deliver(group.in_flight.pop(0))
    group.take("b", group.nodes["b"].read(5, group.now))
    assert group.reads == {}
    group.run(0.1)
    assert group.reads[5] >= index


def test_proposal_replaced_at_its_index_is_unconfirmed():
    class Future:
        def set_exception(self, error):
            self.kind = error.kind

    waiting, future = PendingRequests(), Future()
    waiting.add_proposal(3, 1, future)
    waiting.complete_proposal(Entry(3, 2), "outcome of another entry")
    assert future.kind is ErrorKind.CHANGE_UNCONFIRMED


# Wire format.

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
def test_messages_survive_a_wire_round_trip(message):
    assert _raft_wire.from_wire(_raft_wire.to_wire(message)) == message


def test_unknown_message_kind_is_refused():
    in_flight = _raft_wire.to_wire(MESSAGES[0])
    in_flight.kind = "Shutdown"
    assert raised_kind(_raft_wire.from_wire, in_flight) is ErrorKind.MALFORMED_REQUEST
