"""The process of a daemon: joins the group, fetches its state, renews the lease."""

import os
import threading
import uuid
from pathlib import Path

from tamarackhaven import _clock
from tamarackhaven._changes import JoinTarget, LeaveTarget, RetireTarget
from tamarackhaven._control_client import ControlClient
from tamarackhaven._daemon import Daemon
from tamarackhaven._eliot_lines import open_logs
from tamarackhaven._fetch_pace import RETRY_S as FETCH_RETRY_S, FetchPace
from tamarackhaven._handover import ArrivedParts, Handover
from tamarackhaven._lease_client import LeaseClient
from tamarackhaven._load_reports import LoadReports
from tamarackhaven._logs import Log
from tamarackhaven._members import Member, Membership
from tamarackhaven._metrics import Metrics
from tamarackhaven._model import Address, TargetState, ZoneState
from tamarackhaven._target_probe import TargetProbe
from tamarackhaven._view import View
from tamarackhaven.errors import ErrorKind, TamarackhavenError

CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.1
MIN_JOIN_INTERVAL_S = 2.0
# Also without a fetch, the time of the last confirmation of the state is passed on at
# this interval, which is well within ``stale_s``.
CONFIRM_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.02


class LeaseAdapter:
    """The lease interface that the request path uses."""

    def __init__(self, client):
        self._client = client

    def holds(self, now):
        """Return whether the lease holds at ``now``, in seconds."""
        return now < self._client.held_until()

    def held_until(self, now):
        """Return the end of the lease, in seconds of the same clock as ``now``."""
        return self._client.held_until()

    def epoch(self):
        """Return the epoch of the lease, 0 if there is none."""
        return self._client.epoch()


