"""What a leader does in one term: replicate, commit, confirm that it still leads."""

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
    """One term of leadership.

    Parameters
    ----------
    core : Core
        The leading member.
    now : float
        Time of the election's end, in seconds.
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
        """Send heartbeats that are due; tell whether a quorum was heard of late."""
        self._now = now
        self._note_stall()
        # Failure: a leader hears no quorum, for a one-way cut or a partition.
        # Symptom: it would accept changes that never commit while another leads.
        # Enough: others elect only after the same time, so it has stopped by then.
        if not self._hears_quorum():
            return False
        if now >= self._heartbeat_due:
            self._heartbeat()
        return True

    def _note_stall(self):
        # Load: a sync that takes longer than an election timeout. Harm: a leader that
        # stood still sent nothing that could be answered, and would give up the lead
        # for its own silence. Limit: one election timeout from its waking on; if
        # another leads by then, the first answer says so.
        if self._now - self._ticked_at > self._core.election_s / 2:
            self._awake_since = self._now
        self._ticked_at = self._now

    def _hears_quorum(self):
        heard = self._quorum_value(self._now, lambda progress: progress.heard_at)
        since = max(heard, self._awake_since)
        return self._now - since <= self._core.election_s

    def _quorum_value(self, own, of_progress):
        """Return the largest value that a quorum of voters reaches."""
        core = self._core
        values = [
            own if name == core.name else of_progress(self._progress[name])
            for name in core.voters
        ]
        return quorum_value(values, core.quorum)

    # Entries.

    def propose(self, command):
        """Append a change; return its index."""
        return self._append(EntryKind.CHANGE, command)

    def _append(self, kind, command):
        core = self._core
        entry = Entry(core.log.last_index + 1, core.term, kind, command)
        core.log.append((entry,))
        core.outbox.writes.append(WriteEntries((entry,)))
        self._follow_membership()
        return entry.index

    def change_membership(self, step):
        """Append a membership change; return its index."""
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
        # Failure: two changes are open at once, or one from an earlier term may be.
        # Symptom: two majorities without a common voter, so two leaders. Enough: one
        # committed change more or less always leaves a common voter.
        core = self._core
        if core.log.membership_index > core.commit:
            raise TamarackhavenError(
                ErrorKind.MEMBERSHIP_BUSY, "another change is not committed yet", 1.0
            )
        if not self._has_committed_in_term():
            raise TamarackhavenError(
                ErrorKind.MEMBERSHIP_BUSY, "the leader is too new", 1.0
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
        """Go on after a sync: count the own log, send what is new."""
        self._now = now
        self._advance_commit()
        for name in self._progress:
            self._replicate(name)

    def _advance_commit(self):
        core = self._core
        index = self._quorum_value(core.synced_index, lambda each: each.match_index)
        # Failure: an entry of an earlier term is on a majority, and a member with a
        # newer last term still wins the next election and overwrites it (Raft paper,
        # figure 8). Symptom: an acknowledged change is gone. Enough: an entry of the
        # own term on a majority keeps every such member from winning.
        if index <= core.commit or core.log.term_at(index) != core.term:
            return
        core.commit_to(index)
        self._reads.set_index(core.commit)
        for name in self._progress:
            self._replicate(name, is_heartbeat=True)
        self._confirm_reads()

    # Sending.

    def _heartbeat(self):
        self._round += 1
        self._heartbeat_due = self._now + self._core.heartbeat_s
        for name in self._progress:
            self._replicate(name, is_heartbeat=True)

    def _replicate(self, name, is_heartbeat=False):
        """Send what the member lacks; an empty message if there is nothing."""
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
        # Load: a member that needs a snapshot and does not answer. Harm: a full piece
        # at every heartbeat fills the link. Limit: the piece goes again only after an
        # election timeout; between, an empty one keeps the round going.
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

    # Answers.

    def on_append_reply(self, message, now):
        """Take in a member's answer to entries or a heartbeat."""
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
        """Take in a member's answer to a piece of a snapshot."""
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
        """Note that a member answered; return its progress, None if it is removed."""
        self._now = now
        progress = self._progress.get(message.sender)
        if progress is None:
            return None
        progress.heard_at = now
        progress.acked_round = max(progress.acked_round, message.round)
        return progress

    # Reads.

    def read(self, token, now):
        """Start a round of heartbeats that confirms a read."""
        self._now = now
        index = self._core.commit if self._has_committed_in_term() else None
        self._reads.add(token, self._round + 1, index)
        self._heartbeat()
        self._confirm_reads()

    def _confirm_reads(self):
        acked = self._quorum_value(self._round, lambda each: each.acked_round)
        self._core.outbox.reads.extend(self._reads.take_confirmed(acked))

    def stop(self):
        """End the leadership: its reads can't be confirmed any more."""
        self._core.outbox.dropped_reads.extend(self._reads.take_all())
