"""The daemon beside a target: its servers, request path, gate and ledger."""

import random
import threading

import attrs

from tamarackhaven._admit import Admission
from tamarackhaven._announce_app import announce_app
from tamarackhaven._caller_app import caller_app
from tamarackhaven._cancel import Canceller
from tamarackhaven._forward import Forwarder
from tamarackhaven._gate import Gate
from tamarackhaven._grants import Grants
from tamarackhaven._http_server import MAX_HEADER_BYTES, HttpServer
from tamarackhaven._ledger import Ledger
from tamarackhaven._metrics_app import metrics_server
from tamarackhaven._model import PolicyMode, ZoneState
from tamarackhaven._owner import Owner
from tamarackhaven._owner_route import OwnerRoute
from tamarackhaven._path import RequestPath
from tamarackhaven._peer_app import peer_app
from tamarackhaven._retries import Retries, owner_retries
from tamarackhaven._retry import RetrySettings
from tamarackhaven._seen_load import SeenLoad
from tamarackhaven._send import Connections
from tamarackhaven._shared_route import SharedRoute
from tamarackhaven._silence import HangDetector
from tamarackhaven._target_link import TargetLink
from tamarackhaven._verify import DaemonStatus
from tamarackhaven.errors import ErrorKind, TamarackhavenError

_ANNOUNCE_THREADS = 2
# A forwarding daemon adds headers to those of the caller.
PEER_HEADER_BYTES = 2 * MAX_HEADER_BYTES


@attrs.frozen
class _Target:
    """The gate of the target's current start and the connections to it."""

    admission: Admission
    connections: Connections


