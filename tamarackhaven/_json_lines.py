"""Log lines on standard output that never hold up the program.

A line is written only when the reader takes it at once. What can't be written waits in
a bounded buffer; what doesn't fit is dropped and counted in the next line.
"""

import collections
import os
import select
import time

import orjson

# A pipe that is writable takes this much without blocking (POSIX, PIPE_BUF).
ATOMIC_BYTES = 4096
# Load: a reader that has stopped, or a storm of refusals. Harm: lines fill the memory.
# Limit: about a megabyte of usual lines.
MOST_WAITING = 4000


class JsonLines:
    """Writes one JSON object a line to a file descriptor.

    Parameters
    ----------
    descriptor : int
        Usually 1.
    **common
        Fields that stand in each line.
    """

    def __init__(self, descriptor=1, **common):
        self._descriptor = descriptor
        self._common = common
        self._waiting = collections.deque()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, **fields):
        """Write a line, or keep it until the reader takes it."""
        fields["at"] = round(time.time(), 3)
        if self.dropped:
            fields["lines_lost_before"] = self.dropped
        line = orjson.dumps({**self._common, **fields}, default=str) + b"\n"
        if len(self._waiting) >= MOST_WAITING or len(line) > ATOMIC_BYTES:
            self.dropped += 1
            return
        self.dropped = 0
        self._waiting.append(line)
        self.flush()

    def flush(self):
        """Write what waits, as far as the reader takes it."""
        while self._waiting and self._is_writable():
            try:
                os.write(self._descriptor, self._waiting[0])
            except OSError:
                # Nobody will ever read it; the program goes on without its log.
                self._waiting.clear()
                return
            self._waiting.popleft()

    def _is_writable(self):
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
