"""Tests of the leader's fence rounds."""

from tamarackhaven._fence_round import FenceAsk, FenceRounds, Retire
from tamarackhaven._model import Address, TargetMember
from tamarackhaven._settings import LeaseSettings

SETTINGS = LeaseSettings(lease_ms=500, renew_ms=100, drift=0.0)
MEMBERS = [TargetMember("s", "t", "z", "i", "n", Address("h", 1), epoch=5)]
PROMISE_END_S_BY_KEY = {("s", "t", 5): 1.0}


def ask(member):
    return FenceAsk(member, "s", "t", 5)


def tick(rounds, now, voters="abc", ended=PROMISE_END_S_BY_KEY):
    def promise_end(*key):
        return ended.get(key)

    return rounds.tick(now, MEMBERS, promise_end, voters)


def test_other_voters_are_asked_before_the_leader_itself():
    """No target must be fenced while the other voters still receive its renewals.

    The leader's own promise ends at 1.0 s. One voter refuses and is asked again after
    its wait; the other one fences; then the leader is asked too, and a majority has
    fenced. The retirement is never committed, so the round restarts a promise time
    later.
    """
    rounds = FenceRounds(SETTINGS, "a")
    assert tick(rounds, 0.99) == []
    assert tick(rounds, 1.0) == [ask("b"), ask("c")]
    assert rounds.answered("b", ask("b"), False, 250, 1.0) is None
    assert rounds.answered("c", ask("c"), False, 50, 1.0) is None
    assert tick(rounds, 1.0625) == [ask("c")]
    assert rounds.answered("c", ask("c"), True, 0, 1.0625) is None
    assert tick(rounds, 1.125) == [ask("a")]
    assert rounds.answered("c", ask("c"), True, 0, 1.125) is None  # a duplicate
    assert rounds.answered("a", ask("a"), True, 0, 1.125) == Retire("s", "t", 5)
    assert tick(rounds, 1.25) == []
    assert tick(rounds, 1.625) == [ask("b"), ask("c")]


def test_fences_of_former_voters_do_not_count():
    rounds = FenceRounds(SETTINGS, "a")
    tick(rounds, 1.0)
    rounds.answered("c", ask("c"), True, 0, 1.0)
    assert tick(rounds, 1.0, "abd") == [ask("d")]
    assert rounds.answered("c", ask("c"), True, 0, 1.0) is None
    assert rounds.answered("b", ask("b"), True, 0, 1.0) is None
    assert rounds.answered("d", ask("d"), True, 0, 1.0) == Retire("s", "t", 5)


def test_target_that_never_renewed_has_three_promise_times_to_do_so():
    rounds = FenceRounds(SETTINGS, "a")
    assert tick(rounds, 1.0, ended={}) == []
    assert tick(rounds, 2.49, ended={}) == []
    assert tick(rounds, 2.5, ended={}) == [ask("b"), ask("c")]
