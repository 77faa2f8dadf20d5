"""What this daemon's callers were returned of targets' notices. Pure.

A daemon is bound by each answer that it has returned, whatever the control group or the
target's own daemon know of it.
"""

import collections

import attrs

from tamarackhaven.sidecar._named_limit import NamedLimit

# A life that leaves is gone within minutes, and a limit lasts as long as the need. Of
# more lives than this, the one returned longest ago is forgotten.
MAX_LIVES = 4096
# A limit that this daemon hasn't seen named for longer may have ended long ago.
HINT_TTL_S = 30.0


@attrs.frozen
class Hint:
    """What a daemon knows of a target, for the daemon beside it.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that the target accepts; None without a limit.
    """

    limit_per_s: float | None = None


NO_HINT = Hint()


class NoticeMemory:
    """Notices in the answers that this daemon has returned, by the life of a target."""

    def __init__(self):
        self._limit_by_life = collections.OrderedDict()

    def record(self, life, notice, sent_s, now):
        """Record an answer that is returned to a caller.

        Parameters
        ----------
        life : str
            Of the target that gave it.
        notice : TargetNotice
            In the answer.
        sent_s : float
            When the request was sent, in seconds of the boot clock.
        now : float
            Seconds of the boot clock.
        """
        limit = self._limit_by_life.get(life)
        if limit is None and notice.limit_per_s is None:
            return
        if limit is None:
            limit = self._limit_by_life[life] = NamedLimit()
        limit.record(notice, sent_s, now)
        if limit.per_s is None:
            del self._limit_by_life[life]
            return
        self._limit_by_life.move_to_end(life)
        if len(self._limit_by_life) > MAX_LIVES:
            self._limit_by_life.popitem(last=False)

    def hint(self, life, now):
        """Return the ``Hint`` for the daemon beside a target."""
        limit = self._limit_by_life.get(life)
        if limit is None or now - limit.named_s > HINT_TTL_S:
            return NO_HINT
        return Hint(limit.per_s)
