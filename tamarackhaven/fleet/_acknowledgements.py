"""When an operator is told that a change is in force."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.fleet._leadership import DISCOVERY_TIMEOUT_S

# A daemon that has a session and doesn't take a change within this time may be cut off.
# It looks for the leader by then, and an operator waits no longer for it.
MAX_WAIT_S = 2.0
POLL_INTERVAL_S = 0.02
# Names of daemons in a log line.
MAX_LOGGED_DAEMONS = 5


def may_acknowledge(without, leads_for_s, waited_s):
    """Whether an operator may be told that a change is in force.

    An acknowledgement is a promise in the name of all daemons. A leader that has just
    been elected doesn't know yet which ones there are: they may still have sessions
    with the leader before it, and would serve by an older version.

    Parameters
    ----------
    without : collection of str
        Daemons with a session that haven't taken the change.
    leads_for_s : float
        For how long this control VM has led, in seconds.
    waited_s : float
        For how long the change has been applied here, in seconds.
    """
    if waited_s >= MAX_WAIT_S:
        return True
    return not without and leads_for_s >= DISCOVERY_TIMEOUT_S


class Acknowledgements:
    """The acknowledgements of operators' orders by a leading control VM.

    Parameters
    ----------
    machine : FleetMachine
        Of the member.
    sessions : DaemonSessions
        Of the daemons that report.
    leadership : callable
        Returns the ``Leadership`` in force, None if there is none.
    log : Log
        Log of the part ``control``.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, machine, sessions, leadership, log, metrics):
        self._machine = machine
        self._sessions = sessions
        self._leadership = leadership
        self._log = log
        self._metrics = metrics
        self._applied_index_by_part = {}
        self._applied_s = float("-inf")

    def record_applied(self):
        """Note when the state that daemons have to take has changed."""
        index_by_part = self._index_by_part()
        if index_by_part != self._applied_index_by_part:
            self._applied_index_by_part = index_by_part
            self._applied_s = boot_s()

    async def wait(self, command):
        """Return once an order that has been applied may be acknowledged.

        Returns at once when this control VM leads no more. An operator that gets no
        answer sends its order again; the time from then on counts from when the change
        was applied, so that an answer comes in the end.
        """
        index_by_part = self._index_by_part()
        applied_s = self._applied_s
        started_s = boot_s()
        while (leadership := self._leadership()) is not None:
            now = boot_s()
            without = self._sessions.daemons_without(index_by_part, now)
            leads_for_s = now - leadership.confirmed_s
            if may_acknowledge(without, leads_for_s, now - applied_s):
                self._record(command, leadership, index_by_part, without, started_s)
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _record(self, command, leadership, index_by_part, without, started_s):
        taken = "some" if without else "all"
        self._metrics.count(
            "tamarackhaven_fleet_orders_acknowledged_total", taken=taken
        )
        now = boot_s()
        self._log.say(
            "order acknowledged",
            command=type(command).__name__,
            index_by_part=index_by_part,
            term=leadership.term,
            leads_for_s=round(now - leadership.confirmed_s, 3),
            waited_s=round(now - started_s, 3),
            daemons=len(self._sessions),
            without=len(without),
            without_first=without[:MAX_LOGGED_DAEMONS],
        )

    def update_gauges(self):
        """Set the gauges of daemons with a session, and of those that lack a change."""
        without = self._sessions.daemons_without(self._index_by_part(), boot_s())
        self._metrics.gauge("tamarackhaven_fleet_daemons", len(self._sessions))
        self._metrics.gauge("tamarackhaven_fleet_daemons_without_change", len(without))

    def _index_by_part(self):
        with self._machine.lock:
            return self._machine.state.confirmed_index_by_part()
