"""A daemon's UDP socket for renewing its target's lease."""

import logging
import random
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from tamarackhaven._clock import boot_s
from tamarackhaven._lease_holder import LeaseHolder, LeaseLoss
from tamarackhaven._lease_times import renew_s
from tamarackhaven._lease_wire import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Hint,
    Reason,
    decode,
    encode,
)

_log = logging.getLogger(__name__)

_MIN_RECEIVE_TIMEOUT_S = 0.001
_MIN_RETRY_S = 0.02
_WAKE_DATAGRAM = b""


class LeaseClient:
    """Renews one lease on one thread; every method is thread-safe.

    Parameters
    ----------
    settings : LeaseSettings
        Timings.
    membership : Membership
        The control VMs in the daemon's map.
    on_version : callable
        ``on_version(version)`` is called when a control VM reports a newer state than
        any before. It runs on the lease's thread, so it must only wake another one.
    on_must_rejoin : callable
        ``on_must_rejoin(reason)`` is called once per epoch, on the same thread, when
        the epoch is refused permanently.
    clock : callable
        Seconds of a clock that counts suspension.
    """

    def __init__(
        self,
        settings,
        membership,
        on_version,
        on_must_rejoin,
        clock=boot_s,
    ):
        self._renew_s = renew_s(settings)
        self._clock = clock
        self._on_version = on_version
        self._on_must_rejoin = on_must_rejoin
        self._lock = threading.Lock()
        seq = random.getrandbits(32)
        self._holder = LeaseHolder(settings, membership, seq)
        self._address_by_voter = _addresses(membership)
        self._renew_at_s = clock()
        self._notified_version = 0
        self._notified_epoch = 0
        self._stopping = threading.Event()
        self._was_held = False
        self.losses_by_reason = dict.fromkeys(LeaseLoss, 0)
        self.unsent = 0
        self.dropped = 0
        self._socket = _open(membership)
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="lease-client")
        self._executor.submit(self._run)

    def set_grant(self, epoch):
        """Renew this epoch from now on."""
        with self._lock:
            self._holder.set_grant(epoch)
            self._renew_at_s = self._clock()
        self._wake()

    def set_membership(self, membership):
        """Renew with these control VMs; requires all state up to its version."""
        with self._lock:
            self._holder.set_membership(membership)
            self._address_by_voter = _addresses(self._holder.membership)
            self._renew_at_s = self._clock()
        self._wake()

    def set_state_version(self, version):
        """Record that the daemon has applied the map up to ``version``."""
        with self._lock:
            self._holder.set_state_version(version)

    def holds(self):
        """Return whether the lease holds now."""
        with self._lock:
            return self._holder.holds(self._clock())

    def held_until(self):
        """Return the lease's end in seconds of the clock; ``-inf`` if never held."""
        with self._lock:
            return self._holder.held_until

    def lost(self):
        """Return why the lease does not hold as a ``LeaseLoss``, or None."""
        with self._lock:
            return self._holder.lost(self._clock())

    def epoch(self):
        """Return the epoch that is being renewed, 0 if none."""
        with self._lock:
            return self._holder.epoch

    def confirmed_at(self):
        """Return when a majority last had no newer state than the map, in seconds."""
        with self._lock:
            return self._holder.confirmed_at

    def newest_version(self):
        """Return the newest state version that any control VM has reported."""
        return self._notified_version

    def set_draining(self, draining):
        """Set whether renewals mark this daemon as only finishing work in flight."""
        with self._lock:
            self._holder.draining = draining

    def needs_epoch(self):
        """Return whether the daemon has no epoch that can still be renewed."""
        with self._lock:
            holder = self._holder
            return not holder.epoch or holder.released or bool(holder.must_rejoin)

    def release(self):
        """Release the lease immediately."""
        with self._lock:
            self._holder.release()

    def stop(self):
        """Release the lease, stop the thread and close the socket."""
        self.release()
        self._stopping.set()
        self._wake()
        self._executor.shutdown()
        self._socket.close()

    def _wake(self):
        """Wake the thread, so that a new grant needn't wait for the next round."""
        try:
            self._socket.sendto(_WAKE_DATAGRAM, self._socket.getsockname())
        except OSError:
            self.unsent += 1

    def _run(self):
        while not self._stopping.is_set():
            try:
                self._renew_if_due()
                self._receive()
            except Exception:
                _log.exception("lease renewal round failed")

    def _renew_if_due(self):
        with self._lock:
            now = self._clock()
            if now < self._renew_at_s:
                return
            self._renew_at_s = now + self._renew_s
            self._count_loss(now)
            renewals = self._holder.renew(now)
            address_by_voter = self._address_by_voter
        for voter, renewal in renewals.items():
            self._send(encode(renewal), address_by_voter[voter])

    def _count_loss(self, now):
        held = self._holder.holds(now)
        if self._was_held and not held:
            self.losses_by_reason[self._holder.lost(now)] += 1
        self._was_held = held

    def _send(self, data, address):
        try:
            self._socket.sendto(data, address)
        except OSError:
            self.unsent += 1  # like a lost datagram; the next round retries

    def _receive(self):
        wait_s = max(_MIN_RECEIVE_TIMEOUT_S, self._renew_at_s - self._clock())
        self._socket.settimeout(wait_s)
        try:
            data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
        except TimeoutError:
            return
        except OSError:
            self.dropped += 1
            return
        if data != _WAKE_DATAGRAM:
            self._process_message(decode(data))

    def _process_message(self, message):
        if isinstance(message, Ack):
            self._process_ack(message)
        elif isinstance(message, Hint):
            self._notify_version(message.state_version)
        else:
            self.dropped += 1

    def _process_ack(self, ack):
        with self._lock:
            now = self._clock()
            self._holder.process_ack(ack, now)
            if ack.reason is Reason.NOT_READY and not self._holder.holds(now):
                # A control VM hasn't applied the epoch yet, or has just started.
                # Waiting a whole round would leave a new target idle without need.
                retry_at_s = now + max(_MIN_RETRY_S, ack.remaining_ms / 1000)
                self._renew_at_s = min(self._renew_at_s, retry_at_s)
            seen_version = self._holder.seen_state_version
            epoch, reason = self._holder.epoch, self._holder.must_rejoin
        self._notify_version(seen_version)
        if reason is not None and epoch != self._notified_epoch:
            self._notified_epoch = epoch
            self._on_must_rejoin(reason)

    def _notify_version(self, version):
        if version > self._notified_version:
            self._notified_version = version
            self._on_version(version)


def _addresses(membership):
    return {m.name: (m.host, m.lease_port) for m in membership.members if m.voter}


def _open(membership):
    is_v6 = ":" in membership.members[0].host
    sender = socket.socket(
        socket.AF_INET6 if is_v6 else socket.AF_INET, socket.SOCK_DGRAM
    )
    sender.bind(("::" if is_v6 else "0.0.0.0", 0))
    return sender