class DaemonProcess:
    """A daemon with its connections to the control group and its threads.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.

    Raises
    ------
    TamarackhavenError
        PORT_TAKEN, naming the port.
    """

    def __init__(self, settings):
        self._settings = settings
        folder = Path(settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        open_logs(settings.logs, folder)
        self._log = Log("control-link", settings.logs.repeats_per_minute)
        self._instance = uuid.uuid4().hex
        self._client = ControlClient(settings.control)
        self._view = View()
        self._arrived_parts = ArrivedParts()
        self._pace = FetchPace()
        self._fetch_requested = threading.Event()
        self._join_requested = threading.Event()
        self._leaving = threading.Event()
        self._stopping = threading.Event()
        self._releasing = threading.Event()
        self._incarnation = ""
        self._joined_at = -MIN_JOIN_INTERVAL_S
        self._grants_lock = threading.Lock()
        self._zone_out_at = None
        self._lease = LeaseClient(
            settings.lease,
            _first_membership(settings),
            on_version=lambda version: self._fetch_requested.set(),
            on_must_rejoin=self._must_rejoin,
        )
        self.daemon = self._open_daemon()
        self._handover = Handover(
            settings,
            self.daemon,
            self._view,
            self._client,
            self._lease,
            self._log.part("handover"),
        )
        self._reports = LoadReports(settings, self.daemon, self._client, self._lease)
        self._probe = TargetProbe(
            settings.target_address, self._release_target, self._target_is_hung
        )
        self._threads = [
            threading.Thread(target=self._run_fetches, name="map", daemon=True),
            threading.Thread(target=self._run_joins, name="join", daemon=True),
        ]

    def _open_daemon(self):
        metrics = Metrics()
        metrics.add_source(lambda: self._gauges(metrics))
        try:
            return Daemon(
                self._settings,
                self._view,
                LeaseAdapter(self._lease),
                metrics,
                self._log,
                _clock,
                on_target=self._target_changed,
                on_ledger_part=self._arrived_parts.take,
            )
        except TamarackhavenError:
            # The threads of these two would keep the process running.
            self._lease.stop()
            self._client.close()
            raise

    def _gauges(self, metrics):
        for reason, count in self._lease.losses_by_reason.items():
            name = "tamarackhaven_lease_losses"
            metrics.gauge(name, count, reason=reason.value)
        metrics.gauge("tamarackhaven_lease_held", int(self._lease.holds()))
        metrics.gauge("tamarackhaven_map_version", self._view.version)

    def start(self):
        """Start serving; the daemon joins once the target has announced itself."""
        self.daemon.start()
        self._handover.start()
        self._reports.start()
        self._fetch_requested.set()
        for thread in self._threads:
            thread.start()
        self._log.say("started", instance=self._instance, pid=os.getpid())

    # --- state of the control group ---------------------------------------------

    def _run_fetches(self):
        while not self._stopping.is_set():
            is_requested = self._fetch_requested.wait(self._fetch_wait_s())
            self._fetch_requested.clear()
            try:
                if is_requested or self._fetch_is_due():
                    self._fetch()
                if self._zone_out_at is not None:
                    self._zone_changed(ZoneState.OUT)
            except TamarackhavenError as error:
                self._log.say("map not fetched", code=error.kind.value)
            except Exception as error:
                self._log.say("map not applied", error=repr(error))
                self._stopping.wait(RETRY_INTERVAL_S)
            self.daemon.on_confirmed(self._lease.confirmed_at())

    def _fetch_wait_s(self):
        is_waiting = self._is_behind() or self._zone_out_at is not None
        return FETCH_RETRY_S if is_waiting else CONFIRM_INTERVAL_S

    def _is_behind(self):
        return self._view.version < self._lease.newest_version()

    def _fetch_is_due(self):
        return self._pace.is_due(
            _clock.boot_s(),
            self._is_behind(),
            not self._lease.needs_epoch(),
            self._lease.confirmed_at(),
        )

    def _fetch(self):
        requested_at = _clock.boot_s()
        self._pace.asked(requested_at)
        feed = self._client.fetch(self._view.version, CALL_TIMEOUT_S)
        if feed.version < self._view.version:
            # From a control VM that lags: older than the state already applied.
            return
        if self._lease.needs_epoch():
            # Without a lease, only the fetch itself confirms the state. Such a daemon
            # owns no shards and only forwards.
            self.daemon.on_confirmed(requested_at)
        if self._view.apply(feed):
            self._state_applied()

    def _state_applied(self):
        view, settings = self._view, self._settings
        if view.membership.members:
            self._client.set_members(view.membership.members)
            self._lease.set_membership(view.membership)
        zone = view.resource("AvailabilityZone", settings.zone)
        if zone is not None:
            self._zone_changed(zone.state)
        self._update_grants()
        # Last, as a renewal with this version confirms that it has been applied.
        self._lease.set_state_version(view.version)
        self._handover.changed()
        self._rejoin_if_replaced()

    def _zone_changed(self, state):
        """Set the zone's state; requests are refused a grace period after it goes out.

        During the grace period the shards are handed over one by one, and each is
        served until its move. Without it, none of their keys would be served for as
        long as the moves take. Shards that have not moved by its end get no more
        requests here.
        """
        if state is ZoneState.IN:
            self._zone_out_at = None
        elif self._zone_out_at is None:
            self._zone_out_at = _clock.boot_s()
        out_at = self._zone_out_at
        settings = self._settings
        owns = bool(self._view.owned_by(settings.service, settings.target))
        if out_at is None or not owns or _clock.boot_s() - out_at >= self._grace_s:
            self.daemon.on_zone(state)
            self._lease.set_draining(state is ZoneState.OUT)

    def _update_grants(self):
        """Own the shards that the state grants to the epoch of the lease.

        Called when either the state or the epoch changes, as they arrive in any order.
        The state with the new epoch can arrive before the answer to the join. If it
        weren't checked again after the answer, this daemon would own no shards and
        answer MOVING for them until the next change of the state.
        """
        with self._grants_lock:
            self._update_grants_locked()

    def _update_grants_locked(self):
        settings = self._settings
        owned = self._view.owned_by(settings.service, settings.target)
        own_grants = [grant for grant in owned if grant.epoch == self._lease.epoch()]
        if self._releasing.is_set():
            own_grants = []
        self.daemon.on_grants(
            own_grants,
            self._arrived_parts.pop,
            self._view.shard_count(settings.service),
        )

    def _rejoin_if_replaced(self):
        """Join again if this daemon's epoch was retired or replaced in the log."""
        settings = self._settings
        member = self._view.member(settings.service, settings.target)
        epoch = self._lease.epoch()
        if member is None or not epoch or self._leaving.is_set():
            return
        is_replaced = member.instance != self._instance
        is_lost = member.epoch == epoch and member.state is TargetState.LOST
        if is_replaced or is_lost:
            self._must_rejoin("state")

    # --- joining and leaving ----------------------------------------------------

    def _target_changed(self, state):
        if state.announcement is None:
            return
        self._incarnation = state.announcement.incarnation
        if state.leaving:
            self._leaving.set()
        self._join_requested.set()

    def _must_rejoin(self, reason):
        self._log.say("epoch refused, joining again", reason=str(reason))
        self._join_requested.set()

    def _run_joins(self):
        while not self._stopping.is_set():
            self._join_requested.wait()
            if self._stopping.is_set():
                return
            self._join_requested.clear()
            try:
                self._join_or_leave()
            except TamarackhavenError as error:
                self._log.say("not joined yet", code=error.kind.value)
                self._stopping.wait(RETRY_INTERVAL_S)
                self._join_requested.set()

    def _join_or_leave(self):
        if self._leaving.is_set():
            self._send_leave()
        elif self._needs_epoch():
            self._join()

    def _needs_epoch(self):
        return self._lease.needs_epoch() or self._is_replaced()

    def _is_replaced(self):
        settings = self._settings
        member = self._view.member(settings.service, settings.target)
        return member is not None and (
            member.instance != self._instance or member.state is TargetState.LOST
        )

    def _join(self):
        if self.daemon.hang_detector.is_hung or not self._probe.is_up():
            raise TamarackhavenError(ErrorKind.TARGET_UNREACHABLE, "before joining")
        self.daemon.resume_target()
        settings = self._settings
        # Each join is an entry of the log. A daemon that is refused repeatedly would
        # fill it and displace older decisions from the record.
        self._stopping.wait(self._joined_at + MIN_JOIN_INTERVAL_S - _clock.boot_s())
        if not self._needs_epoch():
            # The reason for this join no longer holds.
            return
        change = JoinTarget(
            service=settings.service,
            target=settings.target,
            zone=settings.zone,
            instance=self._instance,
            incarnation=self._incarnation,
            peer=Address(settings.peer.host, self.daemon.peer.port),
            capacity=settings.capacity,
        )
        outcome = self._client.change(change, CALL_TIMEOUT_S)
        if outcome.code:
            raise TamarackhavenError(ErrorKind(outcome.code), outcome.detail)
        self._joined_at = _clock.boot_s()
        self._lease.set_grant(outcome.member.epoch)
        self._update_grants()
        self._handover.changed()
        self._fetch_requested.set()
        self._probe.start()
        self._log.say("joined", epoch=outcome.member.epoch)

    def _target_is_hung(self):
        return self.daemon.hang_detector.check(_clock.boot_s())

    def _release_target(self):
        """Release the shards of a target that is down or hung, and retire it.

        The lease is kept until all requests in flight have ended, at most ``drain_s``
        seconds: a target that only closed its listening socket may still run them. A
        target that died has already cut them off, so they don't delay the release.
        At a hung target, requests in flight are abandoned at once and may still run
        when it resumes: it refuses to start them after Start-By, but nothing bounds
        the end of those it had started.
        """
        is_hung = self.daemon.hang_detector.is_hung
        reason = "its daemon found it hung" if is_hung else "its daemon found it down"
        if is_hung:
            self.daemon.suspend_target()
        settings = self._settings
        epoch = self._lease.epoch()
        self._releasing.set()
        self._update_grants()
        self._log.say(
            "target down or hung, shards released", reason=reason, epoch=epoch
        )
        deadline_s = _clock.boot_s() + settings.drain_s
        while self.daemon.in_flight_at_target() and _clock.boot_s() < deadline_s:
            self._stopping.wait(POLL_INTERVAL_S)
        self._lease.release()
        change = RetireTarget(
            settings.service,
            settings.target,
            epoch,
            "its daemon found it hung" if is_hung else "its daemon found it down",
        )
        try:
            self._client.change(change, CALL_TIMEOUT_S)
        except TamarackhavenError as error:
            # The lease is released, and the control group detects its end by itself.
            self._log.say("retirement not confirmed", code=error.kind.value)
        self._releasing.clear()
        self._join_requested.set()

    def _send_leave(self):
        settings = self._settings
        epoch = self._lease.epoch()
        if epoch:
            change = LeaveTarget(settings.service, settings.target, epoch)
            self._client.change(change, CALL_TIMEOUT_S)

    def leave(self):
        """Leave the group: hand over all shards, finish requests in flight, stop.

        Shards that no other target can take within ``drain_s`` seconds are released
        with the lease.
        """
        self._leaving.set()
        now = _clock.boot_s()
        try:
            self._send_leave()
        except TamarackhavenError as error:
            self._log.say("leaving not confirmed", code=error.kind.value)
        self._wait_until_owning_nothing(now + self._grace_s)
        self.daemon.drain()
        self._wait_until_owning_nothing(now + self._settings.drain_s)
        self.stop()

    @property
    def _grace_s(self):
        return self._settings.lease.zone_grace_ms / 1000

    def _wait_until_owning_nothing(self, deadline_s):
        settings = self._settings
        while _clock.boot_s() < deadline_s and self._lease.holds():
            if not self._view.owned_by(settings.service, settings.target):
                return
            self._stopping.wait(POLL_INTERVAL_S)

    def stop(self):
        """Stop all threads, servers and connections of this process."""
        self._stopping.set()
        self._join_requested.set()
        self._fetch_requested.set()
        self._probe.stop()
        self._reports.stop()
        self._handover.stop()
        self._lease.stop()
        for thread in self._threads:
            thread.join()
        self.daemon.stop()
        self._client.close()


def _first_membership(settings):
    """Return the control VMs of the settings, used until a state has arrived."""
    members = [Member(m.name, m.host, m.port, m.lease_port) for m in settings.control]
    return Membership(tuple(members))
