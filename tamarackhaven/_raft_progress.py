"""What a leader knows about one other member, and how it sends a snapshot."""

import attrs

from tamarackhaven._raft_messages import Snapshot


@attrs.define
class Transfer:
    """A snapshot on its way to one member.

    Parameters
    ----------
    snapshot : Snapshot
        Held until the end, even if the leader makes a newer one meanwhile.
    offset : int
        First byte that the member hasn't confirmed.
    sent_at : float
        When the piece at ``offset`` was sent, in seconds.
    """

    snapshot: Snapshot
    offset: int = 0
    sent_at: float = float("-inf")

    def piece(self, size):
        """Return the bytes of the piece at ``offset``."""
        return self.snapshot.data[self.offset : self.offset + size]


@attrs.define
class Progress:
    """How far one member has come.

    Parameters
    ----------
    next_index : int
        First entry to send next; moves ahead of the answers.
    match_index : int
        Last entry known to be synced there.
    heard_at : float
        When it last answered in this term, in seconds.
    acked_round : int
        Newest heartbeat round that it answered.
    backoff_round : int
        Refusals of older rounds are void: they answer messages sent before the last
        step back, and following each would send the same entries again for each.
    transfer : Transfer or None
        The snapshot that it needs first, if any.
    """

    next_index: int
    heard_at: float
    match_index: int = 0
    acked_round: int = 0
    backoff_round: int = 0
    transfer: Transfer | None = None

    def matched(self, index):
        """Note that the member holds everything up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)

    def back_off(self, hint, current_round):
        """Go on from ``hint``, as the member refused an append."""
        self.next_index = max(self.match_index, hint) + 1
        self.backoff_round = current_round


def quorum_value(values, quorum):
    """Return the largest value that at least ``quorum`` of ``values`` reach."""
    ranked = sorted(values, reverse=True)
    return ranked[quorum - 1]
