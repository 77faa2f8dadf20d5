"""Whether the target beside a daemon is hung: it takes requests and says nothing.

Load: a target froze, or all its threads hang; it still takes connections.
Harm: every request for its shards waits until its deadline, for as long as it hangs.
Limit: silence of every kind for ``target_silent_s`` while requests are in flight; a
straggler that answers anything, or still reports, is not given up.
"""


class Silence:
    """Hears the reports and answers of one target.

    Parameters
    ----------
    silent_s : float
        Silence that is taken for a hang, in seconds; 0 for never.
    lock : context manager
        Held in each method, so that any thread may call them.
    """

    def __init__(self, silent_s, lock):
        self._silent_s = silent_s
        self._lock = lock
        self._in_flight = 0
        self._reports = False
        self._heard_s = 0.0
        self._hung = False

    @property
    def hung(self):
        """Whether the target was found hung and has said nothing since."""
        return self._hung

    def began(self, now):
        """Count a request that is sent to the target at ``now``, in seconds."""
        with self._lock:
            if not self._in_flight:
                self._heard_s = max(self._heard_s, now)
            self._in_flight += 1

    def ended(self, answered, now):
        """Count the end of a request; ``answered`` if the target answered it."""
        with self._lock:
            self._in_flight -= 1
            if answered:
                self._hear(now)

    def started(self, now):
        """Take in that the target has started anew; it has not reported yet."""
        with self._lock:
            self._reports = False
            self._hear(now)

    def heard(self, now):
        """Take in a word of the target that is no report."""
        with self._lock:
            self._hear(now)

    def reported(self, now):
        """Take in a report."""
        with self._lock:
            self._reports = True
            self._hear(now)

    def check(self, now):
        """Return whether the target is found hung at ``now``, which stays so.

        A target that has never reported since its start can't be told from one that
        is at long work, and is left to the deadlines of its requests.
        """
        with self._lock:
            waiting = self._in_flight and self._reports and self._silent_s
            if waiting and now - self._heard_s >= self._silent_s:
                self._hung = True
            return self._hung

    def _hear(self, now):
        self._heard_s = max(self._heard_s, now)
        self._hung = False
