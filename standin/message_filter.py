"""Loses chosen messages of a link, as a fault of the code that sends them would."""

import struct

import msgpack

_LENGTH_PREFIX = struct.Struct(">I")
# Larger lengths mark probes, which have no content.
_MAX_LENGTH = 0xFFFF_FFF0


class MessageFilter:
    """Passes the bytes of a link on without the messages that are to be lost.

    Parameters
    ----------
    is_lost : callable
        ``is_lost(kind)`` returns whether a message of the class of this name is lost.
    is_active : callable
        ``is_active()`` returns whether any message may be lost now.
    """

    def __init__(self, is_lost, is_active=lambda: True):
        self._is_lost = is_lost
        self._is_active = is_active
        self._buffer = b""

    def __call__(self, data):
        """Return the bytes of all whole messages received that aren't lost."""
        self._buffer += data
        kept = b""
        while (frame := self._next_frame()) is not None:
            if not (self._is_active() and self._is_lost(_kind(frame))):
                kept += frame
        return kept

    def _next_frame(self):
        """Return the next whole frame with its length, None without one."""
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return None
        (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        end = _LENGTH_PREFIX.size + (length if length < _MAX_LENGTH else 0)
        if len(self._buffer) < end:
            return None
        frame, self._buffer = self._buffer[:end], self._buffer[end:]
        return frame


def _kind(frame):
    """Return the name of a frame's class, empty for a probe."""
    content = frame[_LENGTH_PREFIX.size :]
    return msgpack.unpackb(content, strict_map_key=False)[0] if content else ""
