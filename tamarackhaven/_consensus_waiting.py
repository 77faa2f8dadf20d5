"""Who waits for which log entry, and for which linearizable read."""

import itertools

import attrs

from tamarackhaven._raft_messages import ReadReady
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_QUORUM_RETRY_S = 0.1


@attrs.frozen
class _Proposal:
    term: int
    future: object


class Waiting:
    """The open futures of one member; used by its thread only."""

    def __init__(self):
        self._proposal_by_index = {}
        self._futures_by_token = {}
        self._new_reads = []
        self._ready = []
        self._token = 0

    @property
    def entry_count(self):
        """Number of entries that someone waits for."""
        return len(self._proposal_by_index)

    def add_entry(self, index, term, future):
        """Wait for entry ``index`` of ``term``."""
        self._proposal_by_index[index] = _Proposal(term, future)

    def finish_entry(self, entry, result):
        """Answer whoever waits for a committed entry."""
        proposal = self._proposal_by_index.pop(entry.index, None)
        if proposal is None:
            return
        # Failure: another leader's entry took the index. Symptom: a caller would get
        # the outcome of another's change. Enough: index and term name one entry.
        if proposal.term == entry.term:
            proposal.future.set_result(result)
        else:
            proposal.future.set_exception(_unconfirmed())

    def leave_terms_but(self, term):
        """Answer those whose entry this member no longer follows as a leader."""
        left = [
            index
            for index, proposal in self._proposal_by_index.items()
            if proposal.term != term
        ]
        for index in left:
            self._proposal_by_index.pop(index).future.set_exception(_unconfirmed())

    @property
    def has_new_reads(self):
        """Whether reads wait that no round was started for."""
        return bool(self._new_reads)

    def add_read(self, future):
        """Let a read wait for the next round."""
        self._new_reads.append(future)

    def start_reads(self):
        """Return a token for all new reads, which one round confirms."""
        self._token += 1
        self._futures_by_token[self._token] = self._new_reads
        self._new_reads = []
        return self._token

    def confirm_read(self, ready: ReadReady):
        """Note the index that a read has to wait for."""
        self._ready.append(ready)

    def finish_reads(self, applied):
        """Answer the confirmed reads whose index is applied."""
        for ready in self._ready:
            if ready.index <= applied:
                for future in self._futures_by_token.pop(ready.token):
                    future.set_result(applied)
        self._ready = [ready for ready in self._ready if ready.index > applied]

    def drop_reads(self, tokens):
        """Refuse reads that can't be confirmed."""
        for token in tokens:
            for future in self._futures_by_token.pop(token):
                future.set_exception(
                    TamarackhavenError(
                        ErrorKind.NO_QUORUM, "not the leader", NO_QUORUM_RETRY_S
                    )
                )

    def fail_all(self, error):
        """Answer all: reads with ``error``, entries with CHANGE_UNCONFIRMED.

        An entry in the log may have reached others, or this disk in spite of a failed
        sync; to answer with a kind that says it did not run could be untrue.
        """
        self.start_reads()
        for future in itertools.chain.from_iterable(self._futures_by_token.values()):
            future.set_exception(error)
        self._futures_by_token.clear()
        self._ready.clear()
        for proposal in self._proposal_by_index.values():
            proposal.future.set_exception(_unconfirmed(str(error)))
        self._proposal_by_index.clear()


def _unconfirmed(detail="leadership was lost"):
    return TamarackhavenError(ErrorKind.CHANGE_UNCONFIRMED, detail)
