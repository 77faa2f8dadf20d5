"""Decides which membership change of the control group is due next. Pure.

The group starts from a few configured addresses, grows to the number of voters that the
tolerated losses need, and replaces members that are permanently gone.
"""

import attrs

from tamarackhaven._members import Member, Membership, Step
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A voter that is silent for longer is replaced if a learner is available. A frozen one
# that resumes later joins again. A shorter time would replace members because of a slow
# disk; with a longer one the group would tolerate one loss less in the meantime.
SILENT_VOTER_TIMEOUT_S = 2.0
# A learner that is silent for longer is removed, which bounds the list of members.
SILENT_LEARNER_TIMEOUT_S = 15.0
MIN_VOTERS = 3
# After the start, orders are refused for this long while there are fewer voters than
# the tolerated losses need. Then they're accepted with fewer voters, since a control VM
# may be missing permanently.
FOUNDING_TIMEOUT_S = 20.0
FOUNDING_RETRY_S = 0.2


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


class Founding:
    """Refuses orders while the tolerated losses of disks could undo them.

    A change accepted by three voters is gone if two of them lose their disks. With all
    required voters, a majority keeps it on one disk more than may be lost.

    Parameters
    ----------
    required_voters : int
        As from ``count_required_voters``.
    started_s : float
        When the process started, in seconds of the boot clock.
    """

    def __init__(self, required_voters, started_s):
        self._required_voters = required_voters
        self._started_s = started_s
        self._is_over = False

    def require_voters(self, voters, has_configuration, now):
        """Check that there are enough voters for an order.

        Parameters
        ----------
        voters : int
            How many there are.
        has_configuration : bool
            Whether an order has been accepted already.
        now : float
            Seconds of the boot clock.

        Raises
        ------
        TamarackhavenError
            NO_QUORUM if there are too few voters.
        """
        if self._is_over or has_configuration:
            self._is_over = True
            return
        has_too_few = voters < self._required_voters
        if has_too_few and now - self._started_s < FOUNDING_TIMEOUT_S:
            raise TamarackhavenError(
                ErrorKind.NO_QUORUM,
                f"{voters} of {self._required_voters} required voters",
                FOUNDING_RETRY_S,
            )
        self._is_over = True
