"""One election, first as a pre-vote and then for real (Raft thesis, 9.6)."""

from tamarackhaven._raft_messages import PreVote, Vote


class Election:
    """Counts the answers of voters.

    Parameters
    ----------
    core : Core
        The candidate; its own answer counts at once.
    is_pre_vote : bool
        Whether the term is still untouched.
    """

    def __init__(self, core, is_pre_vote):
        self._core = core
        self.is_pre_vote = is_pre_vote
        self._accepted = {core.name}

    @property
    def term(self):
        """The term that is asked for."""
        return self._core.term + 1 if self.is_pre_vote else self._core.term

    @property
    def is_won(self):
        """Whether a majority of the voters in effect has accepted."""
        votes = self._accepted.intersection(self._core.voters)
        return len(votes) >= self._core.quorum

    def ask(self):
        """Ask all other voters."""
        core = self._core
        kind = PreVote if self.is_pre_vote else Vote
        for voter in core.voters:
            if voter == core.name:
                continue
            core.send(
                kind(
                    sender=core.name,
                    receiver=voter,
                    term=self.term,
                    last_index=core.log.last_index,
                    last_term=core.log.last_term,
                )
            )

    def count(self, reply):
        """Count one answer."""
        if reply.accepted:
            self._accepted.add(reply.sender)
