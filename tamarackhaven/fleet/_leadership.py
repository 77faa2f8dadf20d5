"""Decisions of a control group's leader about targets and keys in one term.

Pure: it's given reports and the time, and returns grants, changes for the log and
updates for the daemons. Everything here except the leases may be lost with the leader:
the next one rebuilds it from the daemons' reports.
"""

import attrs

from tamarackhaven.fleet import _placement
from tamarackhaven.fleet._directory import TargetDirectory
from tamarackhaven.fleet._leases import LeaseTable
from tamarackhaven.fleet._leaving import OpenLeaves
from tamarackhaven.fleet._messages import LeaseGrant
from tamarackhaven.fleet._model import (
    GrantId,
    Hold,
    Release,
    TargetPhase,
)
from tamarackhaven.fleet._open_changes import OpenChanges, subtract
from tamarackhaven.fleet._ranges import overlaps
from tamarackhaven.fleet._state import AssignKeys
from tamarackhaven.fleet._trials import Trials

# Daemons look for a leader several times a second, so every running daemon has reported
# within this time of an election. Until then the leader assigns no keys and treats no
# target as gone.
DISCOVERY_TIMEOUT_S = 1.2
# Keys move when a target joins or load shifts, and are unserved for about a heartbeat
# while they do. So only a few ranges of a service are moved for balance at a time.
MAX_BALANCING_MOVES = 4
# Balancing stops while more than this fraction of the targets is silent: moved keys
# would fill the targets that may have to take over the keys of the silent ones. One
# silent target of a handful exceeds it, one of dozens doesn't.
MAX_SILENT_FRACTION = 0.2


@attrs.define
class _PendingMove:
    """A range that its owner was told to release.

    Parameters
    ----------
    first_grant : GrantId
        The first grant that leaves the range out.
    expires_s : float
        When all earlier grants have expired, in seconds of the boot clock.
    """

    service: str
    move: _placement.Move
    first_grant: GrantId
    expires_s: float


@attrs.define
class _TargetCount:
    """Number of targets of a new service.

    Parameters
    ----------
    since_s : float
        Since when it hasn't changed, in seconds of the boot clock.
    """

    count: int
    since_s: float


