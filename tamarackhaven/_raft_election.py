"""One election round, either a pre-vote or a vote (Raft thesis, 9.6)."""

from tamarackhaven._raft_messages import PreVote, Vote


class Election:
    """Requests the votes of one round and counts them.

    Parameters
    ----------
    core : Core
        The candidate, which counts its own vote at once.
    is_pre_vote : bool
        Whether this is the pre-vote round, which doesn't raise the term.
    """

    def __init__(self, core, is_pre_vote):
        self._core = core
        self.is_pre_vote = is_pre_vote
        self._granted = {core.name}

    @property
    def term(self):
        """Term in which the candidate would lead."""
        return self._core.term + 1 if self.is_pre_vote else self._core.term

    @property
    def is_won(self):
        """Whether a majority of the current voters has granted its vote."""
        return self._core.log.membership.has_majority(self._granted)

    def request_votes(self):
        """Send a vote request to all other voters."""
        core = self._core
        kind = PreVote if self.is_pre_vote else Vote
        for voter in core.electors:
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
        """Record the vote if the reply grants it."""
        if reply.accepted:
            self._granted.add(reply.sender)
