"""Raft state machine of one member of the consensus group, without input or output.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
(2014), and Ongaro's thesis for pre-vote, check-quorum, learners and read index.
"""

import enum
import functools

from tamarackhaven import _raft_follower
from tamarackhaven._raft_core import Core, mark_synced
from tamarackhaven._raft_election import Election
from tamarackhaven._raft_leader import Leader
from tamarackhaven._raft_log import RaftLog
from tamarackhaven._raft_messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    PreVote,
    PreVoteReply,
    Snapshot,
    Vote,
    VoteReply,
    WriteSnapshot,
)
from tamarackhaven._raft_outbox import Outbox
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# ``snapshot_entries`` divided by this is the number of entries retained before a
# snapshot, so that members that lag only a little don't need the snapshot.
RETAINED_ENTRIES_DIVISOR = 4


class Role(enum.Enum):
    """Present role of a member in its consensus group."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"  # has no vote, or isn't a member


class Raft:
    """Raft state machine of one member.

    Each method takes the time and returns an ``Output``. The driver processes it
    completely and in order before it sends any message of a later output.

    Parameters
    ----------
    name : str
        This member's name.
    settings : RaftSettings
        Timings and sizes.
    hard_state : HardState
        As recovered from storage.
    snapshot : Snapshot
        As recovered; index 0 with the initial membership at a first start.
    entries : sequence of Entry
        The entries after the snapshot, as recovered.
    now : float
        Time in seconds, from any origin.
    rng : random.Random
        Randomizes the election timeouts; only ``random()`` is called.
    """

    def __init__(self, name, settings, hard_state, snapshot, entries, now, rng):
        log = RaftLog(snapshot, entries)
        self._outbox = Outbox(hard_state)
        self._core = Core(name, settings, hard_state, log, self._outbox)
        self._rng = rng
        self._now = now
        self._leader_contact_at_s = float("-inf")
        self._election = None
        self._leadership = None
        self._receiver = _raft_follower.SnapshotReceiver()
        self._start_election_timer()

    # Public state.

    @property
    def role(self):
        """Present ``Role`` of this member."""
        if self._leadership:
            return Role.LEADER
        if not self._is_voter:
            return Role.LEARNER
        return Role.CANDIDATE if self._election else Role.FOLLOWER

    @property
    def leader(self):
        """Name of the leader, or empty if none is known."""
        return self._core.leader

    @property
    def term(self):
        """Current term."""
        return self._core.term

    @property
    def commit(self):
        """Index of the last committed entry."""
        return self._core.commit

    @property
    def last_index(self):
        """Index of the last entry."""
        return self._core.log.last_index

    @property
    def membership(self):
        """Membership in effect, committed or not."""
        return self._core.log.membership

    @property
    def caught_up(self):
        """Names of the members that may be promoted; empty if this one doesn't lead."""
        return self._leadership.caught_up if self._leadership else frozenset()

    @property
    def snapshot_index(self):
        """Index of the newest snapshot."""
        return self._core.log.snapshot.index

    def snapshot_at(self, index, data):
        """Return a ``Snapshot`` of the state ``data``, applied up to ``index``."""
        log = self._core.log
        return Snapshot(index, log.term_at(index), log.membership_at(index), data)

    # Inputs.

    def tick(self, now):
        """Run what is due at ``now``: heartbeats, check-quorum, elections."""
        self._now = now
        if self._leadership:
            if not self._leadership.tick(now):
                self._become_follower(leader="")
        elif now >= self._election_due_s:
            self._on_election_timeout()
        return self._take_output()

    def _on_election_timeout(self):
        """Start an election, or as a member without a vote forget the silent leader.

        A learner that was removed while it was cut off gets no more messages. As long
        as it took the sender of the last one for its leader, it wouldn't ask to join
        again.
        """
        if self._is_voter:
            self._campaign(is_pre_vote=True)
        elif self._core.leader:
            self._become_follower(leader="")

    def step(self, message, now):
        """Handle one message from another member."""
        self._now = now
        if message.receiver == self._core.name and self._reconcile_term(message):
            self._handle(message)
        return self._take_output()

    def propose(self, command, now):
        """Append a change to the log.

        Returns
        -------
        tuple of (int, int, Output)
            Index and term of the entry. It is committed only once an entry with
            both the same index and the same term is committed.

        Raises
        ------
        TamarackhavenError
            NO_QUORUM if this member isn't the leader.
        """
        self._now = now
        index = self._require_leadership().propose(command)
        return index, self._core.term, self._take_output()

    def change_membership(self, step, now):
        """Append one membership change, which is in effect at once; see ``propose``.

        Raises
        ------
        TamarackhavenError
            NO_QUORUM if this member isn't the leader; MEMBERSHIP_BUSY while another
            change is uncommitted or a learner hasn't caught up; ALREADY_EXISTS,
            NOT_FOUND or INVALID_RESOURCE if the step doesn't fit the membership.
        """
        self._now = now
        index = self._require_leadership().change_membership(step)
        return index, self._core.term, self._take_output()

    def read(self, token, now):
        """Request the index that a linearizable read has to wait for.

        The output of this or a later input holds ``token`` in ``reads`` or in
        ``dropped_reads``.
        """
        self._now = now
        if self._leadership:
            self._leadership.read(token, now)
        else:
            self._outbox.dropped_reads.append(token)
        return self._take_output()

    def persisted(self, output_writes, now):
        """Record that ``output_writes`` are synced to disk."""
        self._now = now
        for write in output_writes:
            mark_synced(write, self._core)
        if self._leadership:
            self._leadership.persisted(now)
        return self._take_output()

    def compact(self, snapshot):
        """Replace the log up to ``snapshot``, which holds the applied state."""
        core = self._core
        if snapshot.index > core.log.snapshot.index:
            core.log.compact(
                snapshot, core.settings.snapshot_entries // RETAINED_ENTRIES_DIVISOR
            )
            self._outbox.writes.append(WriteSnapshot(snapshot))
        return self._take_output()

    def _take_output(self):
        return self._outbox.take(self._core.hard_state)

    def _require_leadership(self):
        if not self._leadership:
            leader = self._core.leader or "none known"
            raise TamarackhavenError(ErrorKind.NO_QUORUM, f"leader: {leader}", 0.1)
        return self._leadership

    # Role changes.

    @property
    def _is_voter(self):
        return self._core.name in self._core.electors

    def _has_leader_contact(self):
        is_recent = self._now - self._leader_contact_at_s < self._core.election_s
        return self._leadership is not None or is_recent

    def _start_election_timer(self):
        """Set the election timeout after a start, which may be shorter than later ones.

        When all members start at once there is no leader whose heartbeat could be
        late, and a full election timeout would only delay the first election. If
        there is a leader, the other members receive its heartbeats and refuse the
        pre-vote.
        """
        settings = self._core.settings
        first_s = (settings.first_election_ms or settings.election_ms) / 1000
        self._election_due_s = self._now + first_s * (1 + self._rng.random())

    def _reset_election_timer(self):
        timeout_s = self._core.election_s * (1 + self._rng.random())
        self._election_due_s = self._now + timeout_s

    def _become_follower(self, leader):
        """Become a follower of ``leader``; end a leadership or a candidacy."""
        if self._leadership:
            self._leadership.stop()
            self._leadership = None
        self._election = None
        self._core.leader = leader
        self._reset_election_timer()

    def _enter_term(self, term, leader):
        core = self._core
        core.term = term
        core.vote = ""
        self._become_follower(leader)

    def _campaign(self, is_pre_vote):
        core = self._core
        core.leader = ""
        if not is_pre_vote:
            core.term += 1
            core.vote = core.name
        self._reset_election_timer()
        self._election = Election(core, is_pre_vote)
        self._election.request_votes()
        self._finish_election()

    def _finish_election(self):
        if not self._election.is_won:
            return
        if self._election.is_pre_vote:
            self._campaign(is_pre_vote=False)
            return
        self._election = None
        self._core.leader = self._core.name
        self._leadership = Leader(self._core, self._now)

    def _stop_if_removed(self):
        """Stop leading once this member's own removal is committed."""
        core = self._core
        if core.log.membership_index > core.commit or self._is_voter:
            return
        self._become_follower(leader="")

    # Term checks.

    def _reconcile_term(self, message):
        """Adopt a newer term; return whether the message is to be handled."""
        if isinstance(message, PreVote):
            return True
        if isinstance(message, PreVoteReply) and message.accepted:
            return True
        if message.term > self._core.term:
            return self._adopt_newer_term(message)
        if message.term < self._core.term:
            self._refuse_older_term(message)
            return False
        return True

    def _adopt_newer_term(self, message):
        # A member that doesn't receive the leader's heartbeats, or was removed, keeps
        # requesting votes and would repeatedly depose a leader that a quorum follows.
        # So a member with recent leader contact ignores the request and its term.
        if isinstance(message, Vote) and self._has_leader_contact():
            return False
        is_leader = isinstance(message, Append | InstallSnapshot)
        self._enter_term(message.term, message.sender if is_leader else "")
        return True

    def _refuse_older_term(self, message):
        """Refuse a message of an older term; the reply holds the current one."""
        core = self._core
        if isinstance(message, Append | InstallSnapshot):
            core.send(
                AppendReply(
                    sender=core.name,
                    receiver=message.sender,
                    term=core.term,
                    accepted=False,
                    match_index=0,
                    round=message.round,
                )
            )
        elif isinstance(message, Vote):
            self._reply_vote(VoteReply, message, False, core.term)

    # Message handlers.

    @functools.singledispatchmethod
    def _handle(self, message):
        raise TypeError(f"unknown consensus message type {type(message).__name__}")

    @_handle.register
    def _(self, message: PreVote):
        # A partitioned member would raise its term with every failed election, and on
        # its return depose a working leader. With pre-votes it raises its term only
        # after a quorum has confirmed that it has no leader contact either.
        core = self._core
        accepted = (
            message.term > core.term
            and not self._has_leader_contact()
            and core.log.allows_vote(message.last_index, message.last_term)
        )
        term = message.term if accepted else core.term
        self._reply_vote(PreVoteReply, message, accepted, term)

    @_handle.register
    def _(self, message: Vote):
        core = self._core
        accepted = core.vote in ("", message.sender) and core.log.allows_vote(
            message.last_index, message.last_term
        )
        if accepted:
            core.vote = message.sender
            self._reset_election_timer()
        self._reply_vote(VoteReply, message, accepted, core.term)

    def _reply_vote(self, kind, message, accepted, term):
        self._core.send(
            kind(
                sender=self._core.name,
                receiver=message.sender,
                term=term,
                accepted=accepted,
            )
        )

    @_handle.register
    def _(self, message: PreVoteReply):
        self._count_vote(message, is_pre_vote=True)

    @_handle.register
    def _(self, message: VoteReply):
        self._count_vote(message, is_pre_vote=False)

    def _count_vote(self, message, is_pre_vote):
        election = self._election
        if election is None or election.is_pre_vote is not is_pre_vote:
            return
        if message.accepted and message.term != election.term:
            return
        election.count(message)
        self._finish_election()

    @_handle.register
    def _(self, message: Append):
        if self._accept_leader(message):
            _raft_follower.on_append(self._core, message)

    @_handle.register
    def _(self, message: InstallSnapshot):
        if self._accept_leader(message):
            self._receiver.on_install_snapshot(self._core, message)

    def _accept_leader(self, message):
        """Record the sender as leader; return false if this member itself leads."""
        if self._leadership:
            return False
        self._leader_contact_at_s = self._now
        self._become_follower(message.sender)
        return True

    @_handle.register
    def _(self, message: AppendReply):
        if self._leadership:
            self._leadership.on_append_reply(message, self._now)
            self._stop_if_removed()

    @_handle.register
    def _(self, message: InstallSnapshotReply):
        if self._leadership:
            self._leadership.on_snapshot_reply(message, self._now)
            self._stop_if_removed()
