"""Acts on what the target beside this daemon reports of itself in its replies."""

from tamarackhaven._clock import boot_s

# A faulty target could send ever new names; no more than this many are logged.
MAX_LOGGED_HEADERS = 32


class TargetNotices:
    """Applies a target's notices to its state, logs and counts them.

    Parameters
    ----------
    state : TargetState
        State of the target.
    dialect : Dialect
        Reads the headers of replies.
    log : Log
        Log of the part ``gate``.
    metrics : Metrics
        Metrics of the process.

    Attributes
    ----------
    on_leaving : callable
        Called when the target has announced that it leaves.
    """

    def __init__(self, state, dialect, log, metrics):
        self._state = state
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self.on_leaving = lambda: None
        self._headers = ()
        self._logged_names = set()

    def apply_reply(self, forward, reply, sent_s):
        """Apply the notice in the target's reply to a request.

        Parameters
        ----------
        forward : Forward
            The request.
        reply : Reply
            To it.
        sent_s : float
            When it was sent to the target, in seconds of the boot clock.
        """
        notice = self._dialect.read_notice(reply.headers)
        self._record(forward, notice)
        # A reply may still come from the target's former life.
        if forward.life != self._state.life:
            return
        limit = self._state.limit
        before_per_s = limit.per_s
        if limit.record(notice, sent_s, boot_s()):
            self._log_limit(forward, before_per_s)
        if notice.is_leaving:
            self._leave(forward)

    def apply_peer_limit(self, forward):
        """Apply the limit that the daemon that forwards a request knows of."""
        if forward.limit_per_s is None or forward.life != self._state.life:
            return
        limit = self._state.limit
        before_per_s = limit.per_s
        if limit.adopt(forward.limit_per_s, boot_s()):
            self._log_limit(forward, before_per_s)

    def _leave(self, forward):
        if self._state.leave_life(forward.life, boot_s()):
            self._log.say(
                "target leaves", request_id=forward.attempt_id, life=forward.life
            )
            self.on_leaving()

    def _log_limit(self, forward, before_per_s):
        limit = self._state.limit
        self._log.say(
            "limit changed",
            request_id=forward.attempt_id,
            life=forward.life,
            limit_per_s=limit.per_s,
            before_per_s=before_per_s,
            limit_from=limit.source,
        )

    def _record(self, forward, notice):
        """Log what the target reports when that changes; count what can't be read."""
        if notice.headers != self._headers:
            self._headers = notice.headers
            self._log.say(
                "target notice",
                request_id=forward.attempt_id,
                life=forward.life,
                headers=notice.headers,
                bad_headers=notice.bad_headers,
            )
        for name, _ in notice.bad_headers:
            self._metrics.count("tamarackhaven_bad_notices_total", header=name)
        for name in notice.unknown_headers:
            is_new = name not in self._logged_names
            if is_new and len(self._logged_names) < MAX_LOGGED_HEADERS:
                self._logged_names.add(name)
                self._log.say("unknown header", life=forward.life, name=name)
