"""Encodes messages between processes as MessagePack, tagged with the class name.

Records are encoded as lists of their fields, in order: traffic between availability
zones is charged by the byte, and field names made up two thirds of it. All processes
of a fleet run the same release; new fields are appended and have a default.
"""

import collections
import zlib

import attrs
import msgpack
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from tamarackhaven.errors import ErrorKind, TamarackhavenError

# Compressing smaller messages saves less than the headers of a network packet.
MIN_COMPRESSED_BYTES = 256
# Limits decompression to the size of the largest frame; no valid message is larger.
MAX_UNPACKED_BYTES = 72 << 20


@attrs.frozen
class Packed:
    """An encoded message that is packed once and sent to many receivers.

    Parameters
    ----------
    data : bytes
        Result of ``Codec.pack``.
    kind : str
        Name of the message's class.
    """

    data: bytes
    kind: str = ""


class Codec:
    """Packs and unpacks messages of a fixed set of ``attrs`` classes.

    Parameters
    ----------
    kinds : iterable of type
        The message classes; both ends must use the same set.
    compressed : iterable of type
        Classes whose messages are compressed from ``MIN_COMPRESSED_BYTES`` on.
    """

    def __init__(self, kinds, compressed=()):
        self._converter = make_converter(
            unstruct_strat=UnstructureStrategy.AS_TUPLE, detailed_validation=False
        )
        self._kind_by_name = {kind.__name__: kind for kind in kinds}
        self._compressed_kinds = frozenset(compressed)
        self._sent_bytes_by_kind = collections.Counter()

    def count_sent(self, message, size):
        """Add ``size`` bytes to the count for the class of a sent message."""
        is_already_packed = isinstance(message, Packed)
        kind = message.kind if is_already_packed else type(message).__name__
        self._sent_bytes_by_kind[kind] += size

    def sent_bytes(self):
        """Return the total bytes sent over links of this process."""
        return sum(self._sent_bytes_by_kind.values())

    def export_metrics(self, metrics):
        """Set the gauges of sent bytes by message class."""
        for kind, sent_bytes in self._sent_bytes_by_kind.items():
            metrics.gauge("tamarackhaven_link_sent_bytes", sent_bytes, kind=kind)

    def packed(self, message):
        """Pack a message once, for sending to many receivers."""
        return Packed(self.pack(message), type(message).__name__)

    def pack(self, message):
        """Return the encoded bytes of a message, which may be ``Packed`` already."""
        if isinstance(message, Packed):
            return message.data
        kind = type(message)
        fields = self._converter.unstructure(message)
        data = msgpack.packb([kind.__name__, fields])
        if kind in self._compressed_kinds and len(data) >= MIN_COMPRESSED_BYTES:
            # Uncompressed records are lists, so ``unpack`` can tell bytes apart.
            fields = zlib.compress(msgpack.packb(fields))
            data = msgpack.packb([kind.__name__, fields])
        return data

    def unpack(self, data):
        """Decode a message.

        Raises
        ------
        TamarackhavenError
            MALFORMED_REQUEST if ``data`` isn't a message of a known class.
        """
        try:
            name, fields = msgpack.unpackb(data, strict_map_key=False)
            if isinstance(fields, bytes):
                fields = msgpack.unpackb(_decompress(fields), strict_map_key=False)
            return self._converter.structure(fields, self._kind_by_name[name])
        except Exception as error:
            # The libraries raise many exception types for invalid input.
            raise TamarackhavenError(
                ErrorKind.MALFORMED_REQUEST, f"cannot decode message: {error!r}"
            ) from error


def _decompress(data):
    unpacker = zlib.decompressobj()
    fields = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise ValueError("compressed data is truncated or unpacks to too many bytes")
    return fields
