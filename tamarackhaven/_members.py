"""Membership of the consensus group, as the replicated log records it."""

import attrs


@attrs.frozen
class Member:
    """One member of the consensus group.

    Parameters
    ----------
    name : str
        Unique name; a VM whose disk was lost has to rejoin under a new name.
    host : str
        IP address.
    port, lease_port : int
        TCP port for calls, UDP port for lease renewals.
    voter : bool
        False while it is a learner that is still catching up.
    """

    name: str
    host: str
    port: int
    lease_port: int
    voter: bool = True


@attrs.frozen
class Membership:
    """All members, and who of them votes.

    Parameters
    ----------
    members : tuple of Member
        Voters and learners, the oldest first.
    version : int
        Index of its log entry, 0 initially.
    former_voters : tuple of str
        While a voter is being replaced, the voters before that, sorted; else empty.
        Until the replacement has ended, a majority of them is needed as well.
    """

    members: tuple[Member, ...]
    version: int = 0
    former_voters: tuple[str, ...] = ()

    @property
    def by_name(self):
        """Members by their names."""
        return {member.name: member for member in self.members}

    @property
    def voters(self):
        """Names of the voters, sorted."""
        return sorted(member.name for member in self.members if member.voter)

    @property
    def quorum(self):
        """Number of voters in a majority."""
        return majority(self.voters)

    @property
    def electorates(self):
        """The groups of names of each of which a majority is needed."""
        if self.former_voters:
            return self.voters, list(self.former_voters)
        return (self.voters,)

    @property
    def electors(self):
        """Names of all that have a vote now, sorted."""
        return sorted({*self.voters, *self.former_voters})

    @property
    def learners(self):
        """Names of the members without any vote, sorted."""
        return sorted(set(self.by_name) - set(self.electors))

    def has_majority(self, names):
        """Whether ``names`` include a majority of each electorate."""
        return all(
            len(names & set(electorate)) >= majority(electorate)
            for electorate in self.electorates
        )


@attrs.frozen
class Step:
    """One membership change.

    Parameters
    ----------
    action : str
        ``add`` a learner, ``promote`` it, ``remove`` a member, ``replace`` a voter by
        a learner, or ``finish`` that replacement.
    member : Member
        The one that is added, promoted or removed; the new voter of a replacement.
    replaced : str
        Name of the voter that is replaced.
    """

    action: str
    member: Member
    replaced: str = ""


def majority(names):
    """Return how many of ``names`` are a majority of them."""
    return len(names) // 2 + 1
