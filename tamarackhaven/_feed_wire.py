"""Compressed encoding of a feed's events, which is decoded one part at a time.

At 65,536 shards a first feed is 14 MB of JSON, or 79 MB as records in memory, more than
a daemon may use. Compression reduces the JSON to a sixteenth, and a reader decodes it
in parts, so that it is never completely in memory. A delta is limited to
``MAX_DELTA_EVENTS``, since its reader needs all of it at once.
"""

import itertools
import zlib

from tamarackhaven import _codec
from tamarackhaven._events import Event
from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A part of this size is about 100 KB of JSON and 600 KB as records.
MAX_PART_EVENTS = 512
# About 10 MB as records; a watcher that lags further gets a snapshot.
MAX_DELTA_EVENTS = 8192
_MAX_DECOMPRESSED_BYTES = 64 * 1024
_COMPRESSION_LEVEL = 1
_SEPARATOR = b"\n"


def pack(events):
    """Return events as compressed bytes, which are empty if there are no events."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    packed = []
    remaining = iter(events)
    while part := list(itertools.islice(remaining, MAX_PART_EVENTS)):
        text = _codec.dumps(part, list[Event]) + _SEPARATOR
        packed.append(compressor.compress(text))
    return b"".join(packed) + compressor.flush() if packed else b""


class PackedEvents:
    """Iterable over packed events, which are decoded again at each iteration.

    Iteration raises ``TamarackhavenError`` with INTERNAL if the data is truncated.
    """

    def __init__(self, data):
        self._data = data

    def __iter__(self):
        for text in _decompressed_parts(self._data):
            yield from _codec.loads(text, list[Event])


def _decompressed_parts(data):
    """Yield the JSON text of each part."""
    if not data:
        return
    decompressor = zlib.decompressobj()
    text = b""
    # The decompressor may still hold output after it has consumed all input.
    while not decompressor.eof:
        output = decompressor.decompress(data, _MAX_DECOMPRESSED_BYTES)
        data = decompressor.unconsumed_tail
        if not output and not data and not decompressor.eof:
            # If a truncated feed were accepted, its version would count as applied
            # although its last events are missing. The error makes the reader fetch
            # the feed again.
            raise TamarackhavenError(
                ErrorKind.INTERNAL, "the data of a feed is truncated"
            )
        text += output
        *whole, text = text.split(_SEPARATOR)
        yield from whole
