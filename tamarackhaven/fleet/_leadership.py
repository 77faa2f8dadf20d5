"""What a leader of the control group decides about targets and keys in one term.

Pure: reports and the time come in; grants, changes for the log and news for the
daemons go out. Everything here but the leases can be lost with the leader: the next
one learns it again from the daemons' reports.
"""

import attrs

from tamarackhaven.fleet import _placement
from tamarackhaven.fleet._leases import LeaseBook
from tamarackhaven.fleet._messages import LeaseGrant, TargetsView
from tamarackhaven.fleet._model import (
    GrantId,
    Hold,
    Release,
    Target,
    TargetPhase,
    place_and_start,
)
from tamarackhaven.fleet._open_changes import OpenChanges, minus
from tamarackhaven.fleet._ranges import overlaps
from tamarackhaven.fleet._state import AssignKeys

# Within this time of its election a leader has heard from every daemon that is there:
# they look for a leader several times a second. Before, it neither shares out keys
# nor calls a target gone.
SETTLE_S = 1.2
# A target whose daemon has been silent for so long gets no new keys.
FRESH_S = 1.5
# Callers find out by themselves that a daemon is gone, and one that is only cut off
# from the control VMs goes on serving. So the directory forgets late.
FORGET_S = 20.0
# Load: a target joins, or load shifts. Harm: keys are unserved for about a heartbeat
# while they move. Limit: few at a time in one service.
MOST_MOVES = 4
# Load: some owners are silent. Harm: keys that moved meanwhile fill the targets that
# have to take over those of the silent ones. Limit: nothing moves while more than this
# part of the targets is silent; one of a handful counts, one of dozens doesn't.
SILENT_PART = 0.2


# Before any answer, all targets count as equally fast.
UNKNOWN_WORK_S = 0.1


@attrs.define
class _Known:
    """What a daemon's newest report says."""

    target: Target
    report: object
    heard_s: float


@attrs.define
class _Moving:
    """A range that its owner was told to release.

    Parameters
    ----------
    since : GrantId
        The first grant without the range.
    free_at_s : float
        When all earlier grants have run out.
    """

    service: str
    move: _placement.Move
    since: GrantId
    free_at_s: float


@attrs.define
class _Gathering:
    """Targets of a new service, and since when there have been so many."""

    count: int
    since_s: float


