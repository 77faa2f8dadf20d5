"""The requests under which targets have ended, as the control group knows them. Pure.

All requests that a target had when it ended are suspects: one of them may have ended
it, and most are innocent. A suspect runs at one target at a time, until one answers it.
If several targets end under it first, it's quarantined, and no daemon sends it on.
"""

import enum
import functools

import attrs

from tamarackhaven._digests import record_digest, set_digest

# A request is quarantined after the ends of this many targets without an answer.
MAX_ENDS = 3
# One that ends its target now and then, but not always, is quarantined if it's answered
# less often than this for each end. A request that many callers send is at each target
# that crashes, and is answered far more often.
MIN_ANSWERS_PER_END = 5
# Ends that are told apart by the life that ended, the newest ones.
MAX_REMEMBERED_ENDS = 8
# An entry takes about a hundred bytes; each costs at least one target to make.
MAX_SUSPECTS = 1024
MAX_COUNT = 1_000_000


class SuspectPhase(enum.Enum):
    """What daemons do with a request that targets had when they ended."""

    # It was answered since; it's sent like any other, and watched.
    CLEARED = "cleared"
    # It runs at one target of the fleet at a time.
    SUSPECT = "suspect"
    # It's refused.
    QUARANTINED = "quarantined"


# Entries of earlier phases are dropped first.
_RANK_BY_PHASE = {phase: rank for rank, phase in enumerate(SuspectPhase)}


@attrs.frozen
class OpenRun:
    """A request that a target had when it ended.

    Parameters
    ----------
    request : bytes
        Digest of what it asks for.
    answers : int
        How often this target had answered it before, as far as its daemon remembers.
    """

    request: bytes
    answers: int = 0


@attrs.frozen
class TargetEnd:
    """The end of a life of a target, or of a run of its daemon, and what it had."""

    life: str
    runs: tuple[OpenRun, ...]


def as_ends(runs_by_life):
    """Return a dict of ``OpenRun`` lists by life as a tuple of ``TargetEnd``."""
    return tuple(TargetEnd(life, tuple(runs)) for life, runs in runs_by_life.items())


@attrs.frozen
class RequestAnswers:
    """How often targets have answered a suspect since the last count."""

    request: bytes
    count: int


@attrs.frozen
class SuspectRequest:
    """A request that at least one target had when it ended.

    Parameters
    ----------
    request : bytes
        Digest of what it asks for.
    phase : SuspectPhase
        What daemons do with it.
    ends : tuple of int
        Digests of the lives that ended, the newest ones.
    end_count : int
        All lives that ended.
    unanswered_ends : int
        Those since its last answer.
    answers : int
        Answers that were counted.
    quarantines : int
        How often it was quarantined.
    """

    request: bytes
    phase: SuspectPhase = SuspectPhase.CLEARED
    ends: tuple[int, ...] = ()
    end_count: int = 0
    unanswered_ends: int = 0
    answers: int = 0
    quarantines: int = 0

    @functools.cached_property
    def digest(self):
        """The digest of all fields, an integer."""
        values = attrs.astuple(self, recurse=False)
        return record_digest(*(_plain(each) for each in values))

    def with_end(self, life_digest, answers_before):
        """Return it after the end of one more life.

        Several daemons may tell of the same end; it counts once.
        """
        if life_digest in self.ends:
            return self
        ended = attrs.evolve(
            self,
            ends=(*self.ends, life_digest)[-MAX_REMEMBERED_ENDS:],
            end_count=min(self.end_count + 1, MAX_COUNT),
            unanswered_ends=min(self.unanswered_ends + 1, MAX_COUNT),
            answers=min(self.answers + answers_before, MAX_COUNT),
        )
        if not ended._must_be_quarantined:
            return attrs.evolve(ended, phase=SuspectPhase.SUSPECT)
        if self.phase is SuspectPhase.QUARANTINED:
            return ended
        quarantines = min(self.quarantines + 1, MAX_COUNT)
        return attrs.evolve(
            ended, phase=SuspectPhase.QUARANTINED, quarantines=quarantines
        )

    def with_answers(self, count):
        """Return it after ``count`` more answers."""
        answered = attrs.evolve(
            self, answers=min(self.answers + count, MAX_COUNT), unanswered_ends=0
        )
        if answered._must_be_quarantined:
            return answered
        return attrs.evolve(answered, phase=SuspectPhase.CLEARED)

    def retried(self):
        """Return it as a suspect that is quarantined again by one more end."""
        return attrs.evolve(
            self,
            phase=SuspectPhase.SUSPECT,
            end_count=MAX_ENDS - 1,
            unanswered_ends=MAX_ENDS - 1,
            answers=0,
        )

    @property
    def _must_be_quarantined(self):
        if self.unanswered_ends >= MAX_ENDS:
            return True
        is_often = self.end_count >= MAX_ENDS
        return is_often and self.answers < MIN_ANSWERS_PER_END * self.end_count

    @property
    def answers_wanted(self):
        """How many counted answers are enough, whatever ends come next."""
        return MIN_ANSWERS_PER_END * (max(self.end_count, MAX_ENDS) + 1)


def _plain(value):
    return value.value if isinstance(value, enum.Enum) else value


@attrs.frozen
class UpdateSuspects:
    """A command: what daemons have told of requests, and decisions about them.

    Parameters
    ----------
    ends : tuple of TargetEnd
        Ends that daemons have seen.
    answers : tuple of RequestAnswers
        Answers after these ends.
    retried : tuple of bytes
        Quarantined requests that may run at one target again.
    forgotten : tuple of bytes
        Requests that are suspects no more.
    """

    ends: tuple[TargetEnd, ...] = ()
    answers: tuple[RequestAnswers, ...] = ()
    retried: tuple[bytes, ...] = ()
    forgotten: tuple[bytes, ...] = ()


def updated(suspect_by_request, update):
    """Return the suspects after an ``UpdateSuspects``, as a dict by request."""
    result = dict(suspect_by_request)
    for request in update.forgotten:
        result.pop(request, None)
    for request in update.retried:
        known = result.get(request)
        if known is not None and known.phase is SuspectPhase.QUARANTINED:
            result[request] = known.retried()
    for end in update.ends:
        life_digest = record_digest(end.life)
        for run in end.runs:
            known = result.get(run.request) or SuspectRequest(run.request)
            result[run.request] = known.with_end(life_digest, run.answers)
    for counted in update.answers:
        known = result.get(counted.request)
        if known is not None:
            result[counted.request] = known.with_answers(counted.count)
    return _bounded(result)


def _bounded(suspect_by_request):
    """Drop the least suspect ones, the oldest first, down to ``MAX_SUSPECTS``."""
    excess = len(suspect_by_request) - MAX_SUSPECTS
    if excess <= 0:
        return suspect_by_request
    # Sorting is stable, and a dict keeps the order in which its keys were added.
    by_rank = sorted(
        suspect_by_request.values(),
        key=lambda each: (_RANK_BY_PHASE[each.phase], each.unanswered_ends),
    )
    dropped = {each.request for each in by_rank[:excess]}
    return {
        request: each
        for request, each in suspect_by_request.items()
        if request not in dropped
    }


def suspects_digest(suspect_by_request):
    """Return the digest of a set of suspects, by which two processes compare theirs."""
    return set_digest(each.digest for each in suspect_by_request.values())
