"""Chooses the target of a shared service that gets a request. Pure.

Targets differ in speed and slow down for moments, and what a daemon knows of their
load is slightly out of date. If targets were chosen without regard to this, a slow one
would collect queued requests while others are idle. So each target is judged by the
time that a request would take there, from the load that its daemon reported last and
the requests sent since.
"""

import attrs

from tamarackhaven.errors import ErrorKind
from tamarackhaven.sidecar._messages import Answered, NotRun

# A load report is out of date after this long: with 100 ms of work, a slot runs ten
# requests in a second.
LOAD_TTL_S = 2.0
# Before any answer, all targets count as equal.
DEFAULT_WORK_MS = 100.0
# A target that looks slow isn't chosen, and so no new report of it arrives. A report
# loses half of its difference to the mean of the targets in this time, so that the
# target is tried again.
WORK_HALF_LIFE_S = 4.0
# Crossing zones takes about a millisecond, and the bytes are paid for: a usual answer
# costs some hundredths of what it is worth. A target in another zone has to be better
# by this much.
CROSS_ZONE_COST_MS = 5.0
CROSS_ZONE_COST_FRACTION = 0.15
# A large body pays for each of its bytes: one of 60 kB as much as a tenth of a second.
CROSS_ZONE_COST_MS_PER_KB = 1.5
# A target that couldn't be reached gets no requests for this long, then for twice as
# long each time.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Weight of the newest result in a target's failure fraction, which covers about ten
# results.
FAILURE_SMOOTHING_FACTOR = 0.1
# A failed request costs its caller a second one: a target that fails every second
# request counts as five times as slow.
FAILURE_COST_FACTOR = 8.0


@attrs.define
class _TargetStats:
    """What this daemon knows of one target.

    Parameters
    ----------
    load : GateLoad or None
        Newest load report.
    load_received_s : float
        When it was received.
    work_by_route : dict
        Mean processing time in milliseconds and when it was received, by route.
    in_flight : int
        Requests in flight from this daemon.
    sent_since_load : int
        Requests sent since the newest load report.
    failure_fraction : float
        Moving average, from 0 to 1.
    paused_until_s : float
        Until when the target should get no requests.
    pause_s : float
        Length of the last pause after the target couldn't be reached.
    """

    load: object = None
    load_received_s: float = float("-inf")
    work_by_route: dict = attrs.field(factory=dict)
    in_flight: int = 0
    sent_since_load: int = 0
    failure_fraction: float = 0.0
    paused_until_s: float = float("-inf")
    pause_s: float = 0.0


