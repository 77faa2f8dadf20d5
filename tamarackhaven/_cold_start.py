"""The concurrency ceiling of a cold target, and the detection of its restarts."""

import math

# A target that is only suspected to be cold (its latency jumped, it shed requests)
# ramps up this many times faster. A target that was slow for a moment looks the same,
# and over the full cold-start time would refuse requests long after its recovery.
SUSPECTED_RAMP_FACTOR = 4.0
# Answers per slot of the ceiling before the next step. With 1, slow requests at a cold
# target let the ceiling rise by time alone, and ten requests more were started than
# the simulated target could handle. With 8, a target of six slots that warms up after
# 50 answers per slot crashed. The gate can't know how much work warms a target; more is
# safer and slower.
ANSWERS_PER_SLOT_AND_STEP = 20
# Consecutive sheds and failed connections that make a target cold. One shed means that
# the limit is a little too high; three without an answer in between mean that the
# target has lost its slots.
RESTART_FAILURES = 3
# After a latency jump, one such failure makes the target cold. The jump alone doesn't:
# a target that was limited for one slow second would refuse what it can handle.
RESTART_FAILURES_WHEN_SLOW = 1
# A brief slowdown ends after a second or two, and requests that are permanently longer
# must not let a single shed count as a restart indefinitely.
LATENCY_JUMP_TTL_S = 5.0
# Reports arrive out of order; clocks and counters are read at different times.
UPTIME_TOLERANCE_S = 0.5


class ColdStart:
    """A ceiling that rises by one when both enough work and enough time passed.

    A target that gets full demand in the first seconds after its start, as when a
    daemon or an availability zone returns, would crash and start again, still cold.
    Time alone would raise the ceiling of an idle target that hasn't warmed up; work
    alone would raise it within milliseconds if the requests are short. So both are
    required.

    Parameters
    ----------
    settings : GateSettings
        The ceiling starts at ``cold_requests``; the target is warm after ``cold_s``
        seconds at the earliest.
    slots : int
        Ceiling at which the target counts as warm.
    """

    def __init__(self, settings, slots):
        self._settings = settings
        self._slots = slots
        self._ceiling = slots
        self._step_s = 0.0
        self._stepped_at = 0.0
        self._answers_in_step = 0

    @property
    def cold(self):
        """Whether the target is cold and the ceiling applies."""
        return self._ceiling < self._slots

    @property
    def ceiling(self):
        """Maximum of concurrent requests at the target; infinite when warm."""
        return self._ceiling if self.cold else math.inf

    def begin(self, now, suspected=False):
        """Begin a cold start; ``suspected`` if the last sign of a restart was a shed.

        The ramp of a suspected one is shorter by ``SUSPECTED_RAMP_FACTOR``.
        """
        ceiling = min(self._settings.cold_requests, self._slots)
        ramp_s = self._settings.cold_s / (SUSPECTED_RAMP_FACTOR if suspected else 1.0)
        self._ceiling = ceiling
        self._step_s = ramp_s / max(1, self._slots - ceiling)
        self._restart_step(now)

    def end(self):
        """Treat the target as warm."""
        self._ceiling = self._slots

    def succeeded(self, now):
        """Record one answer; raise the ceiling after enough answers and time."""
        if not self.cold:
            return
        self._answers_in_step += 1
        has_enough_answers = (
            self._answers_in_step >= ANSWERS_PER_SLOT_AND_STEP * self._ceiling
        )
        if has_enough_answers and now - self._stepped_at >= self._step_s:
            self._ceiling += 1
            self._restart_step(now)

    def shed(self, now):
        """Halve the ceiling: the target got more requests than it can handle."""
        if self.cold:
            self._ceiling = max(self._settings.cold_requests, self._ceiling // 2)
            self._restart_step(now)

    def _restart_step(self, now):
        self._stepped_at = now
        self._answers_in_step = 0


class RestartDetector:
    """Detects from reports and request outcomes that a target has restarted.

    None of the signs is reliable: the incarnation may be a constant, the report may
    arrive seconds late, the latency may stay low while few requests run. So any one of
    them counts. A false positive costs a ramp; a missed restart overloads the target.
    """

    def __init__(self):
        self._last = None
        self._last_made_at = -math.inf
        self._failures = 0
        self._slower_at = -math.inf

    def report(self, report, now):
        """Return True if ``report`` shows a restart since the last one."""
        made_at = now - report.age_s
        if made_at < self._last_made_at:
            return False  # reordered in transit: an older counter is not a reset
        last, self._last = self._last, report
        elapsed_s, self._last_made_at = made_at - self._last_made_at, made_at
        if last is None:
            return False
        return (
            report.incarnation != last.incarnation
            or report.served < last.served
            or report.uptime_s + UPTIME_TOLERANCE_S < last.uptime_s
            or (elapsed_s > 0 and report.uptime_s + UPTIME_TOLERANCE_S < elapsed_s)
        )

    def answered(self):
        """Reset the count of consecutive failures after an answer."""
        self._failures = 0

    def slower(self, now):
        """Record a latency jump: the target is briefly slow or has restarted."""
        self._slower_at = now

    def faster(self):
        """Discard the latency jump: the target was only briefly slow."""
        self._slower_at = -math.inf

    def failed(self, now):
        """Record a shed or failed connection; return whether it signals a restart."""
        is_slow = now - self._slower_at <= LATENCY_JUMP_TTL_S
        self._failures += 1
        if self._failures < (
            RESTART_FAILURES_WHEN_SLOW if is_slow else RESTART_FAILURES
        ):
            return False
        self._failures = 0
        return True
