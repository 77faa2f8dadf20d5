"""Lets suspects run at one target at a time, and collects what becomes of them. Pure.

A daemon asks for a permit in its report, and gets it with the answer, which a quorum
has confirmed: two leaders can't both give one. A permit is in force for as long as the
daemon's reports name it.
"""

import collections

import attrs

from tamarackhaven._digests import record_digest
from tamarackhaven.fleet._suspects import (
    MAX_ENDS,
    OpenRun,
    RequestAnswers,
    SuspectPhase,
    UpdateSuspects,
    as_ends,
)

# A suspect without another end for this long is forgotten.
SUSPECT_TTL_S = 600.0
# A quarantined request may run once more after this time, and after twice as long each
# time that it ends its target again. It may be served again by then: operators restore
# data and replace programs. If not, this costs one more target.
QUARANTINE_S = 900.0
MAX_QUARANTINE_S = 8 * 3600.0
# Answers of a suspect that was cleared are only counted, and written down this often.
ANSWERS_INTERVAL_S = 1.0
REVIEW_INTERVAL_S = 1.0
# Ends that wait for the log; older ones are dropped, and reported again.
MAX_PENDING_ENDS = 4096


@attrs.define
class _Permit:
    """A daemon's permit to run a suspect.

    Parameters
    ----------
    daemon : str
        Host and port of its links.
    expires_s : float
        When it ends unless the daemon's reports name it.
    """

    daemon: str
    expires_s: float


@attrs.frozen
class _Runs:
    """The suspects that a daemon runs, as it reported, and until when that counts."""

    requests: frozenset
    expires_s: float


