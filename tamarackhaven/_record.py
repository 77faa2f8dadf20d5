"""File format of checksummed records, and the encoding of consensus writes in them.

A file is a header followed by records. Each call to storage appends one record, so that
a write interrupted by a crash leaves at most one invalid record, at the end.
"""

import itertools
import struct
import zlib
from functools import singledispatch

import attrs

from tamarackhaven import _codec
from tamarackhaven._members import Membership
from tamarackhaven._raft_messages import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError

FORMAT_VERSION = 1
_FILE_HEADER = struct.Struct(">6sH")
_FILE_MARK = b"THAVEN"
_RECORD_MARK = b"\xf1REC"
# mark, body length in bytes, checksum of length and body
_RECORD_HEADER = struct.Struct(">4sII")
_WRITE_HEADER = struct.Struct(">BI")  # kind of a write, length of its body in bytes
_HARD_STATE_HEADER = struct.Struct(">Q")
_ENTRY_HEADER = struct.Struct(">QQB")  # index, term, kind
_SNAPSHOT_HEADER = struct.Struct(">QQI")  # index, term, membership length in bytes

HEADER = _FILE_HEADER.pack(_FILE_MARK, FORMAT_VERSION)


@attrs.frozen
class Scan:
    """Valid record bodies of a file.

    ``end`` is the offset in bytes after the last valid one.
    """

    bodies: tuple[bytes, ...]
    end: int


def record(body):
    """Return ``body`` as a record, with its length and checksum."""
    return _RECORD_HEADER.pack(_RECORD_MARK, len(body), _checksum(body)) + body


def _checksum(body):
    return zlib.crc32(body, len(body))


def scan(data, path):
    """Read all records of the file content ``data``.

    An invalid record with a valid one after it is damage; without one it is a torn tail
    and ends the scan.

    Raises
    ------
    TamarackhavenError
        FORMAT_UNKNOWN for another format version; LOG_DAMAGED, with the file and the
        offset in bytes.
    """
    _check_header(data, path)
    bodies = []
    offset = len(HEADER)
    while offset < len(data):
        body = _read_body(data, offset)
        if body is None:
            _check_torn_tail(data, offset, path)
            break
        bodies.append(body)
        offset += _RECORD_HEADER.size + len(body)
    return Scan(tuple(bodies), offset)


def _check_header(data, path):
    if len(data) < len(HEADER):
        raise damaged(path, 0)
    mark, version = _FILE_HEADER.unpack_from(data)
    if mark != _FILE_MARK:
        raise damaged(path, 0)
    if version != FORMAT_VERSION:
        raise TamarackhavenError(ErrorKind.FORMAT_UNKNOWN, f"{path}: version {version}")


def _read_body(data, offset):
    """Return the body of the record at ``offset``, or None if it isn't valid."""
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    mark, length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    body = data[start : start + length]
    is_valid = (
        mark == _RECORD_MARK and len(body) == length and _checksum(body) == checksum
    )
    return body if is_valid else None


def _check_torn_tail(data, offset, path):
    # If a damaged record were truncated like a torn tail, acknowledged entries and a
    # vote would be lost with it. Each record is synced before the next is written, so
    # a record torn by a crash has no valid record after it.
    candidate = data.find(_RECORD_MARK, offset + 1)
    while candidate >= 0:
        if _read_body(data, candidate) is not None:
            raise damaged(path, offset)
        candidate = data.find(_RECORD_MARK, candidate + 1)


def damaged(path, offset):
    """Return the LOG_DAMAGED error for a file, with the offset in bytes."""
    return TamarackhavenError(ErrorKind.LOG_DAMAGED, f"{path} at offset {offset}")


# Encoding of consensus writes.

_KIND_HARD_STATE = 1
_KIND_ENTRY = 2
_KIND_SNAPSHOT = 3


def pack(writes):
    """Return the body of one record that holds all of ``writes``."""
    return b"".join(itertools.chain.from_iterable(_encode(write) for write in writes))


def _encode_item(kind, *chunks):
    body = b"".join(chunks)
    return _WRITE_HEADER.pack(kind, len(body)) + body


@singledispatch
def _encode(write):
    raise TypeError(f"unknown write type {type(write).__name__}")


@_encode.register
def _(write: WriteHardState):
    state = write.hard_state
    yield _encode_item(
        _KIND_HARD_STATE, _HARD_STATE_HEADER.pack(state.term), state.vote.encode()
    )


@_encode.register
def _(write: WriteEntries):
    for entry in write.entries:
        header = _ENTRY_HEADER.pack(entry.index, entry.term, entry.kind)
        yield _encode_item(_KIND_ENTRY, header, entry.command)


@_encode.register
def _(write: WriteSnapshot):
    snapshot = write.snapshot
    membership = _codec.dumps(snapshot.membership, Membership)
    header = _SNAPSHOT_HEADER.pack(snapshot.index, snapshot.term, len(membership))
    yield _encode_item(_KIND_SNAPSHOT, header, membership, snapshot.data)


def unpack(body):
    """Return the writes in a record body, with one ``WriteEntries`` per entry."""
    offset = 0
    writes = []
    while offset < len(body):
        kind, length = _WRITE_HEADER.unpack_from(body, offset)
        offset += _WRITE_HEADER.size
        writes.append(_DECODER_BY_KIND[kind](body[offset : offset + length]))
        offset += length
    return writes


def _decode_hard_state(body):
    (term,) = _HARD_STATE_HEADER.unpack_from(body)
    return WriteHardState(HardState(term, body[_HARD_STATE_HEADER.size :].decode()))


def _decode_entry(body):
    index, term, kind = _ENTRY_HEADER.unpack_from(body)
    return WriteEntries(
        (Entry(index, term, EntryKind(kind), body[_ENTRY_HEADER.size :]),)
    )


def _decode_snapshot(body):
    index, term, length = _SNAPSHOT_HEADER.unpack_from(body)
    start = _SNAPSHOT_HEADER.size
    membership = _codec.loads(body[start : start + length], Membership)
    return WriteSnapshot(Snapshot(index, term, membership, body[start + length :]))


_DECODER_BY_KIND = {
    _KIND_HARD_STATE: _decode_hard_state,
    _KIND_ENTRY: _decode_entry,
    _KIND_SNAPSHOT: _decode_snapshot,
}
