"""A learner takes over the vote of a voter in one change of the membership."""

from tamarackhaven.errors import ErrorKind
from tests.raft_group import group_led_by_first, raised_kind


def replacing_group():
    """Return a group of five in which a learner is taking over the vote of e."""
    group = group_led_by_first("a", "b", "c", "d", "e")
    group.change("a", "add", "f")
    group.join("f")
    group.run(0.3)
    group.change("a", "replace", "f", replaced="e")
    return group


def test_a_replacement_commits_by_majorities_before_and_after_it_only():
    # Guards against two leaders, elected by majorities that have no voter in common.
    group = replacing_group()
    group.settle()
    group.crash("b")
    group.crash("c")
    before = group.nodes["a"].commit
    group.propose("a", b"x")
    group.run(0.2)
    # Of the voters before it a, d and e are alive, of those after it a, d and f.
    assert group.nodes["a"].commit == before + 1
    group.crash("e")
    group.propose("a", b"y")
    group.run(0.2)
    assert group.nodes["a"].commit == before + 1


def test_a_replaced_voter_has_no_vote_once_the_replacement_is_finished():
    group = replacing_group()
    group.settle()
    assert group.nodes["a"].membership.electors == ["a", "b", "c", "d", "e", "f"]
    group.change("a", "finish", "e", replaced="e")
    group.settle()
    assert group.nodes["a"].membership.voters == ["a", "b", "c", "d", "f"]
    assert group.nodes["a"].membership.learners == []
    assert not group.nodes["a"].membership.former_voters


def test_no_other_change_is_made_while_a_voter_is_replaced():
    group = replacing_group()
    group.settle()
    for step in (("add", "g"), ("remove", "b"), ("replace", "f", "b")):
        assert raised_kind(group.change, "a", *step) is ErrorKind.MEMBERSHIP_BUSY
    group.change("a", "finish", "e", replaced="e")
    group.settle()
    kind = raised_kind(group.change, "a", "finish", "e", "e")
    assert kind is ErrorKind.MEMBERSHIP_BUSY


def test_an_interrupted_replacement_is_finished_by_the_next_leader():
    group = replacing_group()
    group.settle()
    group.crash("a")
    group.run(2.0)
    leader = group.leader()
    group.change(leader, "finish", "e", replaced="e")
    group.settle()
    assert "e" not in group.nodes[leader].membership.by_name
