"""Logs and counts who is in the control group, as one control VM knows it."""

from tamarackhaven._raft import Role


class GroupLog:
    """Logs changes of the group's members and sets the gauges of the group.

    A group that is short of voters serves as before, until the next loss ends it. So
    each control VM says how many voters there are, and the leader how many of them it
    hears.

    Parameters
    ----------
    required_voters : int
        Voters that the group should have.
    log : Log
        Log of the part ``control``.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, required_voters, log, metrics):
        self._required_voters = required_voters
        self._log = log
        self._metrics = metrics
        self._logged = None

    def record(self, status, silent_voters):
        """Log the members if they have changed, and set the gauges.

        Parameters
        ----------
        status : Status
            Of this VM's consensus member.
        silent_voters : tuple of str
            Names of the voters that this VM, as the leader, doesn't hear; empty for
            the others.
        """
        membership = status.membership
        self._log_change(membership, status.commit, silent_voters)
        gauge = self._metrics.gauge
        gauge("tamarackhaven_group_voters", len(membership.voters))
        gauge("tamarackhaven_group_required_voters", self._required_voters)
        gauge("tamarackhaven_group_silent_voters", len(silent_voters))
        gauge("tamarackhaven_group_learners", len(membership.learners))
        gauge("tamarackhaven_group_term", status.term)
        gauge("tamarackhaven_group_commit", status.commit)
        gauge("tamarackhaven_group_leads", int(status.role is Role.LEADER))
        gauge("tamarackhaven_group_has_leader", int(bool(status.leader)))
        gauge("tamarackhaven_group_votes", int(status.name in membership.electors))

    def _log_change(self, membership, commit, silent_voters):
        is_committed = membership.version <= commit
        present = (membership, is_committed, silent_voters)
        if present == self._logged:
            return
        self._logged = present
        self._log.say(
            "members",
            voters=membership.voters,
            former_voters=list(membership.former_voters),
            learners=membership.learners,
            silent=list(silent_voters),
            required=self._required_voters,
            index=membership.version,
            committed=is_committed,
        )
