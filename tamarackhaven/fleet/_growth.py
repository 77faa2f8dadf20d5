"""Which change of the control group's members is due next. Pure.

The group founds itself from a few addresses that all are told, grows to the voters
that the tolerated losses need, and replaces members that are gone for good.
"""

import attrs

from tamarackhaven._members import Member, Membership, Step

# A voter that is silent for so long is replaced, if another member stands ready. A
# frozen one that comes back later joins again; a shorter time would replace members
# over a slow disk, a longer one leaves the group a loss short.
SILENT_VOTER_TIMEOUT_S = 2.0
# A learner that never catches up is forgotten, so that the list stays short.
SILENT_LEARNER_TIMEOUT_S = 15.0
MIN_VOTERS = 3


def count_required_voters(tolerated_losses):
    """Return how many voters bear the loss of ``tolerated_losses`` at once."""
    return max(2 * tolerated_losses + 1, MIN_VOTERS)


def founders(addresses):
    """Return the membership that all founders start from, whoever starts first.

    Failure: the members that found the group start from different lists. Symptom: two
    groups, each with a leader. Enough: all are told the same addresses at the first
    start, names follow from addresses, and nobody else founds.
    """
    return Membership(
        tuple(Member(f"{host}:{port}", host, port, 0) for host, port in addresses)
    )


@attrs.frozen
class Newcomer:
    """A control VM that asked to join, under a name no other disk ever had."""

    name: str
    host: str
    port: int


@attrs.frozen
class DueChange:
    """A membership change and why it is made."""

    step: Step
    cause: str


def next_change(membership, newcomers, silent_s_by_name, required_voters):
    """Return the change that is due as ``DueChange``, or None.

    Parameters
    ----------
    membership : Membership
        The one in effect.
    newcomers : iterable of Newcomer
        Who asked of late.
    silent_s_by_name : dict of str to float
        For how many seconds each member was not heard; 0 for the leader itself.
    required_voters : int
        Voters that the group should have.
    """
    for newcomer in newcomers:
        due = _admit(membership, newcomer)
        if due is not None:
            return due
    learners = [
        member
        for member in membership.members
        if not member.voter and silent_s_by_name[member.name] < SILENT_VOTER_TIMEOUT_S
    ]
    silent = [
        name
        for name in membership.voters
        if silent_s_by_name[name] > SILENT_VOTER_TIMEOUT_S
    ]
    if learners and len(membership.voters) < required_voters:
        return DueChange(Step("promote", learners[0]), "fewer voters than wanted")
    if learners and silent:
        gone = membership.by_name[max(silent, key=silent_s_by_name.get)]
        return DueChange(
            Step("remove", gone), "silent, and another member stands ready"
        )
    return _remove_silent_learner(membership, silent_s_by_name)


def _admit(membership, newcomer):
    if newcomer.name in membership.by_name:
        return None
    for member in membership.members:
        if (member.host, member.port) == (newcomer.host, newcomer.port):
            # Its disk is gone: another process answers at its address under a new
            # name. It would never vote again, but count for every majority.
            return DueChange(
                Step("remove", member), "its VM came back with an empty disk"
            )
    member = Member(newcomer.name, newcomer.host, newcomer.port, 0, voter=False)
    return DueChange(Step("add", member), "asked to join")


def _remove_silent_learner(membership, silent_s_by_name):
    for member in membership.members:
        if (
            not member.voter
            and silent_s_by_name[member.name] > SILENT_LEARNER_TIMEOUT_S
        ):
            return DueChange(Step("remove", member), "silent learner")
    return None
