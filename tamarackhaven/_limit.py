"""The concurrency limit of a target, learned from latency, sheds and reports.

Additive increase and multiplicative decrease, with the ratio of base latency to
present latency as the factor of the decrease; after the gradient limits of Netflix's
concurrency-limits and TCP Vegas (Brakmo and Peterson, 1995).
"""

import enum
import math

# Answers in one window. A smaller one would judge by single slow requests; a larger
# one leaves an overrun target overrun for longer. 16 is a little over one round of a
# dozen slots.
WINDOW_ANSWERS = 16
# Long and short work mixed: the lower quartile stays that of the short work while a
# quarter of the work is short. The mean or the 99th percentile would shrink the limit
# for each burst of long work, and the short work would wait for nothing.
LOW_QUANTILE = 0.25
# A target whose requests share a processor is slower when its slots are full; that
# alone must not shrink the limit, or a healthy target never uses its slots.
TOLERANCE = 2.0
# Latency this many times the base is more than contention.
JUMP = 4.0
# Latency alone never takes more than half of the slots: long work looks like a slow
# target from here, and halving twice would refuse work that the target can bear.
LATENCY_FLOOR = 0.5
# A smaller limit that leaves the latency above this part of what it was has not
# helped: the target is slow by itself, and fewer at once only adds a queue before it.
HELPED = 0.9
# Windows from a smaller limit to the verdict: the answers of the first began before.
VERDICT_WINDOWS = 2
# Windows without a new trial after one that has not helped.
HOLD_OFF_WINDOWS = 8
# After one shed. Several sheds of one overrun count once for each round of requests.
SHED_FACTOR = 0.7
# How fast the base forgets, for each window: a target that is slower for good (a new
# release) is the new base after about 50 windows.
BASE_DRIFT = 1.02
# A report older than this says nothing about now.
REPORT_LIFE_S = 5.0


class Shift(enum.Enum):
    """A step in the latency from one window to the next."""

    SLOWER = "slower"
    FASTER = "faster"


class _Verdict(enum.Enum):
    """What to do after a slow window."""

    TRY = "try"
    WAIT = "wait"
    TAKE_BACK = "take back"


class _Trial:
    """A smaller limit on trial: whether the latency fell with it."""

    def __init__(self):
        self._before_s = 0.0  # 0 while nothing is on trial
        self._windows_left = 0

    def window(self, low_s):
        """Take in a slow window's latency, in seconds; return a _Verdict."""
        self._windows_left -= 1
        if self._windows_left > 0:
            return _Verdict.WAIT
        if self._before_s and low_s > HELPED * self._before_s:
            self._before_s = 0.0
            self._windows_left = HOLD_OFF_WINDOWS
            return _Verdict.TAKE_BACK
        self._before_s = low_s
        self._windows_left = VERDICT_WINDOWS
        return _Verdict.TRY


class LearnedLimit:
    """How many requests a warm target may run at once.

    Load: sustained demand near or over what the target bears. Harm prevented: work
    queues inside the target, where nobody can refuse it or share it fairly. The bound
    above is the declared number of slots; below it is 1, so that a target that sheds
    everything is still asked and its recovery seen.

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
        self._was_full = False
        self._proven = 0
        self._trial = _Trial()
        self._sheds_left = 0
        self._reported = slots
        self._reported_at = -math.inf

    def value(self, now):
        """Return the limit at ``now``, a whole number from 1 to ``slots``."""
        return max(1, int(min(self._limit, self._bound(now))))

    def _bound(self, now):
        """Return the bound from the last report, weighed by its age.

        A report of fewer slots than the gate has just seen answered well misleads:
        sheds would show the lack. So the report never counts below ``_proven``.
        """
        weight = max(0.0, 1.0 - (now - self._reported_at) / REPORT_LIFE_S)
        reported = weight * self._reported + (1.0 - weight) * self.slots
        return min(self.slots, max(reported, self._proven, 1))

    def report(self, slots, made_at):
        """Take in the slots that a report of time ``made_at`` (s) names.

        One that a later report has overtaken is let go.
        """
        if slots > 0 and made_at >= self._reported_at:
            self._reported = min(slots, self.slots)
            self._reported_at = made_at

    def answered(self, latency_s, running, now):
        """Take in one answer; return a Shift if the latency took a step, or None.

        ``running`` counts the requests at the target, this one included.
        """
        self._samples.append(latency_s)
        self._was_full = self._was_full or running >= self.value(now)
        self._sheds_left = max(0, self._sheds_left - 1)
        if len(self._samples) < WINDOW_ANSWERS:
            return None
        return self._close_window(running)

    def _close_window(self, running):
        low_s = sorted(self._samples)[int(LOW_QUANTILE * len(self._samples))]
        self._samples = []
        full, self._was_full = self._was_full, False
        base_s = self.base_s or low_s
        self.base_s = min(low_s, base_s * BASE_DRIFT)
        if low_s > JUMP * base_s:
            # Taken as the new base at once: work that turned long for good jumps once
            # and isn't held cold for ever.
            self.base_s = low_s
            self._trial = _Trial()
            return Shift.SLOWER
        if low_s > TOLERANCE * base_s:
            self._slow_window(low_s, TOLERANCE * base_s / low_s)
            return None
        self._trial = _Trial()
        if full:
            self._proven = max(self._proven, running)
            self._limit = min(self.slots, self._limit + 1.0)
        return Shift.FASTER if low_s * TOLERANCE < base_s else None

    def _slow_window(self, low_s, factor):
        """Try a smaller limit, and take it back if the target is no quicker.

        Load: a target 2 to 4 times slower than usual, for whatever reason. Harm
        prevented, both ways: overrun, it slows for all; slow by itself, it serves
        half of what it could. Only the trial tells which.
        """
        verdict = self._trial.window(low_s)
        if verdict is _Verdict.TRY:
            self._shrink(factor)
        elif verdict is _Verdict.TAKE_BACK:
            self._limit = float(self.slots)

    def _shrink(self, factor):
        floor = max(1.0, LATENCY_FLOOR * self.slots)
        self._limit = max(min(self._limit, floor), self._limit * factor)
        self._proven = 0

    def shed(self, running):
        """Take in the target's own word that ``running`` requests were too many."""
        self._proven = 0
        if self._sheds_left:
            return
        self._limit = max(1.0, min(self._limit, running) * SHED_FACTOR)
        self._sheds_left = math.ceil(self._limit)

    def restart(self):
        """Forget what was learned: the target has started again."""
        self._limit = float(self.slots)
        self._samples = []
        self._proven = 0
        self._trial = _Trial()
        self._sheds_left = 0
