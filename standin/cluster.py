"""Runs a complete deployment as real processes on the loopback interface.

Used by the demo, the failure tests and the benches. It kills only the processes that
it started, by their process ids.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
STOP_S = 15.0
START_S = 60.0
PORT_RANGE = (15_000, 32_000)
ALLOCATED_PORTS = set()


@attrs.frozen
class TargetSpec:
    """One target and the parameters of its simulated service."""

    service: str
    name: str
    zone: str
    slots: int = 12
    cold_s: float = 2.0
    cold_slots: int = 4
    service_ms: float = 2.0


@attrs.frozen
class Ports:
    """The TCP and UDP ports of one daemon and its target."""

    caller: int
    peer: int
    announce: int
    metrics: int
    target: int


def free_port():
    """Return a port that is free for TCP and UDP and wasn't returned before.

    It is below the ephemeral port range: otherwise an outgoing connection could occupy
    the port of a process while that process restarts.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        if port in ALLOCATED_PORTS:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        ALLOCATED_PORTS.add(port)
        return port


def wait_until(condition, timeout_s, condition_text):
    """Wait until ``condition()`` is true.

    Raises
    ------
    TimeoutError
        If it isn't true after ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"timed out after {timeout_s} s: {condition_text}")
        time.sleep(0.02)


class Cluster:
    """A control group, daemons and simulated targets.

    Parameters
    ----------
    folder : Path
        Contains all data folders and settings; emptied first, except for unpacked
        programs.
    program : list of str
        Command that runs the program.
    targets : list of TargetSpec
        Targets to run, each with a daemon.
    controls : int
        Number of control VMs.
    extra : dict of str to str
        TOML tables added to the settings of daemons and control VMs, by role.
    """

    def __init__(self, folder, program, targets, controls=3, extra=None):
        self.folder = Path(folder)
        self.program = program
        self.spec_by_name = {spec.name: spec for spec in targets}
        self.control_names = [f"c{number + 1}" for number in range(controls)]
        self.extra = extra or {}
        self.process_by_name = {}
        self.ports_by_name = {}
        self.metrics_port_by_name = {}
        self._clear()
        self._control_rows = ""
        self._member_rows = ""
        self._write_settings()

    def _clear(self):
        for path in self.folder.glob("*"):
            for inner in path.glob("*") if path.is_dir() else [path]:
                if inner.name == "program":
                    continue
                shutil.rmtree(inner) if inner.is_dir() else inner.unlink()

    def _write_settings(self):
        self.control_ports = {n: (free_port(), free_port()) for n in self.control_names}
        for name, (port, lease_port) in self.control_ports.items():
            row = f'name = "{name}"\nhost = "{HOST}"\nport = {port}\n'
            row += f"lease_port = {lease_port}\n"
            self._member_rows += f"\n[[members]]\n{row}"
            self._control_rows += f"\n[[control]]\n{row}"
        for name in self.control_names:
            self.write_control(name)
        for name in self.spec_by_name:
            self._write_daemon(name)
        operator = self._data_folder("operator") + self._control_rows
        self._settings_path("operator").write_text(operator)

    def write_control(self, name, more="", members=""):
        """Write the settings file of one control VM."""
        text = f'name = "{name}"\nzone = "a"\n{self._data_folder(name)}{more}'
        port = self.metrics_port_by_name[name] = free_port()
        text += _listen("metrics", port) + self._member_rows + members
        text += self.extra.get("control", "") + '\n[logs]\nfile = "log"\n'
        self._settings_path(name).write_text(text)

    def add_target(self, name, spec):
        """Write the settings of another target; ``spec.name`` may already be in use."""
        self.spec_by_name[name] = spec
        self._write_daemon(name)

    def add_control(self, name):
        """Write the settings of a control VM that joins the group; return its ports."""
        port, lease_port = self.control_ports[name] = free_port(), free_port()
        row = f'name = "{name}"\nhost = "{HOST}"\nport = {port}\n'
        members = f"\n[[members]]\n{row}lease_port = {lease_port}\n"
        self.write_control(name, "join = true\n", members)
        return port, lease_port

    def _write_daemon(self, name):
        spec = self.spec_by_name[name]
        ports = Ports(*(free_port() for _ in range(5)))
        self.ports_by_name[name] = ports
        text = f'service = "{spec.service}"\ntarget = "{spec.name}"\n'
        text += f'zone = "{spec.zone}"\n{self._data_folder("d-" + name)}'
        for endpoint in ("caller", "peer", "announce", "metrics"):
            text += _listen(endpoint, getattr(ports, endpoint))
        text += _listen("target_address", ports.target) + self._control_rows
        text += self.extra.get("daemon", "") + '\n[logs]\nfile = "log"\n'
        self._settings_path(f"d-{name}").write_text(text)

    def _settings_path(self, name):
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        return folder / "settings.toml"

    def _data_folder(self, name):
        return f'data_folder = "{self.folder / name}"\n'

    def start(self, resources):
        """Start all processes, apply ``resources`` (TOML text) and wait for owners.

        Raises
        ------
        TimeoutError
            If a shard has no owner in time.
        """
        for name in self.control_names:
            self.start_control(name, "--first-start")
        self.apply(resources)
        for name in self.spec_by_name:
            self.start_target(name)
            self.start_daemon(name)
        wait_until(self.all_owned, START_S, "every shard has an owner")

    def start_control(self, name, *arguments):
        """Start one control VM."""
        settings = str(self._settings_path(name))
        self._start(
            name, [*self.program, "control", "--settings", settings, *arguments]
        )

    def start_daemon(self, name):
        """Start the daemon of one target."""
        settings = str(self._settings_path(f"d-{name}"))
        self._start(f"d-{name}", [*self.program, "daemon", "--settings", settings])

    def start_target(self, name):
        """Start one simulated target; it logs its executions to ``journal-NAME``."""
        spec, ports = self.spec_by_name[name], self.ports_by_name[name]
        command = [sys.executable, "-m", "standin.target", "--port", str(ports.target)]
        command += ["--name", spec.name, "--service", spec.service]
        command += ["--announce", f"{HOST}:{ports.announce}"]
        command += ["--slots", str(spec.slots), "--cold-slots", str(spec.cold_slots)]
        command += ["--cold-s", str(spec.cold_s)]
        command += ["--service-ms", str(spec.service_ms)]
        command += ["--journal", str(self.folder / f"journal-{name}")]
        self._start(f"t-{name}", command)

    def _start(self, name, command):
        out = open(self.folder / f"out-{name}", "ab")  # noqa: SIM115
        with out:
            self.process_by_name[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )

    def send_signal(self, name, number):
        """Send a signal to one process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, *names):
        """Kill processes and wait until they have exited."""
        for name in names:
            self.process_by_name[name].kill()
        for name in names:
            self.process_by_name[name].wait(STOP_S)

    def terminate(self, name):
        """Send SIGTERM to one process, wait, and return its exit code."""
        process = self.process_by_name[name]
        process.terminate()
        return process.wait(STOP_S * 4)

    def stop(self):
        """Kill all processes that are still running."""
        running = [p for p in self.process_by_name.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait(STOP_S)

    def command(self, *arguments, check=True):
        """Run one operator command and return the completed process."""
        settings = ["--settings", str(self._settings_path("operator"))]
        return subprocess.run(
            [*self.program, *arguments, *settings],
            cwd=ROOT,
            check=check,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def apply(self, resources, *arguments):
        """Apply resources given as TOML text; return the completed process."""
        path = self.folder / "resources.toml"
        path.write_text(resources)
        return self.command("apply", str(path), *arguments)

    def records(self, kind):
        """Return the current records of one kind, as dicts."""
        completed = self.command("get", kind, "--output", "json")
        return [json.loads(line) for line in completed.stdout.splitlines()]

    def all_owned(self):
        """Whether every shard has an owner and none is being moved."""
        completed = self.command("get", "shard", "--output", "json", check=False)
        rows = [json.loads(line) for line in completed.stdout.splitlines()]
        return bool(rows) and all(r["owner"] and not r["moving_to"] for r in rows)

    def leader(self):
        """Return the name of the leader, or an empty string if there is none."""
        completed = self.command("status", "--output", "json", check=False)
        for line in completed.stdout.splitlines():
            row = json.loads(line)
            if row["role"] == "leader":
                return row["member"]
        return ""

    def journal(self):
        """Return the idempotency key of each execution, with duplicates."""
        return [row["key"] for row in self.executions()]

    def executions(self):
        """Return the journal entries of all targets, one dict per execution."""
        rows = []
        for path in self.folder.glob("journal-*"):
            # A target killed while it writes leaves an incomplete last line: skip it.
            complete_lines = path.read_text().rpartition("\n")[0]
            rows += [json.loads(line) for line in complete_lines.splitlines()]
        return rows

    def resident_mb(self, name):
        """Return the resident memory of a process in MB (1e6 bytes)."""
        status = Path(f"/proc/{self.process_by_name[name].pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def cpu_s(self, name):
        """Return the CPU time that a process has used, in seconds."""
        stat = Path(f"/proc/{self.process_by_name[name].pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _listen(name, port):
    return f'\n[{name}]\nhost = "{HOST}"\nport = {port}\n'
