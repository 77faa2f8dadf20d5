"""Futures of the requests that wait for a log entry or a linearizable read."""

import itertools

import attrs

from tamarackhaven._raft_messages import ReadReady
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_QUORUM_RETRY_AFTER_S = 0.1


@attrs.frozen
class _Proposal:
    term: int
    future: object


class PendingRequests:
    """Pending futures of one member; used on the member's thread only."""

    def __init__(self):
        self._proposal_by_index = {}
        self._futures_by_token = {}
        self._new_reads = []
        self._confirmed_reads = []
        self._last_token = 0

    @property
    def proposal_count(self):
        """Number of entries with a pending future."""
        return len(self._proposal_by_index)

    def add_proposal(self, index, term, future):
        """Let ``future`` wait for entry ``index`` of ``term``."""
        self._proposal_by_index[index] = _Proposal(term, future)

    def complete_proposal(self, entry, result):
        """Complete the future that waits for a committed entry with ``result``."""
        proposal = self._proposal_by_index.pop(entry.index, None)
        if proposal is None:
            return
        # Another leader's entry may have the same index; the caller would get the
        # outcome of another change. Index and term together identify one entry.
        if proposal.term == entry.term:
            proposal.future.set_result(result)
        else:
            proposal.future.set_exception(_unconfirmed_error())

    def fail_other_terms(self, term):
        """Fail the futures of entries of other terms than ``term``.

        Their outcome is unknown to this member, which no longer leads in their term.
        """
        outdated = [
            index
            for index, proposal in self._proposal_by_index.items()
            if proposal.term != term
        ]
        for index in outdated:
            self._proposal_by_index.pop(index).future.set_exception(
                _unconfirmed_error()
            )

    @property
    def has_new_reads(self):
        """Whether reads are pending for which no heartbeat round was started."""
        return bool(self._new_reads)

    def add_read(self, future):
        """Let a read wait for the next heartbeat round."""
        self._new_reads.append(future)

    def start_read_round(self):
        """Return one token for all new reads, which one heartbeat round confirms."""
        self._last_token += 1
        self._futures_by_token[self._last_token] = self._new_reads
        self._new_reads = []
        return self._last_token

    def confirm_read(self, ready: ReadReady):
        """Record the index that confirmed reads have to wait for."""
        self._confirmed_reads.append(ready)

    def complete_reads(self, applied):
        """Complete the confirmed reads whose index is at most ``applied``."""
        for ready in self._confirmed_reads:
            if ready.index <= applied:
                for future in self._futures_by_token.pop(ready.token):
                    future.set_result(applied)
        self._confirmed_reads = [
            ready for ready in self._confirmed_reads if ready.index > applied
        ]

    def fail_reads(self, tokens):
        """Fail reads that can't be confirmed with NO_QUORUM."""
        for token in tokens:
            for future in self._futures_by_token.pop(token):
                future.set_exception(
                    TamarackhavenError(
                        ErrorKind.NO_QUORUM,
                        "this member is not the leader",
                        NO_QUORUM_RETRY_AFTER_S,
                    )
                )

    def fail_all(self, error):
        """Fail all futures: reads with ``error``, entries with CHANGE_UNCONFIRMED.

        An entry in the log may have reached other members, or this disk despite a
        failed sync, so an error that denies that it ran could be wrong.
        """
        self.start_read_round()
        for future in itertools.chain.from_iterable(self._futures_by_token.values()):
            future.set_exception(error)
        self._futures_by_token.clear()
        self._confirmed_reads.clear()
        for proposal in self._proposal_by_index.values():
            proposal.future.set_exception(_unconfirmed_error(str(error)))
        self._proposal_by_index.clear()


def _unconfirmed_error(detail="this member lost the leadership"):
    return TamarackhavenError(ErrorKind.CHANGE_UNCONFIRMED, detail)
