"""Structured logging with a fixed prefix per component and a limit on repeats."""

import threading

import attrs

from tamarackhaven._clock import boot_s

REPEAT_WINDOW_S = 60.0
# Sentences are constants, so there are few; this bounds memory if one is not.
_MAX_SENTENCES = 1000


@attrs.define
class _Window:
    """Counts of the lines with one sentence since ``start_s``, in seconds."""

    start_s: float
    written: int = 0
    dropped: int = 0


class Log:
    """Writes the log lines of one component.

    Parameters
    ----------
    prefix : str
        Name of the component, such as ``gate``; each sentence starts with it.
    repeats_per_minute : int
        Maximum number of lines with the same sentence in a minute.
    clock : callable
        Returns the time in seconds.
    write : callable
        Called with the fields of a line as keyword arguments.
    """

    def __init__(self, prefix, repeats_per_minute=60, clock=boot_s, write=None):
        self.prefix = prefix
        self._repeats_per_minute = repeats_per_minute
        self._clock = clock
        self._write = write or _write_eliot
        self._lock = threading.Lock()
        self._window_by_sentence = {}

    def part(self, prefix):
        """Return the log of another component, with its own counts of repeats."""
        return Log(prefix, self._repeats_per_minute, self._clock, self._write)

    def say(self, sentence, request_id="", decision_id="", **fields):
        """Write one line, unless its sentence reached the limit for this minute.

        Parameters
        ----------
        sentence : str
            A constant; variable data belongs into ``fields``.
        request_id, decision_id : str
            The ids of the request that the line is about; omitted if empty.
        **fields
            Values that can be encoded as JSON.
        """
        # Under overload each refusal would write a line, and contention for the disk
        # and the lock would slow the requests that are still served. The next line
        # reports how many were dropped.
        dropped = self._count_line(sentence)
        if dropped is None:
            return
        if request_id:
            fields["request_id"] = request_id
        if decision_id:
            fields["decision_id"] = decision_id
        if dropped:
            fields["dropped_before"] = dropped
        self._write(sentence=f"{self.prefix}: {sentence}", part=self.prefix, **fields)

    def _count_line(self, sentence):
        """Return how many lines were dropped before this one; None if it is dropped."""
        now = self._clock()
        with self._lock:
            window = self._window_by_sentence.get(sentence)
            if window is None or now - window.start_s >= REPEAT_WINDOW_S:
                dropped = window.dropped if window else 0
                self._start_window(sentence, _Window(now, written=1))
                return dropped
            if window.written >= self._repeats_per_minute:
                window.dropped += 1
                return None
            window.written += 1
            return 0

    def _start_window(self, sentence, window):
        if len(self._window_by_sentence) >= _MAX_SENTENCES:
            self._window_by_sentence.clear()
        self._window_by_sentence[sentence] = window


def _write_eliot(**fields):
    from tamarackhaven import _eliot_lines

    _eliot_lines.write_line(**fields)
