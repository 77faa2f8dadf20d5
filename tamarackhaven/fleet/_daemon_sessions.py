"""The daemons that are connected to the leading control VM, and what they are sent."""

from tamarackhaven._clock import boot_s
from tamarackhaven._digests import digest_text
from tamarackhaven.fleet._feed import UpdateCache
from tamarackhaven.fleet._messages import CONTROL_CODEC
from tamarackhaven.fleet._sessions import Session


class DaemonSessions:
    """Sessions by link, from a daemon's first report on it.

    A daemon asks all control VMs which one leads, several times on a congested link,
    and until it has a new session its former one may bring it newer updates. A
    difference from what it had when it asked would change a version that it no longer
    has. So a session begins with the first report, which says what the daemon has then.

    Parameters
    ----------
    log : Log
        Log of the part ``control``.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, log, metrics):
        self._log = log
        self._metrics = metrics
        self._daemon_by_link = {}
        self._session_by_link = {}
        self._update_cache = UpdateCache()

    def __len__(self):
        return len(self._session_by_link)

    def __contains__(self, link):
        return link in self._daemon_by_link

    def daemon(self, link):
        """Return the daemon at the other end of a link, empty if it's closed."""
        return self._daemon_by_link.get(link, "")

    def register(self, link, daemon):
        """Record which daemon is at the other end of a link.

        ``daemon`` is the host and port of the daemon's own links.
        """
        self._daemon_by_link[link] = daemon

    def record_report(self, link, report, state, make_targets_view):
        """Begin or continue the session of a report, and send what the daemon lacks.

        Parameters
        ----------
        link : Link
            Of a registered daemon.
        report : Report
            The daemon's.
        state : FleetState
            The leader's.
        make_targets_view : callable
            Returns the ``TargetsView`` with all targets.
        """
        session = self._session_by_link.get(link)
        if session is None:
            session = self._begin(link, report)
            link.send(make_targets_view())
        session.reported_s = boot_s()
        session.acknowledge(report.state_index)
        for version in report.known:
            session.record_taken(version.part, version.index)
        if report.refused_parts:
            self._log_refused_parts(session, report)
            session.resend(report.refused_parts, report.known)
        if report.is_behind:
            self._log_lost_parts(session, session.resend_lost(report.known))
        for version in session.replace_differing(report.known, state):
            self._log_difference(session, version)
        session.send_updates(state)

    def record_taken(self, link, part, index):
        """Record that the daemon at the other end of a link has taken an update."""
        session = self._session_by_link.get(link)
        if session is not None:
            session.record_taken(part, index)

    def daemons_without(self, index_by_part, now):
        """Return the daemons that lack a part as of a log index, by their sessions.

        Those that have sent no report for too long aren't waited for.
        """
        return [
            session.daemon
            for session in self._session_by_link.values()
            if not session.has_taken(index_by_part) and not session.is_silent(now)
        ]

    def _begin(self, link, report):
        daemon = self._daemon_by_link[link]
        session = Session(daemon, link, self._update_cache, report.known)
        self._session_by_link[link] = session
        self._log.say("daemon found", daemon=daemon)
        return session

    def _log_refused_parts(self, session, report):
        for part in report.refused_parts:
            self._metrics.count("tamarackhaven_fleet_updates_refused_total")
            self._log.say("update refused", daemon=session.daemon, state_part=part)

    def _log_lost_parts(self, session, parts):
        for part in parts:
            self._metrics.count("tamarackhaven_fleet_updates_lost_total")
            self._log.say("update lost", daemon=session.daemon, state_part=part)

    def _log_difference(self, session, version):
        self._metrics.count("tamarackhaven_fleet_daemons_differing_total")
        self._log.say(
            "daemon differs",
            daemon=session.daemon,
            state_part=version.part,
            index=version.index,
            digest=digest_text(version.digest),
        )

    def send_updates(self, state):
        """Send each daemon the newer parts of ``state``."""
        for session in self._session_by_link.values():
            session.send_updates(state)

    def send_updates_on(self, link, state):
        """Send the daemon at the other end of a link the newer parts of ``state``."""
        session = self._session_by_link.get(link)
        if session is not None:
            session.send_updates(state)

    def send_to_all(self, message):
        """Send one message to all daemons."""
        packed = CONTROL_CODEC.packed(message)
        for session in self._session_by_link.values():
            session.link.send(packed)

    def close(self, link):
        """Forget a closed link."""
        self._daemon_by_link.pop(link, None)
        session = self._session_by_link.pop(link, None)
        if session is not None:
            self._log.say("daemon lost", daemon=session.daemon)

    def abort_all(self):
        """Close the links of all sessions, since this control VM no longer leads."""
        self._daemon_by_link.clear()
        for link in list(self._session_by_link):
            link.abort()
