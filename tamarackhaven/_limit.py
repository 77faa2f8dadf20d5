"""The adaptive concurrency limit of a target, from latency, sheds and reports.

Additive increase and multiplicative decrease, with the ratio of base latency to
present latency as the factor of the decrease; after the gradient limits of Netflix's
concurrency-limits and TCP Vegas (Brakmo and Peterson, 1995).
"""

import enum
import math

# A smaller window would react to single slow requests; a larger one leaves a target
# overloaded for longer. 16 is a little over one round of a dozen slots.
WINDOW_ANSWERS = 16
# With long and short requests mixed, the lower quartile is the latency of the short
# ones while they are at least a quarter. The mean or the 99th percentile would shrink
# the limit for each burst of long requests, and short ones would wait without need.
LOW_QUANTILE = 0.25
# Latency up to this many times the base doesn't shrink the limit. A target whose
# requests share a processor is slower when its slots are full, and would otherwise
# never use all of them while healthy.
LATENCY_TOLERANCE_FACTOR = 2.0
# Latency above this many times the base can't be explained by contention.
LATENCY_JUMP_FACTOR = 4.0
# Latency alone never shrinks the limit below half of the slots: the gate can't tell
# long requests from a slow target, and halving twice would refuse work that the target
# can handle.
MIN_LATENCY_LIMIT_FRACTION = 0.5
# A smaller limit that leaves the latency above this fraction of its earlier value has
# no effect: the target is slow for another reason, and lower concurrency only lengthens
# the queue at the gate.
EFFECTIVE_LATENCY_FRACTION = 0.9
# Windows from a smaller limit to its evaluation: requests answered in the first window
# started before the limit changed.
TRIAL_WINDOWS = 2
# Windows without a new trial after one that had no effect.
TRIAL_BACKOFF_WINDOWS = 8
# Factor applied to the limit after a shed. The sheds of one overload count once per
# round of requests.
SHED_FACTOR = 0.7
# Maximum growth of the base latency per window: a target that has become permanently
# slower (a new release) sets the base after about 50 windows.
MAX_BASE_GROWTH_FACTOR = 1.02
# An older report doesn't describe the present state of the target.
MAX_TARGET_REPORT_AGE_S = 5.0


class LatencyShift(enum.Enum):
    """A sudden change of the latency from one window to the next."""

    SLOWER = "slower"
    FASTER = "faster"


class _TrialStep(enum.Enum):
    """What to do after a slow window."""

    SHRINK = "shrink"
    WAIT = "wait"
    RESTORE = "restore"


class _Trial:
    """Tests whether a smaller limit lowers the latency."""

    def __init__(self):
        self._baseline_s = 0.0  # 0 while no trial runs
        self._windows_left = 0

    def evaluate(self, low_latency_s):
        """Record the low-quantile latency of a slow window; return a ``_TrialStep``."""
        self._windows_left -= 1
        if self._windows_left > 0:
            return _TrialStep.WAIT
        if (
            self._baseline_s
            and low_latency_s > EFFECTIVE_LATENCY_FRACTION * self._baseline_s
        ):
            self._baseline_s = 0.0
            self._windows_left = TRIAL_BACKOFF_WINDOWS
            return _TrialStep.RESTORE
        self._baseline_s = low_latency_s
        self._windows_left = TRIAL_WINDOWS
        return _TrialStep.SHRINK


