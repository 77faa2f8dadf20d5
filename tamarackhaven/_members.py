"""The members of the consensus group, as the replicated log has them."""

import attrs


@attrs.frozen
class Member:
    """One member.

    Parameters
    ----------
    name : str
        Its name; a VM whose disk was lost comes back under a new one.
    host : str
        IP address.
    port, lease_port : int
        TCP port for calls, UDP port for lease renewals.
    voter : bool
        False while it is a learner that still catches up.
    """

    name: str
    host: str
    port: int
    lease_port: int
    voter: bool = True


@attrs.frozen
class Membership:
    """All members; ``version`` is the index of its log entry, 0 for the first one."""

    members: tuple[Member, ...]
    version: int = 0

    @property
    def by_name(self):
        """Members by name."""
        return {member.name: member for member in self.members}

    @property
    def voters(self):
        """Names of the voters, sorted."""
        return sorted(member.name for member in self.members if member.voter)

    @property
    def quorum(self):
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1


@attrs.frozen
class Step:
    """One change of membership: ``action`` is add, promote or remove."""

    action: str
    member: Member
