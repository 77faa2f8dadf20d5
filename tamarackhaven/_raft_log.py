"""In-memory part of the replicated log, and the memberships in its entries."""

import itertools

from tamarackhaven import _codec
from tamarackhaven._members import Membership
from tamarackhaven._raft_messages import EntryKind
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A message over the transport's limit (4 MiB for gRPC) would be refused at every
# retry, and a member that lags behind large commands would never catch up. The
# commands of a batch are at most a quarter of the limit, unless a single entry is
# larger.
MAX_BATCH_BYTES = 1 << 20


class RaftLog:
    """Entries after ``start_index``, which is at or a little before the snapshot.

    Parameters
    ----------
    snapshot : Snapshot
        The newest snapshot; index 0 at a first start.
    entries : sequence of Entry
        The entries after the snapshot, in order.
    """

    def __init__(self, snapshot, entries):
        self._reset(snapshot)
        self._extend(entries)

    def _reset(self, snapshot):
        self.snapshot = snapshot
        self.start_index = snapshot.index
        self._start_term = snapshot.term
        self._entries = []
        self._memberships = [(snapshot.index, snapshot.membership)]

    def _extend(self, entries):
        for entry in entries:
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                membership = _codec.loads(entry.command, Membership)
                self._memberships.append((entry.index, membership))

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.start_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._start_term

    @property
    def membership(self):
        """Newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self):
        """Index of the log entry that holds ``membership``."""
        return self._memberships[-1][0]

    def membership_at(self, index):
        """Return the membership in effect at ``index``."""
        earlier = [held for at, held in self._memberships if at <= index]
        return earlier[-1]

    def term_at(self, index):
        """Return the term of entry ``index``, or -1 if it isn't in memory."""
        if index == self.start_index:
            return self._start_term
        if not self.start_index < index <= self.last_index:
            return -1
        return self._entries[index - self.start_index - 1].term

    def entries_between(self, first, last):
        """Return the entries from index ``first`` to ``last``, both included."""
        start = self.start_index + 1
        return tuple(self._entries[first - start : last - start + 1])

    def batch(self, first, last, limit):
        """Return entries from ``first`` on.

        They are at most ``limit`` entries and ``MAX_BATCH_BYTES`` of commands. The
        first entry is returned even if it is larger.
        """
        entries = self.entries_between(first, min(last, first + limit - 1))
        sizes = itertools.accumulate(len(entry.command) for entry in entries)
        count = sum(1 for size in sizes if size <= MAX_BATCH_BYTES)
        return entries[: max(count, 1)]

    def allows_vote(self, index, term):
        """Return whether a candidate's log is as up to date as this one.

        ``index`` and ``term`` are those of the candidate's last entry.
        """
        return (term, index) >= (self.last_term, self.last_index)

    def append(self, entries):
        """Append entries, which must directly follow the last one."""
        self._extend(entries)

    def truncate(self, last):
        """Drop the entries after index ``last``, with their memberships."""
        del self._entries[last - self.start_index :]
        self._memberships = [pair for pair in self._memberships if pair[0] <= last]

    def merge(self, entries, commit):
        """Merge a leader's entries, which match the log; return those appended.

        Entries that the log holds already are skipped, so that a late duplicate of an
        old message never truncates the log. From the first entry that differs on, the
        log is truncated and replaced.

        Raises
        ------
        TamarackhavenError
            LOG_DAMAGED if a committed entry differs; continuing would lose it.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.start_index:
                continue
            if self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= commit:
                raise TamarackhavenError(
                    ErrorKind.LOG_DAMAGED, f"committed entry {entry.index} differs"
                )
            appended = tuple(entries[position:])
            self.truncate(entry.index - 1)
            self._extend(appended)
            return appended
        return ()

    def conflict_hint(self, index, floor):
        """Return the index to which a leader may rewind after a mismatch at ``index``.

        Skips all entries of the term of the entry at ``index``, so that a leader needs
        one round per term and not one per entry. The result is never below ``floor``,
        up to which the logs are known to match.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > floor and self.term_at(index) == term:
            index -= 1
        return max(index, floor)

    def compact(self, snapshot, keep):
        """Replace the log by ``snapshot``, but retain ``keep`` entries before it.

        With those entries a member that lags a little catches up without a snapshot.
        """
        start = min(max(self.start_index, snapshot.index - keep), snapshot.index)
        term = self.term_at(start)
        del self._entries[: start - self.start_index]
        self.start_index, self._start_term = start, term
        self.snapshot = snapshot
        older = [pair for pair in self._memberships if pair[0] <= snapshot.index]
        newer = [pair for pair in self._memberships if pair[0] > snapshot.index]
        self._memberships = older[-1:] + newer

    def restore(self, snapshot):
        """Replace the log by a leader's snapshot; entries that continue it stay."""
        if self.term_at(snapshot.index) != snapshot.term:
            self._reset(snapshot)
            return
        following = self.entries_between(snapshot.index + 1, self.last_index)
        self._reset(snapshot)
        self._extend(following)
