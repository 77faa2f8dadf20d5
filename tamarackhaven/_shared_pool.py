"""What a daemon knows of the targets of one shared service. No input or output."""

from collections import deque

from tamarackhaven._choice import Candidate, TargetChooser
from tamarackhaven._hedge import HedgeSettings, hedge_delay
from tamarackhaven._model import PolicyMode
from tamarackhaven._outliers import OutlierEjector
from tamarackhaven._retry import LOST_KINDS
from tamarackhaven.errors import ErrorKind, Ran

HEDGE_PERCENT = 95
_KEPT = 256
_LEAST = 20
_SORT_EVERY = 16
# Load: a target refuses at once, as it is full, drains or has lost its lease. Harm:
# it is asked again and again, each time out of the retry budget. Limit: the time that
# it named, a second at most, as it may take work again.
_LONGEST_ASIDE_S = 1.0
# What a target in good health doesn't answer with. A refusal by the gate is no fault
# of the target: to eject it would move the overload to the others.
_FAULTS = LOST_KINDS | {
    ErrorKind.ANSWER_TIMEOUT,
    ErrorKind.ANSWER_TOO_LARGE,
    ErrorKind.OWNER_UNREACHABLE,
    ErrorKind.TARGET_UNREACHABLE,
}


class RecentQuantile:
    """A high quantile of the last tries, None before there are enough.

    A histogram since the start of the process would remember a slow morning all day
    and never hedge again.
    """

    def __init__(self):
        self._seconds = deque(maxlen=_KEPT)
        self._since_sorted = 0
        self.value_s = None

    def add(self, seconds):
        """Take in how long one try took, or how long it had when it was cancelled."""
        self._seconds.append(seconds)
        self._since_sorted += 1
        if len(self._seconds) >= _LEAST and self._since_sorted >= _SORT_EVERY:
            ordered = sorted(self._seconds)
            self.value_s = ordered[len(ordered) * HEDGE_PERCENT // 100]
            self._since_sorted = 0


class SharedPool:
    """Choice, ejection and the time of a second try, for one service.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    """

    def __init__(self, zone):
        self._chooser = TargetChooser(zone)
        self._ejector = OutlierEjector()
        self._aside_until_by_target = {}
        self._tries = RecentQuantile()
        self._hedge = HedgeSettings()

    def choose(self, members, slots, now, rng, tried=()):
        """Return the ``TargetMember`` to try, or None if all were tried or are full.

        Ejected targets, and those that refused and named a time, are left out while
        there is another one.
        """
        by_name = {member.target: member for member in members}
        self._chooser.keep(by_name)
        self._ejector.keep(by_name)
        out = self._ejector.ejected(now) | self._aside(by_name, now)
        all_ = [Candidate(m.target, m.zone, slots) for m in members]
        well = [candidate for candidate in all_ if candidate.target not in out]
        chosen = self._chooser.choose(well, now, rng, tried)
        chosen = chosen or self._chooser.choose(all_, now, rng, tried)
        return by_name[chosen.target] if chosen else None

    def _aside(self, by_name, now):
        """Return the targets that said to come back later than ``now``."""
        self._aside_until_by_target = {
            target: until_s
            for target, until_s in self._aside_until_by_target.items()
            if until_s > now and target in by_name
        }
        return set(self._aside_until_by_target)

    def started(self, target):
        """Count a try that is sent to ``target``."""
        self._chooser.started(target)

    def ended(self, target, error, lost_race, seconds, now):
        """Count the end of a try.

        Parameters
        ----------
        target : str
            Where it was.
        error : TamarackhavenError or None
            How it failed.
        lost_race : bool
            It was cancelled as the slower of two. That counts as a fault: a frozen
            target answers nothing that could be measured, and only loses.
        seconds : float
            How long it took.
        now : float
            In seconds.
        """
        refused = error is not None and error.answer.ran is Ran.NO
        self._chooser.ended(target, None if refused else seconds, now)
        if refused:
            aside_s = min(_LONGEST_ASIDE_S, error.retry_after_s)
            self._aside_until_by_target[target] = now + aside_s
        fault = lost_race or (error is not None and error.kind in _FAULTS)
        if fault or not refused:
            self._ejector.record(target, not fault, seconds, now)
        if lost_race or error is None:
            self._tries.add(seconds)

    def hedge_delay_s(self, idempotent):
        """Return the seconds after which a second try may start, or None for never."""
        if self._tries.value_s is None:
            return None
        return hedge_delay(
            PolicyMode.SHARED, idempotent, self._tries.value_s, self._hedge
        )
