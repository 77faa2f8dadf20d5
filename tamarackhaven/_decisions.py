"""A bounded record of the decisions that ``explain`` returns."""

import collections

import attrs

MAX_DECISIONS = 2000


@attrs.frozen
class Decision:
    """One decision, with the state version and the cause that it is based on.

    Parameters
    ----------
    decision_id : str
        ``v`` and the log index for a committed change, ``p`` and a number for a move
        that the leader's placement decided against.
    version : int
        Version of the state on which it is based.
    at_unix_s : float
        Wall-clock time at the leader, in Unix seconds.
    subject : str
        Name of the service, resource or target that it concerns.
    cause, result : str
        Short sentences.
    shards : list of int
        Shards that it concerns, empty for none.
    """

    decision_id: str
    version: int
    at_unix_s: float
    subject: str
    cause: str
    result: str
    shards: list[int] = attrs.field(factory=list)


class DecisionRecord:
    """The newest decisions, at most ``max_decisions`` of them.

    The record is bounded because an availability zone that repeatedly goes out and
    comes back causes a decision each time, and an unbounded record would exhaust the
    control VM's memory.
    """

    def __init__(self, max_decisions=MAX_DECISIONS):
        self._decisions = collections.deque(maxlen=max_decisions)

    def add(self, decision):
        """Record one decision."""
        self._decisions.append(decision)

    def all(self):
        """Return all recorded decisions, oldest first."""
        return list(self._decisions)

    def find(self, subject="", shard=None, decision_id="", limit=50):
        """Return the newest matching decisions, newest first.

        Parameters
        ----------
        subject : str
            Return only decisions about it; empty for all.
        shard : int or None
            Return only decisions about this shard; None for all.
        decision_id : str
            Return only the decision with this id; empty for all.
        limit : int
            Maximum number of decisions returned.
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