class Chooser:
    """Chooses among the targets of all shared services, for one daemon.

    Parameters
    ----------
    zone : str
        Of the daemon.
    random : callable
        Returns numbers from 0 to 1.
    is_here : callable
        ``is_here(life)`` tells whether a target is on this VM.
    """

    def __init__(self, zone, random, is_here=lambda life: False):
        self._zone = zone
        self._random = random
        self._is_here = is_here
        self._stats_by_life = {}

    def _stats(self, life):
        stats = self._stats_by_life.get(life)
        if stats is None:
            stats = self._stats_by_life[life] = _TargetStats()
        return stats

    def pick(self, targets, route, now, avoid=(), body_bytes=0):
        """Return a target, or None if all are in ``avoid``.

        Parameters
        ----------
        targets : sequence of Target
            Those that accept new requests.
        route : str
            Of the request. Processing times differ by route, and two targets are
            compared by those of the same route.
        now : float
            Seconds of the boot clock.
        avoid : collection of str
            Lives that were tried already.
        body_bytes : int
            Size of the request's body.
        """
        untried = [target for target in targets if target.life not in avoid]
        if not untried:
            return None
        unpaused = [
            target
            for target in untried
            if self._stats(target.life).paused_until_s <= now
        ]
        if not unpaused:
            return min(untried, key=lambda each: self._stats(each.life).paused_until_s)
        mean_ms = self._mean_work_ms(unpaused, route, now)
        return min(
            unpaused,
            key=lambda target: (
                self._cost_ms(target, route, mean_ms, now)
                + self.cross_zone_cost_ms(target, body_bytes)
                + self._transfer_ms(target, body_bytes, now)
            ),
        )

    def _transfer_ms(self, target, body_bytes, now):
        """Return the estimated milliseconds to transfer a body to a target's VM.

        A body may take longer to transfer than to process. Chosen by its slots alone, a
        target with a full link would look as good as any. The estimate uses the link's
        throughput and backlog as its daemon reported them last, the backlog only while
        the report is fresh.
        """
        load = self._stats(target.life).load
        if not body_bytes or load is None or not load.link_bytes_per_s:
            return 0.0
        if self._is_here(target.life):
            return 0.0
        is_fresh = now - self._stats(target.life).load_received_s < LOAD_TTL_S
        ahead_bytes = load.arriving_bytes if is_fresh else 0
        return 1000 * (ahead_bytes + body_bytes) / load.link_bytes_per_s

    def cross_zone_cost_ms(self, target, body_bytes):
        """Return how many milliseconds it is worth not to send a body across zones."""
        if target.zone == self._zone:
            return 0.0
        return CROSS_ZONE_COST_MS_PER_KB * body_bytes / 1000

    def _mean_work_ms(self, targets, route, now):
        """Return a route's mean processing time in ms; older reports count less."""
        total = total_weight = 0.0
        for target in targets:
            known = self._stats(target.life).work_by_route.get(route)
            if known is not None:
                work_ms, received_s = known
                weight = _age_weight(now - received_s)
                total += weight * work_ms
                total_weight += weight
        return total / total_weight if total_weight else DEFAULT_WORK_MS

    def _cost_ms(self, target, route, mean_ms, now):
        """Return the estimated cost of a request at ``target``, in milliseconds."""
        stats = self._stats(target.life)
        work_ms, received_s = stats.work_by_route.get(route, (mean_ms, now))
        work_ms = mean_ms + _age_weight(now - received_s) * (work_ms - mean_ms)
        busy, slots = target.load * target.slots, target.slots
        if stats.load is not None and now - stats.load_received_s < LOAD_TTL_S:
            busy = max(
                stats.load.running + stats.load.waiting + stats.sent_since_load,
                stats.in_flight,
            )
        elif stats.load is not None:
            busy = max(busy, stats.in_flight)
        if stats.load is not None:
            slots = stats.load.slots
        utilization = (busy + 1) / max(slots, 1)
        cost_ms = work_ms * max(1.0, utilization) + work_ms * 0.25 * min(
            utilization, 1.0
        )
        cost_ms *= 1 + FAILURE_COST_FACTOR * stats.failure_fraction
        if target.zone != self._zone:
            cost_ms += CROSS_ZONE_COST_MS + CROSS_ZONE_COST_FRACTION * cost_ms
        if stats.load is not None and stats.load.is_cold:
            cost_ms *= 2
        # Daemons with the same load reports would all choose the same target.
        return cost_ms * (1 + 0.2 * self._random())

    def record_sent(self, life):
        """Count a request that was sent to a target."""
        stats = self._stats(life)
        stats.in_flight += 1
        stats.sent_since_load += 1

    def record_result(self, life, route, load, failed, now):
        """Record the end of a request.

        Parameters
        ----------
        life : str
            Of the target.
        route : str
            Of the request.
        load : GateLoad or None
            Load that the target's daemon reported with the result.
        failed : bool or None
            Whether the target ran the request and failed; None if it didn't run.
        now : float
            Seconds of the boot clock.
        """
        stats = self._stats(life)
        stats.in_flight = max(stats.in_flight - 1, 0)
        if load is not None:
            stats.load = load
            stats.load_received_s = now
            if load.work_ms:
                stats.work_by_route[route] = (load.work_ms, now)
            stats.sent_since_load = 0
            stats.pause_s = 0.0
            stats.paused_until_s = float("-inf")
            if load.limit_wait_s:
                # A target with a limit looks idle, and every request would be offered
                # to it first.
                stats.paused_until_s = now + load.limit_wait_s
        if failed is not None:
            stats.failure_fraction += FAILURE_SMOOTHING_FACTOR * (
                float(failed) - stats.failure_fraction
            )

    def record_unreachable(self, life, now):
        """Pause a target that couldn't be reached."""
        stats = self._stats(life)
        stats.pause_s = min(max(2 * stats.pause_s, MIN_PAUSE_S), MAX_PAUSE_S)
        stats.paused_until_s = now + stats.pause_s

    def pause(self, life, seconds, now):
        """Send a target nothing for ``seconds``, unless all targets are paused."""
        stats = self._stats(life)
        stats.paused_until_s = max(stats.paused_until_s, now + seconds)

    def forget(self, lives):
        """Remove targets that aren't in ``lives`` and have no request in flight."""
        for life in list(self._stats_by_life):
            if life not in lives and not self._stats_by_life[life].in_flight:
                del self._stats_by_life[life]


def has_failed(end):
    """Tell whether a result counts as a failure of its target; None if neither.

    A target that refuses part of its requests although it has room looks idle, and
    would get ever more of them. So a refusal by the target counts as a failure, as if
    it had run the request and failed.
    """
    if isinstance(end, Answered):
        return end.status >= 500
    if isinstance(end, NotRun) and end.kind != ErrorKind.TARGET_REFUSED.name:
        return None
    return True


def _age_weight(age_s):
    """Return the weight of a report of this age in seconds, from 1 down to 0."""
    return 0.5 ** (age_s / WORK_HALF_LIFE_S)
