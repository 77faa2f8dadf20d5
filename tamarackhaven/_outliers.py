"""Ejects targets of a shared service that fail or are far slower than the others.

If one target is frozen, broken or slow, its share of requests fails or is delayed.
Ejecting many targets, however, would put their load on the few that remain, and in an
overload all targets seem to fail. Therefore the number of targets ejected at once is
limited, and each returns after a time that doubles with every ejection.
"""

import statistics

import attrs


@attrs.frozen
class OutlierSettings:
    """When a target is ejected, and for how long.

    Parameters
    ----------
    failures : int
        Consecutive failures after which a target is ejected.
    slow_factor : float
        Latency, as a multiple of the median of all targets, above which a target is
        ejected.
    min_samples : int
        Requests since the target's last ejection before its latency is compared.
    latency_weight : float
        Weight of the newest latency in the mean.
    max_share : float
        Maximum fraction of targets ejected at once, rounded down, but at least one of
        two or three targets.
    base_s, max_s : float
        First and maximum duration of an ejection, in seconds.
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
    latency_s: float = 0.0
    ejections: int = 0
    ejected_until_s: float = 0.0


class OutlierEjector:
    """Tracks the health of the targets of one shared service.

    Parameters
    ----------
    settings : OutlierSettings
    """

    def __init__(self, settings=None):
        self.settings = settings or OutlierSettings()
        self._health_by_target = {}
        self.suppressed_ejections = 0

    def keep(self, targets):
        """Track exactly these targets and forget all others."""
        present = dict.fromkeys(targets)
        for target in set(self._health_by_target) - set(present):
            del self._health_by_target[target]
        for target in present:
            self._health_by_target.setdefault(target, _Health())

    def ejected(self, now):
        """Return the names of the targets that are ejected at ``now``, in seconds."""
        return {
            target
            for target, health in self._health_by_target.items()
            if health.ejected_until_s > now
        }

    def record(self, target, ok, latency_s, now):
        """Record the end of a request; return whether its target was ejected for it.

        A refusal sent by the target itself counts as ok: the target is busy, not
        broken, and ejecting it would move the overload to the others.
        """
        health = self._health_by_target.get(target)
        if health is None or health.ejected_until_s > now:
            return False
        self._count(health, ok, latency_s)
        if not self._is_outlier(health):
            return False
        return self._eject(health, now)

    def _count(self, health, ok, latency_s):
        health.failures = 0 if ok else health.failures + 1
        health.samples += 1
        weight = max(self.settings.latency_weight, 1.0 / health.samples)
        health.latency_s += weight * (latency_s - health.latency_s)
        if health.samples == 10 * self.settings.min_samples:
            health.ejections = 0

    def _is_outlier(self, health):
        if health.failures >= self.settings.failures:
            return True
        return (
            self._has_min_samples(health) and health.latency_s > self._max_latency_s()
        )

    def _has_min_samples(self, health):
        return health.samples >= self.settings.min_samples

    def _max_latency_s(self):
        """Return the latency in seconds above which a target is an outlier.

        It depends on the median of all targets, so there is no outlier if all are
        slow. With fewer than three targets the outlier can't be determined.
        """
        latencies_s = [
            h.latency_s for h in self._health_by_target.values() if h.samples
        ]
        if len(latencies_s) < 3:
            return float("inf")
        return self.settings.slow_factor * statistics.median(latencies_s)

    def _eject(self, health, now):
        count = len(self._health_by_target)
        max_ejected = max(1, int(count * self.settings.max_share))
        if count < 2 or len(self.ejected(now)) >= max_ejected:
            self.suppressed_ejections += 1
            return False
        ejection_s = self.settings.base_s * 2.0**health.ejections
        health.ejected_until_s = now + min(self.settings.max_s, ejection_s)
        health.ejections = min(health.ejections + 1, 32)
        health.failures = health.samples = 0
        health.latency_s = 0.0
        return True
