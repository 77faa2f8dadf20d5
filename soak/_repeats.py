"""Checks how many repeats of requests reach the targets of a service."""

import bisect
import collections

import attrs

from standin.fleet import BUDGET

WINDOW_S = 10.0
# The daemons' ratio; their slack is in the settings of the stand-in fleet.
RATIO = 0.2


@attrs.define
class RepeatWatch:
    """Requests for each service, and arrivals beyond the first of each.

    In any window there may be as many repeats as the ratio of the requests in it, in
    the one before or in the one half a window before, whichever has most, and the
    slack.

    Attributes
    ----------
    most : int
        The most repeats in a window, after ``too_many``.
    """

    most: int = 0
    _requests_s_by_service: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _repeats_s_by_service: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _arrived: set = attrs.field(factory=set)

    def requested(self, service, now):
        """Record a caller's request for a service."""
        self._requests_s_by_service[service].append(now)

    def arrived(self, service, attempt, now):
        """Record that an attempt arrives at a target, also one that rejects it."""
        if attempt in self._arrived:
            self._repeats_s_by_service[service].append(now)
        self._arrived.add(attempt)

    def too_many(self):
        """Return the windows with too many repeats, one text a service."""
        found = []
        for service, repeats_s in self._repeats_s_by_service.items():
            for end_s in repeats_s:
                repeats = _count(repeats_s, end_s)
                self.most = max(self.most, repeats)
                allowed = self._allowed(service, end_s)
                if repeats > allowed:
                    found.append(f"{service}: {repeats} in a window, {allowed} allowed")
                    break
        return found

    def _allowed(self, service, end_s):
        requests_s = self._requests_s_by_service[service]
        requests = max(
            _count(requests_s, end_s - back * WINDOW_S) for back in (0, 0.5, 1)
        )
        return RATIO * requests + BUDGET["slack"]


def _count(times_s, end_s):
    """Count the sorted times in the window that ends at ``end_s``."""
    first = bisect.bisect_right(times_s, end_s - WINDOW_S)
    return bisect.bisect_right(times_s, end_s) - first
