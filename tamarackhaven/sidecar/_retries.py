"""Decides whether a request that a target has received is sent again."""

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._budget import ServiceRetryBudget
from tamarackhaven.sidecar._messages import NotRun

# A request is retried only if this fraction of its objective is left until its
# deadline: less than half of all requests are answered in a shorter time.
MIN_RETRY_TIME_FRACTION = 0.3


class Retries:
    """Limits the retries of this daemon's requests, by service.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    view : View
        Knows how many daemons share the budget.
    log : Log
        Log of the part ``caller``.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, settings, view, log, metrics):
        self._settings = settings
        self._view = view
        self._log = log
        self._metrics = metrics
        self._started_s = boot_s()
        self._budget_by_service = {}

    def count_request(self, service):
        """Count a caller's request, which adds to the budget of its service."""
        self._budget(service).count_request(boot_s())

    def may_retry(self, pending, result):
        """Whether a request that a target has received may be sent again.

        When many requests fail at once, their retries add to the load that made them
        fail. Retries are limited by the route's ``max_attempts``, by a budget that is
        shared out among the daemons, and by the time left for an answer.
        """
        if not pending.is_safe and not isinstance(result, NotRun):
            return False
        if pending.sends >= pending.route.max_attempts:
            return False
        # A retry that can't be answered in time would only add load.
        min_left_s = MIN_RETRY_TIME_FRACTION * pending.route.objective_s
        if boot_s() + min_left_s >= pending.deadline_s:
            return False
        is_allowed = self._budget(pending.spec.name).try_spend(
            self._view.daemon_count(), boot_s()
        )
        reason = getattr(result, "kind", "STATUS")
        self._metrics.count(
            "tamarackhaven_retries_total"
            if is_allowed
            else "tamarackhaven_retries_refused_total",
            reason=reason,
            service=pending.spec.name,
        )
        self._log.say(
            "sent again" if is_allowed else "not sent again: budget",
            request_id=pending.request.attempt_id,
            request=pending.request.digest.hex(),
            reason=reason,
            sends=pending.sends,
        )
        return is_allowed

    def _budget(self, service):
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = ServiceRetryBudget(self._settings.budget, self._started_s)
            self._budget_by_service[service] = budget
        return budget