class Trials:
    """The permits of one term, and what daemons have told of suspects.

    Parameters
    ----------
    lease_s : float
        How long a daemon that is silent may still use its permits, in seconds.
    """

    def __init__(self, lease_s):
        self._lease_s = lease_s
        self._permit_by_request = {}
        self._runs_by_daemon = {}
        self._pending_ends = collections.OrderedDict()
        self._answers_by_request = collections.Counter()
        self._since_s_by_request = {}
        self._answers_due_s = float("-inf")
        self._review_due_s = float("-inf")
        self._open_command = None

    def record(self, daemon, report, state, now):
        """Record what a daemon reports; return whether a change is due at once.

        Parameters
        ----------
        daemon : str
            Host and port of its links.
        report : Report
            Its newest one.
        state : FleetState
            The leader's.
        now : float
            Seconds of the boot clock.
        """
        self._record_runs(daemon, report, now)
        for counted in report.answers:
            self._answers_by_request[counted.request] += counted.count
        has_new_end = False
        for end in report.ends:
            for run in end.runs:
                known = state.suspect_by_request.get(run.request)
                if known is None or record_digest(end.life) not in known.ends:
                    has_new_end |= self._record_end(end.life, run)
        return has_new_end or bool(report.answers)

    def _record_runs(self, daemon, report, now):
        runs = frozenset(report.trials)
        expires_s = now + self._lease_s
        self._runs_by_daemon[daemon] = _Runs(runs, expires_s)
        for request, permit in list(self._permit_by_request.items()):
            if permit.daemon != daemon:
                continue
            # Until the daemon has received its permit, it goes on asking for it.
            if request in runs or request in report.wanted_trials:
                permit.expires_s = expires_s
            else:
                del self._permit_by_request[request]

    def _record_end(self, life, run):
        key = run.request, life
        if key in self._pending_ends:
            return False
        # Those answers came before this end, and don't clear the request of it.
        answers = run.answers + self._answers_by_request.pop(run.request, 0)
        self._pending_ends[key] = answers
        if len(self._pending_ends) > MAX_PENDING_ENDS:
            self._pending_ends.popitem(last=False)
        return True

    # Permits.

    def grant(self, daemon, report, state, now):
        """Return the requests that a daemon may run once now, as a tuple.

        Call it only after a quorum has confirmed the leader, in a round that began
        after the report was received.
        """
        permits = []
        for request in report.wanted_trials:
            if self._may_run(request, state) and not self._is_running(
                request, daemon, now
            ):
                expires_s = now + self._lease_s
                self._permit_by_request[request] = _Permit(daemon, expires_s)
                permits.append(request)
        return tuple(permits)

    def _may_run(self, request, state):
        known = state.suspect_by_request.get(request)
        if known is not None and known.phase is SuspectPhase.QUARANTINED:
            return False
        return self._unanswered_ends(request, known) < MAX_ENDS

    def _unanswered_ends(self, request, known):
        """Count the ends without an answer, also those that wait for the log."""
        ends = known.ends if known is not None else ()
        pending = sum(
            pending_request == request and record_digest(life) not in ends
            for pending_request, life in self._pending_ends
        )
        return pending + (known.unanswered_ends if known is not None else 0)

    def _is_running(self, request, daemon, now):
        """Whether a request may run, other than by a permit still on its way."""
        permit = self._permit_by_request.get(request)
        is_others = permit is not None and permit.daemon != daemon
        if is_others and now < permit.expires_s:
            return True
        return any(
            request in runs.requests and now < runs.expires_s
            for runs in self._runs_by_daemon.values()
        )

    # Changes of the replicated state.

    def update(self, state, now):
        """Return the ``UpdateSuspects`` that is due, None if none is.

        The next one waits for its outcome, see ``close``.
        """
        if self._open_command is not None:
            return None
        retried, forgotten = self._review(state, now)
        command = UpdateSuspects(
            self._new_ends(state), self._counted_answers(state, now), retried, forgotten
        )
        if command == UpdateSuspects():
            return None
        self._open_command = command
        return command

    def close(self, command, is_void=False):
        """Allow the next change, since the outcome of ``command`` is known.

        If it isn't ``is_void``, its ends aren't proposed again, even if the state has
        no room for them; a daemon that misses one reports it again.
        """
        if command is not self._open_command:
            return
        self._open_command = None
        if is_void:
            return
        for end in command.ends:
            for run in end.runs:
                self._pending_ends.pop((run.request, end.life), None)

    def _new_ends(self, state):
        """Return the ends that ``state`` doesn't include; forget the others."""
        runs_by_life = collections.defaultdict(list)
        for (request, life), answers in list(self._pending_ends.items()):
            known = state.suspect_by_request.get(request)
            if known is not None and record_digest(life) in known.ends:
                del self._pending_ends[request, life]
            else:
                runs_by_life[life].append(OpenRun(request, answers))
        return as_ends(runs_by_life)

    def _counted_answers(self, state, now):
        """Return the answers to write down now; others stay, or are dropped."""
        is_due = now >= self._answers_due_s
        ended = {request for request, _ in self._pending_ends}
        counted = []
        for request, count in list(self._answers_by_request.items()):
            known = state.suspect_by_request.get(request)
            is_cleared = known is not None and known.phase is SuspectPhase.CLEARED
            if (known is None and request not in ended) or (
                is_cleared and known.answers >= known.answers_wanted
            ):
                del self._answers_by_request[request]
            elif is_due or not is_cleared:
                del self._answers_by_request[request]
                counted.append(RequestAnswers(request, count))
        if is_due:
            self._answers_due_s = now + ANSWERS_INTERVAL_S
        return tuple(counted)

    def _review(self, state, now):
        """Return the requests whose quarantine is over, and those to forget."""
        if now < self._review_due_s:
            return (), ()
        self._review_due_s = now + REVIEW_INTERVAL_S
        self._runs_by_daemon = {
            daemon: runs
            for daemon, runs in self._runs_by_daemon.items()
            if now < runs.expires_s
        }
        since_s_by_request = {}
        retried, forgotten = [], []
        for request, known in state.suspect_by_request.items():
            key = request, known.end_count, known.quarantines
            since_s = self._since_s_by_request.get(key, now)
            since_s_by_request[key] = since_s
            if now - since_s < _remembered_s(known):
                continue
            is_quarantined = known.phase is SuspectPhase.QUARANTINED
            (retried if is_quarantined else forgotten).append(request)
        self._since_s_by_request = since_s_by_request
        return tuple(retried), tuple(forgotten)


def _remembered_s(known):
    """Return how long a suspect stays as it is without another end, in seconds."""
    if not known.quarantines:
        return SUSPECT_TTL_S
    return min(QUARANTINE_S * 2 ** min(known.quarantines - 1, 16), MAX_QUARANTINE_S)
