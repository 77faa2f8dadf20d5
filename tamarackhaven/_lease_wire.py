"""The datagrams of lease renewal: what they say, and their bytes.

A datagram starts with one byte for the format version and its kind and ends with a
CRC-32. All numbers are big-endian. A daemon may spend 2 KB a second on control, and IP
and UDP take 28 bytes of each datagram, so nothing is said that the other end knows:

- No names. An epoch is the index of the one log entry that admitted one process, so
  it names service, target and process at once; a control VM finds them in its state.
- No control VM's name in an answer. Each datagram of a round has its own number, and
  the daemon knows to whom it sent that number. Whoever answers it has received it.
- No epoch in an answer: numbers of an epoch given up are forgotten by the daemon. Its
  first number is random, so that a late answer to an earlier process, which had the
  same port, meets one of the numbers in use with a chance of about 1 in 10 million.

Widths: indices of log entries (epochs, versions) have 48 bits, enough for 8,900 years
at 1,000 entries a second; a larger one is refused, never cut. Numbers of datagrams
have 32 bits and wrap: at 15 a second after nine years, when no older answer is under
way. With 16 bits that would be an hour, and a VM suspended for as long could let out
an answer that then passes for a new one.
"""

import enum
import struct
import zlib

import attrs

from tamarackhaven.errors import ErrorKind, TamarackhavenError

FORMAT = 2
MAX_DATAGRAM_BYTES = 1024
INDEX_MAX = (1 << 48) - 1
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
    DRAINING = 2  # a renewal of a daemon that drains
    GRANT = 3
    REFUSAL = 4
    HINT = 5


class Reason(enum.IntEnum):
    """Why a control VM refused a renewal; ``GRANTED`` if it did not."""

    GRANTED = 0
    FENCED = 1  # this epoch is refused for ever
    STALE_EPOCH = 2  # the log has a newer epoch of this target, or has deleted it
    NAME_CLAIMED = 3  # another process still has a promise
    ZONE_OUT = 4
    STALE_MEMBERSHIP = 5
    NOT_READY = 6  # old promises may still run, or the epoch is not applied here yet
    NOT_VOTER = 7


@attrs.frozen
class Renewal:
    """A daemon asks one control VM to promise its target's lease again.

    Parameters
    ----------
    epoch : int
        Epoch that the log gave this process.
    membership_version : int
        Version of the membership that the daemon counts its majority by.
    seq : int
        Number of this datagram, 32 bits; each voter gets another in each round.
    draining : bool
        The daemon admits nothing and only finishes what is in flight, so its lease
        is renewed even in an availability zone that is out.
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
        That of the renewal.
    reason : Reason
        ``GRANTED``, or why not.
    state_version : int
        What this control VM has applied.
    remaining_ms : int
        When to try again if refused, in milliseconds; 0 if waiting won't help.
    """

    seq: int
    reason: Reason
    state_version: int
    remaining_ms: int = 0

    @property
    def granted(self):
        """Whether the control VM promised."""
        return self.reason is Reason.GRANTED


@attrs.frozen
class Hint:
    """A control VM has applied ``state_version``; time to fetch it."""

    state_version: int


def next_seq(seq):
    """Return the number of the datagram after ``seq``."""
    return (seq + 1) & _SEQ_MASK


def encode(message):
    """Write a ``Renewal``, ``Ack`` or ``Hint`` as bytes.

    Raises
    ------
    TamarackhavenError
        If an index is larger than ``INDEX_MAX``.
    """
    kind, body = _ENCODERS[type(message)](message)
    data = _HEAD.pack(FORMAT << _KIND_BITS | kind) + body
    return data + _CRC.pack(zlib.crc32(data))


def decode(data):
    """Read a datagram; return None for one that is not ours or was damaged.

    UDP's own checksum is 16 bits and optional. A damaged epoch or number could pass
    as a grant that no control VM gave; CRC-32 turns it into a lost datagram, which
    the protocol survives.
    """
    if not _HEAD.size + _CRC.size < len(data) <= MAX_DATAGRAM_BYTES:
        return None
    checked, (crc,) = data[: -_CRC.size], _CRC.unpack(data[-_CRC.size :])
    if crc != zlib.crc32(checked) or checked[0] >> _KIND_BITS != FORMAT:
        return None
    decoder = _DECODERS.get(checked[0] & (1 << _KIND_BITS) - 1)
    if decoder is None:
        return None
    try:
        return decoder(checked[_HEAD.size :])
    except (struct.error, ValueError):
        return None


def _encode_renewal(renewal):
    kind = _Kind.DRAINING if renewal.draining else _Kind.RENEWAL
    epoch, membership = _index(renewal.epoch), _index(renewal.membership_version)
    return kind, _RENEWAL.pack(epoch, membership, renewal.seq)


def _decode_renewal(body, draining=False):
    epoch, membership, seq = _RENEWAL.unpack(body)
    return Renewal(_number(epoch), _number(membership), seq, draining)


def _decode_draining(body):
    return _decode_renewal(body, draining=True)


def _encode_ack(ack):
    version = _index(ack.state_version)
    if ack.granted:
        return _Kind.GRANT, _GRANT.pack(version, ack.seq)
    remaining_ms = min(ack.remaining_ms, _MAX_REMAINING_MS)
    return _Kind.REFUSAL, _REFUSAL.pack(version, ack.seq, ack.reason, remaining_ms)


def _decode_grant(body):
    version, seq = _GRANT.unpack(body)
    return Ack(seq, Reason.GRANTED, _number(version))


def _decode_refusal(body):
    version, seq, reason, remaining_ms = _REFUSAL.unpack(body)
    return Ack(seq, Reason(reason), _number(version), remaining_ms)


def _encode_hint(hint):
    return _Kind.HINT, _HINT.pack(_index(hint.state_version))


def _decode_hint(body):
    (version,) = _HINT.unpack(body)
    return Hint(_number(version))


def _index(number):
    if not 0 <= number <= INDEX_MAX:
        raise TamarackhavenError(
            ErrorKind.INTERNAL, f"index {number} does not fit a datagram"
        )
    return number.to_bytes(_INDEX_BYTES, "big")


def _number(data):
    return int.from_bytes(data, "big")


_ENCODERS = {Renewal: _encode_renewal, Ack: _encode_ack, Hint: _encode_hint}
_DECODERS = {
    _Kind.RENEWAL: _decode_renewal,
    _Kind.DRAINING: _decode_draining,
    _Kind.GRANT: _decode_grant,
    _Kind.REFUSAL: _decode_refusal,
    _Kind.HINT: _decode_hint,
}
