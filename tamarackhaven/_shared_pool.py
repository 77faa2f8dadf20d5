"""State that a daemon keeps about the targets of one shared service. No I/O."""

from collections import deque

from tamarackhaven._choice import Candidate, TargetChooser
from tamarackhaven._hedge import HedgeSettings, hedge_delay
from tamarackhaven._model import PolicyMode
from tamarackhaven._outliers import OutlierEjector
from tamarackhaven._retry import LOST_KINDS
from tamarackhaven.errors import ErrorKind, Ran

HEDGE_PERCENT = 95
_WINDOW_TRIES = 256
_MIN_TRIES = 20
_TRIES_PER_SORT = 16
# A target that is full, draining or without a lease refuses at once and, if it were
# chosen again, would use up the retry budget. It is avoided for the time that it named,
# but not longer than this, because it may accept requests again.
_MAX_AVOID_S = 1.0
# Errors that a healthy target doesn't cause. Refusals by the gate aren't among them:
# ejecting an overloaded target would move the overload to the others.
_FAULT_KINDS = LOST_KINDS | {
    ErrorKind.ANSWER_TIMEOUT,
    ErrorKind.ANSWER_TOO_LARGE,
    ErrorKind.OWNER_UNREACHABLE,
    ErrorKind.TARGET_UNREACHABLE,
}


class RecentQuantile:
    """A high quantile of the durations of recent tries, None until there are enough.

    A histogram since the start of the process would be dominated by an early slow
    period and prevent hedging long afterwards.
    """

    def __init__(self):
        self._seconds = deque(maxlen=_WINDOW_TRIES)
        self._since_sorted = 0
        self.value_s = None

    def add(self, seconds):
        """Add the duration of a try in seconds, up to its answer or cancellation."""
        self._seconds.append(seconds)
        self._since_sorted += 1
        if len(self._seconds) >= _MIN_TRIES and self._since_sorted >= _TRIES_PER_SORT:
            ordered = sorted(self._seconds)
            self.value_s = ordered[len(ordered) * HEDGE_PERCENT // 100]
            self._since_sorted = 0


class SharedPool:
    """Chooses and ejects targets and times hedges for one service.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    """

    def __init__(self, zone):
        self._chooser = TargetChooser(zone)
        self._ejector = OutlierEjector()
        self._avoid_until_s_by_target = {}
        self._try_durations = RecentQuantile()
        self._hedge = HedgeSettings()

    def choose(self, members, slots, now, rng, tried=()):
        """Return the ``TargetMember`` to try, or None if all were tried or are full.

        Ejected targets, and those that refused and asked to retry later, are chosen
        only if there is no other one.
        """
        by_name = {member.target: member for member in members}
        self._chooser.keep(by_name)
        self._ejector.keep(by_name)
        out = self._ejector.ejected(now) | self._avoided(by_name, now)
        candidates = [Candidate(m.target, m.zone, slots) for m in members]
        healthy = [candidate for candidate in candidates if candidate.target not in out]
        chosen = self._chooser.choose(healthy, now, rng, tried)
        chosen = chosen or self._chooser.choose(candidates, now, rng, tried)
        return by_name[chosen.target] if chosen else None

    def _avoided(self, by_name, now):
        """Return the targets whose retry time is later than ``now``."""
        self._avoid_until_s_by_target = {
            target: until_s
            for target, until_s in self._avoid_until_s_by_target.items()
            if until_s > now and target in by_name
        }
        return set(self._avoid_until_s_by_target)

    def started(self, target):
        """Count a try that is sent to ``target``."""
        self._chooser.started(target)

    def ended(self, target, error, lost_race, seconds, now):
        """Count the end of a try.

        Parameters
        ----------
        target : str
            Target of the try.
        error : TamarackhavenError or None
            The error, or None if the target answered.
        lost_race : bool
            Whether it was cancelled as the slower of two tries. That counts as a
            fault: a frozen target sends no answer to measure, it only loses races.
        seconds : float
            Duration of the try.
        now : float
            Time of its end, in seconds.
        """
        refused = error is not None and error.answer.ran is Ran.NO
        self._chooser.ended(target, None if refused else seconds, now)
        if refused:
            avoid_s = min(_MAX_AVOID_S, error.retry_after_s)
            self._avoid_until_s_by_target[target] = now + avoid_s
        is_fault = lost_race or (error is not None and error.kind in _FAULT_KINDS)
        if is_fault or not refused:
            self._ejector.record(target, not is_fault, seconds, now)
        if lost_race or error is None:
            self._try_durations.add(seconds)

    def hedge_delay_s(self, is_idempotent):
        """Return the delay of a second try in seconds, or None if there may be none."""
        if self._try_durations.value_s is None:
            return None
        return hedge_delay(
            PolicyMode.SHARED, is_idempotent, self._try_durations.value_s, self._hedge
        )
