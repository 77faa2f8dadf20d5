"""Outlier ejection: targets of a shared service that fail or are far slower.

Load: one target is frozen, broken or a straggler while the others are well.
Harm: its share of requests fails or waits; but to eject many would put their load on
the few that are left, and an overload would look like all of them failing.
Limit: a cap on how many are out at once, a time out that doubles, and a way back.
"""

import statistics

import attrs


@attrs.frozen
class OutlierSettings:
    """When a target is ejected, and for how long.

    Parameters
    ----------
    failures : int
        Failures in a row.
    slow_factor : float
        Latency as a multiple of the median of the targets.
    min_samples : int
        Answers since the target's return before its latency is judged.
    latency_weight : float
        Weight of the newest latency in the mean.
    max_share : float
        Largest share of targets out at once, rounded down; one of two or three may
        be out.
    base_s, max_s : float
        First and longest time out, in seconds.
    """

    failures: int = 5
    slow_factor: float = 3.0
    min_samples: int = 20
    latency_weight: float = 0.1
    max_share: float = 0.34
    base_s: float = 2.0
    max_s: float = 60.0


@attrs.define
class _Health:
    failures: int = 0
    samples: int = 0
    latency: float = 0.0
    ejections: int = 0
    out_until: float = 0.0


class OutlierEjector:
    """Tracks the targets of one shared service.

    Parameters
    ----------
    settings : OutlierSettings
    """

    def __init__(self, settings=None):
        self.settings = settings or OutlierSettings()
        self._health_by_target = {}
        self.capped = 0

    def keep(self, targets):
        """Track exactly these targets."""
        present = dict.fromkeys(targets)
        for target in set(self._health_by_target) - set(present):
            del self._health_by_target[target]
        for target in present:
            self._health_by_target.setdefault(target, _Health())

    def ejected(self, now):
        """Return the names of the targets that are out at ``now``."""
        return {
            target
            for target, health in self._health_by_target.items()
            if health.out_until > now
        }

    def record(self, target, ok, latency_s, now):
        """Count one request that ended; return whether its target was ejected.

        A refusal by the target's own word counts as ok: a target that sheds is busy,
        not broken, and to eject it would move the overload to the others.
        """
        health = self._health_by_target.get(target)
        if health is None or health.out_until > now:
            return False
        self._count(health, ok, latency_s)
        if not self._is_outlier(health):
            return False
        return self._eject(health, now)

    def _count(self, health, ok, latency_s):
        health.failures = 0 if ok else health.failures + 1
        health.samples += 1
        weight = max(self.settings.latency_weight, 1.0 / health.samples)
        health.latency += weight * (latency_s - health.latency)
        if health.samples == 10 * self.settings.min_samples:
            health.ejections = 0

    def _is_outlier(self, health):
        if health.failures >= self.settings.failures:
            return True
        return self._is_judged(health) and health.latency > self._slow()

    def _is_judged(self, health):
        return health.samples >= self.settings.min_samples

    def _slow(self):
        """Return the latency above which a target is an outlier.

        By the median of all: when all are slow nobody is an outlier. With fewer than
        three targets there is no telling which of them is.
        """
        known = [h.latency for h in self._health_by_target.values() if h.samples]
        if len(known) < 3:
            return float("inf")
        return self.settings.slow_factor * statistics.median(known)

    def _eject(self, health, now):
        count = len(self._health_by_target)
        cap = max(1, int(count * self.settings.max_share))
        if count < 2 or len(self.ejected(now)) >= cap:
            self.capped += 1
            return False
        time_out = self.settings.base_s * 2.0**health.ejections
        health.out_until = now + min(self.settings.max_s, time_out)
        health.ejections = min(health.ejections + 1, 32)
        health.failures = health.samples = 0
        health.latency = 0.0
        return True
