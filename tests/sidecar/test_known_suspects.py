"""What a daemon does with a request under which targets have ended."""

from tamarackhaven._digests import record_digest
from tamarackhaven.fleet._suspects import (
    MAX_ENDS,
    OpenRun,
    RequestAnswers,
    SuspectPhase,
    SuspectRequest,
    TargetEnd,
)
from tamarackhaven.sidecar._suspects import NOTED_TTL_S, OWN_END_TTL_S, KnownSuspects

REQUEST = b"request"
LIVES = [f"i{number}@1@h:1" for number in range(MAX_ENDS)]


def suspect(phase, *lives):
    ends = tuple(record_digest(life) for life in lives)
    count = len(lives)
    return {REQUEST: SuspectRequest(REQUEST, phase, ends, count, count)}


def known_after(*lives, now=0.0):
    suspects = KnownSuspects()
    for life in lives:
        suspects.record_end(life, (REQUEST,), now)
    return suspects


def test_a_request_without_ends_is_no_suspect():
    assert KnownSuspects().phase(REQUEST, 0.0) is None


def test_an_own_end_counts_before_the_control_group_knows_of_it():
    assert known_after(LIVES[0]).phase(REQUEST, 0.0) is SuspectPhase.SUSPECT
    assert known_after(*LIVES).phase(REQUEST, 0.0) is SuspectPhase.QUARANTINED


def test_an_own_end_adds_to_those_that_the_control_group_knows():
    suspects = known_after(LIVES[2])
    suspects.apply(suspect(SuspectPhase.SUSPECT, *LIVES[:2]))
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.QUARANTINED


def test_an_end_that_the_control_group_knows_is_not_counted_twice():
    # Guards against: a request is quarantined by two ends that are counted double, or
    # stays a suspect here when it has been answered elsewhere.
    suspects = known_after(LIVES[0], LIVES[1])
    suspects.apply(suspect(SuspectPhase.SUSPECT, LIVES[0], LIVES[1]))
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.SUSPECT
    assert suspects.own_ends(0.0) == ()
    suspects.apply(suspect(SuspectPhase.CLEARED, LIVES[0], LIVES[1]))
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.CLEARED
    suspects.record_end(LIVES[1], (REQUEST,), 0.0)
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.CLEARED


def test_ends_that_other_daemons_tell_of_count_but_make_no_suspect():
    # Guards against: without a leader each daemon lets a request end one more target.
    suspects = KnownSuspects()
    for life in (LIVES[0], LIVES[0], LIVES[1]):
        suspects.note_end(life, (REQUEST,), 0.0)
        assert suspects.phase(REQUEST, 0.0) is None
    assert suspects.own_ends(0.0) == ()
    suspects.record_end(LIVES[1], (REQUEST,), 0.0)
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.SUSPECT
    suspects.note_end(LIVES[2], (REQUEST,), 0.0)
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.QUARANTINED
    assert suspects.phase(REQUEST, OWN_END_TTL_S + 1.0) is None


def test_an_answer_ends_what_other_daemons_told():
    # Guards against: a request that many send is refused without a leader, since it was
    # at some targets that crashed.
    suspects = KnownSuspects()
    for life in LIVES[:2]:
        suspects.note_end(life, (REQUEST,), 0.0)
    suspects.note_answer(REQUEST)
    suspects.note_end(LIVES[2], (REQUEST,), 0.0)
    assert suspects.phase(REQUEST, 0.0) is None


def test_told_ends_that_the_control_group_knows_are_not_counted_twice():
    suspects = KnownSuspects()
    for life in LIVES[:2]:
        suspects.note_end(life, (REQUEST,), 0.0)
    suspects.apply(suspect(SuspectPhase.SUSPECT, *LIVES[:2]))
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.SUSPECT
    suspects.note_end(LIVES[0], (REQUEST,), 0.0)
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.SUSPECT
    suspects.note_end(LIVES[2], (REQUEST,), 0.0)
    assert suspects.phase(REQUEST, 0.0) is SuspectPhase.QUARANTINED


def test_own_ends_are_reported_until_they_are_known():
    suspects = known_after(LIVES[0])
    for _ in range(2):
        assert suspects.own_ends(1.0) == (TargetEnd(LIVES[0], (OpenRun(REQUEST),)),)
    assert suspects.own_ends(OWN_END_TTL_S + 1.0) == ()
    assert suspects.phase(REQUEST, OWN_END_TTL_S + 1.0) is None


def test_an_end_tells_how_often_the_target_had_answered():
    suspects = KnownSuspects()
    for _ in range(3):
        assert not suspects.record_answer(REQUEST, 0.0)
    suspects.record_end(LIVES[0], (REQUEST,), 0.0)
    ((run,),) = [each.runs for each in suspects.own_ends(0.0)]
    assert run == OpenRun(REQUEST, 3)


def test_answers_of_suspects_are_reported_once():
    suspects = known_after(LIVES[0])
    assert suspects.record_answer(REQUEST, 0.0)
    assert suspects.take_answers() == (RequestAnswers(REQUEST, 1),)
    assert suspects.take_answers() == ()
    suspects.apply(suspect(SuspectPhase.CLEARED, LIVES[0]))
    assert not suspects.record_answer(REQUEST, 0.0)
    assert suspects.take_answers() == (RequestAnswers(REQUEST, 1),)


def test_the_word_of_another_daemon_counts_for_a_moment():
    suspects = KnownSuspects()
    suspects.note_suspect(REQUEST, 0.0)
    assert suspects.is_confined(REQUEST, NOTED_TTL_S)
    assert not suspects.is_confined(REQUEST, NOTED_TTL_S + 0.1)
