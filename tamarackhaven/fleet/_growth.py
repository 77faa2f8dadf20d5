"""Decides which membership change of the control group is due next. Pure.

The group starts from a few configured addresses, grows to the number of voters that the
tolerated losses need, and replaces members that are permanently gone.

A voter that may be gone keeps its vote until a learner takes it over in one change.
So the group has as many voters in each moment of a repair as before, and a repair that
is interrupted leaves it able to bear what it could bear before.
"""

import attrs

from tamarackhaven._members import Member, Membership, Step
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A voter that is silent for longer is replaced if a learner is available. A frozen one
# that resumes later joins again. A shorter time would replace members because of a slow
# disk; with a longer one the group would tolerate one loss less in the meantime.
SILENT_VOTER_TIMEOUT_S = 2.0
# With fewer learners than silent voters, the successor of a VM that is gone could get
# the vote of one that isn't, and its loss would cost two votes. The replacement waits
# for so long until other VMs are heard.
MAX_AMBIGUOUS_SILENCE_S = 10.0
# A learner that is silent for longer is removed, which bounds the list of members.
SILENT_LEARNER_TIMEOUT_S = 15.0
# A learner is promoted only while it is heard: its vote counts for every majority.
MAX_PROMOTION_SILENCE_S = 1.0
# A late request to join of a VM's former process looks like the request of a new one.
# Only a name that has been silent for several heartbeats is taken for lost.
MIN_LOST_NAME_SILENCE_S = 0.5
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


@attrs.frozen
class GroupView:
    """What a leader knows of its group.

    Parameters
    ----------
    membership : Membership
        The one in effect.
    newcomers : tuple of Newcomer
        Control VMs that asked to join recently.
    silent_s_by_name : dict of str to float
        Seconds since the last message of each member; 0 for the leader itself.
    caught_up : frozenset of str
        Names of the members whose log is complete enough for a vote.
    required_voters : int
        Voters that the group should have.
    """

    membership: Membership
    newcomers: tuple[Newcomer, ...]
    silent_s_by_name: dict[str, float]
    caught_up: frozenset[str]
    required_voters: int

    @property
    def voter_count(self):
        """Number of voters, alive or not."""
        return len(self.membership.voters)

    @property
    def learners(self):
        """Members without a vote, the oldest first."""
        names = set(self.membership.learners)
        return [member for member in self.membership.members if member.name in names]

    @property
    def lost_voters(self):
        """Names of the voters whose disk is lost; they can't vote any more."""
        return [
            member.name
            for member in self.membership.members
            if member.voter and self.has_lost_disk(member)
        ]

    @property
    def silent_voters(self):
        """Names of other voters that are silent, the most silent one first."""
        lost = self.lost_voters
        silent = [
            name
            for name in self.membership.voters
            if self.silent_s_by_name[name] > SILENT_VOTER_TIMEOUT_S and name not in lost
        ]
        return sorted(silent, key=self.silent_s_by_name.get, reverse=True)

    @property
    def candidates(self):
        """Learners that can vote at once."""
        return [
            member
            for member in self.learners
            if member.name in self.caught_up
            and self.silent_s_by_name[member.name] < MAX_PROMOTION_SILENCE_S
            and not self.has_lost_disk(member)
        ]

    def has_lost_disk(self, member):
        """Whether another process uses the member's address, under a newer name."""
        if self.silent_s_by_name[member.name] < MIN_LOST_NAME_SILENCE_S:
            return False
        members = self.membership.members
        newer = members[members.index(member) + 1 :]
        known = self.membership.by_name
        newcomers = [each for each in self.newcomers if each.name not in known]
        return any(
            (each.host, each.port) == (member.host, member.port)
            for each in (*newer, *newcomers)
        )


def next_change(view):
    """Return the change that is due as ``DueChange``, or None.

    Parameters
    ----------
    view : GroupView
        What the leader knows of its group.
    """
    for decide in (
        _finish_replacement,
        _admit,
        _remove_lost_learner,
        _add_missing_voter,
        _replace_voter,
        _remove_voter,
        _remove_silent_learner,
    ):
        due = decide(view)
        if due is not None:
            return due
    return None


def _finish_replacement(view):
    membership = view.membership
    for name in set(membership.former_voters) - set(membership.voters):
        step = Step("finish", membership.by_name[name], name)
        return DueChange(step, "another member votes in its place")
    return None


def _admit(view):
    for newcomer in view.newcomers:
        if newcomer.name not in view.membership.by_name:
            member = Member(newcomer.name, newcomer.host, newcomer.port, 0, voter=False)
            return DueChange(Step("add", member), "asked to join")
    return None


def _remove_lost_learner(view):
    for member in view.learners:
        if view.has_lost_disk(member):
            return DueChange(
                Step("remove", member), "its VM restarted with an empty disk"
            )
    return None


def _add_missing_voter(view):
    if view.voter_count >= view.required_voters or not view.candidates:
        return None
    return DueChange(Step("promote", view.candidates[0]), "fewer voters than required")


def _replace_voter(view):
    candidates = view.candidates
    if not candidates:
        return None
    if view.lost_voters:
        step = Step("replace", candidates[0], view.lost_voters[0])
        return DueChange(step, "its VM restarted with an empty disk")
    silent = view.silent_voters
    if not silent:
        return None
    is_ambiguous = len(candidates) < len(silent)
    if is_ambiguous and view.silent_s_by_name[silent[0]] < MAX_AMBIGUOUS_SILENCE_S:
        return None
    return DueChange(Step("replace", candidates[0], silent[0]), "silent")


def _remove_voter(view):
    """Remove a voter that is gone, if there are too many, or nobody may replace it."""
    has_surplus = view.voter_count > view.required_voters
    gone = view.lost_voters if has_surplus or not view.learners else []
    if has_surplus:
        gone = gone + view.silent_voters
    if not gone:
        return None
    return DueChange(Step("remove", view.membership.by_name[gone[0]]), "gone")


def _remove_silent_learner(view):
    for member in view.learners:
        if view.silent_s_by_name[member.name] > SILENT_LEARNER_TIMEOUT_S:
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
