"""The limit that a target names in its answers. Pure.

Answers overtake each other, and one that was given before the limit began may be read
after one that names it. So a limit is lowered by any answer, but raised or ended only
by the answer to a request that was sent after the limit had last been named.
"""

# Only answers say that a limit has ended. A target that names a lower rate, such as 0,
# still gets one request in this time.
PROBE_INTERVAL_S = 4.0


class NamedLimit:
    """The limit of one life of a target.

    Attributes
    ----------
    per_s : float or None
        Requests per second that the target accepts; None without a limit.
    named_s : float
        When it was last named, in seconds of the boot clock.
    is_from_peer : bool
        Whether another daemon reported it, and no answer was read here since.
    """

    def __init__(self):
        self.per_s = None
        self.named_s = float("-inf")
        self.is_from_peer = False
        self._has_answer = False

    @property
    def source(self):
        """Who named it, as a word for log lines."""
        return "peer" if self.is_from_peer else "target"

    @property
    def start_rate_per_s(self):
        """How many requests per second may be started, None for any number."""
        if self.per_s is None:
            return None
        return max(self.per_s, 1 / PROBE_INTERVAL_S)

    def record(self, notice, sent_s, now):
        """Record what an answer says; return whether the limit has changed.

        Parameters
        ----------
        notice : TargetNotice
            In the answer.
        sent_s : float
            When its request was sent, in seconds of the boot clock.
        now : float
            Seconds of the boot clock.
        """
        self._has_answer = True
        named = self.per_s if notice.is_limit_unreadable else notice.limit_per_s
        if self._is_looser(named) and sent_s < self.named_s:
            return False
        return self._set(named, False, now)

    def adopt(self, per_s, now):
        """Adopt a limit that another daemon reports; return whether it has changed.

        After a restart this daemon hasn't read any answer yet, but others have. Once it
        has, they know nothing newer: every answer passes this daemon.
        """
        if self._has_answer or self._is_looser(per_s):
            return False
        return self._set(per_s, True, now)

    def _is_looser(self, per_s):
        if self.per_s is None:
            return False
        return per_s is None or per_s > self.per_s

    def _set(self, per_s, is_from_peer, now):
        has_changed = per_s != self.per_s
        self.per_s = per_s
        if per_s is not None:
            self.named_s = now
            self.is_from_peer = is_from_peer
        return has_changed
