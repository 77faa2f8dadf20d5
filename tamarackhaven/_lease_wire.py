"""The datagrams of lease renewal and their encoding.

A datagram starts with one byte for the format version and its kind and ends with a
CRC-32. All numbers are big-endian. A daemon may spend 2 KB a second on control
traffic, and IP and UDP headers take 28 bytes of each datagram, so a datagram omits
whatever its receiver already knows:

- Names. An epoch is the index of the one log entry that admitted one process, so it
  identifies service, target and process; a control VM looks them up in its state.
- The control VM's name in an answer. Each datagram of a round has its own sequence
  number, and the daemon records the voter to which it sent that number. Only a
  control VM that received the datagram can return the number.
- The epoch in an answer. The daemon discards the sequence numbers of a former epoch.
  Its first number is random, so a late answer to an earlier process on the same port
  matches a number in use with a probability of about 1 in 10 million.

Log indices (epochs, versions) have 48 bits, which last 8,900 years at 1,000 entries a
second; a larger index is refused, never truncated. Sequence numbers have 32 bits and
wrap: at 15 a second after nine years, when no older answer is in flight. With 16 bits
they would wrap after an hour, and a VM suspended for that long could send an answer
that is taken for a new one.
"""

import enum
import struct
import zlib

import attrs

from tamarackhaven.errors import ErrorKind, TamarackhavenError

FORMAT_VERSION = 2
MAX_DATAGRAM_BYTES = 1024
MAX_INDEX = (1 << 48) - 1
_INDEX_BYTES = 6
_MAX_REMAINING_MS = 0xFFFF
_SEQ_MASK = 0xFFFF_FFFF
_KIND_BITS = 4

_HEAD = struct.Struct("!B")
_RENEWAL = struct.Struct("!6s6sI")
_GRANT = struct.Struct("!6sI")
_REFUSAL = struct.Struct("!6sIBH")
_HINT = struct.Struct("!6s")
_CRC = struct.Struct("!I")


class _Kind(enum.IntEnum):
    RENEWAL = 1
    DRAINING = 2  # a renewal from a draining daemon
    GRANT = 3
    REFUSAL = 4
    HINT = 5


class Reason(enum.IntEnum):
    """Why a control VM refused a renewal, or ``GRANTED``."""

    GRANTED = 0
    FENCED = 1  # the epoch is refused permanently
    STALE_EPOCH = 2  # the epoch was replaced by a newer one of the target, or deleted
    NAME_CLAIMED = 3  # a promise to another process still runs
    ZONE_OUT = 4
    STALE_MEMBERSHIP = 5
    NOT_READY = 6  # lost promises may still run, or the epoch isn't applied here yet
    NOT_VOTER = 7


@attrs.frozen
class Renewal:
    """A daemon's request that one control VM promise its target's lease again.

    Parameters
    ----------
    epoch : int
        Epoch that the log assigned to this process.
    membership_version : int
        Version of the membership whose voters the daemon counts for a majority.
    seq : int
        Sequence number of this datagram, 32 bits; different for each voter and round.
    draining : bool
        Whether the daemon admits nothing and only finishes what is in flight. Its
        lease is then renewed even in an availability zone that is out.
    """

    epoch: int
    membership_version: int
    seq: int
    draining: bool = False


@attrs.frozen
class Ack:
    """A control VM's answer to one renewal.

    Parameters
    ----------
    seq : int
        Sequence number of the renewal.
    reason : Reason
        ``GRANTED``, or why the renewal was refused.
    state_version : int
        Version of the state that this control VM has applied.
    remaining_ms : int
        Time until a refused renewal may be retried, in milliseconds; 0 if waiting
        won't help.
    """

    seq: int
    reason: Reason
    state_version: int
    remaining_ms: int = 0

    @property
    def is_granted(self):
        """Whether the control VM granted the renewal."""
        return self.reason is Reason.GRANTED


