"""Starts the project's programs as the deploy file says, on loopback addresses."""

import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PORTS = {"control": 0, "links": 1, "outbound": 2, "inbound": 3, "ready": 4, "app": 5}
METRICS_PORT = 9464


class Machine:
    """One machine with one process of a role of the deploy file.

    Parameters
    ----------
    role : str
        ``daemon`` or ``control``, as the deploy file names them.
    fields : dict
        Values for the placeholders of the role's template.
    folder : Path
        For the settings file and the log.
    """

    def __init__(self, role, fields, folder):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"][role]
        self.fields = fields
        self.name = fields["node_name"]
        self._settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.process = None

    def write_settings(self):
        """Fill in the template of the role."""
        template = (ROOT / self._role["template"]).read_text()
        self._settings.write_text(render(template, self.fields))

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TAMARACKHAVEN_BOOT": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(self._role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def runs(self):
        """Whether the process exists."""
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Send a signal to the process, if it exists."""
        if self.runs:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    def log_lines(self):
        """Return the parsed lines of the process's log."""
        lines = []
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"text": line})
        return lines


def render(template, fields):
    """Fill in a template as the deployment page describes it.

    Covers what the project's templates use: values, sections and the comma between
    the entries of a list.
    """

    def lookup(name):
        value = fields
        for part in name.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError, TypeError):
                return None
        return value

    def section(match):
        value = lookup(match.group(1))
        if value is None or value is False:
            return ""
        entries = value if isinstance(value, list) else [value]
        parts = []
        for number, entry in enumerate(entries):
            text = match.group(2)
            text = text.replace("{{,}}", "," if number < len(entries) - 1 else "")
            parts.append(text.replace("{{.}}", plain(entry)))
        return "".join(parts)

    def plain(value):
        if value is None:
            return ""
        return json.dumps(value) if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: plain(lookup(m.group(1))), text)


def free_network(hosts, rng=None):
    """Return a loopback network and a first port that are free on all its hosts.

    Parameters
    ----------
    hosts : sequence of str
        Last two octets of each host, such as ``1.3``.
    rng : random.Random or None
        Draws the candidates.
    """
    rng = rng or random.Random(os.urandom(8))
    for _ in range(200):
        net = f"127.{rng.randrange(20, 250)}"
        port = rng.randrange(12_000, 28_000, 10)
        if all(_is_free(f"{net}.{host}", port) for host in hosts):
            return net, port
    raise OSError("no free ports on loopback")


def _is_free(host, port):
    for number in [*(port + each for each in PORTS.values()), METRICS_PORT]:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, number))
            except OSError:
                return False
    return True
