"""Limits what a target gets while it is cold, or may have become cold unnoticed. Pure.

A target may become cold at any moment, and its next heartbeat says so only up to an
interval later. At the rate that a warm target bears it would crash by then. So the
starts since it last said that it isn't cold are counted, and before they are more than
a cold target bears in a second, it's asked again.
"""

import collections

import attrs

WINDOW_S = 1.0
# A zone that comes back cold meets its former demand. At the bare cold rate most of it
# is refused, though targets fail only well above that rate; half as much again is too
# much.
COLD_RATE_FACTOR = 1.25
# Starts reach the target a little later than they are counted, and some bunch up.
UNCHECKED_FRACTION = 0.9
# The target is asked after this fraction of the starts that it may get unasked, so that
# its reply comes before requests have to wait for it.
CHECK_FRACTION = 0.7


def cold_starts(per_s):
    """Return how many starts per second a cold target is given, at least 1."""
    return max(int(COLD_RATE_FACTOR * per_s), 1)


@attrs.frozen
class ColdLimits:
    """The starts that a target may get in a second.

    Parameters
    ----------
    cold : int or None
        While it is cold; None if it isn't.
    unchecked : int or None
        Since it last said that it isn't cold; None for any number.
    """

    cold: int | None = None
    unchecked: int | None = None


def cold_limits(service, settings, is_cold):
    """Return the ``ColdLimits`` of a target.

    Parameters
    ----------
    service : ServiceSpec or None
        Of the target, None if it isn't known.
    settings : ColdSettings
        What a cold target bears.
    is_cold : bool
        Whether the target is known to be cold.
    """
    if service is None:
        return ColdLimits()
    cold = cold_starts(service.cold_per_s) if is_cold else None
    if not service.cold_per_s:
        return ColdLimits(cold)
    most = service.cold_per_s * settings.ratio + settings.slack
    return ColdLimits(cold, max(int(UNCHECKED_FRACTION * most), 1))


class ColdStarts:
    """Counts the recent starts of a target.

    Parameters
    ----------
    started_s : float
        When the daemon was started, in seconds of the boot clock. What a former process
        of it started in the second before isn't known.
    """

    def __init__(self, started_s):
        self._started_s = started_s
        self._starts_s = collections.deque()
        self._unchecked_s = collections.deque()
        self._warm_s = float("-inf")
        self.limits = ColdLimits()

    @property
    def is_cold(self):
        """Whether the target is known to be cold."""
        return self.limits.cold is not None

    def add(self, now):
        """Count a start."""
        for starts_s in (self._starts_s, self._unchecked_s):
            starts_s.append(now)
            _drop_until(starts_s, now - WINDOW_S)

    def confirm_warm(self, asked_s):
        """Record that the target isn't cold, by its reply to a check of ``asked_s``."""
        self._warm_s = max(self._warm_s, asked_s)
        _drop_until(self._unchecked_s, asked_s)

    def has_room(self, now):
        """Whether another request may start, as far as cold is concerned."""
        if self.is_cold:
            return self._is_known(now) and self._count(now) < self.limits.cold
        if self.limits.unchecked is None:
            return True
        return self.unchecked(now) < self.limits.unchecked

    def unchecked(self, now):
        """Return the starts of the last second that no check has followed."""
        if not self._is_known(now) and self._warm_s < self._started_s:
            return self.limits.unchecked or 0
        _drop_until(self._unchecked_s, now - WINDOW_S)
        return len(self._unchecked_s)

    def is_check_due(self, now):
        """Whether the target should be asked whether it's cold."""
        if self.is_cold or self.limits.unchecked is None:
            return False
        return self.unchecked(now) >= CHECK_FRACTION * self.limits.unchecked

    def wait_s(self, ahead, now):
        """Return a new request's expected wait in seconds, after ``ahead`` others."""
        if self.is_cold:
            return (ahead + 1) / self.limits.cold
        if self.has_room(now):
            return 0.0
        return (ahead + 1) / self.limits.unchecked

    def _is_known(self, now):
        return now - self._started_s >= WINDOW_S

    def _count(self, now):
        _drop_until(self._starts_s, now - WINDOW_S)
        return len(self._starts_s)


def _drop_until(times_s, until_s):
    """Remove the times up to ``until_s`` from the start of a deque."""
    while times_s and times_s[0] <= until_s:
        times_s.popleft()
