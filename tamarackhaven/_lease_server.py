"""A control VM's UDP socket for lease renewals."""

import logging
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from tamarackhaven._clock import boot_s
from tamarackhaven._lease_times import promise_s
from tamarackhaven._lease_wire import (
    MAX_DATAGRAM_BYTES,
    Hint,
    Reason,
    Renewal,
    decode,
    encode,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError

_log = logging.getLogger(__name__)

# The receive buffer holds a burst of renewals while another thread holds the
# interpreter lock. Renewals of 21 bytes from 1,500 daemons take some 1 MB of it with
# the kernel's overhead. The kernel caps the size at its own limit.
_RECEIVE_BUFFER_BYTES = 1 << 20
_STOP_POLL_S = 0.2
_MAX_ADDRESSES = 8192


class LeaseServer:
    """Answers renewals on one thread, and sends hints to recently seen daemons.

    The lock is held around ``LeasePromises`` only, never around a disk write: otherwise
    a sync that takes as long as a lease would make every lease expire.

    Parameters
    ----------
    listen : Listen
        Address and port to bind; port 0 binds any free port.
    settings : LeaseSettings
        Timings.
    promises : LeasePromises
        This control VM's promises; from now on accessed only through this object.
    view_of : callable
        ``view_of(epoch)`` returns the current ``LeaseView``. Called on the socket's
        thread; must not wait for a disk.
    persist : callable
        ``persist(service, target, epoch)`` returns once the fence is synced.
    clock : callable
        Seconds of a clock that counts suspension.

    Raises
    ------
    TamarackhavenError
        If the port is taken.
    """

    def __init__(self, listen, settings, promises, view_of, persist, clock=boot_s):
        self._promise_s = promise_s(settings)
        self._promises = promises
        self._view_of = view_of
        self._persist = persist
        self._clock = clock
        self._lock = threading.Lock()
        self._renewed_at_by_address = {}
        self._stopping = threading.Event()
        self.dropped = 0
        self.answers_by_reason = dict.fromkeys(Reason, 0)
        self._socket = _bind(listen)
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="lease-server")
        self._executor.submit(self._run)

    @property
    def port(self):
        """The UDP port."""
        return self._socket.getsockname()[1]

    def _run(self):
        while not self._stopping.is_set():
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
                self._process_datagram(data, address)
            except TimeoutError:
                continue
            except OSError:
                self.dropped += 1  # e.g. an ICMP error for an earlier answer
            except Exception:
                self.dropped += 1
                _log.exception("lease renewal failed")

    def _process_datagram(self, data, address):
        renewal = decode(data)
        if not isinstance(renewal, Renewal):
            self.dropped += 1
            return
        view = self._view_of(renewal.epoch)
        with self._lock:
            now = self._clock()
            ack = self._promises.answer_renewal(renewal, now, view)
            self._note_address(address, now)
            self.answers_by_reason[ack.reason] += 1
        self._socket.sendto(encode(ack), address)

    def _note_address(self, address, now):
        """Record an address for hints, bounded so that no flood can exhaust memory."""
        known = self._renewed_at_by_address
        if address in known or len(known) < _MAX_ADDRESSES:
            known[address] = now

    def hint(self, version):
        """Send ``version`` of the state to all daemons that renewed recently.

        Recently means within the last promise time.
        """
        data = encode(Hint(version))
        for address in self._recent_addresses():
            try:
                self._socket.sendto(data, address)
            except OSError:
                self.dropped += 1

    def _recent_addresses(self):
        with self._lock:
            oldest_s = self._clock() - self._promise_s
            self._renewed_at_by_address = {
                address: renewed_at
                for address, renewed_at in self._renewed_at_by_address.items()
                if renewed_at >= oldest_s
            }
            return list(self._renewed_at_by_address)

    def fence(self, service, target, epoch):
        """Fence an epoch durably; return ``Fenced`` only after the sync."""
        with self._lock:
            fenced = self._promises.fence(service, target, epoch, self._clock())
        if fenced.ok:
            self._persist(service, target, epoch)
        return fenced

    def promise_end(self, service, target, epoch):
        """Return ``LeasePromises.promise_end``."""
        with self._lock:
            return self._promises.promise_end(service, target, epoch)

    def joined(self):
        """Treat every target as promised for a promise time, as a new voter must."""
        with self._lock:
            self._promises.joined(self._clock())

    def membership_changed(self):
        """Record that a membership was committed or this member became the leader."""
        with self._lock:
            self._promises.membership_changed(self._clock())

    def ready_for_membership_change(self):
        """Return whether the next change of membership may be proposed."""
        with self._lock:
            return self._promises.ready_for_membership_change(self._clock())

    def stop(self):
        """Stop the thread and close the socket."""
        self._stopping.set()
        self._executor.shutdown()
        self._socket.close()


def _bind(listen):
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    receiver = socket.socket(family, socket.SOCK_DGRAM)
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    try:
        receiver.bind((listen.host, listen.port))
    except OSError as error:
        receiver.close()
        raise TamarackhavenError(
            ErrorKind.PORT_TAKEN, f"lease_port: {listen.host}:{listen.port}: {error}"
        ) from error
    receiver.settimeout(_STOP_POLL_S)
    return receiver
