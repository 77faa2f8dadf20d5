"""Since when a daemon's view has lacked what its leader had. Pure."""

import enum


class LagChange(enum.Enum):
    """What an answer of the leader has changed."""

    BEHIND = "behind"
    CAUGHT_UP = "caught up"


class ViewLag:
    """Compares the view with what the leader had, answer by answer.

    Attributes
    ----------
    is_behind : bool
        Whether the view differed from the leader's at its newest answer.
    """

    def __init__(self):
        self._since_s = None

    @property
    def is_behind(self):
        return self._since_s is not None

    def record(self, own, leader, now):
        """Compare versions at an answer; return the ``LagChange``, None without one.

        Parameters
        ----------
        own, leader : ViewVersion
            Of the view, and of the leader when it answered.
        now : float
            Seconds of the boot clock.
        """
        was_behind = self.is_behind
        if own == leader:
            self._since_s = None
            return LagChange.CAUGHT_UP if was_behind else None
        if was_behind:
            return None
        self._since_s = now
        return LagChange.BEHIND

    def behind_s(self, now):
        """Return for how many seconds the view has been behind, 0 if it isn't."""
        return now - self._since_s if self.is_behind else 0.0
