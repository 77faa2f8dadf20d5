"""Non-blocking JSON log lines on standard output.

A line is written only if the write doesn't block. Other lines are kept in a bounded
buffer; lines that don't fit are dropped, and the next line reports how many.
"""

import collections
import os
import select
import time

import orjson

# A writable pipe accepts this many bytes without blocking (POSIX, PIPE_BUF).
MAX_LINE_BYTES = 4096
# Without a limit, a reader that has stopped or a flood of refusals would fill the
# memory with lines. This many usual lines take about a megabyte.
MAX_BUFFERED_LINES = 4000


class JsonLines:
    """Writes JSON objects, one per line, to a file descriptor.

    Parameters
    ----------
    descriptor : int
        File descriptor; 1 is standard output.
    **common
        Fields that are added to each line.
    """

    def __init__(self, descriptor=1, **common):
        self._descriptor = descriptor
        self._common = common
        self._buffered_lines = collections.deque()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, **fields):
        """Write a line now if possible, else buffer or drop it."""
        fields["at"] = round(time.time(), 3)
        if self.dropped:
            fields["lines_lost_before"] = self.dropped
        line = orjson.dumps({**self._common, **fields}, default=str) + b"\n"
        if (
            len(self._buffered_lines) >= MAX_BUFFERED_LINES
            or len(line) > MAX_LINE_BYTES
        ):
            self.dropped += 1
            return
        self.dropped = 0
        self._buffered_lines.append(line)
        self.flush()

    def flush(self):
        """Write buffered lines until a write would block."""
        while self._buffered_lines and self._is_writable():
            try:
                os.write(self._descriptor, self._buffered_lines[0])
            except OSError:
                # The log has no reader any more; the program continues without it.
                self._buffered_lines.clear()
                return
            self._buffered_lines.popleft()

    def _is_writable(self):
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
