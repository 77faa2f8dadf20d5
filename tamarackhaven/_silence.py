"""Detects that a daemon's target is hung: it accepts requests but sends nothing.

A target that is frozen, or whose threads all hang, still accepts connections. Every
request for its shards then waits until its deadline, for as long as the target hangs.
A target counts as hung once it has sent nothing at all for ``target_silent_s`` while
requests are in flight; a slow target that answers any request or still reports
doesn't.
"""


class HangDetector:
    """Tracks how long one target has been silent while requests are in flight.

    Parameters
    ----------
    silent_s : float
        Silence after which the target counts as hung, in seconds; 0 for never.
    lock : context manager
        Held in each method, so that every method is thread-safe.
    """

    def __init__(self, silent_s, lock):
        self._silent_s = silent_s
        self._lock = lock
        self._in_flight = 0
        self._has_reported = False
        self._silent_since_s = 0.0
        self._is_hung = False

    @property
    def is_hung(self):
        """Whether the target was found hung and has sent nothing since."""
        return self._is_hung

    def began(self, now):
        """Record a request that is sent to the target at ``now``, in seconds."""
        with self._lock:
            if not self._in_flight:
                self._silent_since_s = max(self._silent_since_s, now)
            self._in_flight += 1

    def ended(self, answered, now):
        """Record the end of a request, and whether the target ``answered`` it."""
        with self._lock:
            self._in_flight -= 1
            if answered:
                self._record_message(now)

    def started(self, now):
        """Record that the target has restarted and hasn't reported yet."""
        with self._lock:
            self._has_reported = False
            self._record_message(now)

    def message_received(self, now):
        """Record a message of the target that isn't a report."""
        with self._lock:
            self._record_message(now)

    def reported(self, now):
        """Record a report of the target."""
        with self._lock:
            self._has_reported = True
            self._record_message(now)

    def check(self, now):
        """Return whether the target is hung at ``now``, in seconds.

        It stays so until its next message.

        A target that hasn't reported since its start can't be distinguished from one
        that is busy with long requests, so only the deadlines of its requests apply.
        """
        with self._lock:
            waiting = self._in_flight and self._has_reported and self._silent_s
            if waiting and now - self._silent_since_s >= self._silent_s:
                self._is_hung = True
            return self._is_hung

    def _record_message(self, now):
        self._silent_since_s = max(self._silent_since_s, now)
        self._is_hung = False
