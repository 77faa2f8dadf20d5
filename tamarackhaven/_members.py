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
    """All members; ``version`` is the index of its log entry, 0 initially."""

    members: tuple[Member, ...]
    version: int = 0

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
        return len(self.voters) // 2 + 1


@attrs.frozen
class Step:
    """One membership change; ``action`` is add, promote or remove."""

    action: str
    member: Member