class Daemon:
    """One daemon; the process that starts it handles signals.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    view : View
        The state of the control group; may change at any time.
    lease : Lease
        The lease of the target beside it.
    metrics : Metrics
        Metrics of the process.
    log : Log
        Each component logs to a part with its own prefix.
    clock : Clock
        Usually the module ``_clock``.
    on_target : callable or None
        Called with the ``LinkState`` when the target has announced itself, restarted
        or begun to leave.
    on_ledger_part : callable or None
        Called with the bytes of a ledger part from another daemon.

    Notes
    -----
    ``on_confirmed`` must be called each time the state is confirmed: ``stale_s``
    seconds after the last call, all requests are refused with STATE_STALE.
    """

    def __init__(
        self,
        settings,
        view,
        lease,
        metrics,
        log,
        clock,
        on_target=None,
        on_ledger_part=None,
    ):
        self.settings = settings
        self.ledger = Ledger(settings.bookings)
        self.ledger_lock = threading.Lock()
        self.link = TargetLink(clock)
        self.hang_detector = HangDetector(settings.target_silent_s, threading.Lock())
        self._lease = lease
        self._metrics = metrics
        self._log = log.part("daemon")
        self._clock = clock
        self._on_target = on_target or (lambda state: None)
        self._lock = threading.Lock()
        self._announce_lock = threading.Lock()
        self._target = self._hung_target = None
        self._is_draining = False
        self._zone = ZoneState.IN
        self._confirmed_s = clock.boot_s()
        self.seen_load = SeenLoad(clock)
        self._grants = Grants(_LockedLedger(self.ledger, self.ledger_lock), clock)
        self._forwarder = Forwarder(2 * settings.threads)
        self._canceller = Canceller()
        owner = Owner(
            settings,
            self.status,
            lease,
            self._grants,
            self.ledger,
            self.ledger_lock,
            self._current_target,
            self._canceller,
            clock,
            self.seen_load.note,
            self.hang_detector,
        )
        self.path = self._make_path(view, owner, log.part("path"))
        self._servers = []
        self._open_ports(on_ledger_part or _refuse_ledger_part)

    def _make_path(self, view, owner, log):
        settings, metrics, clock = self.settings, self._metrics, self._clock
        exclusive = OwnerRoute(
            settings,
            view,
            owner,
            self._forwarder,
            self.status,
            Retries(
                owner_retries(settings.threads), PolicyMode.EXCLUSIVE, metrics, clock
            ),
            metrics,
            clock,
        )
        retries = Retries(RetrySettings(), PolicyMode.SHARED, metrics, clock)
        self._shared = SharedRoute(
            settings, view, owner, self._forwarder, retries, metrics, clock
        )
        return RequestPath(
            view, exclusive, self._shared, self.status, metrics, log, clock
        )

    def _open_ports(self, on_ledger_part):
        settings = self.settings
        try:
            self.caller = self._serve(
                caller_app(self.path), settings.caller, settings.threads, "caller"
            )
            self.peer = self._serve(
                peer_app(self.path, on_ledger_part),
                settings.peer,
                settings.threads,
                "peer",
                PEER_HEADER_BYTES,
            )
            self.announce = self._serve(
                announce_app(self), settings.announce, _ANNOUNCE_THREADS, "announce"
            )
            self.metrics_page = metrics_server(
                self._metrics, settings.metrics, self.path.refusals
            )
            self._servers.append(self.metrics_page)
        except TamarackhavenError:
            self._stop_servers()
            raise

    def _serve(self, app, listen, threads, name, header_bytes=MAX_HEADER_BYTES):
        server = HttpServer(app, listen, threads, name, header_bytes)
        self._servers.append(server)
        return server

    def start(self):
        """Start all servers."""
        for server in self._servers:
            server.start()
        self._log.say(
            "started",
            caller_port=self.caller.port,
            peer_port=self.peer.port,
            announce_port=self.announce.port,
            metrics_port=self.metrics_page.port,
        )

    def drain(self):
        """Refuse new requests with DRAINING and wait for those in flight.

        Requests for keys of other targets are still forwarded. Returns whether all
        requests ended within ``drain_s`` seconds.
        """
        with self._lock:
            self._is_draining = True
            target = self._target
        for server in self._servers:
            server.close_after_answers()
        if target is not None:
            target.admission.stop(ErrorKind.DRAINING)
        self._log.say("draining")
        is_idle = self.path.wait_idle(self.settings.drain_s)
        self._log.say(
            "drained" if is_idle else "requests still in flight after drain_s"
        )
        return is_idle

    def stop(self):
        """Close all ports and connections, and abort requests in flight."""
        self._stop_servers()
        self._shared.close()
        self._forwarder.close()
        self._canceller.close()
        with self._lock:
            target, self._target = self._target, None
        _close_target(target)
        self._log.say("stopped")

    def _stop_servers(self):
        for server in self._servers:
            server.stop()

    # Calls from the control link.

    def on_grants(self, grants, pop_part=None, shard_count=0):
        """Replace the owned ``ShardGrant`` records of this target.

        See ``Grants.replace`` for the parameters.
        """
        self._grants.replace(grants, pop_part, shard_count)

    def on_confirmed(self, now):
        """Record that the state was confirmed at ``now``, seconds of CLOCK_BOOTTIME."""
        self._confirmed_s = max(self._confirmed_s, now)

    def on_zone(self, state):
        """Set the state of this daemon's availability zone."""
        self._zone = state

    def in_flight(self, service, shard):
        """Return the number of requests in flight in a shard, including queued ones."""
        return self._grants.in_flight((service, shard))

    def in_flight_of(self, grant, shard_count):
        """Return the number of requests that a release of this grant waits for."""
        return self._grants.in_flight_of(grant, shard_count)

    def in_flight_at_target(self):
        """Return the number of requests in flight at the target, and queued for it."""
        return self._grants.in_flight_all()

    def export_ledger(self, service, shard):
        """Close a shard's ledger and return its ``LedgerPart``, or None."""
        with self.ledger_lock:
            return self.ledger.export(service, shard)

    def gate_state(self):
        """Return the gate's current limit, and whether the target is cold.

        Returns
        -------
        (int, bool)
            Limit and whether cold; (0, True) before the target has announced itself.
        """
        target = self._target
        if target is None:
            return 0, True
        gauges = target.admission.gauges()
        return gauges["limit"], bool(gauges["cold"])

    def stop_admitting(self, service, shard):
        """Refuse new requests of a shard until a newer grant or ``resume``."""
        self._grants.stop((service, shard))

    def resume(self, service, shard):
        """Admit requests of a shard again after its move was cancelled."""
        self._grants.resume((service, shard))

    # Calls from the target.

    def announced(self, announcement):
        """Apply the announcement of a target; each start of it gets a new gate.

        Raises
        ------
        TamarackhavenError
            ADDRESS_MISMATCH if the settings name another address.
        """
        _check_address(announcement.address, self.settings.target_address)
        with self._announce_lock:
            is_new_start = self.link.is_new(announcement)
            if is_new_start:
                self.hang_detector.started(self._clock.boot_s())
                self._replace_target(announcement)
            else:
                self.hang_detector.message_received(self._clock.boot_s())
            # Last, so that a reader of the new link state finds the new gate in place.
            self.link.announce(announcement)
        if not is_new_start:
            return
        self._log.say("target announced itself", incarnation=announcement.incarnation)
        self._on_target(self.link.state())

    def reported(self, report):
        """Apply a load report of the target."""
        self.link.report(report)
        self.hang_detector.reported(self._clock.boot_s())
        target = self._target
        if target is not None:
            target.admission.report(report)
            for name, value in target.admission.gauges().items():
                self._metrics.gauge(f"tamarackhaven_gate_{name}", value)

    def left(self):
        """Refuse queued and new requests: the target has begun to leave."""
        self.link.leave()
        self.hang_detector.message_received(self._clock.boot_s())
        target = self._target
        if target is not None:
            target.admission.stop(ErrorKind.DRAINING)
        self._log.say("target is leaving")
        self._on_target(self.link.state())

    def suspend_target(self):
        """Refuse requests queued for a hung target; ``Owner`` ends those in flight."""
        target = self._target
        if target is not None:
            self._hung_target = target
            # The queued requests did not run, so the next owner may run them.
            target.admission.stop(ErrorKind.MOVING)

    def resume_target(self):
        """Admit requests again to a target that was hung and now responds."""
        hung_target, self._hung_target = self._hung_target, None
        is_leaving = self._is_draining or self.link.state().leaving
        if hung_target is not None and hung_target is self._target and not is_leaving:
            hung_target.admission.open(cold=False)

    def state(self):
        """Return the daemon's state for the target, as a JSON object."""
        now = self._clock.boot_s()
        return {
            "draining": self._is_draining,
            "zone": self._zone.value,
            "lease_held": self._lease.holds(now),
        }

    def status(self):
        """Return the current ``DaemonStatus`` of this daemon."""
        return DaemonStatus(
            service=self.settings.service,
            target=self.settings.target,
            draining=self._is_draining or self.link.state().leaving,
            zone=self._zone,
            confirmed_s=self._confirmed_s,
        )

    def _replace_target(self, announcement):
        target = self._make_target(announcement)
        with self._lock:
            previous, self._target = self._target, target
        _close_target(previous)

    def _make_target(self, announcement):
        gate = Gate(
            self.settings.gate,
            announcement.slots,
            self._clock.boot_s(),
            random.Random(),
        )
        admission = Admission(gate, self._clock)
        if self._is_draining:
            admission.stop(ErrorKind.DRAINING)
        address = announcement.address
        limit = self.settings.gate.max_connections
        return _Target(admission, Connections(address.host, address.port, limit))

    def _current_target(self):
        target = self._target
        if target is None:
            raise TamarackhavenError(
                ErrorKind.TARGET_UNREACHABLE, "The target has not announced itself."
            )
        return target.admission, target.connections


