"""The datagrams of lease renewal: what they say, and their bytes.

A datagram starts with the format version and its kind and ends with a CRC-32. Names
have one byte of length before them. All numbers are big-endian.
"""

import enum
import hashlib
import struct
import zlib

import attrs

from tamarackhaven.errors import ErrorKind, TamarackhavenError

FORMAT = 1
MAX_DATAGRAM_BYTES = 1024
MAX_NAME_BYTES = 255
_MAX_REMAINING_MS = 0xFFFF
_SEQ_MASK = 0xFFFF_FFFF

_HEAD = struct.Struct("!BB")
_RENEWAL = struct.Struct("!QQQQI?")
_ACK = struct.Struct("!QQQIBH")
_HINT = struct.Struct("!Q")
_CRC = struct.Struct("!I")


class _Kind(enum.IntEnum):
    RENEWAL = 1
    ACK = 2
    HINT = 3


class Reason(enum.IntEnum):
    """Why a control VM refused a renewal; ``GRANTED`` if it did not."""

    GRANTED = 0
    FENCED = 1  # this epoch is refused for ever
    STALE_EPOCH = 2  # the log has a newer epoch of this target
    NAME_CLAIMED = 3  # another process still has a promise
    ZONE_OUT = 4
    STALE_MEMBERSHIP = 5
    NOT_READY = 6  # promises given before a restart may still run
    NOT_VOTER = 7


@attrs.frozen
class Renewal:
    """A daemon asks one control VM to promise its target's lease again.

    Parameters
    ----------
    service, target : str
        Whose lease.
    instance_hash : int
        64-bit hash of the daemon process's random name, see ``hash_instance``. Only
        ever compared, and the epoch is unique already, so the hash saves bytes at no
        risk.
    epoch : int
        Epoch that the log gave this instance.
    membership_version : int
        Version of the membership that the daemon counts its majority by.
    state_version : int
        Version of the map that the daemon has applied.
    seq : int
        Number of the round, 32 bits; all voters get the same in one round.
    draining : bool
        The daemon admits nothing and only finishes what is in flight, so its lease
        is renewed even in an availability zone that is out.
    """

    service: str
    target: str
    instance_hash: int
    epoch: int
    membership_version: int
    state_version: int
    seq: int
    draining: bool = False


@attrs.frozen
class Ack:
    """A control VM's answer to one renewal.

    Parameters
    ----------
    member : str
        Name of the control VM.
    epoch, seq : int
        Those of the renewal.
    reason : Reason
        ``GRANTED``, or why not.
    state_version, membership_version : int
        What this control VM has applied.
    remaining_ms : int
        When to try again if refused, in milliseconds; 0 if waiting won't help.
    """

    member: str
    epoch: int
    seq: int
    reason: Reason
    state_version: int
    membership_version: int
    remaining_ms: int = 0

    @property
    def granted(self):
        """Whether the control VM promised."""
        return self.reason is Reason.GRANTED


@attrs.frozen
class Hint:
    """A control VM has applied ``state_version``; time to fetch it."""

    state_version: int


def hash_instance(instance):
    """Return the 64-bit hash of a daemon process's random name."""
    digest = hashlib.blake2b(instance.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def next_seq(seq):
    """Return the number of the round after ``seq``."""
    return (seq + 1) & _SEQ_MASK


def encode(message):
    """Write a ``Renewal``, ``Ack`` or ``Hint`` as bytes.

    Raises
    ------
    TamarackhavenError
        If a name is longer than ``MAX_NAME_BYTES``.
    """
    body = _ENCODERS[type(message)](message)
    return body + _CRC.pack(zlib.crc32(body))


def decode(data):
    """Read a datagram; return None for one that is not ours or was damaged.

    UDP's own checksum is 16 bits and optional. A damaged epoch or round number could
    pass as a grant that no control VM gave; CRC-32 turns it into a lost datagram,
    which the protocol survives.
    """
    if not _HEAD.size + _CRC.size < len(data) <= MAX_DATAGRAM_BYTES:
        return None
    body, (crc,) = data[: -_CRC.size], _CRC.unpack(data[-_CRC.size :])
    format_version, kind = _HEAD.unpack_from(body)
    if crc != zlib.crc32(body) or format_version != FORMAT:
        return None
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return None
    try:
        return decoder(body[_HEAD.size :])
    except (struct.error, ValueError, IndexError):
        return None


def _encode_renewal(renewal):
    return b"".join(
        (
            _HEAD.pack(FORMAT, _Kind.RENEWAL),
            _RENEWAL.pack(
                renewal.instance_hash,
                renewal.epoch,
                renewal.membership_version,
                renewal.state_version,
                renewal.seq,
                renewal.draining,
            ),
            _name(renewal.service),
            _name(renewal.target),
        )
    )


def _decode_renewal(body):
    numbers = _RENEWAL.unpack_from(body)
    service, target = _names(body[_RENEWAL.size :], 2)
    return Renewal(service, target, *numbers)


def _encode_ack(ack):
    numbers = _ACK.pack(
        ack.epoch,
        ack.state_version,
        ack.membership_version,
        ack.seq,
        ack.reason,
        min(ack.remaining_ms, _MAX_REMAINING_MS),
    )
    return _HEAD.pack(FORMAT, _Kind.ACK) + numbers + _name(ack.member)


def _decode_ack(body):
    epoch, state, membership, seq, reason, remaining = _ACK.unpack_from(body)
    (member,) = _names(body[_ACK.size :], 1)
    return Ack(member, epoch, seq, Reason(reason), state, membership, remaining)


def _encode_hint(hint):
    return _HEAD.pack(FORMAT, _Kind.HINT) + _HINT.pack(hint.state_version)


def _decode_hint(body):
    (state_version,) = _HINT.unpack(body)
    return Hint(state_version)


def _name(text):
    data = text.encode()
    if len(data) > MAX_NAME_BYTES:
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, f"name of {len(data)} bytes in a renewal"
        )
    return bytes((len(data),)) + data


def _names(data, count):
    """Return ``count`` names that fill ``data`` exactly; ``ValueError`` otherwise."""
    names, start = [], 0
    for _ in range(count):
        end = start + 1 + data[start]
        if end > len(data):
            raise ValueError("name is cut off")
        names.append(data[start + 1 : end].decode())
        start = end
    if start != len(data):
        raise ValueError("bytes after the last name")
    return names


_ENCODERS = {Renewal: _encode_renewal, Ack: _encode_ack, Hint: _encode_hint}
_DECODERS = {
    _Kind.RENEWAL: _decode_renewal,
    _Kind.ACK: _decode_ack,
    _Kind.HINT: _decode_hint,
}
