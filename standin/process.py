"""One program of the system as a real process under its settings file."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Fields of /proc/PID/stat behind the name in brackets: user and system time.
_USER, _SYSTEM = 11, 12
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Process:
    """One program of the system under its settings file."""

    def __init__(self, role, name, text, folder):
        self.role = role
        self._folder = folder
        self.name = name
        self._path = folder / f"{name}.toml"
        self._path.write_text(text)
        self._log = folder / f"{name}.log"
        self._process = None
        self._is_retired = False
        self._stalls = None
        self.starts = 0

    def start(self):
        """Start it, unless its VM is gone for good."""
        if self._is_retired:
            return
        self.starts += 1
        environment = {**os.environ, "TAMARACKHAVEN_BOOT": str(self._path)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._launcher(), "platform", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _launcher(self):
        return ("-m", "standin.slow_disk", str(self._stalls)) if self._stalls else ()

    def may_stall(self):
        """Give it, from its next start on, a disk that can stall."""
        self._stalls = self._folder / f"{self.name}.stalls"

    def stall(self):
        """Let its disk answer nothing."""
        self._stalls.touch()

    def unstall(self):
        """Let its disk answer again."""
        self._stalls.unlink(missing_ok=True)

    @property
    def pid(self):
        """Its process id, 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    @property
    def processor_s(self):
        """Processor time that it has used, in seconds; None if it is gone."""
        fields = self._stat()
        if fields is None:
            return None
        return (int(fields[_USER]) + int(fields[_SYSTEM])) / _TICKS_PER_S

    def _stat(self):
        """Return the fields of its /proc/PID/stat behind the name in brackets."""
        try:
            return Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return None

    def describe(self):
        """Return what it does at this moment, as text."""
        fields = self._stat()
        state = fields[0] if fields else "gone"
        return (
            f"{self.name}: {len(self.lines)} lines, state {state},"
            f" {self.processor_s} s of processor time"
        )

    def takes(self, number):
        """Whether it ignores or handles a signal by now, so that it doesn't end it."""
        path = Path(f"/proc/{self._process.pid}/status")
        fields = dict(line.split(":", 1) for line in path.read_text().splitlines())
        taken = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(taken >> (number - 1) & 1)

    def wait(self, timeout_s):
        """Return its exit code once it has ended."""
        return self._process.wait(timeout_s)

    @property
    def has_ended(self):
        """Whether it runs no more."""
        return self._process.poll() is not None

    @property
    def settings(self):
        """The text of its settings file."""
        return self._path.read_text()

    def write(self, text):
        """Replace its settings file."""
        self._path.write_text(text)

    def send(self, number):
        """Send a signal to it."""
        self._process.send_signal(number)

    def kill(self):
        """End it at once and wait for that."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def retire(self):
        """End it at once and for good."""
        self._is_retired = True
        self.kill()

    def terminate(self, timeout_s=10.0):
        """Stop it in order; return its exit code."""
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    @property
    def lines(self):
        """What it has logged, one dict a line; lines that are no JSON as text."""
        return [
            json.loads(line) if line.startswith("{") else {"text": line}
            for line in self._log.read_text().splitlines()
        ]
