"""Decides which membership change of the control group is due next. Pure.

The group starts from a few configured addresses, grows to the number of voters that the
tolerated losses need, and replaces members that are permanently gone.
"""

import attrs

from tamarackhaven._members import Member, Membership, Step

# A voter that is silent for longer is replaced if a learner is available. A frozen one
# that resumes later joins again. A shorter time would replace members because of a slow
# disk; with a longer one the group would tolerate one loss less in the meantime.
SILENT_VOTER_TIMEOUT_S = 2.0
# A learner that is silent for longer is removed, which bounds the list of members.
SILENT_LEARNER_TIMEOUT_S = 15.0
MIN_VOTERS = 3


def count_required_voters(tolerated_losses):
    """Return how many voters are needed to survive ``tolerated_losses`` at once."""
    return max(2 * tolerated_losses + 1, MIN_VOTERS)


def founders(addresses):
    """Return the first membership of a group, the same for all its founders.

    Founders that started with different memberships would form two groups, each with a
    leader. All founders are configured with the same addresses at the first start, a
    member's name is derived from its address, and no other VM may found a group.
    """
    return Membership(
        tuple(Member(f"{host}:{port}", host, port, 0) for host, port in addresses)
    )


@attrs.frozen
class Newcomer:
    """A control VM that asked to join, under a name never used with another disk."""

    name: str
    host: str
    port: int


@attrs.frozen
class DueChange:
    """A membership change and the reason for it."""

    step: Step
    cause: str


def next_change(membership, newcomers, silent_s_by_name, required_voters):
    """Return the change that is due as ``DueChange``, or None.

    Parameters
    ----------
    membership : Membership
        The one in effect.
    newcomers : iterable of Newcomer
        Control VMs that asked to join recently.
    silent_s_by_name : dict of str to float
        Seconds since the last message of each member; 0 for the leader itself.
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
        return DueChange(Step("promote", learners[0]), "fewer voters than required")
    if learners and silent:
        gone = membership.by_name[max(silent, key=silent_s_by_name.get)]
        return DueChange(Step("remove", gone), "silent, and a learner can replace it")
    return _remove_silent_learner(membership, silent_s_by_name)


def _admit(membership, newcomer):
    if newcomer.name in membership.by_name:
        return None
    for member in membership.members:
        if (member.host, member.port) == (newcomer.host, newcomer.port):
            # The member's disk is lost: another process uses its address under a new
            # name. The old name can't vote any more, but counts for every majority.
            return DueChange(
                Step("remove", member), "its VM restarted with an empty disk"
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
