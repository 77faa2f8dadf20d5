"""How the control group starts, grows and replaces members."""

import itertools

import pytest

from tamarackhaven._members import Member, Membership
from tamarackhaven._raft_membership import changed
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet._growth import (
    FOUNDING_TIMEOUT_S,
    Founding,
    Newcomer,
    count_required_voters,
    founders,
    next_change,
)

SEEDS = [("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)]


def apply_due_changes(
    membership, newcomers=(), silent=(), required_voters=5, max_changes=20
):
    """Apply all due changes; return the membership and the changes' actions."""
    actions = []
    for index in range(max_changes):
        silent_s = {name: 99.0 * (name in silent) for name in membership.by_name}
        due = next_change(membership, newcomers, silent_s, required_voters)
        if due is None:
            break
        membership = changed(membership, due.step, index + 1, True)
        actions.append((due.step.action, due.step.member.name))
    return membership, actions


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
        founders(SEEDS), [replacement], required_voters=3
    )
    assert "10.0.0.1:7" not in grown.by_name
    assert "10.0.0.1:7/new" in grown.voters
    assert actions[0] == ("remove", "10.0.0.1:7")


def test_a_permanently_lost_member_is_replaced_by_a_learner():
    five, _ = apply_due_changes(founders(SEEDS), [newcomer(4), newcomer(5)])
    replaced, actions = apply_due_changes(five, [newcomer(6)], silent={"10.0.0.2:7"})
    assert "10.0.0.2:7" not in replaced.by_name
    assert len(replaced.voters) == 5
    assert actions[-1] == ("promote", "10.0.0.6:7/x")


def test_a_silent_member_stays_if_no_learner_can_replace_it():
    five, _ = apply_due_changes(founders(SEEDS), [newcomer(4), newcomer(5)])
    same, actions = apply_due_changes(five, silent={"10.0.0.2:7"})
    assert same == five and not actions


def test_two_lost_members_are_replaced_without_losing_the_quorum():
    five, _ = apply_due_changes(founders(SEEDS), [newcomer(4), newcomer(5)])
    lost = {"10.0.0.1:7", "10.0.0.2:7"}
    replacements = [newcomer(1, "10.0.0.1:7/new"), newcomer(2, "10.0.0.2:7/new")]
    present = set(five.by_name) - lost
    membership = five
    for index in range(20):
        silent_s = {name: 99.0 * (name in lost) for name in membership.by_name}
        due = next_change(membership, replacements, silent_s, 5)
        if due is None:
            break
        membership = changed(membership, due.step, index + 1, True)
        alive = [name for name in membership.voters if name not in lost]
        assert len(alive) >= membership.quorum, due
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
