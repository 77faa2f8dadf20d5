"""Applies the leader's updates to a daemon's view, and logs what came of them."""

from tamarackhaven._clock import boot_s
from tamarackhaven._digests import digest_text
from tamarackhaven.fleet._messages import (
    CONFIRMED_PARTS,
    NO_INDEX,
    TargetsView,
    UpdateTaken,
)
from tamarackhaven.sidecar._view_lag import LagChange, ViewLag
from tamarackhaven.sidecar._view_reports import UpdateOutcome, ViewReports


class ViewUpdates:
    """Updates of a view, and what the next report says of them.

    Parameters
    ----------
    view : View
        Is changed by updates only.
    report_now : callable
        Sends a report without waiting for the interval.
    log : Log
        Log of the daemon.
    metrics : Metrics
        Metrics of the process.

    Attributes
    ----------
    on_taken : callable
        ``on_taken(message)`` is called with an ``UpdateTaken`` for the leader.
    """

    def __init__(self, view, report_now, log, metrics):
        self._view = view
        self._report_now = report_now
        self._log = log
        self._metrics = metrics
        self._reports = ViewReports()
        self._lag = ViewLag()
        self.on_taken = lambda message: None

    def begin_session(self):
        """Begin a session, whose first report says what the view has then."""
        self._reports.begin_session()

    def take_report(self):
        """Return versions and refused parts for the next report."""
        return self._reports.take(self._view.known(), self.is_behind)

    def apply(self, message):
        """Apply a message about the view; return whether the view has changed."""
        outcome = self._outcome(message)
        if isinstance(message, TargetsView):
            return outcome is UpdateOutcome.APPLIED
        if outcome is UpdateOutcome.REFUSED:
            self._metrics.count("tamarackhaven_updates_refused_total")
            self._log.say(
                "update refused",
                state_part=message.part,
                base=getattr(message, "base", NO_INDEX),
                index=message.index,
            )
        elif message.part in CONFIRMED_PARTS:
            index = self._view.index(message.part)
            self.on_taken(UpdateTaken(message.part, index))
        if self._reports.record(message.part, outcome):
            self._report_now()
        return outcome is UpdateOutcome.APPLIED

    def _outcome(self, message):
        """Apply a message; an update that fails counts as refused.

        If the error closed the link, the next session would begin with the same update,
        and the daemon would get no lease either.
        """
        try:
            return self._view.apply_update(message)
        except Exception as error:
            self._metrics.count("tamarackhaven_internal_errors_total")
            self._log.say(
                "update failed",
                state_part=getattr(message, "part", ""),
                error=repr(error),
            )
            return UpdateOutcome.REFUSED

    @property
    def is_behind(self):
        """Whether the view differed from the leader's at its newest answer."""
        return self._lag.is_behind

    def behind_s(self):
        """Return for how many seconds the view has lacked what the leader had."""
        return self._lag.behind_s(boot_s())

    def _record_lag(self, leader_version):
        own = self._view.version()
        behind_s = self.behind_s()
        change = self._lag.record(own, leader_version, boot_s())
        if change is None:
            return
        if change is LagChange.BEHIND:
            self._metrics.count("tamarackhaven_view_behind_total")
            self._report_now()
        self._log.say(
            f"view {change.value}",
            index=own.index,
            digest=digest_text(own.digest),
            leader_index=leader_version.index,
            leader_digest=digest_text(leader_version.digest),
            behind_s=round(behind_s, 3),
            known={each.part: each.index for each in self._view.known()},
        )

    def confirm(self, requested_s, leader_version):
        """Apply the leader's answer to a report that was sent at ``requested_s``.

        ``leader_version`` is the ``ViewVersion`` that the leader had then. Only a view
        that is the same counts as confirmed: if a change is lost, whatever loses it,
        callers must not be told that its route doesn't exist.
        """
        self._record_lag(leader_version)
        if not self.is_behind and not self._reports.is_waiting:
            self._view.confirm(requested_s)
        lives = self._view.drop_unlisted_targets(boot_s())
        if lives:
            self._metrics.count("tamarackhaven_targets_dropped_total", len(lives))
            self._log.say("targets dropped", lives=sorted(lives))
