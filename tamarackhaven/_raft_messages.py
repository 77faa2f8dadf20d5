"""Inputs and outputs of the consensus state machine.

Nothing here does input or output. The driver processes one ``Output`` in order: it
appends and syncs ``writes``, confirms them with ``persisted``, sends ``messages``,
applies ``committed`` and then answers ``reads``.
"""

import enum

import attrs

from tamarackhaven._members import Membership


class EntryKind(enum.IntEnum):
    """Type of the command in a log entry."""

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
    """Durable state of a member: its term, and its vote in that term."""

    term: int = 0
    vote: str = ""


@attrs.frozen
class Snapshot:
    """State after entry ``index``, which replaces all entries up to that index."""

    index: int
    term: int
    membership: Membership
    data: bytes = b""


@attrs.frozen
class Message:
    """Fields common to all messages between members."""

    sender: str
    receiver: str
    term: int


@attrs.frozen
class PreVote(Message):
    """Asks whether a vote would be granted, without raising any term."""

    last_index: int
    last_term: int


@attrs.frozen
class PreVoteReply(Message):
    """Reply to ``PreVote``."""

    accepted: bool


@attrs.frozen
class Vote(Message):
    """Requests a vote."""

    last_index: int
    last_term: int


@attrs.frozen
class VoteReply(Message):
    """Reply to ``Vote``."""

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
    """Reply to ``Append``.

    ``match_index`` is the last index at which the logs are known to match if accepted,
    else a hint for the index to rewind to.
    """

    accepted: bool
    match_index: int
    round: int


@attrs.frozen
class InstallSnapshot(Message):
    """One chunk of a snapshot; ``offset`` is in bytes."""

    last_index: int
    last_term: int
    membership: Membership
    offset: int
    chunk: bytes
    done: bool
    round: int


@attrs.frozen
class InstallSnapshotReply(Message):
    """Reply to ``InstallSnapshot`` with the next expected offset, in bytes.

    ``match_index`` is the snapshot's index once it is complete and synced, else 0.
    """

    offset: int
    match_index: int
    round: int


@attrs.frozen
class WriteHardState:
    """Persist the term and vote."""

    hard_state: HardState


@attrs.frozen
class WriteEntries:
    """Append entries; they replace all older ones with the same or a higher index."""

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
    """Actions that the driver has to carry out after one input.

    Parameters
    ----------
    writes : tuple of Write
        To be synced before all other actions.
    messages : tuple of Message
        To be sent after that.
    committed : tuple of Entry
        To be applied, in order.
    restored : Snapshot or None
        A snapshot from the leader that replaces the applied state, before
        ``committed`` is applied.
    reads : tuple of ReadReady
        Confirmed reads.
    dropped_reads : tuple of int
        Tokens of reads that this member can't confirm any more.
    """

    writes: tuple[Write, ...] = ()
    messages: tuple[Message, ...] = ()
    committed: tuple[Entry, ...] = ()
    restored: Snapshot | None = None
    reads: tuple[ReadReady, ...] = ()
    dropped_reads: tuple[int, ...] = ()