class Leadership:
    """One term's directory of targets, leases and pending moves.

    Parameters
    ----------
    term : int
        Of the leader.
    lease_s : float
        Length of a target's lease, in seconds.
    now : float
        Seconds of the boot clock at which the term was confirmed.
    """

    def __init__(self, term, lease_s, now):
        self.term = term
        self.confirmed_s = now
        self._last_grant_number = 0
        self.leases = LeaseTable(lease_s, now)
        self.directory = TargetDirectory(term, self.leases)
        self.trials = Trials(lease_s)
        self.leaves = OpenLeaves()
        self._pending_moves = []
        self._open_changes = OpenChanges()
        self._target_count_by_service = {}

    # Reports and grants.

    def grant(self, report, state, now, daemon=""):
        """Return the ``LeaseGrant`` that answers a report of ``daemon``.

        ``daemon`` is the host and port of its links, empty if its link is closed.

        Call it only after a quorum has confirmed the leader, in a round that began
        after the report was received, and send the grant at once.
        """
        self._last_grant_number += 1
        grant = GrantId(self.term, self._last_grant_number)
        target = report.target
        answer = LeaseGrant(
            report.number,
            grant,
            self.leases.lease_s,
            trials=self._grant_trials(daemon, report, state, now),
            view=state.view_version(),
            recorded_leaving=tuple(
                life for life in report.leaving if life in state.leaving
            ),
        )
        if target is None or self.leases.has_ended(target.life):
            return answer
        ranges = state.ranges_by_service.get(target.service, ())
        owned = tuple(each for each in ranges if each.owner == target.life)
        owned = self._without_moving(owned, target.life)
        owned = self._open_changes.without(owned, target.service, ranges)
        self.leases.record_grant(target.life, now)
        return attrs.evolve(
            answer,
            life=target.life,
            ranges=owned,
            keys_index=state.index_by_service.get(target.service, -1),
        )

    def _grant_trials(self, daemon, report, state, now):
        """Return the suspects that a daemon may run.

        A new leader doesn't know at first which ones others run.
        """
        is_discovering = now - self.confirmed_s < DISCOVERY_TIMEOUT_S
        if is_discovering or not daemon:
            return ()
        return self.trials.grant(daemon, report, state, now)

    def _without_moving(self, owned, life):
        """Return ``owned`` without the pieces that ``life`` was told to release."""
        pieces = [m.move.old for m in self._pending_moves if m.move.old.owner == life]
        result = []
        for each in owned:
            parts = [each]
            for piece in pieces:
                parts = [part for whole in parts for part in subtract(whole, piece)]
            result.extend(parts)
        return tuple(result)

    def discard_change(self, command):
        """Discard a change from ``tick`` that wasn't committed, or was void."""
        self._open_changes.discard(command)

    @property
    def undecided_count(self):
        """Number of proposed changes whose outcome isn't known yet."""
        return len(self._open_changes)

    # Decisions.

    def tick(self, state, now):
        """Return the changes of owners that are due, as a list of ``AssignKeys``.

        Their keys are granted to no target until ``state`` shows the outcome, or
        ``discard_change`` is called.

        At most one change of a service is in flight; later ones wait for the next.
        Otherwise, while a disk is stalled and releases are received, every call would
        propose the same changes again, and each costs a record and a sync on every
        control VM.
        """
        if not self._has_all_reports(state, now):
            return []
        self.directory.remove_silent(now)
        commands = []
        for service, ranges in state.ranges_by_service.items():
            if service not in state.configuration.service_by_name:
                continue
            if self._open_changes.has(service, ranges):
                continue
            commands += self._plan_service(service, ranges, state, now)
        for command in commands:
            self._open_changes.add(command)
        return commands

    def _has_all_reports(self, state, now):
        """Whether every daemon has had time to report to this leader.

        They all do so within about a second. After a power failure the wait ends
        early, once each owner's daemon has reported.
        """
        if now - self.confirmed_s >= DISCOVERY_TIMEOUT_S:
            return True
        owners = {
            each.owner for ranges in state.ranges_by_service.values() for each in ranges
        }
        return owners != {""} and all(
            owner and self.directory.has_daemon_of(owner) for owner in owners
        )

    def _plan_service(self, service, ranges, state, now):
        capacity_by_life = self.directory.capacity_by_life(service, state, now)
        self._drop_stale_moves(service, ranges)
        if not capacity_by_life:
            return []
        if len(ranges) == 1 and not ranges[0].owner:
            return self._first_assignment(service, ranges, capacity_by_life, now)
        utilization = self._utilization(service, ranges, capacity_by_life)
        for pending in self._pending_moves_of(service):
            if pending.move.to_life in capacity_by_life:
                utilization.reassign(pending.move.old, pending.move.to_life)
        assignable = [each for each in ranges if self._is_assignable(each, now)]
        released = self._finished_moves(service, utilization, now)
        # A range whose owner is gone by now is already assigned as ``assignable``.
        released = [
            each
            for each in released
            if not any(overlaps(each, gone) for gone in assignable)
        ]
        new = _placement.assign_ranges(assignable, utilization) + released
        if new:
            expected = _overlapping(ranges, new)
            cause = "owner gone" if assignable else "released"
            return [AssignKeys(service, tuple(new), expected, cause)]
        self._start_moves(service, ranges, capacity_by_life, utilization, state)
        return []

    def _utilization(self, service, ranges, capacity_by_life):
        rate_by_bucket = {}
        other_rate = 0.0
        for reported in self.directory.reported_of(service):
            rate_by_bucket.update(reported.report.key_load)
            other_rate += reported.report.key_rest
        capacity = sum(capacity_by_life.values())
        weights = _placement.KeyWeights(rate_by_bucket, other_rate, capacity)
        return _placement.Utilization(ranges, capacity_by_life, weights)

    def _first_assignment(self, service, ranges, capacity_by_life, now):
        """Assign a new service's keys once its number of targets is stable."""
        target_count = self._target_count_by_service.get(service)
        if target_count is None or target_count.count != len(capacity_by_life):
            self._target_count_by_service[service] = _TargetCount(
                len(capacity_by_life), now
            )
            return []
        if now - target_count.since_s < DISCOVERY_TIMEOUT_S:
            return []
        new = tuple(_placement.first_ranges(capacity_by_life))
        return [AssignKeys(service, new, tuple(ranges), "first owners")]

    def _is_assignable(self, key_range, now):
        owner = key_range.owner
        if (
            not owner
            or self.directory.is_replaced(owner)
            or self.leases.has_expired(owner, now)
        ):
            return True
        return self._is_refused(key_range)

    def _is_refused(self, key_range):
        """Whether the owner's target doesn't hold a range and refuses to.

        A target that has seen a higher fencing token than the range's refuses every
        order under the present one, and the keys stay unserved. They are assigned
        again, perhaps to another target, with a new, higher token.
        """
        reported = self.directory.reported(key_range.owner)
        if reported is None or reported.report.settled.term != self.term:
            return False
        refused = Hold(key_range.first, key_range.last, key_range.fence)
        return refused in reported.report.refused and not any(
            overlaps(hold, key_range) for hold in reported.report.holds
        )

    # Moves.

    def _pending_moves_of(self, service):
        return [m for m in self._pending_moves if m.service == service]

    def _drop_stale_moves(self, service, ranges):
        """Drop pending moves whose keys have another owner or fence by now."""
        kept = []
        for pending in self._pending_moves:
            is_current = pending.service != service or any(
                each.fence == pending.move.old.fence
                and each.owner == pending.move.old.owner
                and overlaps(each, pending.move.old)
                for each in ranges
            )
            if is_current:
                kept.append(pending)
        self._pending_moves = kept

    def _start_moves(self, service, ranges, capacity_by_life, utilization, state):
        leaving = {
            each.owner
            for each in ranges
            if each.owner not in capacity_by_life
            and self._is_leaving(each.owner, state)
        }
        pending = [m.move.old for m in self._pending_moves_of(service)]
        unmoved = [
            each for each in ranges if not any(overlaps(each, old) for old in pending)
        ]
        moves = _placement.leave(unmoved, leaving, utilization)
        if (
            not moves
            and not pending
            and not self._has_too_many_silent(ranges, capacity_by_life)
        ):
            moves = _placement.balance(
                unmoved,
                utilization,
                MAX_BALANCING_MOVES,
                self._lives_with_unknown_holds(capacity_by_life),
            )
        first_grant = GrantId(self.term, self._last_grant_number + 1)
        for move in moves:
            expires_s = self.leases.expiry_s(move.old.owner)
            self._pending_moves.append(
                _PendingMove(service, move, first_grant, expires_s)
            )

    def _lives_with_unknown_holds(self, capacity_by_life):
        """Return the lives whose holds aren't known to their daemons.

        A daemon that has just restarted doesn't know what its target was granted
        before. Keys that move away from such a target stay unserved for some seconds,
        until every grant that it may have received has expired. So balancing moves no
        keys away from them; the imbalance may itself come from the restarts.
        """
        return {
            life
            for life in capacity_by_life
            if not self.directory.reported(life).report.knows_holds
        }

    def _has_too_many_silent(self, ranges, capacity_by_life):
        """Whether so many owners are silent that their keys may need the capacity."""
        silent = {each.owner for each in ranges} - capacity_by_life.keys()
        return len(silent) > MAX_SILENT_FRACTION * len(capacity_by_life)

    def _is_leaving(self, life, state):
        """Whether an owner drains, or its zone is out.

        A silent owner keeps its keys until its lease expires: its daemon may only be
        restarting.
        """
        reported = self.directory.reported(life)
        if reported is None:
            return False
        is_draining = reported.target.phase is TargetPhase.DRAINING
        return is_draining or reported.target.zone in state.zones_out

    def _finished_moves(self, service, utilization, now):
        """Return the new ranges of moves whose old owner has released them.

        If the destination may get no keys any more, they go to the least utilized
        target.
        """
        new = []
        for pending in self._pending_moves_of(service):
            old = pending.move.old
            token = self._handover_of(pending, now)
            if token is None:
                continue
            to_life = pending.move.to_life
            if to_life not in utilization.weight_by_life:
                to_life = utilization.least()
                utilization.reassign(old, to_life)
            new.append(attrs.evolve(old, owner=to_life, handover=token))
        return new

    def _handover_of(self, pending, now):
        """Return the handover token of a finished release, None if it isn't finished.

        The token is empty if the old owner left none.
        """
        old = pending.move.old
        has_expired = self.directory.is_replaced(old.owner) or self.leases.has_expired(
            old.owner, now
        )
        if has_expired or now >= pending.expires_s:
            return ""
        reported = self.directory.reported(old.owner)
        if reported is None or reported.report.settled < pending.first_grant:
            return None
        if any(overlaps(hold, old) for hold in reported.report.holds):
            return None
        return _handover_token(reported.report.releases, old)


def _overlapping(ranges, new):
    return tuple(each for each in ranges if any(overlaps(each, other) for other in new))


def _handover_token(releases: tuple[Release, ...], old):
    """Return the token of a release that covers ``old``, or an empty string."""
    for release in releases:
        if release.first <= old.first and old.last <= release.last:
            return release.handover
    return ""