class LearnedLimit:
    """The number of requests that a warm target may run at once.

    When demand stays near or above the target's capacity, requests would otherwise
    queue inside the target, where they can be neither refused nor shared out fairly.
    The upper bound is the declared number of slots. The lower bound is 1, so that a
    target that sheds everything still gets requests and its recovery is noticed.

    Parameters
    ----------
    slots : int
        Requests that the target can run at once, as the service declares.
    """

    def __init__(self, slots):
        self.slots = slots
        self.base_s = 0.0  # 0 until the first window
        self._limit = float(slots)
        self._samples = []
        self._limit_reached_in_window = False
        self._proven_concurrency = 0
        self._trial = _Trial()
        self._shed_backoff_answers = 0
        self._reported = slots
        self._reported_at = -math.inf

    def value(self, now):
        """Return the limit at ``now``, a whole number from 1 to ``slots``."""
        return max(1, int(min(self._limit, self._bound(now))))

    def _bound(self, now):
        """Return the bound from the last report, weighted by its age.

        A report of fewer slots than the concurrency that the target has just handled
        well is misleading, as sheds would show a lack of slots. So the bound is never
        below ``_proven_concurrency``.
        """
        weight = max(0.0, 1.0 - (now - self._reported_at) / MAX_TARGET_REPORT_AGE_S)
        reported = weight * self._reported + (1.0 - weight) * self.slots
        return min(self.slots, max(reported, self._proven_concurrency, 1))

    def report(self, slots, made_at):
        """Apply the slots of a report made at ``made_at``, in seconds.

        A report that is older than the last one applied is ignored.
        """
        if slots > 0 and made_at >= self._reported_at:
            self._reported = min(slots, self.slots)
            self._reported_at = made_at

    def answered(self, latency_s, running, now):
        """Record one answer; return a ``LatencyShift`` after a jump, else None.

        ``latency_s`` and ``now`` are in seconds; ``running`` counts the requests at the
        target, including this one.
        """
        self._samples.append(latency_s)
        self._limit_reached_in_window = (
            self._limit_reached_in_window or running >= self.value(now)
        )
        self._shed_backoff_answers = max(0, self._shed_backoff_answers - 1)
        if len(self._samples) < WINDOW_ANSWERS:
            return None
        return self._close_window(running)

    def _close_window(self, running):
        low_latency_s = sorted(self._samples)[int(LOW_QUANTILE * len(self._samples))]
        self._samples = []
        limit_was_reached, self._limit_reached_in_window = (
            self._limit_reached_in_window,
            False,
        )
        base_s = self.base_s or low_latency_s
        self.base_s = min(low_latency_s, base_s * MAX_BASE_GROWTH_FACTOR)
        if low_latency_s > LATENCY_JUMP_FACTOR * base_s:
            # The new base applies at once: requests that become permanently longer
            # cause one jump and don't keep the target cold.
            self.base_s = low_latency_s
            self._trial = _Trial()
            return LatencyShift.SLOWER
        if low_latency_s > LATENCY_TOLERANCE_FACTOR * base_s:
            self._slow_window(
                low_latency_s, LATENCY_TOLERANCE_FACTOR * base_s / low_latency_s
            )
            return None
        self._trial = _Trial()
        if limit_was_reached:
            self._proven_concurrency = max(self._proven_concurrency, running)
            self._limit = min(self.slots, self._limit + 1.0)
        return (
            LatencyShift.FASTER
            if low_latency_s * LATENCY_TOLERANCE_FACTOR < base_s
            else None
        )

    def _slow_window(self, low_latency_s, factor):
        """Try a smaller limit, and restore it if the latency doesn't fall.

        A target that is 2 to 4 times slower than usual may be overloaded, and gets
        slower for all callers at the old limit. If it is slow for another reason, a
        smaller limit would halve its throughput. Only a trial distinguishes the two.
        """
        step = self._trial.evaluate(low_latency_s)
        if step is _TrialStep.SHRINK:
            self._shrink(factor)
        elif step is _TrialStep.RESTORE:
            self._limit = float(self.slots)

    def _shrink(self, factor):
        floor = max(1.0, MIN_LATENCY_LIMIT_FRACTION * self.slots)
        self._limit = max(min(self._limit, floor), self._limit * factor)
        self._proven_concurrency = 0

    def shed(self, running):
        """Shrink the limit: the target shed a request while it ran ``running``."""
        self._proven_concurrency = 0
        if self._shed_backoff_answers:
            return
        self._limit = max(1.0, min(self._limit, running) * SHED_FACTOR)
        self._shed_backoff_answers = math.ceil(self._limit)

    def restart(self):
        """Reset the limit after the target has restarted."""
        self._limit = float(self.slots)
        self._samples = []
        self._proven_concurrency = 0
        self._trial = _Trial()
        self._shed_backoff_answers = 0
