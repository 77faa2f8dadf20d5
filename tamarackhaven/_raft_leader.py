"""Leader side of one term: replication, commit, and proof that it still leads."""

from tamarackhaven import _codec, _raft_membership
from tamarackhaven._members import Membership
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

# Load: a member that is slow or gone while others commit. Harm: entries sent ahead
# of its answers fill its memory and ours, and all go again after one loss. Limit:
# four batches cover many round trips within a region.
WINDOW_BATCHES = 4
# A member's last index may be this many batches behind when it is promoted.
CAUGHT_UP_BATCHES = 1


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
        self._heartbeat_due = now + core.heartbeat_s
        self._awake_since = now
        self._ticked_at = now
        self._progress = {}
        self._reads = PendingReads()
        self._append(EntryKind.EMPTY, b"")

    def tick(self, now):
        """Send due heartbeats; return whether a quorum has replied recently."""
        self._now = now
        self._note_stall()
        # A leader that gets no replies from a quorum, because of a partition or a
        # one-way network failure, would accept changes that never commit while
        # another member leads. It stops after an election timeout; the others start
        # an election only after the same time.
        if not self._hears_quorum():
            return False
        if now >= self._heartbeat_due:
            self._heartbeat()
        return True

    def _note_stall(self):
        # A sync that takes longer than an election timeout stalls the leader. It sends
        # nothing meanwhile, so it gets no replies, and would step down because of its
        # own pause. It gets one election timeout from its resumption on; if another
        # member leads by then, the first reply says so.
        if self._now - self._ticked_at > self._core.election_s / 2:
            self._awake_since = self._now
        self._ticked_at = self._now

    def _hears_quorum(self):
        heard = self._quorum_value(self._now, lambda progress: progress.heard_at)
        since = max(heard, self._awake_since)
        return self._now - since <= self._core.election_s

    def _quorum_value(self, own, of_progress):
        """Return the largest value that a quorum of voters has reached."""
        core = self._core
        values = [
            own if name == core.name else of_progress(self._progress[name])
            for name in core.voters
        ]
        return quorum_value(values, core.quorum)

    # Log entries.

    def propose(self, command):
        """Append a change and return its index."""
        return self._append(EntryKind.CHANGE, command)

    def _append(self, kind, command):
        core = self._core
        entry = Entry(core.log.last_index + 1, core.term, kind, command)
        core.log.append((entry,))
        core.outbox.writes.append(WriteEntries((entry,)))
        self._follow_membership()
        return entry.index

    def change_membership(self, step):
        """Append a membership change and return its index."""
        core = self._core
        self._refuse_second_change()
        progress = self._progress.get(step.member.name)
        behind = CAUGHT_UP_BATCHES * core.settings.batch_entries
        has_caught_up = (
            progress is not None
            and progress.match_index > 0
            and progress.match_index + behind >= core.log.last_index
        )
        membership = _raft_membership.changed(
            core.log.membership, step, core.log.last_index + 1, has_caught_up
        )
        return self._append(EntryKind.MEMBERSHIP, _codec.dumps(membership, Membership))

    def _refuse_second_change(self):
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

    def _follow_membership(self):
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
        index = self._quorum_value(core.synced_index, lambda each: each.match_index)
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

    def _heartbeat(self):
        self._round += 1
        self._heartbeat_due = self._now + self._core.heartbeat_s
        for name in self._progress:
            self._replicate(name, is_heartbeat=True)

    def _replicate(self, name, is_heartbeat=False):
        """Send the entries or the snapshot that the member lacks.

        With ``is_heartbeat``, an empty message is sent if there is nothing else.
        """
        core = self._core
        progress = self._progress[name]
        if progress.transfer or progress.next_index <= core.log.start_index:
            self._send_piece(name, is_heartbeat)
            return
        was_sent = False
        window = WINDOW_BATCHES * core.settings.batch_entries
        while (
            progress.next_index <= core.synced_index
            and progress.next_index - progress.match_index <= window
        ):
            entries = core.log.batch(
                progress.next_index, core.synced_index, core.settings.batch_entries
            )
            self._send_append(name, entries)
            was_sent = True
        if is_heartbeat and not was_sent:
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

    def _send_piece(self, name, is_heartbeat):
        core = self._core
        progress = self._progress[name]
        if progress.transfer is None:
            progress.transfer = Transfer(core.log.snapshot)
        transfer = progress.transfer
        # For a member that needs a snapshot and doesn't reply, a full chunk with every
        # heartbeat would saturate the link. A chunk is sent again only after an
        # election timeout; in between, empty ones carry the heartbeat round.
        is_due = self._now - transfer.sent_at >= core.election_s
        if not is_due and not is_heartbeat:
            return
        chunk = transfer.piece(core.settings.chunk_bytes) if is_due else b""
        if is_due:
            transfer.sent_at = self._now
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
        progress = self._heard(message, now)
        if progress is None:
            return
        if message.accepted:
            progress.matched(message.match_index)
            self._advance_commit()
        elif message.round >= progress.backoff_round:
            self._round += 1
            progress.back_off(message.match_index, self._round)
        self._confirm_reads()
        self._replicate(message.sender)

    def on_snapshot_reply(self, message, now):
        """Handle a member's reply to a snapshot chunk."""
        progress = self._heard(message, now)
        if progress is None or progress.transfer is None:
            return
        if message.match_index:
            progress.transfer = None
            progress.matched(message.match_index)
            self._advance_commit()
        elif message.offset != progress.transfer.offset:
            progress.transfer.offset = message.offset
            progress.transfer.sent_at = float("-inf")
        self._confirm_reads()
        self._replicate(message.sender)

    def _heard(self, message, now):
        """Record a member's reply; return its progress, or None if it was removed."""
        self._now = now
        progress = self._progress.get(message.sender)
        if progress is None:
            return None
        progress.heard_at = now
        progress.acked_round = max(progress.acked_round, message.round)
        return progress

    # Linearizable reads.

    def read(self, token, now):
        """Start a heartbeat round that confirms a read."""
        self._now = now
        index = self._core.commit if self._has_committed_in_term() else None
        self._reads.add(token, self._round + 1, index)
        self._heartbeat()
        self._confirm_reads()

    def _confirm_reads(self):
        acked = self._quorum_value(self._round, lambda each: each.acked_round)
        self._core.outbox.reads.extend(self._reads.take_confirmed(acked))

    def stop(self):
        """End the leadership and drop its reads, which can't be confirmed any more."""
        self._core.outbox.dropped_reads.extend(self._reads.take_all())
