"""The record of a script: what was sent, answered, run and held."""

import json
import time


class Record:
    """Writes one line for each event, with seconds since the start.

    Parameters
    ----------
    path : Path
        File that is written anew.
    """

    def __init__(self, path):
        self._file = path.open("w")
        self._started_s = time.monotonic()
        self.begun_runs = []
        self.ended_runs = set()
        self.on_begun = lambda backend, key: None
        self.on_begun_attempt = lambda backend, attempt: None
        self.on_taken = lambda backend, ranges: None
        self.on_arrived = lambda backend: None

    @property
    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self._started_s

    def line(self, event, **fields):
        """Write one line."""
        text = " ".join(
            f"{name}={value if isinstance(value, str) else json.dumps(value)}"
            for name, value in fields.items()
        )
        self._file.write(f"{self.now:8.3f} {event} {text}\n")

    def arrived(self, backend, attempt, key, fields):
        """Record that a request that isn't rejected has reached a backend."""
        self.on_arrived(backend)

    def begun(self, backend, attempt, key, fields):
        """Record that a backend begins to work on a request."""
        self.begun_runs.append((self.now, backend, backend.name, attempt, key))
        self.line("run begun", **fields)
        self.on_begun(backend, key)
        self.on_begun_attempt(backend, attempt)

    def taken(self, backend, ranges):
        """Record that a backend holds ranges that it didn't hold before."""
        if ranges:
            self.on_taken(backend, ranges)

    def close(self):
        """Close the file."""
        self._file.close()
