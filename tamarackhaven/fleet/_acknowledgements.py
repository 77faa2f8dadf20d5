"""Tells operators that a change is in force, and logs which daemons have taken it."""

from tamarackhaven._clock import boot_s

# Names of daemons in a log line.
MAX_LOGGED_DAEMONS = 5


class Acknowledgements:
    """The acknowledgements of operators' orders by a leading control VM.

    Parameters
    ----------
    machine : FleetMachine
        Of the member.
    sessions : DaemonSessions
        Of the daemons that report.
    log : Log
        Log of the part ``control``.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, machine, sessions, log, metrics):
        self._machine = machine
        self._sessions = sessions
        self._log = log
        self._metrics = metrics

    def acknowledge(self, command, leadership):
        """Log that an order is acknowledged, and which daemons lack it.

        Parameters
        ----------
        command : Command
            The order, which has been applied.
        leadership : Leadership or None
            The one in force, None without one.
        """
        with self._machine.lock:
            index_by_part = self._machine.state.confirmed_index_by_part()
        without = self._sessions.daemons_without(index_by_part)
        self._metrics.count(
            "tamarackhaven_fleet_orders_acknowledged_total",
            taken="some" if without else "all",
        )
        now = boot_s()
        self._log.say(
            "order acknowledged",
            command=type(command).__name__,
            index_by_part=index_by_part,
            term=leadership.term if leadership else None,
            leads_for_s=round(now - leadership.confirmed_s, 3) if leadership else None,
            daemons=len(self._sessions),
            without=len(without),
            without_first=without[:MAX_LOGGED_DAEMONS],
        )

    def update_gauges(self):
        """Set the gauges of daemons with a session, and of those that lack a change."""
        with self._machine.lock:
            index_by_part = self._machine.state.confirmed_index_by_part()
        without = self._sessions.daemons_without(index_by_part)
        self._metrics.gauge("tamarackhaven_fleet_daemons", len(self._sessions))
        self._metrics.gauge("tamarackhaven_fleet_daemons_without_change", len(without))