@attrs.frozen
class _LockedLedger:
    """The ledger's methods for shard ownership, called under its lock."""

    ledger: Ledger
    lock: threading.Lock

    def adopt(self, service, shard, grant, now_unix):
        with self.lock:
            self.ledger.adopt(service, shard, grant, now_unix)

    def drop(self, service, shard):
        with self.lock:
            self.ledger.drop(service, shard)

    def restart(self, service, shard, now_unix):
        with self.lock:
            self.ledger.restart(service, shard, now_unix)

    def import_(self, part, grant, previous_grant, now_unix):
        with self.lock:
            return self.ledger.import_(part, grant, previous_grant, now_unix)


def _check_address(announced, expected):
    """Refuse an announcement whose address isn't the one that the probe watches.

    Requests go to the announced address, while the probe watches the address in the
    settings. If these differ, a healthy target could be retired, or one that is down
    could be kept.

    Raises
    ------
    TamarackhavenError
        ADDRESS_MISMATCH, naming both addresses.
    """
    is_same_port = expected.port in (0, announced.port)
    if announced.host != expected.host or not is_same_port:
        raise TamarackhavenError(
            ErrorKind.ADDRESS_MISMATCH,
            f"{announced.host}:{announced.port} was announced, "
            f"target_address is {expected.host}:{expected.port}.",
        )


def _close_target(target):
    """Refuse requests queued for an earlier target start; close its connections."""
    if target is None:
        return
    target.admission.stop(ErrorKind.TARGET_UNREACHABLE)
    target.admission.close()
    target.connections.close()


def _refuse_ledger_part(body):
    raise TamarackhavenError(
        ErrorKind.NOT_FOUND, "This daemon accepts no ledger parts."
    )
