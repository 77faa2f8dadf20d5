"""The newest refused requests of a daemon, for ``explain``."""

import collections
import threading

import attrs

# At a thousand refusals a second this is the last second or two; the log, which is
# limited by sentence, keeps samples of older ones.
REFUSALS_KEPT = 2000


@attrs.frozen
class Refusal:
    """One refused request.

    Parameters
    ----------
    request_id, decision_id : str
        As the caller and the logs have them; the first may be empty.
    at_unix_s : float
        Wall-clock time, in seconds.
    code, name : str
        Of the ``ErrorKind``.
    detail : str
        What exactly was wrong.
    map_version : int
        Version of the state that the daemon decided by.
    """

    request_id: str
    decision_id: str
    at_unix_s: float
    code: str
    name: str
    detail: str
    map_version: int


class RefusalRecord:
    """Keeps the newest refusals, bounded, since overload refuses most of all."""

    def __init__(self, kept=REFUSALS_KEPT):
        self._lock = threading.Lock()
        self._refusals = collections.deque(maxlen=kept)

    def add(self, refusal):
        """Record one refusal."""
        with self._lock:
            self._refusals.append(refusal)

    def find(self, an_id):
        """Return the refusals of a request id or decision id, newest first."""
        with self._lock:
            return [
                refusal
                for refusal in reversed(self._refusals)
                if an_id in (refusal.request_id, refusal.decision_id)
            ]
