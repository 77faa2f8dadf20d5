"""Records a daemon's newest refused requests for the ``explain`` command."""

import collections
import threading

import attrs

# At a thousand refusals a second this covers the last one or two seconds. The log,
# whose rate is limited by sentence, has samples of older ones.
MAX_REFUSALS = 2000


@attrs.frozen
class Refusal:
    """One refused request.

    Parameters
    ----------
    request_id, decision_id : str
        Ids returned to the caller and logged; ``request_id`` may be empty.
    at_unix_s : float
        Wall-clock time, in seconds.
    code, name : str
        Code and name of the ``ErrorKind``.
    detail : str
        Specific reason of the refusal.
    map_version : int
        Version of the state on which the decision was based.
    """

    request_id: str
    decision_id: str
    at_unix_s: float
    code: str
    name: str
    detail: str
    map_version: int


class RefusalRecord:
    """Keeps a limited number of refusals, as an overload causes very many."""

    def __init__(self, kept=MAX_REFUSALS):
        self._lock = threading.Lock()
        self._refusals = collections.deque(maxlen=kept)

    def add(self, refusal):
        """Record a refusal, dropping the oldest one at the limit."""
        with self._lock:
            self._refusals.append(refusal)

    def find(self, request_or_decision_id):
        """Return the refusals with this request id or decision id, newest first."""
        with self._lock:
            return [
                refusal
                for refusal in reversed(self._refusals)
                if request_or_decision_id in (refusal.request_id, refusal.decision_id)
            ]
