"""Collects the output of one input to the consensus state machine."""

from tamarackhaven._raft_messages import Output, WriteHardState


class Outbox:
    """Buffers writes, messages, entries and reads until ``take``.

    Parameters
    ----------
    hard_state : HardState
        Term and vote that storage holds already.
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
        """Return the buffered ``Output`` and clear the buffer.

        The hard state is among the writes if it has changed since the last call.
        """
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
