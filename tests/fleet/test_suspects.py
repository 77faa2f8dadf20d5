"""When a request is a suspect, cleared or quarantined."""

import msgpack
import pytest

from tamarackhaven.fleet._state import FleetState, decode, encode
from tamarackhaven.fleet._suspects import (
    MAX_ENDS,
    MAX_SUSPECTS,
    MIN_ANSWERS_PER_END,
    OpenRun,
    RequestAnswers,
    SuspectPhase,
    TargetEnd,
    UpdateSuspects,
    updated,
)

REQUEST, OTHER = b"request", b"other"


def ended(*numbers, request=REQUEST, answers=0):
    """Return an update with the ends of some lives under a request."""
    runs = (OpenRun(request, answers),)
    return UpdateSuspects(ends=tuple(TargetEnd(f"i{n}@1@h:1", runs) for n in numbers))


def answered(count, request=REQUEST):
    return UpdateSuspects(answers=(RequestAnswers(request, count),))


def after(*updates):
    """Return the suspects after some updates, by request."""
    suspects = {}
    for update in updates:
        suspects = updated(suspects, update)
    return suspects


def phase_after(*updates):
    return after(*updates)[REQUEST].phase


def test_a_request_is_quarantined_after_three_ends():
    assert phase_after(ended(1)) is SuspectPhase.SUSPECT
    assert phase_after(ended(1), ended(2)) is SuspectPhase.SUSPECT
    assert phase_after(ended(1), ended(2), ended(3)) is SuspectPhase.QUARANTINED


def test_an_end_that_several_daemons_tell_of_counts_once():
    suspects = after(ended(1), ended(1), ended(2), ended(1, 2))
    assert suspects[REQUEST].end_count == 2


def test_an_answer_clears_a_request_until_the_next_end():
    assert phase_after(ended(1), answered(1)) is SuspectPhase.CLEARED
    suspect = after(ended(1), ended(2), answered(1), ended(3), answered(50))[REQUEST]
    assert suspect.phase is SuspectPhase.CLEARED
    again = after(ended(1, 2), answered(50), ended(3))[REQUEST]
    assert again.phase is SuspectPhase.SUSPECT
    assert again.unanswered_ends == 1


def test_a_request_that_ends_its_target_now_and_then_is_quarantined():
    # Guards against: one that is answered by half of its targets and ends the others
    # is cleared again and again.
    updates = []
    for number in range(MAX_ENDS):
        updates += [ended(number), answered(1)]
    assert phase_after(*updates) is SuspectPhase.QUARANTINED
    assert phase_after(*updates, answered(1)) is SuspectPhase.QUARANTINED


def test_a_popular_request_survives_crashes_of_other_causes():
    # Guards against: a request that all callers send is at each target that crashes,
    # and would be denied to all of them.
    updates = []
    for number in range(20):
        updates += [ended(number), answered(MIN_ANSWERS_PER_END * (MAX_ENDS + 1))]
    assert phase_after(*updates) is SuspectPhase.CLEARED


def test_a_popular_request_at_a_rack_that_crashes_is_cleared_by_the_next_answer():
    # Guards against: three targets end at once under it, which had answered it often.
    crashed = ended(1, 2, 3, answers=MIN_ANSWERS_PER_END)
    assert phase_after(crashed) is SuspectPhase.QUARANTINED
    assert phase_after(crashed, answered(1)) is SuspectPhase.CLEARED
    unknown = ended(1, 2, 3)
    assert phase_after(unknown, answered(1)) is SuspectPhase.QUARANTINED


def test_a_retried_request_is_quarantined_by_one_more_end():
    retried = UpdateSuspects(retried=(REQUEST,))
    quarantined = ended(1, 2, 3)
    assert phase_after(quarantined, retried) is SuspectPhase.SUSPECT
    again = after(quarantined, retried, ended(4))[REQUEST]
    assert again.phase is SuspectPhase.QUARANTINED
    assert again.quarantines == 2
    assert phase_after(quarantined, retried, answered(1)) is SuspectPhase.CLEARED


def test_a_forgotten_request_starts_anew():
    forgotten = UpdateSuspects(forgotten=(REQUEST,))
    assert after(ended(1, 2, 3), forgotten) == {}
    assert phase_after(ended(1, 2, 3), forgotten, ended(4)) is SuspectPhase.SUSPECT


def test_one_request_does_not_change_another():
    suspects = after(ended(1, 2, 3), ended(3, request=OTHER))
    assert suspects[OTHER].phase is SuspectPhase.SUSPECT


def test_many_different_requests_do_not_displace_a_quarantined_one():
    # Guards against: a caller that sends ever new requests which end targets fills the
    # memory, or makes the group forget the worst.
    updates = [ended(1, 2, 3)]
    updates += [ended(number, request=str(number).encode()) for number in range(2000)]
    suspects = after(*updates)
    assert len(suspects) == MAX_SUSPECTS
    assert suspects[REQUEST].phase is SuspectPhase.QUARANTINED
    assert b"1999" in suspects
    assert b"0" not in suspects


@pytest.mark.parametrize(
    "update",
    [
        UpdateSuspects(),
        ended(1, 2, answers=7),
        answered(3),
        UpdateSuspects(retried=(REQUEST,), forgotten=(OTHER,)),
    ],
)
def test_a_command_is_the_same_after_the_log(update):
    assert decode(encode(update)) == update


def test_suspects_survive_a_snapshot():
    state = FleetState()
    assert state.apply(1, ended(1, 2, 3)).kind is None
    restored = FleetState.restored(state.save())
    assert restored.suspect_by_request == state.suspect_by_request
    assert restored.versions() == state.versions()


def test_a_snapshot_of_an_earlier_release_has_no_suspects():
    saved = msgpack.unpackb(FleetState().save())
    for name in ("suspects", "suspects_index"):
        del saved[name]
    restored = FleetState.restored(msgpack.packb(saved))
    assert restored.suspect_by_request == {}


def test_a_command_that_changes_nothing_keeps_the_version():
    state = FleetState()
    state.apply(1, ended(1))
    state.apply(2, ended(1))
    assert state.suspects_index == 1
