"""Leader side of one term: replication, commit, and proof that it still leads."""

from tamarackhaven import _codec, _raft_membership
from tamarackhaven._members import Membership, majority
from tamarackhaven._raft_messages import (
    Append,
    Entry,
    EntryKind,
    InstallSnapshot,
    WriteEntries,
)
from tamarackhaven._raft_progress import Progress, Transfer, quorum_value
from tamarackhaven._raft_reads import PendingReads
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# Without a limit, entries sent ahead of the replies of a slow or lost member fill the
# memory of both sides, and all are sent again after one loss. Four batches cover many
# round trips within a region.
MAX_IN_FLIGHT_BATCHES = 4
# A learner's last index may lag by this many batches when it is promoted.
MAX_PROMOTION_LAG_BATCHES = 1


class Leader:
    """Leadership of one member in one term.

    Parameters
    ----------
    core : Core
        The leading member.
    now : float
        Time at which the election was won, in seconds.
    """

    def __init__(self, core, now):
        self._core = core
        self._now = now
        self._round = 0
        self._heartbeat_due_s = now + core.heartbeat_s
        self._resumed_at_s = now
        self._ticked_at_s = now
        self._progress = {}
        self._reads = PendingReads()
        self._append(EntryKind.EMPTY, b"")

    def tick(self, now):
        """Send due heartbeats; return whether a quorum has replied recently."""
        self._now = now
        self._detect_stall()
        # A leader that gets no replies from a quorum, because of a partition or a
        # one-way network failure, would accept changes that never commit while
        # another member leads. It stops after an election timeout; the others start
        # an election only after the same time.
        if not self._has_quorum_contact():
            return False
        if now >= self._heartbeat_due_s:
            self._send_heartbeats()
        return True

    def _detect_stall(self):
        # A sync that takes longer than an election timeout stalls the leader. It sends
        # nothing meanwhile, so it gets no replies, and would step down because of its
        # own pause. It gets one election timeout after it resumes; if another member
        # leads by then, the first reply says so.
        if self._now - self._ticked_at_s > self._core.election_s / 2:
            self._resumed_at_s = self._now
        self._ticked_at_s = self._now

    def _has_quorum_contact(self):
        quorum_reply_at_s = self._quorum_value(
            self._now, lambda progress: progress.replied_at_s
        )
        contact_at_s = max(quorum_reply_at_s, self._resumed_at_s)
        return self._now - contact_at_s <= self._core.election_s

    def _quorum_value(self, own_value, value_of):
        """Return the largest value that a quorum of each electorate has reached."""
        core = self._core
        return min(
            quorum_value(
                [
                    own_value if name == core.name else value_of(self._progress[name])
                    for name in electorate
                ],
                majority(electorate),
            )
            for electorate in core.log.membership.electorates
        )

    # Log entries.

    def propose(self, command):
        """Append a change and return its index."""
        return self._append(EntryKind.CHANGE, command)

    def _append(self, kind, command):
        core = self._core
        entry = Entry(core.log.last_index + 1, core.term, kind, command)
        core.log.append((entry,))
        core.outbox.writes.append(WriteEntries((entry,)))
        self._update_progress_members()
        return entry.index

    def change_membership(self, step):
        """Append a membership change and return its index."""
        core = self._core
        self._check_no_open_change()
        has_caught_up = step.member.name in self.caught_up
        membership = _raft_membership.changed(
            core.log.membership, step, core.log.last_index + 1, has_caught_up
        )
        return self._append(EntryKind.MEMBERSHIP, _codec.dumps(membership, Membership))

    @property
    def caught_up(self):
        """Names of the members whose last index lags by no more than allowed."""
        core = self._core
        max_lag = MAX_PROMOTION_LAG_BATCHES * core.settings.batch_entries
        return frozenset(
            name
            for name, progress in self._progress.items()
            if progress.match_index > 0
            and progress.match_index + max_lag >= core.log.last_index
        )

    def _check_no_open_change(self):
        # If two membership changes are uncommitted at once, or one of an earlier term
        # may be, two majorities can exist without a common voter, and so two leaders.
        # Majorities before and after a single change always share a voter.
        core = self._core
        if core.log.membership_index > core.commit:
            raise TamarackhavenError(
                ErrorKind.MEMBERSHIP_BUSY,
                "another membership change is not committed yet",
                1.0,
            )
        if not self._has_committed_in_term():
            raise TamarackhavenError(
                ErrorKind.MEMBERSHIP_BUSY,
                "the leader has not committed an entry of its term yet",
                1.0,
            )

    def _has_committed_in_term(self):
        return self._core.log.term_at(self._core.commit) == self._core.term

    def _update_progress_members(self):
        core = self._core
        names = set(core.log.membership.by_name) - {core.name}
        for name in sorted(names - set(self._progress)):
            self._progress[name] = Progress(core.synced_index + 1, self._now)
        for name in sorted(set(self._progress) - names):
            del self._progress[name]

    def persisted(self, now):
        """Advance the commit index after a sync, and send the synced entries."""
        self._now = now
        self._advance_commit()
        for name in self._progress:
            self._replicate(name)

    def _advance_commit(self):
        core = self._core
        index = self._quorum_value(
            core.synced_index, lambda progress: progress.match_index
        )
        # An entry of an earlier term can be on a majority and still be overwritten by
        # a member with a newer last term that wins the next election (Raft paper,
        # figure 8); an acknowledged change would be lost. An entry of the current
        # term on a majority keeps every such member from winning.
        if index <= core.commit or core.log.term_at(index) != core.term:
            return
        core.commit_to(index)
        self._reads.set_index(core.commit)
        for name in self._progress:
            self._replicate(name, is_heartbeat=True)
        self._confirm_reads()

    # Replication.

    def _send_heartbeats(self):
        self._round += 1
        self._heartbeat_due_s = self._now + self._core.heartbeat_s
        for name in self._progress:
            self._replicate(name, is_heartbeat=True)

    def _replicate(self, name, is_heartbeat=False):
        """Send the entries or the snapshot that the member lacks.

        With ``is_heartbeat``, an empty message is sent if there is nothing else.
        """
        core = self._core
        progress = self._progress[name]
        if progress.transfer or progress.next_index <= core.log.start_index:
            self._send_snapshot_chunk(name, is_heartbeat)
            return
        has_sent = False
        max_in_flight = MAX_IN_FLIGHT_BATCHES * core.settings.batch_entries
        while (
            progress.next_index <= core.synced_index
            and progress.next_index - progress.match_index <= max_in_flight
        ):
            entries = core.log.batch(
                progress.next_index, core.synced_index, core.settings.batch_entries
            )
            self._send_append(name, entries)
            has_sent = True
        if is_heartbeat and not has_sent:
            self._send_append(name, ())

    def _send_append(self, name, entries):
        core = self._core
        progress = self._progress[name]
        last_index = progress.next_index - 1
        core.send(
            Append(
                sender=core.name,
                receiver=name,
                term=core.term,
                last_index=last_index,
                last_term=core.log.term_at(last_index),
                commit=core.commit,
                round=self._round,
                entries=entries,
            )
        )
        progress.next_index += len(entries)

    def _send_snapshot_chunk(self, name, is_heartbeat):
        core = self._core
        progress = self._progress[name]
        if progress.transfer is None:
            progress.transfer = Transfer(core.log.snapshot)
        transfer = progress.transfer
        # For a member that needs a snapshot and doesn't reply, a full chunk with every
        # heartbeat would saturate the link. A chunk is sent again only after an
        # election timeout; in between, empty ones carry the heartbeat round.
        is_due = self._now - transfer.sent_at_s >= core.election_s
        if not is_due and not is_heartbeat:
            return
        chunk = transfer.next_chunk(core.settings.chunk_bytes) if is_due else b""
        if is_due:
            transfer.sent_at_s = self._now
        snapshot = transfer.snapshot
        core.send(
            InstallSnapshot(
                sender=core.name,
                receiver=name,
                term=core.term,
                last_index=snapshot.index,
                last_term=snapshot.term,
                membership=snapshot.membership,
                offset=transfer.offset,
                chunk=chunk,
                done=transfer.offset + len(chunk) == len(snapshot.data),
                round=self._round,
            )
        )

    # Replies.

    def on_append_reply(self, message, now):
        """Handle a member's reply to entries or a heartbeat."""
        progress = self._record_reply(message, now)
        if progress is None:
            return
        if message.accepted:
            progress.advance_match_index(message.match_index)
            self._advance_commit()
        elif message.round >= progress.rewind_round:
            self._round += 1
            progress.rewind(message.match_index, self._round)
        self._confirm_reads()
        self._replicate(message.sender)

    def on_snapshot_reply(self, message, now):
        """Handle a member's reply to a snapshot chunk."""
        progress = self._record_reply(message, now)
        if progress is None or progress.transfer is None:
            return
        if message.match_index:
            progress.transfer = None
            progress.advance_match_index(message.match_index)
            self._advance_commit()
        elif message.offset != progress.transfer.offset:
            progress.transfer.offset = message.offset
            progress.transfer.sent_at_s = float("-inf")
        self._confirm_reads()
        self._replicate(message.sender)

    def _record_reply(self, message, now):
        """Record a member's reply; return its progress, or None if it was removed."""
        self._now = now
        progress = self._progress.get(message.sender)
        if progress is None:
            return None
        progress.replied_at_s = now
        progress.acked_round = max(progress.acked_round, message.round)
        return progress

    # Linearizable reads.

    def read(self, token, now):
        """Start a heartbeat round that confirms a read."""
        self._now = now
        index = self._core.commit if self._has_committed_in_term() else None
        self._reads.add(token, self._round + 1, index)
        self._send_heartbeats()
        self._confirm_reads()

    def _confirm_reads(self):
        acked = self._quorum_value(self._round, lambda progress: progress.acked_round)
        self._core.outbox.reads.extend(self._reads.take_confirmed(acked))

    def stop(self):
        """End the leadership and drop its reads, which can't be confirmed any more."""
        self._core.outbox.dropped_reads.extend(self._reads.take_all())