class Leadership:
    """One term's directory, leases and moves.

    Parameters
    ----------
    term : int
        Of the leader.
    lease_s : float
        Length of a target's lease.
    now : float
        Seconds of the boot clock at which the term was confirmed.
    """

    def __init__(self, term, lease_s, now):
        self.term = term
        self._started_s = now
        self._number = 0
        self.leases = LeaseBook(lease_s, now)
        self._known_by_life = {}
        self._life_by_host = {}
        self._start_ms_by_place = {}
        self._moving = []
        self._open = OpenChanges()
        self._gathering_by_service = {}
        self._changed = {}
        self._gone = []

    # Reports and grants.

    def report(self, report, now):
        """Take in a daemon's report."""
        for life in report.ended_lives:
            self._end(life)
        target = report.target
        if target is None or self.leases.has_ended(target.life):
            return
        place, start_ms = place_and_start(target.life)
        known_ms = self._start_ms_by_place.get(place, 0)
        self._start_ms_by_place[place] = max(start_ms, known_ms)
        host = target.host, target.port
        former = self._life_by_host.get(host)
        if former is not None and former != target.life:
            # A VM has one target at a time: its former one has ended, unless this
            # report is the older one.
            if self._known_by_life[former].target.born_ms > target.born_ms:
                return
            self._end(former)
        self._life_by_host[host] = target.life
        known = self._known_by_life.get(target.life)
        if known is None or _news(known.target) != _news(target):
            self._changed[target.life] = target
        self._known_by_life[target.life] = _Known(target, report, now)

    def _end(self, life):
        self.leases.ended(life)
        self._forget(life)

    def _forget(self, life):
        known = self._known_by_life.pop(life, None)
        if known is None:
            return
        host = known.target.host, known.target.port
        if self._life_by_host.get(host) == life:
            del self._life_by_host[host]
        self._changed.pop(life, None)
        self._gone.append(life)

    def grant(self, report, state, now):
        """Return the ``LeaseGrant`` that answers a report.

        To be sent at once, after a quorum has confirmed the leader later than the
        report came in.
        """
        self._number += 1
        grant = GrantId(self.term, self._number)
        target = report.target
        if target is None or self.leases.has_ended(target.life):
            return LeaseGrant(report.number, grant, self.leases.lease_s)
        ranges = state.ranges_by_service.get(target.service, ())
        owned = tuple(each for each in ranges if each.owner == target.life)
        owned = self._without_moving(owned, target.life)
        owned = self._open.without(owned, target.service, ranges)
        self.leases.granted(target.life, now)
        return LeaseGrant(
            report.number,
            grant,
            self.leases.lease_s,
            target.life,
            owned,
            state.index_by_service.get(target.service, -1),
        )

    def _without_moving(self, owned, life):
        """Leave out the pieces of ranges that are on the move."""
        pieces = [m.move.old for m in self._moving if m.move.old.owner == life]
        result = []
        for each in owned:
            rest = [each]
            for piece in pieces:
                rest = [part for whole in rest for part in minus(whole, piece)]
            result.extend(rest)
        return tuple(result)

    def not_taken(self, command):
        """Note that a change from ``tick`` never came into the log, or was void."""
        self._open.not_taken(command)

    @property
    def undecided_count(self):
        """How many changes the log has not decided on yet."""
        return len(self._open)

    # Decisions.

    def tick(self, state, now):
        """Return the changes that are due, as a list of ``AssignKeys``.

        Their keys are granted to nobody until ``state`` shows what became of them, or
        ``not_taken`` is called.

        Load: a disk that stalls while releases come in. Harm: the same changes are
        proposed at each look, and each costs a record and a sync on every control VM.
        Limit: one change of a service is on its way at a time; what is due meanwhile
        goes into the next one.
        """
        if not self._has_heard_all(state, now):
            return []
        self._forget_silent(now)
        commands = []
        for service, ranges in state.ranges_by_service.items():
            if service not in state.configuration.service_by_name:
                continue
            if self._open.has(service, ranges):
                continue
            commands += self._place(service, ranges, state, now)
        for command in commands:
            self._open.add(command)
        return commands

    def _has_heard_all(self, state, now):
        """Whether no more daemons are to be expected.

        All of them are known to come within a second or so; after a loss of power
        there is nothing to wait for once the place of each owner was heard.
        """
        if now - self._started_s >= SETTLE_S:
            return True
        owners = {
            each.owner for ranges in state.ranges_by_service.values() for each in ranges
        }
        return owners != {""} and all(
            owner and place_and_start(owner)[0] in self._start_ms_by_place
            for owner in owners
        )

    def _forget_silent(self, now):
        for life, known in list(self._known_by_life.items()):
            silent_s = now - known.heard_s
            if silent_s > FORGET_S and self.leases.is_over(life, now):
                self._forget(life)

    def _place(self, service, ranges, state, now):
        candidates = self._candidates(service, state, now)
        self._drop_stale_moves(service, ranges)
        if not candidates:
            return []
        if len(ranges) == 1 and not ranges[0].owner:
            return self._first(service, ranges, candidates, now)
        shares = self._shares(service, ranges, candidates)
        for moving in self._moving_of(service):
            if moving.move.to_life in candidates:
                shares.move(moving.move.old, moving.move.to_life)
        free = [each for each in ranges if self._is_free(each, now)]
        released = self._released(service, candidates, now)
        # A move whose owner is gone meanwhile is a range without an owner like others.
        released = [
            each for each in released if not any(overlaps(each, gone) for gone in free)
        ]
        new = _placement.share_out(free, shares) + released
        if new:
            expected = _touched(ranges, new)
            cause = "owner gone" if free else "released"
            return [AssignKeys(service, tuple(new), expected, cause)]
        self._start_moves(service, ranges, candidates, shares, state)
        return []

    def _candidates(self, service, state, now):
        """Return the power of the targets that may get keys, by life.

        Power is in requests a second; of a cold target it is what it bears.
        """
        known = [
            each
            for each in self._known_by_life.values()
            if each.target.service == service
            and each.target.phase is TargetPhase.READY
            and each.target.zone not in state.zones_out
            and now - each.heard_s < FRESH_S
        ]
        times = [each.target.work_s for each in known if each.target.work_s > 0]
        usual_s = sum(times) / len(times) if times else UNKNOWN_WORK_S
        spec = state.configuration.service_by_name[service]
        return {each.target.life: _power(each.target, usual_s, spec) for each in known}

    def _shares(self, service, ranges, candidates):
        rate_by_bucket = {}
        rest = 0.0
        for known in self._known_by_life.values():
            if known.target.service == service:
                rate_by_bucket.update(known.report.key_load)
                rest += known.report.key_rest
        power = sum(candidates.values())
        weights = _placement.KeyWeights(rate_by_bucket, rest, power)
        return _placement.Shares(ranges, candidates, weights)

    def _first(self, service, ranges, candidates, now):
        """Share out a new service's keys once no more targets come."""
        gathering = self._gathering_by_service.get(service)
        if gathering is None or gathering.count != len(candidates):
            self._gathering_by_service[service] = _Gathering(len(candidates), now)
            return []
        if now - gathering.since_s < SETTLE_S:
            return []
        new = tuple(_placement.first_ranges(candidates))
        return [AssignKeys(service, new, tuple(ranges), "first owners")]

    def _is_free(self, key_range, now):
        owner = key_range.owner
        if not owner or self._is_replaced(owner) or self.leases.is_over(owner, now):
            return True
        return self._is_refused(key_range)

    def _is_refused(self, key_range):
        """Whether the owner's target doesn't hold a range, nor will it.

        Failure: a target has seen a higher token than the owner's. Symptom: its keys
        stay unserved, as it refuses each order under the present one. Enough: they
        are given out again, which makes a new token.
        """
        known = self._known_by_life.get(key_range.owner)
        if known is None or known.report.settled.term != self.term:
            return False
        refused = Hold(key_range.first, key_range.last, key_range.fence)
        return refused in known.report.refused and not any(
            overlaps(hold, key_range) for hold in known.report.holds
        )

    def _is_replaced(self, life):
        """Whether a later life was heard from the place of ``life``.

        Failure: all VMs lose power, and the new leader knows none of the owners.
        Symptom: their keys wait for a lease that nobody holds. Enough: a place has one
        target at a time, so what started there later has replaced it.
        """
        place, start_ms = place_and_start(life)
        return self._start_ms_by_place.get(place, 0) > start_ms

    # Moves.

    def _moving_of(self, service):
        return [m for m in self._moving if m.service == service]

    def _drop_stale_moves(self, service, ranges):
        """Forget the moves whose keys have another owner or fence by now."""
        kept = []
        for moving in self._moving:
            is_current = moving.service != service or any(
                each.fence == moving.move.old.fence
                and each.owner == moving.move.old.owner
                and overlaps(each, moving.move.old)
                for each in ranges
            )
            if is_current:
                kept.append(moving)
        self._moving = kept

    def _start_moves(self, service, ranges, candidates, shares, state):
        leaving = {
            each.owner
            for each in ranges
            if each.owner not in candidates and self._is_leaving(each.owner, state)
        }
        moving = [m.move.old for m in self._moving_of(service)]
        still = [
            each for each in ranges if not any(overlaps(each, old) for old in moving)
        ]
        moves = _placement.leave(still, leaving, shares)
        if not moves and not moving and not self._has_silent(ranges, candidates):
            moves = _placement.balance(
                still, shares, MOST_MOVES, self._unsure(candidates)
            )
        since = GrantId(self.term, self._number + 1)
        for move in moves:
            free_at_s = self.leases.until_s(move.old.owner)
            self._moving.append(_Moving(service, move, since, free_at_s))

    def _unsure(self, candidates):
        """Return the lives of which nobody knows what they hold.

        Load: daemons that have just started again, and a balance that their absence
        upset. Harm: keys that move away from such a target stay unserved until all that
        it may have been told has run out, some seconds. Limit: those seconds.
        """
        return {
            life
            for life in candidates
            if not self._known_by_life[life].report.knows_holds
        }

    def _has_silent(self, ranges, candidates):
        """Whether the fate of too many owners is open; their keys need the room."""
        silent = {each.owner for each in ranges} - candidates.keys()
        return len(silent) > SILENT_PART * len(candidates)

    def _is_leaving(self, life, state):
        """Whether an owner said that it leaves, or its zone is out.

        One that is silent may only have a daemon that restarts: it keeps its keys
        until its lease is over.
        """
        known = self._known_by_life.get(life)
        if known is None:
            return False
        is_draining = known.target.phase is TargetPhase.DRAINING
        return is_draining or known.target.zone in state.zones_out

    def _released(self, service, candidates, now):
        """Return the new ranges of moves whose old owner has let go."""
        new = []
        for moving in self._moving_of(service):
            old = moving.move.old
            token = self._handover(moving, now)
            if token is None:
                continue
            to_life = moving.move.to_life
            if to_life not in candidates:
                to_life = min(candidates)
            new.append(attrs.evolve(old, owner=to_life, handover=token))
        return new

    def _handover(self, moving, now):
        """Return the handover of a finished release, empty without one, else None."""
        old = moving.move.old
        is_over = self._is_replaced(old.owner) or self.leases.is_over(old.owner, now)
        if is_over or now >= moving.free_at_s:
            return ""
        known = self._known_by_life.get(old.owner)
        if known is None or known.report.settled < moving.since:
            return None
        if any(overlaps(hold, old) for hold in known.report.holds):
            return None
        return _token(known.report.releases, old)

    # News.

    def targets_view(self):
        """Return all targets, for a daemon that has just come."""
        targets = tuple(known.target for known in self._known_by_life.values())
        return TargetsView(self.term, targets)

    def take_news(self):
        """Return a ``TargetsView`` of what changed since the last call, or None."""
        if not self._changed and not self._gone:
            return None
        view = TargetsView(self.term, tuple(self._changed.values()), tuple(self._gone))
        self._changed = {}
        self._gone = []
        return view


def _news(target):
    """Return what daemons need to hear of at once; the load comes with answers."""
    return attrs.evolve(target, load=0.0, work_s=0.0)


def _power(target, usual_s, spec):
    """Return the requests a second that a target can do."""
    power = max(target.slots, 1) / (target.work_s or usual_s)
    if target.is_cold and spec.cold_per_s:
        power = min(power, spec.cold_per_s)
    return power


def _touched(ranges, new):
    return tuple(each for each in ranges if any(overlaps(each, other) for other in new))


def _token(releases: tuple[Release, ...], old):
    """Return the token of a release that covers the range, empty if there is none."""
    for release in releases:
        if release.first <= old.first and old.last <= release.last:
            return release.handover
    return ""
