"""Events of a feed as bytes: packed, and read a part at a time.

At 65,536 shards a first feed is 14 MB of JSON and, as records all at once, 79 MB, more
than a daemon may use. Packed it is a sixteenth; read in parts it is never whole in
memory. A delta keeps to ``MAX_DELTA_EVENTS``, since its reader needs it whole.
"""

import itertools
import zlib

from tamarackhaven import _codec
from tamarackhaven._events import Event
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A part is some 100 KB of text and 600 KB as records.
PART_EVENTS = 512
# As records some 10 MB; a watcher that is further behind gets a snapshot.
MAX_DELTA_EVENTS = 8192
_READ_BYTES = 64 * 1024
_LEVEL = 1
_END = b"\n"


def pack(events):
    """Return events as bytes, empty if there are none."""
    compressor = zlib.compressobj(_LEVEL)
    packed = []
    rest = iter(events)
    while part := list(itertools.islice(rest, PART_EVENTS)):
        text = _codec.dumps(part, list[Event]) + _END
        packed.append(compressor.compress(text))
    return b"".join(packed) + compressor.flush() if packed else b""


class PackedEvents:
    """Events read from bytes anew at each iteration."""

    def __init__(self, data):
        self._data = data

    def __iter__(self):
        for text in _texts(self._data):
            yield from _codec.loads(text, list[Event])


def _texts(data):
    """Yield one part's text after another."""
    if not data:
        return
    decompressor = zlib.decompressobj()
    text = b""
    # All bytes may have been taken in while text is still to come out of them.
    while not decompressor.eof:
        piece = decompressor.decompress(data, _READ_BYTES)
        data = decompressor.unconsumed_tail
        if not piece and not data and not decompressor.eof:
            # Failure: a feed is cut off. Symptom: its version counts as applied, and
            # the events of its end never arrive. Enough: the reader gives up and asks
            # again.
            raise TamarackhavenError(ErrorKind.INTERNAL, "a feed is cut off")
        text += piece
        *whole, text = text.split(_END)
        yield from whole
