"""The record of decisions that ``explain`` reads, bounded in size."""

import collections

import attrs

DECISIONS_KEPT = 2000


@attrs.frozen
class Decision:
    """One decision, with what it was made from.

    Parameters
    ----------
    decision_id : str
        ``v`` and the log index for what was committed, ``p`` and a number for what
        the leader's placement decided not to do.
    version : int
        Version of the state that it was made from.
    at_unix_s : float
        Wall-clock time at the leader, in seconds.
    subject : str
        What it is about: a service, a resource or a target.
    cause, result : str
        Short sentences.
    shards : list of int
        Shards that it is about, empty for none.
    """

    decision_id: str
    version: int
    at_unix_s: float
    subject: str
    cause: str
    result: str
    shards: list[int] = attrs.field(factory=list)


class DecisionRecord:
    """The newest decisions, at most ``kept`` of them.

    A bound is needed: an availability zone that comes and goes makes a decision for
    each step, and an unbounded record would end in a control VM without memory.
    """

    def __init__(self, kept=DECISIONS_KEPT):
        self._decisions = collections.deque(maxlen=kept)

    def add(self, decision):
        """Record one decision."""
        self._decisions.append(decision)

    def all(self):
        """Return all kept decisions, oldest first."""
        return list(self._decisions)

    def find(self, subject="", shard=None, decision_id="", limit=50):
        """Return the newest matching decisions, newest first.

        Parameters
        ----------
        subject : str
            Only decisions about it; empty for all.
        shard : int or None
            Only decisions about this shard.
        decision_id : str
            Only the decision of this name.
        limit : int
            Most decisions returned.
        """
        found = []
        for decision in reversed(self._decisions):
            if subject and decision.subject != subject:
                continue
            if shard is not None and shard not in decision.shards:
                continue
            if decision_id and decision.decision_id != decision_id:
                continue
            found.append(decision)
            if len(found) == limit:
                break
        return found
