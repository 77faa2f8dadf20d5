"""How the control group starts, grows and replaces members."""

import itertools

import attrs
import pytest

from tamarackhaven._members import Member, Membership
from tamarackhaven._raft_membership import changed
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet._growth import (
    FOUNDING_TIMEOUT_S,
    Founding,
    GroupView,
    Newcomer,
    count_required_voters,
    founders,
    next_change,
)

SEEDS = [("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)]


def view_of(membership, newcomers=(), silent=(), required_voters=5, caught_up=None):
    """Return the view of a leader; all members have caught up unless some are named."""
    names = membership.by_name if caught_up is None else caught_up
    return GroupView(
        membership,
        tuple(newcomers),
        {name: 99.0 * (name in silent) for name in membership.by_name},
        frozenset(names),
        required_voters,
    )


def apply_due_changes(
    membership, newcomers=(), silent=(), required_voters=5, max_changes=20
):
    """Apply all due changes; return the membership and the changes' actions."""
    actions = []
    for index in range(max_changes):
        due = next_change(view_of(membership, newcomers, silent, required_voters))
        if due is None:
            break
        membership = changed(membership, due.step, index + 1, True)
        actions.append((due.step.action, due.step.member.name))
    return membership, actions


def five_voters():
    five, _ = apply_due_changes(founders(SEEDS), [newcomer(4), newcomer(5)])
    return five


def newcomer(number, name=None):
    host = f"10.0.0.{number}"
    return Newcomer(name or f"{host}:7/x", host, 7)


def test_the_first_membership_does_not_depend_on_the_order_of_seeds():
    first = founders(SEEDS)
    assert len(first.voters) == 3
    for order in itertools.permutations(SEEDS):
        assert founders(sorted(order)) == first


@pytest.mark.parametrize(
    ("losses", "required_voters"), [(0, 3), (1, 3), (2, 5), (3, 7)]
)
def test_tolerated_losses_determine_the_number_of_voters(losses, required_voters):
    assert count_required_voters(losses) == required_voters


def test_the_group_grows_one_member_at_a_time_to_the_required_voters():
    grown, actions = apply_due_changes(
        founders(SEEDS), [newcomer(4), newcomer(5), newcomer(6)]
    )
    assert len(grown.voters) == 5
    assert len(grown.members) == 6, "the sixth member stays a learner"
    assert [action for action, _ in actions].count("promote") == 2


def test_a_member_with_a_lost_disk_is_replaced_under_a_new_name():
    # A VM loses its disk and asks to join from its old address under a new name. The
    # old name can't vote any more, but would count for every majority.
    replacement = newcomer(1, "10.0.0.1:7/new")
    grown, actions = apply_due_changes(
        founders(SEEDS), [replacement], silent={"10.0.0.1:7"}, required_voters=3
    )
    assert "10.0.0.1:7" not in grown.by_name
    assert "10.0.0.1:7/new" in grown.voters
    assert [action for action, _ in actions] == ["add", "replace", "finish"]


def test_a_late_request_of_a_former_process_removes_no_member_that_is_heard():
    # Guards against a VM that runs being taken for lost by an old message.
    late = newcomer(1, "10.0.0.1:7/former")
    grown, actions = apply_due_changes(founders(SEEDS), [late], required_voters=3)
    assert "10.0.0.1:7" in grown.voters
    assert actions == [("add", "10.0.0.1:7/former")]


def test_a_lost_voter_of_a_group_that_stays_small_is_removed():
    # Guards against a quorum that counts a lost disk for ever, where there are fewer
    # control VMs than the tolerated losses need.
    replacement = newcomer(1, "10.0.0.1:7/new")
    grown, _ = apply_due_changes(
        founders(SEEDS), [replacement], silent={"10.0.0.1:7"}, required_voters=5
    )
    assert grown.voters == ["10.0.0.1:7/new", "10.0.0.2:7", "10.0.0.3:7"]


def test_a_permanently_lost_member_is_replaced_by_a_learner():
    replaced, actions = apply_due_changes(
        five_voters(), [newcomer(6)], silent={"10.0.0.2:7"}
    )
    assert "10.0.0.2:7" not in replaced.by_name
    assert len(replaced.voters) == 5
    assert actions[-2] == ("replace", "10.0.0.6:7/x")


def test_a_silent_member_stays_if_no_learner_can_replace_it():
    five = five_voters()
    same, actions = apply_due_changes(five, silent={"10.0.0.2:7"})
    assert same == five and not actions


@pytest.mark.parametrize("learner_is", ["lagging", "silent"])
def test_a_silent_member_stays_until_a_learner_can_vote(learner_is):
    # Guards against a voter that is only cut off losing its vote to nobody.
    learner = Member("new", "10.0.0.6", 7, 0, voter=False)
    five = five_voters()
    membership = Membership((*five.members, learner))
    silent = {"10.0.0.2:7"} | ({"new"} if learner_is == "silent" else set())
    caught_up = set(five.voters) | ({"new"} if learner_is == "silent" else set())
    due = next_change(view_of(membership, silent=silent, caught_up=caught_up))
    if learner_is == "lagging":
        assert due is None
    else:
        assert (due.step.action, due.step.member.name) == ("remove", "new")


def test_one_learner_replaces_neither_of_two_silent_voters_at_first():
    # Guards against a newcomer that gets the vote of a VM that is only cut off: its
    # predecessor and it have two votes then, and are lost together.
    membership = Membership(
        (*five_voters().members, Member("new", "10.0.0.6", 7, 0, voter=False))
    )

    def due_after(silent_s_by_name):
        view = view_of(membership)
        silent_s_by_name = view.silent_s_by_name | silent_s_by_name
        return next_change(attrs.evolve(view, silent_s_by_name=silent_s_by_name))

    cut, gone = "10.0.0.2:7", "10.0.0.3:7"
    assert due_after({cut: 3.0, gone: 3.0}) is None
    assert due_after({gone: 3.0}).step.replaced == gone
    assert due_after({cut: 5.0, gone: 10.5}).step.replaced == gone


def test_a_learner_that_lags_keeps_no_other_from_its_vote():
    # Guards against a group that stays short of voters because of one lagging learner.
    learners = tuple(
        Member(name, f"10.0.0.{n}", 7, 0, voter=False)
        for n, name in ((8, "p"), (9, "q"))
    )
    membership = Membership((*founders(SEEDS).members, *learners))
    due = next_change(view_of(membership, caught_up={"q"}))
    assert (due.step.action, due.step.member.name) == ("promote", "q")


def test_two_lost_members_are_replaced_without_losing_the_quorum():
    five = five_voters()
    lost = {"10.0.0.1:7", "10.0.0.2:7"}
    replacements = [newcomer(1, "10.0.0.1:7/new"), newcomer(2, "10.0.0.2:7/new")]
    present = set(five.by_name) - lost
    membership = five
    for index in range(20):
        due = next_change(view_of(membership, replacements, lost))
        if due is None:
            break
        membership = changed(membership, due.step, index + 1, True)
        assert membership.has_majority(set(membership.by_name) - lost), due
        assert all(len(each) == 5 for each in membership.electorates), due
    assert len(membership.voters) == 5
    assert present < set(membership.voters)


def test_a_learner_that_never_responds_is_removed():
    learner = Member("late", "10.0.0.9", 7, 0, voter=False)
    membership = Membership((*founders(SEEDS).members, learner))
    remaining, actions = apply_due_changes(
        membership, silent={"late"}, required_voters=3
    )
    assert actions == [("remove", "late")]


def test_orders_wait_for_the_required_voters_but_not_for_ever():
    # Guards against: an accepted order is lost with the disks that may be lost.
    founding = Founding(5, 100.0)
    with pytest.raises(TamarackhavenError) as refused:
        founding.require_voters(3, False, 100.0 + FOUNDING_TIMEOUT_S - 0.1)
    assert refused.value.kind is ErrorKind.NO_QUORUM
    Founding(5, 100.0).require_voters(5, False, 100.0)
    Founding(5, 100.0).require_voters(3, True, 100.0)
    founding.require_voters(3, False, 100.0 + FOUNDING_TIMEOUT_S)
    # Later losses of voters do not refuse orders again.
    founding.require_voters(1, False, 100.0)
