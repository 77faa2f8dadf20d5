"""One control VM: storage, consensus, leases, leader duties and gRPC services."""

import concurrent.futures
import os
import random
from pathlib import Path

from grpclib.server import Server

from tamarackhaven import _clock
from tamarackhaven._consensus import Consensus
from tamarackhaven._control_services import ControlService, PeerService, VersionWaiters
from tamarackhaven._fences import FenceFile
from tamarackhaven._leader import LeaderDuties
from tamarackhaven._lease_promises import LeasePromises, LeaseView
from tamarackhaven._lease_server import LeaseServer
from tamarackhaven._loop import LoopThread
from tamarackhaven._machine import Machine
from tamarackhaven._members import Member, Membership
from tamarackhaven._metrics import Metrics
from tamarackhaven._metrics_app import metrics_server
from tamarackhaven._model import TargetState, ZoneState
from tamarackhaven._peers import FenceAnswer, Peers
from tamarackhaven._raft import Role
from tamarackhaven._settings import Listen
from tamarackhaven._storage import Storage
from tamarackhaven.errors import ErrorKind, TamarackhavenError

FENCE_THREADS = 4
CALL_TIMEOUT_S = 10.0


class Control:
    """The components of one control VM.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    log : Log
        Log of the part ``control``.
    on_fatal : callable
        ``on_fatal(error)`` after an error that this member can't recover from; the
        process must then exit.

    Raises
    ------
    TamarackhavenError
        PORT_TAKEN if a port is taken, or another kind if the data folder can't be
        used.
    """

    def __init__(self, settings, log, on_fatal):
        self._settings = settings
        self._log = log
        self._member = _own_member(settings)
        membership = _first_membership(settings)
        folder = Path(settings.data_folder)
        self._storage = Storage.open(folder)
        self._on_fatal = on_fatal
        self._fences = FenceFile.open(folder, must_exist=not self._storage.is_new)
        self._fence_executor = concurrent.futures.ThreadPoolExecutor(FENCE_THREADS)
        self._loop = LoopThread("control")
        self.machine = Machine(membership)
        self._zone_out_at_by_name = {}
        self._promises = LeasePromises(
            settings.lease,
            _clock.boot_s(),
            self._fences.epochs_by_target,
        )
        self.peers = Peers(settings.name, self._loop, membership)
        self.consensus = Consensus(
            settings.name,
            settings.raft,
            self._storage,
            Membership(()) if settings.join else membership,
            self.peers.send,
            self.machine,
            _clock.boot_s,
            random.Random(os.urandom(16)),
            on_fatal,
        )
        self.leases = LeaseServer(
            Listen(self._member.host, self._member.lease_port),
            settings.lease,
            self._promises,
            self._lease_view,
            self._persist_fence,
        )
        self.leader = LeaderDuties(
            settings,
            self.consensus,
            self.machine,
            self.peers,
            self.leases,
            _clock,
            log,
        )
        self._version_waiters = VersionWaiters(self.machine, self._loop.loop)
        self.machine.on_applied(self._state_applied)
        self._was_voter = self._is_voter(membership)
        self._server = None
        self.metrics = Metrics()
        self.metrics.add_source(self._gauges)
        self._metrics_server = self._open_metrics_server()

    def _open_metrics_server(self):
        try:
            return metrics_server(self.metrics, self._settings.metrics)
        except TamarackhavenError:
            # The lease thread would keep the process running.
            self.leases.stop()
            raise

    def _gauges(self):
        status = self.consensus.status()
        value_by_gauge = {
            "term": status.term,
            "commit": status.commit,
            "applied": status.applied,
            "leads": int(status.role is Role.LEADER),
            "syncs": self._storage.sync_count,
            "decisions": len(self.machine.state.decisions.all()),
        }
        for name, value in value_by_gauge.items():
            self.metrics.gauge(f"tamarackhaven_control_{name}", value)
        for reason, count in self.leases.answers_by_reason.items():
            self.metrics.gauge(
                "tamarackhaven_lease_renewals", count, answer=reason.name
            )

    def start(self):
        """Start the member and its servers; call ``stop`` even if this fails.

        Raises
        ------
        TamarackhavenError
            PORT_TAKEN, naming the address.
        """
        self.consensus.start()
        self.leader.start()
        self._metrics_server.start()
        self._loop.call(self._listen(), CALL_TIMEOUT_S)
        self._log.say("started", member=self._settings.name)

    async def _listen(self):
        services = [
            PeerService(self.consensus, self._fence, self._fence_executor),
            ControlService(
                self.consensus,
                self.machine,
                self.peers,
                self.leader,
                self._version_waiters,
            ),
        ]
        server = Server(services)
        try:
            await server.start(self._member.host, self._member.port)
        except OSError as error:
            raise TamarackhavenError(
                ErrorKind.PORT_TAKEN,
                f"members.port: {self._member.host}:{self._member.port}: {error}",
            ) from error
        self._server = server

    def _persist_fence(self, service, target, epoch):
        """Persist a fence; if that fails, the member stops as after any failed sync."""
        try:
            self._fences.fence(service, target, epoch)
        except TamarackhavenError as error:
            self._on_fatal(error)
            raise

    def _fence(self, service, target, epoch):
        fenced = self.leases.fence(service, target, epoch)
        return FenceAnswer(fenced.ok, fenced.remaining_ms / 1000)

    def _state_applied(self, version):
        membership = self.machine.membership
        if membership.version == version:
            self._membership_applied(membership)
        for zone in self.machine.state.zones:
            if zone.state is ZoneState.OUT:
                self._zone_out_at_by_name.setdefault(zone.name, _clock.boot_s())
            else:
                self._zone_out_at_by_name.pop(zone.name, None)
        self.leases.hint(version)

    def _membership_applied(self, membership):
        self.peers.set_membership(membership)
        self.leases.membership_changed()
        self._update_voter(membership)

    def _update_voter(self, membership):
        is_voter = self._is_voter(membership)
        if is_voter and not self._was_voter:
            self.leases.joined()
        self._was_voter = is_voter

    def _is_voter(self, membership):
        return self._settings.name in membership.voters

    def _lease_view(self, epoch):
        """Return the ``LeaseView`` of an epoch, to decide on one renewal."""
        # The newest membership in the log, committed or not. With the applied one, a
        # majority could still grant leases under a membership whose successor is
        # already committed.
        membership = self.consensus.status().membership
        self._update_voter(membership)
        with self.machine.lock:
            member = self.machine.state.member_by_epoch(epoch)
            version = self.machine.version
            zone_out = member is not None and self._is_zone_past_grace(member.zone)
        return LeaseView(
            membership_version=membership.version,
            state_version=version,
            voter=self._is_voter(membership),
            target=(member.service, member.target) if member else None,
            retired=member is not None and member.state is TargetState.LOST,
            zone_out=zone_out,
        )

    def _is_zone_past_grace(self, zone):
        """Return whether a zone has been out for longer than its targets are served.

        Renewals continue for a grace period, so that a daemon that receives the change
        can hand over its shards one by one; one that doesn't stops when its lease then
        ends. The period is the daemons' own grace period plus one lease duration: they
        receive the change later, and would otherwise be refused just before they
        report that they are draining.
        """
        out_at = self._zone_out_at_by_name.get(zone)
        lease = self._settings.lease
        grace_s = (lease.zone_grace_ms + lease.lease_ms) / 1000
        return out_at is not None and _clock.boot_s() - out_at >= grace_s

    def stop(self):
        """Stop all threads, servers and connections of this member."""
        self.leader.stop()
        self._metrics_server.stop()
        self._loop.call(self._close(), CALL_TIMEOUT_S)
        self.consensus.stop()
        self.leases.stop()
        self.peers.close()
        self._fence_executor.shutdown()
        self._loop.stop()
        self._storage.close()
        self._log.say("stopped", member=self._settings.name)

    async def _close(self):
        if self._server is not None:
            self._server.close()


def _own_member(settings):
    member_by_name = {member.name: member for member in settings.members}
    return member_by_name[settings.name]


def _first_membership(settings):
    """Return the membership at the group's first start.

    It excludes a member that joins a running group. That member gets the actual
    membership from the leader, and until then neither votes nor counts as a voter.
    """
    members = [
        Member(m.name, m.host, m.port, m.lease_port)
        for m in settings.members
        if not (settings.join and m.name == settings.name)
    ]
    return Membership(tuple(members))
