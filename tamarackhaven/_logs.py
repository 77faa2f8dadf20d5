"""Logs: short sentences with the fixed prefix of their part, as JSON lines."""

import threading

import attrs

from tamarackhaven._clock import boot_s

WINDOW_S = 60.0
# Sentences are fixed texts in the code; this bounds the table should one not be.
_MOST_SENTENCES = 1000


@attrs.define
class _Window:
    """Lines with one sentence since ``start_s``."""

    start_s: float
    written: int = 0
    dropped: int = 0


class Log:
    """Writes the lines of one part.

    Parameters
    ----------
    prefix : str
        Name of the part, as ``gate``; each sentence starts with it.
    repeats_per_minute : int
        Most lines with the same sentence in a minute.
    clock : callable
        Returns seconds.
    write : callable
        Takes the fields of a line as keywords.
    """

    def __init__(self, prefix, repeats_per_minute=60, clock=boot_s, write=None):
        self.prefix = prefix
        self._limit = repeats_per_minute
        self._clock = clock
        self._write = write or _write_eliot
        self._lock = threading.Lock()
        self._window_by_sentence = {}

    def part(self, prefix):
        """Return the log of another part, with the same limits."""
        return Log(prefix, self._limit, self._clock, self._write)

    def say(self, sentence, request_id="", decision_id="", **fields):
        """Write one line unless its sentence stood too often in this minute.

        Parameters
        ----------
        sentence : str
            A fixed text; what varies goes into ``fields``.
        request_id, decision_id : str
            On every line about a request.
        **fields
            Whatever JSON can hold.
        """
        # Under overload each refusal would write a line, and the disk and the lock
        # would slow the requests that are still served. The count keeps the number.
        dropped = self._admit(sentence)
        if dropped is None:
            return
        if request_id:
            fields["request_id"] = request_id
        if decision_id:
            fields["decision_id"] = decision_id
        if dropped:
            fields["dropped_before"] = dropped
        self._write(sentence=f"{self.prefix}: {sentence}", part=self.prefix, **fields)

    def _admit(self, sentence):
        """Return how many lines were dropped before this one, None to drop it too."""
        now = self._clock()
        with self._lock:
            window = self._window_by_sentence.get(sentence)
            if window is None or now - window.start_s >= WINDOW_S:
                dropped = window.dropped if window else 0
                self._keep(sentence, _Window(now, written=1))
                return dropped
            if window.written >= self._limit:
                window.dropped += 1
                return None
            window.written += 1
            return 0

    def _keep(self, sentence, window):
        if len(self._window_by_sentence) >= _MOST_SENTENCES:
            self._window_by_sentence.clear()
        self._window_by_sentence[sentence] = window


def _write_eliot(**fields):
    from tamarackhaven import _eliot_lines

    _eliot_lines.write_line(**fields)
