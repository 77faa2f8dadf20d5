"""Chooses a target of a shared service: the better of two that are sampled.

Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001.

Many daemons choose at the same time from delayed load reports. If all chose the target
that looks best, they would overload it until the next report; if they chose at random,
a slow target would keep its full share. Two samples are sufficient to avoid a slow
target and too few for all daemons to choose the same one.
"""

import attrs

from tamarackhaven._settings import GateSettings


@attrs.frozen
class ChoiceSettings:
    """How two sampled targets are compared.

    Parameters
    ----------
    report_weight : float
        Weight of a reported request of other daemons relative to one of this daemon.
        Reports are delayed by more than the duration of a request; at full weight all
        daemons left the same target, and returned to it, at the same time.
    report_half_life_s : float
        Age in seconds at which a reported load counts half.
    latency_half_life_s : float
        Time in seconds after which a measured latency has lost half its weight, so
        that a target that was slow is tried again.
    latency_weight : float
        Weight of the newest latency in the moving mean. It is small because with
        requests of mixed duration a long one would make a target look slow.
    first_latency_s : float
        Latency assumed for a target without measurements, in seconds.
    other_zone_factor : float
        Factor for the cost of targets in other availability zones, 1 or more.
    """

    report_weight: float = 0.25
    report_half_life_s: float = 1.0
    latency_half_life_s: float = 2.0
    latency_weight: float = 0.05
    first_latency_s: float = 0.005
    other_zone_factor: float = 1.2


@attrs.frozen
class Candidate:
    """A target that may be chosen; it can run ``slots`` requests at once now."""

    target: str
    zone: str
    slots: int = 1


@attrs.define
class _TargetStats:
    """Load and latency of one target, as seen by this daemon."""

    in_flight: int = 0
    reported: int = 0
    reported_at_s: float = float("-inf")
    latency: float = 0.0
    latency_at_s: float | None = None


class TargetChooser:
    """Chooses targets of one shared service for one daemon.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    settings : ChoiceSettings
    gate : GateSettings
        Gives the maximum number of connections to a target.
    """

    def __init__(self, zone, settings=None, gate=None):
        self.zone = zone
        self.settings = settings or ChoiceSettings()
        self.gate = gate or GateSettings()
        self._stats_by_target = {}

    def choose(self, candidates, now, rng, tried=()):
        """Return the candidate to send to, or None if there is none.

        Parameters
        ----------
        candidates : list of Candidate
            Eligible targets, without ejected ones.
        now : float
            Current time, in seconds.
        rng : random.Random
            Source of the sample.
        tried : collection of str
            Targets that this request was already sent to.
        """
        free = [c for c in candidates if c.target not in tried and self._has_room(c)]
        pair = rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda c: (self.cost(c, now), c.target), default=None)

    def cost(self, candidate, now):
        """Return the estimated duration of one more request, in seconds."""
        stats = self._stats_by_target.get(candidate.target) or _TargetStats()
        load = (self._load(stats, now) + 1) / candidate.slots
        factor = 1.0
        if candidate.zone != self.zone:
            factor = self.settings.other_zone_factor
        return load * self._latency(stats, now) * factor

    def started(self, target):
        """Count a request that is sent to ``target``."""
        self._stats(target).in_flight += 1

    def ended(self, target, latency_s, now):
        """Count the end of a request, however it ended.

        ``latency_s`` of a request that was cancelled or timed out is its duration so
        far, as a target that doesn't answer must not look fast. For a refused request
        it is None, which leaves the mean unchanged: a target that refuses immediately
        would otherwise look fastest and attract the requests that it refuses.
        """
        stats = self._stats(target)
        stats.in_flight = max(0, stats.in_flight - 1)
        if latency_s is None:
            return
        if stats.latency_at_s is not None:
            mean_s = self._latency(stats, now)
            latency_s = mean_s + self.settings.latency_weight * (latency_s - mean_s)
        stats.latency = latency_s
        stats.latency_at_s = now

    def report(self, target, report, now):
        """Record a ``TargetReport`` unless it is older than the last one."""
        stats = self._stats(target)
        made_at_s = now - report.age_s
        if made_at_s >= stats.reported_at_s:
            stats.reported = report.running
            stats.reported_at_s = made_at_s

    def keep(self, targets):
        """Forget all but these targets."""
        for target in set(self._stats_by_target) - set(targets):
            del self._stats_by_target[target]

    def _has_room(self, candidate):
        stats = self._stats_by_target.get(candidate.target)
        return stats is None or stats.in_flight < self.gate.max_connections

    def _stats(self, target):
        return self._stats_by_target.setdefault(target, _TargetStats())

    def _load(self, stats, now):
        """Return this daemon's requests at the target plus weighted ones of others."""
        age = max(0.0, now - stats.reported_at_s)
        decay = 0.5 ** (age / self.settings.report_half_life_s)
        others = max(0, stats.reported - stats.in_flight)
        return stats.in_flight + self.settings.report_weight * decay * others

    def _latency(self, stats, now):
        """Return the mean latency in seconds, decayed by age to the assumed one."""
        first = self.settings.first_latency_s
        if stats.latency_at_s is None:
            return first
        age = max(0.0, now - stats.latency_at_s)
        decay = 0.5 ** (age / self.settings.latency_half_life_s)
        return first + (stats.latency - first) * decay
