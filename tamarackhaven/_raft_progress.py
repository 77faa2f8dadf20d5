"""Replication progress of one other member, as its leader tracks it."""

import attrs

from tamarackhaven._raft_messages import Snapshot


@attrs.define
class Transfer:
    """State of a snapshot transfer to one member.

    Parameters
    ----------
    snapshot : Snapshot
        Kept until the transfer ends, even if the leader makes a newer one meanwhile.
    offset : int
        Offset in bytes of the first byte that the member hasn't acknowledged.
    sent_at_s : float
        When the chunk at ``offset`` was sent, in seconds.
    """

    snapshot: Snapshot
    offset: int = 0
    sent_at_s: float = float("-inf")

    def next_chunk(self, size):
        """Return at most ``size`` bytes of the snapshot from ``offset`` on."""
        return self.snapshot.data[self.offset : self.offset + size]


@attrs.define
class Progress:
    """Replication state of one member.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send; advances ahead of the replies.
    match_index : int
        Index of the last entry known to be synced on the member.
    replied_at_s : float
        When the member last replied in this term, in seconds.
    acked_round : int
        Newest heartbeat round that it acknowledged.
    rewind_round : int
        Refusals of older rounds are ignored. They reply to messages sent before the
        last rewind, and rewinding for each would send the same entries repeatedly.
    transfer : Transfer or None
        Transfer of the snapshot that it needs before further entries, if any.
    """

    next_index: int
    replied_at_s: float
    match_index: int = 0
    acked_round: int = 0
    rewind_round: int = 0
    transfer: Transfer | None = None

    def advance_match_index(self, index):
        """Record that the member holds all entries up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)

    def rewind(self, hint, current_round):
        """Continue after index ``hint``, because the member refused an append."""
        self.next_index = max(self.match_index, hint) + 1
        self.rewind_round = current_round


def quorum_value(values, quorum):
    """Return the largest value that at least ``quorum`` of ``values`` have reached."""
    ranked = sorted(values, reverse=True)
    return ranked[quorum - 1]
