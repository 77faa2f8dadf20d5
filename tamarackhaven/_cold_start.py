"""The ceiling of a target in cold start, and the signs that it turned cold."""

import math

# A target that only seems cold (latency jumped, sheds came) ramps this many times
# faster: a momentary straggler looks the same, and held for the whole time from cold
# it would turn away work long after its neighbours are quiet again.
SUSPECT_SPEED = 4.0
# Answers for each place under the ceiling before the next step. With one, slow work on
# a cold target let the ceiling rise by time alone: ten starts over what the model's
# target bore. With 8 a target of six slots that warms by 50 answers a slot fell over.
# How much work warms a target the gate cannot know; more is safer and slower.
ROUNDS_PER_STEP = 20
# Sheds and failed connections in a row that make a target cold. One shed is a limit a
# little too high; three without an answer in between are a target that lost its slots.
BURST = 3
# After a jump of the latency one such failure is enough. Alone the jump says nothing: a
# target that straggles for a second and is cut for it refuses what it could bear.
BURST_WHEN_SLOW = 1
# For how long a jump counts: a straggler is quick again after a second or two, and work
# that is longer for good must not leave one shed as a sign for ever.
SLOW_SIGN_LIFE_S = 5.0
# Reports come out of order; clocks and counters are read at different instants.
UPTIME_SLACK_S = 0.5


class ColdStart:
    """A ceiling that rises by one when both enough work and enough time passed.

    Load: the first seconds of a started target while demand is full, as after a
    daemon's or an availability zone's return. Harm prevented: the target falls over
    and starts again colder. Time alone would raise the ceiling of an idle target that
    has warmed nothing; work alone would raise it in milliseconds when the work is
    short. Both together let neither through.

    Parameters
    ----------
    settings : GateSettings
        ``cold_requests`` at first, warm after ``cold_s`` seconds at the earliest.
    slots : int
        Ceiling at which the target counts as warm.
    """

    def __init__(self, settings, slots):
        self._settings = settings
        self._slots = slots
        self._level = slots
        self._step_s = 0.0
        self._stepped_at = 0.0
        self._done = 0

    @property
    def cold(self):
        """Whether the ceiling is in force."""
        return self._level < self._slots

    @property
    def ceiling(self):
        """Most requests at the target at once; infinite when warm."""
        return self._level if self.cold else math.inf

    def begin(self, now, suspected=False):
        """Turn cold; ``suspected`` if the target did not say so itself."""
        level = min(self._settings.cold_requests, self._slots)
        ramp_s = self._settings.cold_s / (SUSPECT_SPEED if suspected else 1.0)
        self._level = level
        self._step_s = ramp_s / max(1, self._slots - level)
        self._restart_step(now)

    def end(self):
        """Count the target as warm."""
        self._level = self._slots

    def succeeded(self, now):
        """Take in one answer; enough of them, and enough time, make a step."""
        if not self.cold:
            return
        self._done += 1
        worked = self._done >= ROUNDS_PER_STEP * self._level
        if worked and now - self._stepped_at >= self._step_s:
            self._level += 1
            self._restart_step(now)

    def shed(self, now):
        """Halve the ceiling: the target bears less than it was given."""
        if self.cold:
            self._level = max(self._settings.cold_requests, self._level // 2)
            self._restart_step(now)

    def _restart_step(self, now):
        self._stepped_at = now
        self._done = 0


class RestartSigns:
    """Tells from reports and ends of requests that a target has started again.

    A restart shows first in one of several places, and none is sure: the incarnation
    may be a constant, the report may come seconds late, the latency may stay low
    while little runs. Whichever comes first counts. A false sign costs a ramp; a
    missed one costs the target.
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
            return False  # overtaken on the way: an older counter is no reset
        last, self._last = self._last, report
        apart_s, self._last_made_at = made_at - self._last_made_at, made_at
        if last is None:
            return False
        return (
            report.incarnation != last.incarnation
            or report.served < last.served
            or report.uptime_s + UPTIME_SLACK_S < last.uptime_s
            or (apart_s > 0 and report.uptime_s + UPTIME_SLACK_S < apart_s)
        )

    def answered(self):
        """An answer ends a row of failures."""
        self._failures = 0

    def slower(self, now):
        """The latency jumped: a straggler, or a target that started again."""
        self._slower_at = now

    def faster(self):
        """The latency fell back: it was a straggler."""
        self._slower_at = -math.inf

    def failed(self, now):
        """Return True if this shed or failed connection completes a burst."""
        slow = now - self._slower_at <= SLOW_SIGN_LIFE_S
        self._failures += 1
        if self._failures < (BURST_WHEN_SLOW if slow else BURST):
            return False
        self._failures = 0
        return True
