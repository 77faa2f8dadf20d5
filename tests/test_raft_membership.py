"""Tests of the Raft state machine: changes of its members."""

import random

from tamarackhaven._members import Membership
from tamarackhaven._raft import Role
from tamarackhaven._raft_messages import (
    PreVote,
    Vote,
)
from tamarackhaven.errors import ErrorKind
from tests.raft_group import (
    Group,
    group_led_by_first,
    membership,
    raised_kind,
)


def test_group_commits_after_a_replacement_and_a_second_loss():
    """Guards against an outage when another VM is lost right after a replacement.

    The new member may vote only once it has caught up, so that it and the leader form a
    working quorum as soon as the second member is lost.
    """
    group = group_led_by_first("a", "b", "c")
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
    assert raised_kind(group.change, "a", "promote", "d") is ErrorKind.MEMBERSHIP_BUSY
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


def test_invalid_or_concurrent_membership_change_is_refused():
    group = Group("a", "b", "c")
    group.elect("a")
    change = group.change
    group.in_flight.clear()
    assert raised_kind(change, "b", "remove", "c") is ErrorKind.NO_QUORUM
    group.run(0.1)
    assert raised_kind(change, "a", "add", "b") is ErrorKind.ALREADY_EXISTS
    assert raised_kind(change, "a", "promote", "x") is ErrorKind.NOT_FOUND
    assert raised_kind(change, "a", "remove", "x") is ErrorKind.NOT_FOUND
    assert raised_kind(change, "a", "rename", "b") is ErrorKind.INVALID_RESOURCE
    change("a", "add", "d")
    assert raised_kind(change, "a", "remove", "b") is ErrorKind.MEMBERSHIP_BUSY
    group.settle()
    change("a", "remove", "b")
    group.settle()
    assert group.nodes["a"].membership.voters == ["a", "c"]


def test_new_leader_refuses_membership_changes_before_its_first_commit():
    """Guards against two leaders after overlapping membership changes.

    A new leader doesn't know whether a membership change of an earlier term is on a
    majority, and a second change could lead to majorities without a common voter. The
    first committed entry of its own term decides that.
    """
    group = Group("a", "b", "c")
    group.now += 1.0
    group.tick("a")
    while group.nodes["a"].role is not Role.LEADER:
        group.deliver(group.in_flight.pop(0))
    assert raised_kind(group.change, "a", "remove", "c") is ErrorKind.MEMBERSHIP_BUSY
    group.settle()
    group.change("a", "remove", "c")


def test_uncommitted_membership_is_rolled_back_with_its_entry():
    group = group_led_by_first("a", "b", "c")
    group.cut("a")
    group.change("a", "remove", "b")
    assert group.nodes["a"].membership.voters == ["a", "c"]
    group.run(3.0)
    group.heal()
    group.run(1.0)
    assert group.nodes["a"].membership == membership("a", "b", "c")


def test_removed_member_does_not_campaign():
    group = group_led_by_first("a", "b", "c")
    group.change("a", "remove", "c")
    group.settle()
    group.cut("c")
    group.run(5.0, step=0.05)
    assert group.nodes["c"].term == group.nodes["a"].term
    assert not any(isinstance(m, PreVote | Vote) for m in group.in_flight)


def test_member_without_membership_starts_no_election():
    group = Group("a")
    group.join("n")
    assert group.nodes["n"].membership == Membership(())
    group.rng = random.Random(1)
    group.now += 100.0
    group.tick("n")
    assert group.nodes["n"].role is Role.LEARNER
    assert group.in_flight == []
