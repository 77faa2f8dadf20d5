"""Linearizable reads that wait for a round of heartbeats (Raft thesis, 6.4)."""

import attrs

from tamarackhaven._raft_messages import ReadReady


@attrs.define
class _Read:
    token: int
    round: int
    index: int | None


class PendingReads:
    """Pending reads in order of arrival."""

    def __init__(self):
        self._reads = []

    def add(self, token, round_number, index):
        """Add a read that ``round_number`` confirms; ``index`` is None if unknown."""
        self._reads.append(_Read(token, round_number, index))

    def set_index(self, index):
        """Set ``index`` for the reads that arrived before the term's first commit."""
        for read in self._reads:
            if read.index is None:
                read.index = index

    def take_confirmed(self, round_number):
        """Remove and return the reads that ``round_number`` confirms."""
        ready = [
            ReadReady(read.token, read.index)
            for read in self._reads
            if read.index is not None and read.round <= round_number
        ]
        taken = {item.token for item in ready}
        self._reads = [read for read in self._reads if read.token not in taken]
        return ready

    def take_all(self):
        """Remove all reads and return their tokens."""
        tokens = [read.token for read in self._reads]
        self._reads = []
        return tokens
