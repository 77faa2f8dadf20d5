"""Logs and counts what a control VM's replicated state contains."""

import collections

from tamarackhaven._digests import digest_text
from tamarackhaven.fleet._suspects import SuspectPhase


class StateLog:
    """Logs changes of the configuration and of suspects, and sets their gauges.

    Parameters
    ----------
    machine : FleetMachine
        Of the member.
    log : Log
        Log of the part ``control``.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, machine, log, metrics):
        self._machine = machine
        self._log = log
        self._metrics = metrics
        self._suspect_by_request = {}

    def log_configuration(self, index, daemons):
        """Log the configuration if it was set at a log index.

        ``daemons`` is the number of those that it's sent to.
        """
        with self._machine.lock:
            state = self._machine.state
            configuration = state.configuration
            if state.configuration_index != index:
                return
        self._log.say(
            "configuration in force",
            version=configuration.version,
            index=index,
            digest=digest_text(configuration.digest),
            routes=len(configuration.routes),
            daemons=daemons,
        )

    def log_suspects(self):
        """Log the suspects whose phase has changed since the last call."""
        former = self._suspect_by_request
        with self._machine.lock:
            present = self._machine.state.suspect_by_request
        self._suspect_by_request = present
        for request, suspect in present.items():
            known = former.get(request)
            if known is None or known.phase is not suspect.phase:
                self._log_phase(suspect)
        for request in former.keys() - present.keys():
            self._log.say("request forgotten", request=request.hex())

    def _log_phase(self, suspect):
        self._log.say(
            f"request {suspect.phase.value}",
            request=suspect.request.hex(),
            ends=suspect.end_count,
            unanswered_ends=suspect.unanswered_ends,
            answers=suspect.answers,
            quarantines=suspect.quarantines,
        )

    def update_gauges(self):
        """Set the gauges; those of the configuration are compared with daemons'."""
        with self._machine.lock:
            configuration = self._machine.state.configuration
            index = self._machine.state.configuration_index
            suspects = self._machine.state.suspect_by_request
        gauge = self._metrics.gauge
        gauge("tamarackhaven_configuration_version", configuration.version)
        gauge("tamarackhaven_configuration_index", index)
        gauge("tamarackhaven_configuration_digest", configuration.digest)
        count_by_phase = collections.Counter(each.phase for each in suspects.values())
        for phase in SuspectPhase:
            gauge(
                "tamarackhaven_fleet_suspects", count_by_phase[phase], phase=phase.value
            )
