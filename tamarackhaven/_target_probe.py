"""Notices that the target beside a daemon takes no connections any more."""

import errno
import socket
import threading

# A connection costs a daemon some 0.3 ms of processor time, and the target as much.
PROBE_EVERY_S = 0.25
CONNECT_TIMEOUT_S = 0.5
# One refusal may be a full backlog; two in a row, a tenth of a second apart on the
# loopback interface, mean that nothing listens.
REFUSALS_NEEDED = 2
REFUSED_EVERY_S = 0.1


class TargetProbe:
    """Connects to the target a few times a second while it is a member.

    A refused connection means that no process listens; one that is slow but not
    hung is left to the gate, which sees latency and reports.

    Parameters
    ----------
    address : Listen
        Where the target takes requests.
    on_down : callable
        Called once per ``start``, on the probe's thread.
    is_hung : callable
        Says whether the target, though it takes connections, is to be given up.
    """

    def __init__(self, address, on_down, is_hung):
        self._address = address.host, address.port
        self._on_down = on_down
        self._is_hung = is_hung
        self._watching = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="probe", daemon=True)

    def is_up(self):
        """Return whether something listens at the target's address."""
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_STREAM) as probe:
            probe.settimeout(CONNECT_TIMEOUT_S)
            try:
                return probe.connect_ex(self._address) != errno.ECONNREFUSED
            except OSError:
                return True

    def start(self):
        """Watch the target from now on."""
        self._watching.set()
        if not self._thread.is_alive():
            self._thread.start()

    def _run(self):
        refused = 0
        while not self._stopping.wait(REFUSED_EVERY_S if refused else PROBE_EVERY_S):
            if not self._watching.is_set():
                continue
            refused = 0 if self.is_up() else refused + 1
            if refused >= REFUSALS_NEEDED or self._is_hung():
                refused = 0
                self._watching.clear()
                self._on_down()

    def stop(self):
        """Stop the thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
