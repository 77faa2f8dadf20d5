"""Checks what a target gets after it named a limit or announced that it leaves."""

import collections
import itertools
import re

import attrs

# A limit holds for the requests that begin in any span of this length.
WINDOW_S = 4.0
# A VM must keep a limit from this long after it returned the first answer that names
# it, and a lower limit than before within the same time.
TOLD_AFTER_S = 0.5
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")


def named_limit(text):
    """Return the limit that a header's text names, None if it's no decimal number."""
    return float(text) if _DECIMAL.fullmatch(text) else None


@attrs.define
class NoticeWatch:
    """What one target reported of itself, which VMs know, and what it got since.

    Times are seconds of one clock. A VM is any hashable value.

    Parameters
    ----------
    drain_s : float
        How long after the announcement that the target leaves it may get new requests.
    """

    drain_s: float = 2.0
    _limits: list = attrs.field(factory=list)
    _told_s_by_vm: dict = attrs.field(factory=dict)
    _leaving_s_by_vm: dict = attrs.field(factory=dict)
    _arrivals_s: collections.deque = attrs.field(factory=collections.deque)

    @property
    def limit_per_s(self):
        """The limit in force, None without one."""
        return self._limits[-1][1] if self._limits else None

    def name_limit(self, limit_per_s, now):
        """Record that the target names a limit from now on; None ends it."""
        if limit_per_s is None:
            self._limits.clear()
            self._told_s_by_vm.clear()
            self._arrivals_s.clear()
        else:
            self._limits.append((now, limit_per_s))

    def returned(self, vm, limit_text, is_leaving, now):
        """Record that a VM returned an answer of the target to its caller.

        ``limit_text`` is the value of the header that names a limit, None without it.
        """
        is_told = limit_text is not None and named_limit(limit_text) is not None
        if is_told and self._limits:
            self._told_s_by_vm.setdefault(vm, now)
        if is_leaving:
            self._leaving_s_by_vm.setdefault(vm, now)

    def excuse(self, vm):
        """Record that a VM's daemon was restarted, stopped for a while or cut off."""
        self._told_s_by_vm.pop(vm, None)
        self._leaving_s_by_vm.pop(vm, None)

    def arrived(self, vm, sent_s, now, stalled_s=0.0):
        """Check a request that begins at the target now.

        Parameters
        ----------
        vm : hashable
            Where the request began.
        sent_s : float
            When its caller sent it.
        now : float
            When it began at the target.
        stalled_s : float
            For how much of the window before the observer stood still; what arrived
            then seems to begin at its end.

        Returns
        -------
        list of str
            The rules that are broken.
        """
        return self._check_leaving(vm, sent_s) + self._check_limit(vm, now, stalled_s)

    def _check_leaving(self, vm, sent_s):
        leaving_s = self._leaving_s_by_vm.get(vm)
        if leaving_s is None or sent_s <= leaving_s + self.drain_s:
            return []
        late_s = sent_s - leaving_s
        return [f"sent {late_s:.2f} s after {vm} returned that the target leaves"]

    def _check_limit(self, vm, now, stalled_s):
        told_s = self._told_s_by_vm.get(vm)
        if told_s is None or now - told_s < TOLD_AFTER_S:
            return []
        self._arrivals_s.append(now)
        while self._arrivals_s[0] <= now - WINDOW_S:
            self._arrivals_s.popleft()
        limited = self._limit_over_window(now) * (1 + stalled_s / WINDOW_S)
        allowed = ALLOWED_FACTOR * limited + ALLOWED_EXTRA
        count = len(self._arrivals_s)
        if count <= allowed:
            return []
        return [f"{count} requests in {WINDOW_S:.0f} s, allowed {allowed:.1f}"]

    def _limit_over_window(self, now):
        """Return how many requests the limits allow in the window that ends now.

        At each moment the highest limit counts that was in force shortly before. The
        first one also counts for the time before it.
        """
        start_s = now - WINDOW_S
        bounds_s = {start_s, now}
        for since_s, _ in self._limits:
            bounds_s |= {since_s, since_s + TOLD_AFTER_S}
        bounds_s = sorted(each for each in bounds_s if start_s <= each <= now)
        return sum(
            (until_s - from_s) * self._highest_limit((from_s + until_s) / 2)
            for from_s, until_s in itertools.pairwise(bounds_s)
        )

    def _highest_limit(self, at_s):
        ends_s = [since_s for since_s, _ in self._limits[1:]] + [float("inf")]
        in_force = [
            limit
            for (since_s, limit), end_s in zip(self._limits, ends_s, strict=True)
            if since_s <= at_s < end_s + TOLD_AFTER_S
        ]
        return max(in_force, default=self._limits[0][1])
