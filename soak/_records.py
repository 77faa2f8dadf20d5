"""Observations of callers, targets and operators in a run, and guarantee checks."""

import asyncio
import collections
import contextlib
import time

import attrs

from soak._repeats import RepeatWatch
from soak._routes import RouteWatch
from standin.call import NO_STATUS
from standin.notice_watch import WINDOW_S

# Statuses from which a caller concludes that its request wasn't executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Tolerance for requests that start after the drain time that follows an acknowledged
# leave, or after the evacuation time of a zone; covers short delays of the simulated
# targets' event loop.
TIMING_TOLERANCE_S = 0.3
# Shorter stalls of the run's event loop are covered by the tolerance.
MIN_STALL_S = 0.25
# A response later than this after its deadline counts as held back.
MAX_LATENESS_S = 1.0


@attrs.define
class CallerRequest:
    """One request of a caller and its response.

    Parameters
    ----------
    attempt, key, is_safe
        Attempt id, shard key and whether the request is safe; ``key`` is None for
        shared services.
    sent_s, deadline_s, ended_s : float
        Times of ``time.monotonic()``, in seconds.
    was_disturbed : bool
        Whether its daemon was stopped, paused or killed before the request ended.
    status : int
        HTTP status; 0 if the connection ended without a response.
    sent : bytes
        Body of the request; a target's response ends with it.
    prefix : str
        Path prefix of its route.
    """

    attempt: str
    key: int | None
    is_safe: bool
    sent_s: float
    deadline_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    sent: bytes = b""
    was_disturbed: bool = False
    prefix: str = ""


