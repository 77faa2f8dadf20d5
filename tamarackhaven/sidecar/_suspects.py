"""The requests under which targets have ended, as far as a daemon knows. Pure.

The daemon that sees an end acts on it at once. Its own observations count until the
control group's suspects include them.
"""

import collections

from tamarackhaven._digests import record_digest
from tamarackhaven.fleet._suspects import (
    MAX_ENDS,
    OpenRun,
    RequestAnswers,
    SuspectPhase,
    as_ends,
)

# An end that the control group hasn't recorded by then is given up. That takes
# hundredths of a second with a leader, and an election a second or two.
OWN_END_TTL_S = 30.0
MAX_OWN_ENDS = 1024
# The word of another daemon counts until the control group's suspects arrive.
NOTED_TTL_S = 2.0
# How many requests' answers are remembered, and how often each counts at most.
MAX_REMEMBERED_REQUESTS = 4096
MAX_REMEMBERED_ANSWERS = 255


class KnownSuspects:
    """What a daemon does with a request: send it, let it run alone, or refuse it."""

    def __init__(self):
        self._suspect_by_request = {}
        # Answers by the life that ended, by request, with when that was noted.
        self._own_ends_by_request = collections.OrderedDict()
        # When other daemons told of ends, by life, by request.
        self._told_ends_by_request = collections.OrderedDict()
        self._answers_by_request = collections.OrderedDict()
        self._new_answers_by_request = collections.Counter()
        self._noted_s_by_request = collections.OrderedDict()

    def apply(self, suspect_by_request):
        """Replace the control group's suspects."""
        self._suspect_by_request = suspect_by_request
        for request in self._noted_s_by_request.keys() & suspect_by_request.keys():
            del self._noted_s_by_request[request]
        for ends_by_request in (self._own_ends_by_request, self._told_ends_by_request):
            _remove_known(ends_by_request, suspect_by_request)

    def record_end(self, life, requests, now):
        """Record that a target has ended, and which requests it had.

        Parameters
        ----------
        life : str
            What ended: a life of the target, or a run of its daemon.
        requests : iterable of bytes
            Digests of what these ask for.
        now : float
            Seconds of the boot clock.
        """
        for request in requests:
            known = self._suspect_by_request.get(request)
            if not request or known and record_digest(life) in known.ends:
                continue
            own = self._own_ends_by_request.setdefault(request, {})
            if life not in own:
                own[life] = now, self._answers_by_request.pop(request, 0)
            if len(self._own_ends_by_request) > MAX_OWN_ENDS:
                self._own_ends_by_request.popitem(last=False)

    def note_suspect(self, request, now):
        """Record that another daemon takes a request for a suspect.

        The control group's suspects will say so soon. ``now`` is in seconds of the boot
        clock.
        """
        self._noted_s_by_request[request] = now
        if len(self._noted_s_by_request) > MAX_OWN_ENDS:
            self._noted_s_by_request.popitem(last=False)

    def note_end(self, life, requests, now):
        """Record that another daemon tells of an end, and which requests were there.

        Such ends count until the control group's suspects include them, or a target
        answers the request. They don't make it a suspect: without a leader it would be
        refused everywhere, and most requests that a target has are innocent.

        Parameters
        ----------
        life : str
            The life that ended.
        requests : iterable of bytes
            Digests of what the requests ask for.
        now : float
            Seconds of the boot clock.
        """
        for request in requests:
            known = self._suspect_by_request.get(request)
            if not request or known and record_digest(life) in known.ends:
                continue
            told = self._told_ends_by_request.setdefault(request, {})
            told.setdefault(life, now)
            if len(told) > MAX_ENDS:
                del told[next(iter(told))]
            if len(self._told_ends_by_request) > MAX_OWN_ENDS:
                self._told_ends_by_request.popitem(last=False)

    def told_requests(self, life, requests):
        """Return those of ``requests`` for which a life's end as told still counts.

        It no longer does once the control group's suspects include it, or a target has
        answered the request.
        """
        return tuple(
            each
            for each in requests
            if life in self._told_ends_by_request.get(each, ())
        )

    def note_answer(self, request):
        """Record that a target answered a request that this daemon had sent."""
        self._told_ends_by_request.pop(request, None)

    def _is_noted(self, request, now):
        noted_s = self._noted_s_by_request.get(request)
        return noted_s is not None and now - noted_s <= NOTED_TTL_S

    def phase(self, request, now):
        """Return a request's ``SuspectPhase``, None if no target ended under it.

        ``now`` is in seconds of the boot clock.
        """
        known = self._suspect_by_request.get(request)
        own = self._recent_own_ends(request, now)
        unanswered_ends = len({*own, *self._recent_told_ends(request, now)})
        if known is not None:
            unanswered_ends += known.unanswered_ends
            if known.phase is SuspectPhase.QUARANTINED:
                return known.phase
        if unanswered_ends >= MAX_ENDS:
            return SuspectPhase.QUARANTINED
        if not own and known is not None:
            return known.phase
        is_suspect = own or self._is_noted(request, now)
        return SuspectPhase.SUSPECT if is_suspect else None

    def end_count(self, request, now):
        """Return how many targets have ended under a request."""
        known = self._suspect_by_request.get(request)
        own = self._recent_own_ends(request, now)
        return len(own) + (known.end_count if known is not None else 0)

    def _recent_own_ends(self, request, now):
        own = self._own_ends_by_request.get(request)
        if not own:
            return ()
        return [life for life, end in own.items() if now - end[0] <= OWN_END_TTL_S]

    def _recent_told_ends(self, request, now):
        told = self._told_ends_by_request.get(request)
        if not told:
            return ()
        return [life for life, told_s in told.items() if now - told_s <= OWN_END_TTL_S]

    def is_confined(self, request, now):
        """Whether a request runs at one target at a time, or at none."""
        return self.phase(request, now) not in (None, SuspectPhase.CLEARED)

    def record_answer(self, request, now):
        """Record that the target answered a request; return whether to report it now.

        ``now`` is in seconds of the boot clock.
        """
        phase = self.phase(request, now)
        if phase is not None:
            self._new_answers_by_request[request] += 1
            return phase is not SuspectPhase.CLEARED
        answers = self._answers_by_request.pop(request, 0)
        self._answers_by_request[request] = min(answers + 1, MAX_REMEMBERED_ANSWERS)
        if len(self._answers_by_request) > MAX_REMEMBERED_REQUESTS:
            self._answers_by_request.popitem(last=False)
        return False

    # Reports.

    def own_ends(self, now):
        """Return the ends that the control group's suspects don't include.

        A tuple of ``TargetEnd``; ``now`` is in seconds of the boot clock.
        """
        runs_by_life = collections.defaultdict(list)
        for request, own in list(self._own_ends_by_request.items()):
            for life, (noted_s, answers) in list(own.items()):
                if now - noted_s > OWN_END_TTL_S:
                    del own[life]
                else:
                    runs_by_life[life].append(OpenRun(request, answers))
            if not own:
                del self._own_ends_by_request[request]
        return as_ends(runs_by_life)

    def take_answers(self):
        """Return the answers since the last call, a tuple of ``RequestAnswers``."""
        counts = self._new_answers_by_request.items()
        self._new_answers_by_request = collections.Counter()
        return tuple(RequestAnswers(request, count) for request, count in counts)


def _remove_known(ends_by_request, suspect_by_request):
    """Remove the ends that the control group's suspects include."""
    for request in ends_by_request.keys() & suspect_by_request.keys():
        known = suspect_by_request[request]
        ends = ends_by_request[request]
        for life in [each for each in ends if record_digest(each) in known.ends]:
            del ends[life]
        if not ends:
            del ends_by_request[request]
