"""Collects what one input to the consensus state machine leads to."""

from tamarackhaven._raft_messages import Output, WriteHardState


class Outbox:
    """Gathers writes, messages, entries and reads until ``take``.

    Parameters
    ----------
    hard_state : HardState
        What storage holds already.
    """

    def __init__(self, hard_state):
        self._hard_state = hard_state
        self._clear()

    def _clear(self):
        self.writes = []
        self.messages = []
        self.committed = []
        self.reads = []
        self.dropped_reads = []
        self.restored = None

    def take(self, hard_state):
        """Return the ``Output``, with the hard state if it has changed."""
        writes = tuple(self.writes)
        if hard_state != self._hard_state:
            writes = (WriteHardState(hard_state), *writes)
            self._hard_state = hard_state
        output = Output(
            writes=writes,
            messages=tuple(self.messages),
            committed=tuple(self.committed),
            restored=self.restored,
            reads=tuple(self.reads),
            dropped_reads=tuple(self.dropped_reads),
        )
        self._clear()
        return output
