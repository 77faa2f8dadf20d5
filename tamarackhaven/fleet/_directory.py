"""The targets that daemons have reported to one leader. Pure."""

import attrs

from tamarackhaven.fleet._lasting_limits import LastingLimits
from tamarackhaven.fleet._messages import TargetsView
from tamarackhaven.fleet._model import (
    SILENT_TARGET_TTL_S,
    Target,
    TargetPhase,
    daemon_and_start,
)

# A target whose daemon has sent no report for longer than this gets no new keys.
MAX_REPORT_AGE_S = 1.5
# Until a request has been answered, all targets count as equally fast.
DEFAULT_WORK_S = 0.1
# Utilization is work divided by capacity, and a target may accept nothing for a while.
MIN_CAPACITY_PER_S = 0.1


@attrs.define
class ReportedTarget:
    """A target with its daemon's newest report.

    Parameters
    ----------
    reported_s : float
        When the report was received, in seconds of the boot clock.
    """

    target: Target
    report: object
    reported_s: float


class TargetDirectory:
    """Targets with their daemons' newest reports, and changes for other daemons.

    Parameters
    ----------
    term : int
        Of the leader.
    leases : LeaseTable
        Knows the lives that have ended, and until when others may hold keys.
    """

    def __init__(self, term, leases):
        self._term = term
        self._leases = leases
        self._reported_by_life = {}
        self._limits = LastingLimits()
        self._life_by_address = {}
        self._start_ms_by_daemon = {}
        self._changed_by_life = {}
        self._gone_lives = []

    def record(self, report, now, is_leaving=False):
        """Record a daemon's report.

        Parameters
        ----------
        report : Report
            The daemon's newest.
        now : float
            When it was received, in seconds of the boot clock.
        is_leaving : bool
            Whether the replicated state says that the report's target leaves, which its
            daemon and former leaders may have forgotten.
        """
        for life in report.ended_lives:
            self._end_life(life)
        target = report.target
        if target is None or self._leases.has_ended(target.life):
            return
        daemon, start_ms = daemon_and_start(target.life)
        latest_ms = self._start_ms_by_daemon.get(daemon, 0)
        self._start_ms_by_daemon[daemon] = max(start_ms, latest_ms)
        address = target.host, target.port
        former = self._life_by_address.get(address)
        if former is not None and former != target.life:
            # A VM runs one target at a time, so the former one has ended, unless this
            # is a late report of an older one.
            if self._reported_by_life[former].target.born_ms > target.born_ms:
                return
            self._end_life(former)
        self._life_by_address[address] = target.life
        if is_leaving:
            target = target.as_leaving()
        reported = self._reported_by_life.get(target.life)
        if reported is not None:
            # A daemon forgets that its target leaves when it restarts.
            target = target.with_known_leaving(reported.target)
        if reported is None or _without_load(reported.target) != _without_load(target):
            self._changed_by_life[target.life] = target
        self._reported_by_life[target.life] = ReportedTarget(target, report, now)
        self._limits.record(target.life, target.limit_per_s, now)

    def _end_life(self, life):
        self._leases.record_end(life)
        self._remove(life)

    def _remove(self, life):
        reported = self._reported_by_life.pop(life, None)
        self._limits.forget(life)
        if reported is None:
            return
        address = reported.target.host, reported.target.port
        if self._life_by_address.get(address) == life:
            del self._life_by_address[address]
        self._changed_by_life.pop(life, None)
        self._gone_lives.append(life)

    def reported(self, life):
        """Return the ``ReportedTarget`` of a life, None if it hasn't reported."""
        return self._reported_by_life.get(life)

    def reported_of(self, service):
        """Return the ``ReportedTarget`` of each target of a service."""
        return [
            each
            for each in self._reported_by_life.values()
            if each.target.service == service
        ]

    def has_daemon_of(self, life):
        """Whether the daemon of ``life`` has reported any target."""
        return daemon_and_start(life)[0] in self._start_ms_by_daemon

    def is_replaced(self, life):
        """Whether the daemon of ``life`` has reported a later life.

        After a power failure of all VMs the new leader knows none of the owners, and
        their keys would wait for leases that no target holds. A daemon has one target
        at a time, so one that started later has replaced it.
        """
        daemon, start_ms = daemon_and_start(life)
        return self._start_ms_by_daemon.get(daemon, 0) > start_ms

    def remove_silent(self, now):
        """Remove targets that have been silent for long and can hold no keys."""
        for life, reported in list(self._reported_by_life.items()):
            silent_s = now - reported.reported_s
            if silent_s > SILENT_TARGET_TTL_S and self._leases.has_expired(life, now):
                self._remove(life)

    def capacity_by_life(self, service, state, now):
        """Return the capacity of the targets that may get keys, by life.

        Capacity is in requests a second; a cold target's is at most its cold rate, and
        that of one with a limit that has lasted at most the limit.
        """
        reported = [
            each
            for each in self.reported_of(service)
            if each.target.phase is TargetPhase.READY
            and each.target.zone not in state.zones_out
            and now - each.reported_s < MAX_REPORT_AGE_S
        ]
        work_times_s = [
            each.target.work_s for each in reported if each.target.work_s > 0
        ]
        mean_work_s = (
            sum(work_times_s) / len(work_times_s) if work_times_s else DEFAULT_WORK_S
        )
        spec = state.configuration.service_by_name[service]
        return {
            each.target.life: _capacity(
                each.target,
                mean_work_s,
                spec,
                self._limits.per_s(each.target.life, now),
            )
            for each in reported
        }

    def targets_view(self):
        """Return all targets, for a daemon that has just connected."""
        targets = tuple(reported.target for reported in self._reported_by_life.values())
        return TargetsView(self._term, targets, is_whole=True)

    def take_targets_update(self):
        """Return a ``TargetsView`` of all changes since the last call, or None."""
        if not self._changed_by_life and not self._gone_lives:
            return None
        view = TargetsView(
            self._term, tuple(self._changed_by_life.values()), tuple(self._gone_lives)
        )
        self._changed_by_life = {}
        self._gone_lives = []
        return view


def _without_load(target):
    """Return ``target`` without its load and limit; daemons learn them from answers."""
    return attrs.evolve(target, load=0.0, work_s=0.0, limit_per_s=None)


def _capacity(target, mean_work_s, spec, limit_per_s):
    """Return a target's capacity in requests a second."""
    capacity = max(target.slots, 1) / (target.work_s or mean_work_s)
    if target.is_cold and spec.cold_per_s:
        capacity = min(capacity, spec.cold_per_s)
    if limit_per_s is not None:
        capacity = min(capacity, limit_per_s)
    return max(capacity, MIN_CAPACITY_PER_S)
