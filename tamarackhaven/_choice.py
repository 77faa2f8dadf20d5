"""Which target of a shared service takes a request: the better of two sampled.

Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001.

Load: many daemons choose at once, from reports that lag.
Harm: if all took the target that looks best, they would flood it together until the
next report; if they chose blindly, a slow target would keep its full share.
Limit: two samples are enough to avoid the slow target and too few to herd.
"""

import attrs

from tamarackhaven._settings import GateSettings


@attrs.frozen
class ChoiceSettings:
    """How two sampled targets are compared.

    Parameters
    ----------
    report_weight : float
        Weight of one request of other daemons, as reported, against one of our own.
        Reports lag by more than a request takes; at full weight all daemons left the
        same target, and returned to it, together.
    report_half_life_s : float
        Age at which a reported load counts half.
    latency_half_life_s : float
        Time in which a latency seen is half forgotten, so that a target that was slow
        is tried again.
    latency_weight : float
        Weight of the newest latency in the mean. Small, since work of mixed length
        otherwise makes a target look slow for one long request.
    first_latency_s : float
        Latency assumed of a target not yet seen, in seconds.
    other_zone_factor : float
        Cost of a target in another availability zone, 1 or more.
    """

    report_weight: float = 0.25
    report_half_life_s: float = 1.0
    latency_half_life_s: float = 2.0
    latency_weight: float = 0.05
    first_latency_s: float = 0.005
    other_zone_factor: float = 1.2


@attrs.frozen
class Candidate:
    """A target that may be chosen; ``slots`` is what it can run at once now."""

    target: str
    zone: str
    slots: int = 1


@attrs.define
class _Seen:
    """What this daemon knows of one target."""

    in_flight: int = 0
    reported: int = 0
    reported_at: float = float("-inf")
    latency: float = 0.0
    latency_at: float | None = None


class TargetChooser:
    """Chooses targets for one shared service at one daemon.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    settings : ChoiceSettings
    gate : GateSettings
        Gives the hard bound on connections to a target.
    """

    def __init__(self, zone, settings=None, gate=None):
        self.zone = zone
        self.settings = settings or ChoiceSettings()
        self.gate = gate or GateSettings()
        self._seen_by_target = {}

    def choose(self, candidates, now, rng, tried=()):
        """Return the candidate to send to, or None if there is none.

        Parameters
        ----------
        candidates : list of Candidate
            Eligible targets without those that are ejected.
        now : float
            In seconds.
        rng : random.Random
            Draws the sample.
        tried : collection of str
            Targets that had this request already.
        """
        free = [c for c in candidates if c.target not in tried and self._has_room(c)]
        pair = rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda c: (self.cost(c, now), c.target), default=None)

    def cost(self, candidate, now):
        """Return the expected time of one more request, in seconds, for comparison."""
        seen = self._seen_by_target.get(candidate.target) or _Seen()
        load = (self._load(seen, now) + 1) / candidate.slots
        factor = 1.0
        if candidate.zone != self.zone:
            factor = self.settings.other_zone_factor
        return load * self._latency(seen, now) * factor

    def started(self, target):
        """Count a request that is sent to ``target``."""
        self._seen(target).in_flight += 1

    def ended(self, target, latency_s, now):
        """Count the end of a request, however it ended.

        One that was cancelled or timed out counts with the time it took so far: a
        target that answers nothing must not look fast. One that was refused counts
        with None, which leaves the latency as it was: a target that refuses at once
        would look fastest of all and draw the requests that it refuses.
        """
        seen = self._seen(target)
        seen.in_flight = max(0, seen.in_flight - 1)
        if latency_s is None:
            return
        if seen.latency_at is not None:
            mean = self._latency(seen, now)
            latency_s = mean + self.settings.latency_weight * (latency_s - mean)
        seen.latency = latency_s
        seen.latency_at = now

    def report(self, target, report, now):
        """Take in a ``TargetReport``; an older one than the last is ignored."""
        seen = self._seen(target)
        made_at = now - report.age_s
        if made_at >= seen.reported_at:
            seen.reported = report.running
            seen.reported_at = made_at

    def keep(self, targets):
        """Forget all but these targets."""
        for target in set(self._seen_by_target) - set(targets):
            del self._seen_by_target[target]

    def _has_room(self, candidate):
        seen = self._seen_by_target.get(candidate.target)
        return seen is None or seen.in_flight < self.gate.max_connections

    def _seen(self, target):
        return self._seen_by_target.setdefault(target, _Seen())

    def _load(self, seen, now):
        """Return requests at the target: our own, and a part of others by age."""
        age = max(0.0, now - seen.reported_at)
        kept = 0.5 ** (age / self.settings.report_half_life_s)
        others = max(0, seen.reported - seen.in_flight)
        return seen.in_flight + self.settings.report_weight * kept * others

    def _latency(self, seen, now):
        """Return the latency seen, falling towards the assumed one with age."""
        first = self.settings.first_latency_s
        if seen.latency_at is None:
            return first
        age = max(0.0, now - seen.latency_at)
        kept = 0.5 ** (age / self.settings.latency_half_life_s)
        return first + (seen.latency - first) * kept