@attrs.frozen
class Hint:
    """A control VM's notice that it has applied ``state_version``."""

    state_version: int


def next_seq(seq):
    """Return the sequence number after ``seq``."""
    return (seq + 1) & _SEQ_MASK


def encode(message):
    """Encode a ``Renewal``, ``Ack`` or ``Hint`` as bytes.

    Raises
    ------
    TamarackhavenError
        If an index is larger than ``MAX_INDEX``.
    """
    kind, body = _ENCODERS[type(message)](message)
    data = _HEAD.pack(FORMAT_VERSION << _KIND_BITS | kind) + body
    return data + _CRC.pack(zlib.crc32(data))


def decode(data):
    """Decode a datagram; return None if it is foreign or corrupted.

    UDP's own checksum is 16 bits and optional. A corrupted epoch or sequence number
    could pass for a grant that no control VM made; the CRC-32 check turns it into a
    lost datagram, which the protocol tolerates.
    """
    if not _HEAD.size + _CRC.size < len(data) <= MAX_DATAGRAM_BYTES:
        return None
    checked_bytes, (crc,) = data[: -_CRC.size], _CRC.unpack(data[-_CRC.size :])
    if (
        crc != zlib.crc32(checked_bytes)
        or checked_bytes[0] >> _KIND_BITS != FORMAT_VERSION
    ):
        return None
    decoder = _DECODERS.get(checked_bytes[0] & (1 << _KIND_BITS) - 1)
    if decoder is None:
        return None
    try:
        return decoder(checked_bytes[_HEAD.size :])
    except (struct.error, ValueError):
        return None


def _encode_renewal(renewal):
    kind = _Kind.DRAINING if renewal.draining else _Kind.RENEWAL
    epoch, membership = (
        _encode_index(renewal.epoch),
        _encode_index(renewal.membership_version),
    )
    return kind, _RENEWAL.pack(epoch, membership, renewal.seq)


def _decode_renewal(body, draining=False):
    epoch, membership, seq = _RENEWAL.unpack(body)
    return Renewal(_decode_index(epoch), _decode_index(membership), seq, draining)


def _decode_draining(body):
    return _decode_renewal(body, draining=True)


def _encode_ack(ack):
    version = _encode_index(ack.state_version)
    if ack.is_granted:
        return _Kind.GRANT, _GRANT.pack(version, ack.seq)
    remaining_ms = min(ack.remaining_ms, _MAX_REMAINING_MS)
    return _Kind.REFUSAL, _REFUSAL.pack(version, ack.seq, ack.reason, remaining_ms)


def _decode_grant(body):
    version, seq = _GRANT.unpack(body)
    return Ack(seq, Reason.GRANTED, _decode_index(version))


def _decode_refusal(body):
    version, seq, reason, remaining_ms = _REFUSAL.unpack(body)
    return Ack(seq, Reason(reason), _decode_index(version), remaining_ms)


def _encode_hint(hint):
    return _Kind.HINT, _HINT.pack(_encode_index(hint.state_version))


def _decode_hint(body):
    (version,) = _HINT.unpack(body)
    return Hint(_decode_index(version))


def _encode_index(number):
    if not 0 <= number <= MAX_INDEX:
        raise TamarackhavenError(
            ErrorKind.INTERNAL,
            f"index {number} does not fit the 48 bits in a datagram",
        )
    return number.to_bytes(_INDEX_BYTES, "big")


def _decode_index(data):
    return int.from_bytes(data, "big")


_ENCODERS = {Renewal: _encode_renewal, Ack: _encode_ack, Hint: _encode_hint}
_DECODERS = {
    _Kind.RENEWAL: _decode_renewal,
    _Kind.DRAINING: _decode_draining,
    _Kind.GRANT: _decode_grant,
    _Kind.REFUSAL: _decode_refusal,
    _Kind.HINT: _decode_hint,
}
