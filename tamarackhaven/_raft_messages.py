"""What the consensus state machine takes in and gives out.

Nothing here does input or output. The driver carries out one ``Output`` in order:
append and sync ``writes``, tell the machine with ``persisted``, then send
``messages``, then apply ``committed``, then answer ``reads``.
"""

import enum

import attrs

from tamarackhaven._members import Membership


class EntryKind(enum.IntEnum):
    """What the command of a log entry is."""

    EMPTY = 0  # a new leader's first entry
    CHANGE = 1  # JSON of _changes.Change
    MEMBERSHIP = 2  # JSON of _members.Membership


@attrs.frozen
class Entry:
    """One entry of the replicated log; the first index is 1."""

    index: int
    term: int
    kind: EntryKind = EntryKind.CHANGE
    command: bytes = b""


@attrs.frozen
class HardState:
    """What a member must not forget: its term, and its vote in that term."""

    term: int = 0
    vote: str = ""


@attrs.frozen
class Snapshot:
    """The state after entry ``index``, which replaces all entries up to it."""

    index: int
    term: int
    membership: Membership
    data: bytes = b""


@attrs.frozen
class Message:
    """Common part of all messages between members."""

    sender: str
    receiver: str
    term: int


@attrs.frozen
class PreVote(Message):
    """Asks whether a vote would be given, without raising any term."""

    last_index: int
    last_term: int


@attrs.frozen
class PreVoteReply(Message):
    """Answers ``PreVote``."""

    accepted: bool


@attrs.frozen
class Vote(Message):
    """Asks for a vote."""

    last_index: int
    last_term: int


@attrs.frozen
class VoteReply(Message):
    """Answers ``Vote``."""

    accepted: bool


@attrs.frozen
class Append(Message):
    """Entries after ``last_index``/``last_term``; a heartbeat if there are none.

    ``round`` numbers the leader's heartbeats, for check-quorum and reads.
    """

    last_index: int
    last_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()


@attrs.frozen
class AppendReply(Message):
    """Answers ``Append``.

    ``match_index`` is the last index known equal if accepted, else a hint where to
    go on from.
    """

    accepted: bool
    match_index: int
    round: int


@attrs.frozen
class InstallSnapshot(Message):
    """One piece of a snapshot; ``offset`` in bytes."""

    last_index: int
    last_term: int
    membership: Membership
    offset: int
    chunk: bytes
    done: bool
    round: int


@attrs.frozen
class InstallSnapshotReply(Message):
    """Answers ``InstallSnapshot`` with the offset wanted next.

    ``match_index`` is the snapshot's index once it is whole and synced, else 0.
    """

    offset: int
    match_index: int
    round: int


@attrs.frozen
class WriteHardState:
    """Write the term and vote."""

    hard_state: HardState


@attrs.frozen
class WriteEntries:
    """Append entries; any older entry with the same or a higher index is void."""

    entries: tuple[Entry, ...]


@attrs.frozen
class WriteSnapshot:
    """Replace the log up to the snapshot's index by the snapshot."""

    snapshot: Snapshot


Write = WriteHardState | WriteEntries | WriteSnapshot


@attrs.frozen
class ReadReady:
    """A linearizable read may be answered once ``index`` is applied."""

    token: int
    index: int


@attrs.frozen
class Output:
    """What the driver has to do after one input.

    Parameters
    ----------
    writes : tuple of Write
        To be synced before anything else.
    messages : tuple of Message
        To be sent after that.
    committed : tuple of Entry
        To be applied, in order.
    restored : Snapshot or None
        A snapshot from the leader that replaces the applied state; comes before
        ``committed``.
    reads : tuple of ReadReady
        Reads that are confirmed.
    dropped_reads : tuple of int
        Tokens of reads that this member can't confirm any more.
    """

    writes: tuple[Write, ...] = ()
    messages: tuple[Message, ...] = ()
    committed: tuple[Entry, ...] = ()
    restored: Snapshot | None = None
    reads: tuple[ReadReady, ...] = ()
    dropped_reads: tuple[int, ...] = ()
