"""How long a leader takes members to have been silent."""

import attrs

from tamarackhaven._consensus import Status
from tamarackhaven._members import Member, Membership
from tamarackhaven._raft import Role
from tamarackhaven.fleet._member_silence import MemberSilence

MEMBERSHIP = Membership(tuple(Member(name, "10.0.0.1", 7, 0) for name in "abc"))
LEADING = Status("a", Role.LEADER, "a", 5, 0, 0, MEMBERSHIP)


def test_a_new_leader_takes_no_voter_for_silent_that_it_has_not_heard_yet():
    # Guards against healthy voters being replaced right after an election: followers
    # don't hear each other.
    silence = MemberSilence()
    silent = silence.silent_s_by_name(LEADING, {"b": 3.0}, 100.0)
    assert silent == {"a": 0.0, "b": 0.0, "c": 0.0}
    silent = silence.silent_s_by_name(LEADING, {"b": 100.2}, 100.3)
    assert round(silent["b"], 3) == 0.1
    assert round(silent["c"], 3) == 0.3


def test_a_leader_that_leads_again_listens_anew():
    silence = MemberSilence()
    silence.silent_s_by_name(LEADING, {}, 100.0)
    again = attrs.evolve(LEADING, term=7)
    assert silence.silent_s_by_name(again, {}, 100.2)["c"] == 0.0


def test_a_pause_of_the_leader_itself_counts_as_silence_of_nobody():
    # Guards against a resumed leader that replaces voters whose messages it has yet to
    # read.
    silence = MemberSilence()
    silence.silent_s_by_name(LEADING, {}, 100.0)
    assert silence.silent_s_by_name(LEADING, {}, 107.0)["c"] == 0.0
    assert round(silence.silent_s_by_name(LEADING, {}, 107.4)["c"], 3) == 0.4


def test_a_new_member_is_silent_only_since_it_was_added():
    # Guards against a learner that is removed as silent before its first message.
    silence = MemberSilence()
    silence.silent_s_by_name(LEADING, {}, 100.0)
    learner = Member("d", "10.0.0.4", 7, 0, voter=False)
    grown = attrs.evolve(LEADING, membership=Membership((*MEMBERSHIP.members, learner)))
    silent = silence.silent_s_by_name(grown, {}, 100.4)
    assert silent["d"] == 0.0
    assert round(silent["c"], 3) == 0.4
