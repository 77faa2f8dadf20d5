"""Builds the results of requests that got no answer, and logs and counts them."""

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._messages import Lost, NotRun


class Results:
    """Builds the ``NotRun`` and ``Lost`` results of requests to one target.

    Parameters
    ----------
    load : callable
        ``load(route)`` returns the ``GateLoad`` for requests of a route.
    context : callable
        Returns the state that decides about requests, as fields for log lines.
    log : Log
        Log of the part ``gate``.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, load, context, log, metrics):
        self._load = load
        self._context = context
        self._log = log
        self._metrics = metrics

    def busy(self, forward, gate_refusal):
        """Report the expected wait to the caller's daemon, which logs its decision."""
        self._metrics.count("tamarackhaven_gate_busy_total", service=forward.service)
        return NotRun(
            forward.number,
            gate_refusal.kind.name,
            gate_refusal.retry_after_s,
            load=self._load(forward.route),
        )

    def not_run(self, forward, kind, retry_after_s=0.0, offered=False, detail=""):
        self._metrics.count(
            "tamarackhaven_gate_refusals_total",
            kind=kind.name,
            service=forward.service,
        )
        self._log.say(
            "not run",
            request_id=forward.attempt_id,
            kind=kind.name,
            route=forward.route,
            retry_after_s=round(retry_after_s, 3),
            key=forward.key,
            left_ms=round(forward.left_ms),
            offered=offered,
            detail=detail,
            **self._context(),
        )
        return NotRun(
            forward.number, kind.name, retry_after_s, offered, self._load(forward.route)
        )

    def stale_reply(self, attempt_id, answered_id, status):
        """Count and log an answer to ``answered_id`` that came while another waited."""
        self._metrics.count("tamarackhaven_target_stale_answers_total")
        self._log.say(
            "stale answer skipped",
            request_id=attempt_id,
            answered_id=answered_id,
            status=status,
        )

    def lost(self, forward, kind, started_s, detail="", ended=""):
        self._metrics.count(
            "tamarackhaven_gate_lost_total", kind=kind.name, service=forward.service
        )
        self._log.say(
            "may have run",
            request_id=forward.attempt_id,
            request=forward.digest.hex(),
            kind=kind.name,
            route=forward.route,
            after_s=round(boot_s() - started_s, 3),
            detail=detail,
            ended=ended,
            **self._context(),
        )
        load = self._load(forward.route)
        return Lost(forward.number, kind.name, load, ended)
