"""State of a consensus member that all roles share."""

import functools

from tamarackhaven._raft_messages import HardState, WriteEntries, WriteSnapshot


class Core:
    """Term, vote, log and commit index of one member.

    Parameters
    ----------
    name : str
        This member's name.
    settings : RaftSettings
        Timings and sizes.
    hard_state : HardState
        As recovered from storage.
    log : RaftLog
        As recovered from storage.
    outbox : Outbox
        Collects what is to be written, sent and applied.
    """

    def __init__(self, name, settings, hard_state, log, outbox):
        self.name = name
        self.settings = settings
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.log = log
        self.outbox = outbox
        self.commit = log.snapshot.index
        self.synced_index = log.last_index
        self.leader = ""

    @property
    def heartbeat_s(self):
        """Interval between heartbeats, in seconds."""
        return self.settings.heartbeat_ms / 1000

    @property
    def election_s(self):
        """Minimum election timeout, in seconds."""
        return self.settings.election_ms / 1000

    @property
    def hard_state(self):
        """Term and vote, which have to be durable."""
        return HardState(self.term, self.vote)

    @property
    def electors(self):
        """Names of all that have a vote in the membership in effect."""
        return self.log.membership.electors

    def send(self, message):
        """Queue a message, which is sent after the writes of this output are synced."""
        self.outbox.messages.append(message)

    def commit_to(self, index):
        """Commit all entries up to ``index``; ignored if they are committed already."""
        if index <= self.commit:
            return
        self.outbox.committed.extend(self.log.entries_between(self.commit + 1, index))
        self.commit = index

    def mark_synced(self, index, term):
        """Record that entry ``index`` is synced, unless it was replaced meanwhile."""
        if self.log.term_at(index) == term:
            self.synced_index = max(self.synced_index, index)


@functools.singledispatch
def mark_synced(_write, _core):
    """Record the entries that a write made durable; a term or vote holds none."""


@mark_synced.register
def _(write: WriteEntries, core):
    last = write.entries[-1]
    core.mark_synced(last.index, last.term)


@mark_synced.register
def _(write: WriteSnapshot, core):
    core.mark_synced(write.snapshot.index, write.snapshot.term)
