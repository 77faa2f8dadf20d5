"""Runs a control VM or a daemon as a real process with its own settings file."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Indexes of user and system time in /proc/PID/stat, after the name in parentheses.
_USER_TIME, _SYSTEM_TIME = 11, 12
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Process:
    """A control VM or a daemon with its settings file and its log."""

    def __init__(self, role, name, text, folder):
        self.role = role
        self._folder = folder
        self.name = name
        self._path = folder / f"{name}.toml"
        self._path.write_text(text)
        self._log = folder / f"{name}.log"
        self._process = None
        self._is_retired = False
        self._stall_file = None
        self.starts = 0

    def start(self):
        """Start the process, unless it was retired."""
        if self._is_retired:
            return
        self.starts += 1
        environment = {**os.environ, "TAMARACKHAVEN_BOOT": str(self._path)}
        with self._log.open("ab") as log:
            # A killed process may have left half a line.
            if log.tell() and not self._log.read_bytes().endswith(b"\n"):
                log.write(b"\n")
                log.flush()
            self._process = subprocess.Popen(
                [sys.executable, *self._launcher(), "platform", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _launcher(self):
        return (
            ("-m", "standin.slow_disk", str(self._stall_file))
            if self._stall_file
            else ()
        )

    def may_stall(self):
        """Allow ``stall`` to block syncs, from the next start on."""
        self._stall_file = self._folder / f"{self.name}.stalls"

    def stall(self):
        """Block the syncs of the process."""
        self._stall_file.touch()

    def unstall(self):
        """Let the syncs of the process return again."""
        self._stall_file.unlink(missing_ok=True)

    @property
    def pid(self):
        """The process id, 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    @property
    def processor_s(self):
        """CPU time used, in seconds; None if the process doesn't exist."""
        fields = self._stat()
        if fields is None:
            return None
        return (int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])) / _TICKS_PER_S

    def _stat(self):
        """Return the fields of /proc/PID/stat after the name, or None."""
        try:
            return Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return None

    def describe(self):
        """Return the name, log length, process state and CPU time as text."""
        fields = self._stat()
        state = fields[0] if fields else "gone"
        return (
            f"{self.name}: {len(self.lines)} lines, state {state},"
            f" {self.processor_s} s of CPU time"
        )

    def survives_signal(self, number):
        """Whether the process ignores or handles a signal, so that it survives it."""
        path = Path(f"/proc/{self._process.pid}/status")
        fields = dict(line.split(":", 1) for line in path.read_text().splitlines())
        not_fatal = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(not_fatal >> (number - 1) & 1)

    def wait(self, timeout_s):
        """Wait for the process and return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If it still runs after ``timeout_s`` seconds.
        """
        return self._process.wait(timeout_s)

    @property
    def has_ended(self):
        """Whether the process has exited."""
        return self._process.poll() is not None

    @property
    def settings(self):
        """The content of the settings file."""
        return self._path.read_text()

    def write(self, text):
        """Replace the content of the settings file."""
        self._path.write_text(text)

    def send(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait until it has exited."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def retire(self):
        """Kill the process; later calls of ``start`` do nothing."""
        self._is_retired = True
        self.kill()

    def terminate(self, timeout_s=10.0):
        """Send SIGTERM and return the exit code."""
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    @property
    def lines(self):
        """The log as one dict per line; a line that isn't JSON is under "text"."""
        return [_parsed(line) for line in self._log.read_text().splitlines()]


def _parsed(line):
    try:
        return json.loads(line) if line.startswith("{") else {"text": line}
    except ValueError:
        return {"text": line}