@attrs.define
class Records:
    """All observations of a run; each check appends to ``violations``.

    Parameters
    ----------
    stalls : list of (float, float)
        Start and end of the stalls of the run's event loop, in seconds.
    next_loop_check_s : float
        Time of the next stall check; if it has passed, the loop is stalled since then.
    max_core_fraction : float
        Maximum fraction of a core that a process used between two checks.
    """

    violations: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    executions_by_attempt: dict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    newest_accepted: int = 0
    lost_updates: int = 0
    stalls: list = attrs.field(factory=list)
    next_loop_check_s: float = float("inf")
    max_core_fraction: float = 0.0
    drain_s: float = 2.0
    zone_out_s: float = 5.0
    targets: list = attrs.field(factory=list)
    routes: RouteWatch = attrs.field(factory=RouteWatch)
    poisons: object = None
    repeats: RepeatWatch = attrs.field(factory=RepeatWatch)
    zone_out_since_s: dict = attrs.field(factory=dict)
    _origin_by_attempt: dict = attrs.field(factory=dict)
    _fence_by_key: dict = attrs.field(factory=dict)
    _accepted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def report_violation(self, guarantee, detail):
        """Record the violation of a guarantee."""
        self.violations.append(f"{guarantee}: {detail}")

    # Targets.

    def check_fences(self, target, rows):
        """Check the fencing tokens of the keys granted to a target.

        A new holder of a key must have a higher token than all holders before it.
        """
        for first, last, fence, _ in rows:
            for key in range(-(-first // 1024) * 1024, last + 1, 1024):
                holder, highest = self._fence_by_key.get(key, ("", 0))
                incarnation = f"{target.name}@{target.born_ms}"
                if incarnation != holder and fence <= highest:
                    self.report_violation(
                        "fences", f"key {key}: {fence} after {highest}"
                    )
                self._fence_by_key[key] = incarnation, max(fence, highest)

    def check_start(self, target, attempt, key):
        """Check that ``target`` may start executing a request now."""
        now_s = time.monotonic()
        self.executions_by_attempt[attempt].append((target.name, now_s))
        self._check_notices(target, attempt, now_s)
        self.check_route(attempt, target.service)
        drain_end_s = target.drain_end_s
        if (
            drain_end_s is not None
            and self._elapsed_without_stalls_s(drain_end_s, now_s) > TIMING_TOLERANCE_S
        ):
            self.report_violation(
                "drain", f"{attempt} started at {target.name} after its drain time"
            )
        out_s = self.zone_out_since_s.get(target.zone)
        if (
            out_s is not None
            and self._elapsed_without_stalls_s(out_s + self.zone_out_s, now_s)
            > TIMING_TOLERANCE_S
        ):
            self.report_violation("zone out", f"{attempt} started at {target.name}")
        if key is None:
            return
        for other in self.targets:
            if other is not target and other.is_up and other.holds(key):
                self.report_violation(
                    "one owner", f"key {key}: {target.name} and {other.name}"
                )

    def _check_notices(self, target, attempt, now_s):
        """Check a start against the limit that the target named, and its leaving."""
        if attempt not in self._origin_by_attempt:
            return
        vm, sent_s = self._origin_by_attempt[attempt]
        window_start_s = now_s - WINDOW_S
        stalled_s = WINDOW_S - self._elapsed_without_stalls_s(window_start_s, now_s)
        for detail in target.watch.arrived(vm, sent_s, now_s, stalled_s):
            self.report_violation("notices", f"{attempt} at {target.name}: {detail}")

    def check_route(self, attempt, service):
        """Check by which configuration a request was handled.

        ``service`` is the one that runs it, None if the caller was told that no route
        exists.
        """
        detail = self.routes.handled(attempt, service)
        if detail is not None:
            self.report_violation("configuration", detail)

    # Callers.

    def sent(self, attempt, vm, service=None):
        """Record that a caller sends a request to the daemon of a VM.

        ``service`` is the one that runs it, None if that may be any.
        """
        self._origin_by_attempt[attempt] = vm, time.monotonic()
        if service is not None:
            self.repeats.requested(service, time.monotonic())

    def returned(self, vm, head, body):
        """Record that a VM's daemon returned a target's answer.

        Parameters
        ----------
        vm : str
            Name of the daemon.
        head : str
            Status line and headers, in lower case.
        body : bytes
            Begins with the target's name.
        """
        for target in self.targets:
            if body.startswith(target.name.encode() + b" "):
                target.watch.returned(
                    vm,
                    _header(head, "server-limit"),
                    _header(head, "server-leaving") == "1",
                    time.monotonic(),
                )

    def excuse(self, part):
        """Record that a part was restarted or suspended, which may be a daemon."""
        for target in self.targets:
            target.watch.excuse(getattr(part, "name", part))

    def ended(self, request):
        """Record a completed request of a caller and check its response."""
        self.requests.append(request)
        self.counts[request.status] += 1
        if request.status == NO_STATUS:
            self.report_violation("status lines", request.attempt)
        if request.status == 404:
            self.check_route(request.attempt, None)
        if request.status == 200 and request.attempt.encode() not in request.body:
            self.report_violation(
                "whole answers", f"{request.attempt} got {request.body[:60]!r}"
            )
        if request.status == 200 and not request.body.endswith(request.sent):
            self.report_violation(
                "whole bodies", f"{request.attempt}, {len(request.sent)} bytes"
            )

    def check_end(self):
        """Check the guarantees that need all requests to have ended."""
        for detail in self.repeats.too_many():
            self.report_violation("repeats", detail)
        for request in self.requests:
            starts = self.executions_by_attempt.get(request.attempt, ())
            if not request.is_safe and len(starts) > 1:
                self.report_violation(
                    "at most once", f"{request.attempt} executed {len(starts)} times"
                )
            if request.status in NOT_EXECUTED_STATUSES and starts:
                self.report_violation(
                    "not run",
                    f"{request.attempt}: status {request.status}, but executed",
                )
            if request.status == 200 and not starts:
                self.report_violation(
                    "whole answers", f"{request.attempt} never executed"
                )
            late_s = self._elapsed_without_stalls_s(request.deadline_s, request.ended_s)
            if request.status and late_s > MAX_LATENESS_S and not request.was_disturbed:
                self.report_violation("held", f"{request.attempt}: {late_s:.2f} s late")

    def _elapsed_without_stalls_s(self, since_s, until_s):
        """Return the time between two moments minus event loop stalls, in seconds.

        Bytes that arrive during a stall aren't read until it ends and so seem late.
        """
        elapsed_s = until_s - since_s
        for stall_start_s, stall_end_s in (
            *self.stalls,
            (self.next_loop_check_s, until_s),
        ):
            if stall_end_s - stall_start_s < MIN_STALL_S:
                continue
            overlap_s = min(stall_end_s, until_s) - max(stall_start_s, since_s)
            elapsed_s -= max(overlap_s, 0.0)
        return elapsed_s

    @property
    def longest_stall_s(self):
        """The longest stall of the run's event loop, in seconds."""
        return max((until_s - since_s for since_s, until_s in self.stalls), default=0.0)

    # Operators.

    def accepted(self, version):
        """Record that a configuration was acknowledged."""
        self.newest_accepted = max(self.newest_accepted, version)
        self._accepted.set()

    async def next_accepted(self, timeout_s):
        """Wait until a configuration is acknowledged, at most ``timeout_s`` seconds."""
        self._accepted.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._accepted.wait(), timeout_s)

    def read(self, version, accepted_before):
        """Check that a configuration read back isn't older than an accepted one."""
        if version < accepted_before:
            self.report_violation(
                "never reverts", f"read r{version} after r{accepted_before}"
            )


def _header(head, name):
    """Return the value of a header in a response's lower-case head, or None."""
    _, found, rest = head.partition(f"\r\n{name}:")
    return rest.split("\r\n", 1)[0].strip() if found else None
