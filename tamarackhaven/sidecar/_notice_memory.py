"""What this daemon's callers were returned of targets' notices. Pure.

A daemon is bound by each answer that it has returned, whatever the control group or the
target's own daemon know of it.
"""

import collections

from tamarackhaven.sidecar._draining import accepts_new
from tamarackhaven.sidecar._named_limit import NamedLimit

# A life that leaves is gone within minutes, and a limit lasts as long as the need. Of
# more lives than this, the one returned longest ago is forgotten.
MAX_LIVES = 4096
# A limit that this daemon hasn't seen named for longer may have ended long ago.
LIMIT_TTL_S = 300.0


class NoticeMemory:
    """Notices in the answers that this daemon has returned, by the life of a target.

    Parameters
    ----------
    drain_s : float
        How long after a target's announcement to leave it may get new requests.
    """

    def __init__(self, drain_s):
        self._drain_s = drain_s
        self._limit_by_life = collections.OrderedDict()
        self._leaving_since_s_by_life = collections.OrderedDict()

    def record(self, life, notice, sent_s, now):
        """Record an answer that is returned; return whether its target now leaves.

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
        self._record_limit(life, notice, sent_s, now)
        if not notice.is_leaving or life in self._leaving_since_s_by_life:
            return False
        self._leaving_since_s_by_life[life] = now
        _drop_oldest(self._leaving_since_s_by_life)
        return True

    def _record_limit(self, life, notice, sent_s, now):
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
        _drop_oldest(self._limit_by_life)

    def known_limit_per_s(self, life, now):
        """Return a target's limit for the daemon beside it, None if none is known."""
        limit = self._limit_by_life.get(life)
        if limit is None or now - limit.named_s > LIMIT_TTL_S:
            return None
        return limit.per_s

    def accepts_new(self, life, is_sharded, now):
        """Whether a target may get a new request from this daemon.

        Parameters
        ----------
        life : str
            Of the target.
        is_sharded : bool
            Whether the request is for a key, which only its owner serves.
        now : float
            Seconds of the boot clock.
        """
        leaving_since_s = self._leaving_since_s_by_life.get(life)
        return accepts_new(is_sharded, leaving_since_s, self._drain_s, now)


def _drop_oldest(value_by_life):
    if len(value_by_life) > MAX_LIVES:
        value_by_life.popitem(last=False)
