"""Messages between processes as MessagePack, each tagged with its class's name.

Records are written as lists of their fields, in order: bytes between availability
zones are paid for, and names of fields were two thirds of them. All processes of a
fleet run the same release; a new field goes to the end and has a default.
"""

import collections
import zlib

import attrs
import msgpack
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from tamarackhaven.errors import ErrorKind, TamarackhavenError

# Below this, compression saves less than a network packet's headers.
MIN_COMPRESSED_BYTES = 256
# A message that unpacks to more is none of ours; as large as a frame may be.
MAX_UNPACKED_BYTES = 72 << 20


@attrs.frozen
class Packed:
    """The bytes of a message that goes to many receivers and is packed once.

    Parameters
    ----------
    data : bytes
        As ``Codec.pack`` gave it.
    kind : str
        Name of the message's class.
    """

    data: bytes
    kind: str = ""


class Codec:
    """Packs and unpacks a closed list of ``attrs`` classes.

    Parameters
    ----------
    kinds : iterable of type
        The classes; both ends must know the same ones.
    compressed : iterable of type
        Those of ``kinds`` that are compressed when they are large.
    """

    def __init__(self, kinds, compressed=()):
        self._converter = make_converter(
            unstruct_strat=UnstructureStrategy.AS_TUPLE, detailed_validation=False
        )
        self._kind_by_name = {kind.__name__: kind for kind in kinds}
        self._compressed_kinds = frozenset(compressed)
        self._sent_bytes_by_kind = collections.Counter()

    def count_sent(self, message, size):
        """Count the bytes of a message that a link of this process sends."""
        is_already_packed = isinstance(message, Packed)
        kind = message.kind if is_already_packed else type(message).__name__
        self._sent_bytes_by_kind[kind] += size

    def sent_bytes(self):
        """Return the bytes that links of this process have sent."""
        return sum(self._sent_bytes_by_kind.values())

    def tell(self, metrics):
        """Set the gauges of bytes sent, by kind of message."""
        for kind, sent_bytes in self._sent_bytes_by_kind.items():
            metrics.gauge("tamarackhaven_link_sent_bytes", sent_bytes, kind=kind)

    def packed(self, message):
        """Return a message as ``Packed``, for many receivers."""
        return Packed(self.pack(message), type(message).__name__)

    def pack(self, message):
        """Return the bytes of a message, or of a ``Packed`` one."""
        if isinstance(message, Packed):
            return message.data
        kind = type(message)
        fields = self._converter.unstructure(message)
        data = msgpack.packb([kind.__name__, fields])
        if kind in self._compressed_kinds and len(data) >= MIN_COMPRESSED_BYTES:
            # A record is a list, so bytes in its place are a compressed one.
            fields = zlib.compress(msgpack.packb(fields))
            data = msgpack.packb([kind.__name__, fields])
        return data

    def unpack(self, data):
        """Return the message that ``data`` holds.

        Raises
        ------
        TamarackhavenError
            MALFORMED_REQUEST for anything else.
        """
        try:
            name, fields = msgpack.unpackb(data, strict_map_key=False)
            if isinstance(fields, bytes):
                fields = msgpack.unpackb(_decompress(fields), strict_map_key=False)
            return self._converter.structure(fields, self._kind_by_name[name])
        except Exception as error:
            # The library raises many kinds for bytes of another program.
            raise TamarackhavenError(
                ErrorKind.MALFORMED_REQUEST, f"not a message: {error!r}"
            ) from error


def _decompress(data):
    unpacker = zlib.decompressobj()
    fields = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise ValueError("cut short or too large")
    return fields
