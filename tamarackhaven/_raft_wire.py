"""Converts consensus messages to and from the wire format between control VMs."""

from functools import singledispatch

from tamarackhaven import _codec, _wire_pb2
from tamarackhaven._members import Membership
from tamarackhaven._raft_messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError


def to_wire(message):
    """Return a consensus message as ``_wire_pb2.RaftMessage``."""
    wire = _wire_pb2.RaftMessage(
        kind=type(message).__name__,
        sender=message.sender,
        receiver=message.receiver,
        term=message.term,
    )
    _fill_wire(message, wire)
    return wire


@singledispatch
def _fill_wire(message, _wire):
    raise TypeError(f"unknown consensus message type {type(message).__name__}")


@_fill_wire.register
def _(message: PreVote | Vote, wire):
    wire.last_index = message.last_index
    wire.last_term = message.last_term


@_fill_wire.register
def _(message: PreVoteReply | VoteReply, wire):
    wire.accepted = message.accepted


@_fill_wire.register
def _(message: Append, wire):
    wire.last_index = message.last_index
    wire.last_term = message.last_term
    wire.commit = message.commit
    wire.round = message.round
    for entry in message.entries:
        wire.entries.add(
            index=entry.index,
            term=entry.term,
            kind=int(entry.kind),
            command=entry.command,
        )


@_fill_wire.register
def _(message: AppendReply, wire):
    wire.accepted = message.accepted
    wire.match_index = message.match_index
    wire.round = message.round


@_fill_wire.register
def _(message: InstallSnapshot, wire):
    wire.last_index = message.last_index
    wire.last_term = message.last_term
    wire.membership = _codec.dumps(message.membership, Membership)
    wire.offset = message.offset
    wire.chunk = message.chunk
    wire.done = message.done
    wire.round = message.round


@_fill_wire.register
def _(message: InstallSnapshotReply, wire):
    wire.offset = message.offset
    wire.match_index = message.match_index
    wire.round = message.round


def from_wire(wire):
    """Return the consensus message in a ``_wire_pb2.RaftMessage``.

    Raises
    ------
    TamarackhavenError
        MALFORMED_REQUEST for an unknown kind, such as one of a newer version.
    """
    decode = _READ_BY_KIND.get(wire.kind)
    if decode is None:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, f"unknown consensus message kind {wire.kind!r}"
        )
    return decode(wire.sender, wire.receiver, wire.term, wire)


def _field_decoder(kind, *field_names):
    """Return a decoder for a message whose fields are those of the wire format."""

    def decode(sender, receiver, term, wire):
        values = {name: getattr(wire, name) for name in field_names}
        return kind(sender, receiver, term, **values)

    return decode


def _decode_append(sender, receiver, term, wire):
    entries = tuple(
        Entry(each.index, each.term, EntryKind(each.kind), each.command)
        for each in wire.entries
    )
    return Append(
        sender,
        receiver,
        term,
        last_index=wire.last_index,
        last_term=wire.last_term,
        commit=wire.commit,
        round=wire.round,
        entries=entries,
    )


def _decode_install_snapshot(sender, receiver, term, wire):
    return InstallSnapshot(
        sender,
        receiver,
        term,
        last_index=wire.last_index,
        last_term=wire.last_term,
        membership=_codec.loads(wire.membership, Membership),
        offset=wire.offset,
        chunk=wire.chunk,
        done=wire.done,
        round=wire.round,
    )


_READ_BY_KIND = {
    "PreVote": _field_decoder(PreVote, "last_index", "last_term"),
    "PreVoteReply": _field_decoder(PreVoteReply, "accepted"),
    "Vote": _field_decoder(Vote, "last_index", "last_term"),
    "VoteReply": _field_decoder(VoteReply, "accepted"),
    "Append": _decode_append,
    "AppendReply": _field_decoder(AppendReply, "accepted", "match_index", "round"),
    "InstallSnapshot": _decode_install_snapshot,
    "InstallSnapshotReply": _field_decoder(
        InstallSnapshotReply, "offset", "match_index", "round"
    ),
}
