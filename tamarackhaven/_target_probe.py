"""Detects that the target beside a daemon no longer accepts connections."""

import errno
import socket
import threading

# A connection costs the daemon and the target about 0.3 ms of processor time each.
PROBE_INTERVAL_S = 0.25
CONNECT_TIMEOUT_S = 0.5
# One refusal may be due to a full listen backlog; two in a row, a tenth of a second
# apart on the loopback interface, mean that no process listens.
MIN_REFUSALS = 2
REFUSED_PROBE_INTERVAL_S = 0.1


class TargetProbe:
    """Connects to the target a few times a second while it is a member.

    A refused connection means that no process listens. The probe ignores a target that
    is slow but not hung: the gate handles it by latency and reports.

    Parameters
    ----------
    address : Listen
        Address at which the target accepts requests.
    on_down : callable
        Called at most once per ``start``, on the probe's thread.
    is_hung : callable
        Returns whether the target accepts connections but must be treated as down.
    """

    def __init__(self, address, on_down, is_hung):
        self._address = address.host, address.port
        self._on_down = on_down
        self._is_hung = is_hung
        self._probing = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="probe", daemon=True)

    def is_up(self):
        """Return whether a process listens at the target's address."""
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_STREAM) as probe:
            probe.settimeout(CONNECT_TIMEOUT_S)
            try:
                return probe.connect_ex(self._address) != errno.ECONNREFUSED
            except OSError:
                return True

    def start(self):
        """Start probing the target."""
        self._probing.set()
        if not self._thread.is_alive():
            self._thread.start()

    def _run(self):
        refusals = 0
        while not self._stopping.wait(
            REFUSED_PROBE_INTERVAL_S if refusals else PROBE_INTERVAL_S
        ):
            if not self._probing.is_set():
                continue
            refusals = 0 if self.is_up() else refusals + 1
            if refusals >= MIN_REFUSALS or self._is_hung():
                refusals = 0
                self._probing.clear()
                self._on_down()

    def stop(self):
        """Stop the thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
