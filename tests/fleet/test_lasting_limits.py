"""When a target's limit counts for the placement of keys."""

import attrs
import pytest

from tamarackhaven.fleet._lasting_limits import (
    MIN_LIMITED_S,
    RECOVERY_S,
    LastingLimits,
)
from tamarackhaven.fleet._leadership import DISCOVERY_TIMEOUT_S
from tests.fleet.test_leadership import Group, target

LIMIT_PER_S = 2.0
KEY_LOAD = tuple((bucket, 0.5) for bucket in range(0, 4096, 128))


@pytest.fixture
def limits():
    limits = LastingLimits()
    limits.record("a", LIMIT_PER_S, 100.0)
    return limits


def test_a_limit_counts_once_it_has_lasted(limits):
    limits.record("a", LIMIT_PER_S, 100.0 + MIN_LIMITED_S / 2)
    assert limits.per_s("a", 100.0 + MIN_LIMITED_S / 2) is None
    limits.record("a", 1.5, 100.0 + MIN_LIMITED_S)
    assert limits.per_s("a", 100.0 + MIN_LIMITED_S) == 1.5


def test_a_limit_that_ends_soon_never_counts(limits):
    for number in range(1, 40):
        per_s = None if number % 2 else LIMIT_PER_S
        limits.record("a", per_s, 100.0 + 0.6 * MIN_LIMITED_S * number)
        assert limits.per_s("a", 100.0 + 0.6 * MIN_LIMITED_S * number) is None


def test_an_ended_limit_counts_for_some_time(limits):
    limits.record("a", LIMIT_PER_S, 102.0)
    limits.record("a", None, 102.5)
    assert limits.per_s("a", 102.0 + RECOVERY_S - 0.1) == LIMIT_PER_S
    limits.record("a", None, 102.0 + RECOVERY_S + 0.1)
    assert limits.per_s("a", 102.0 + RECOVERY_S + 0.1) is None


class LimitedGroup(Group):
    """A leader with three targets; the first one names a limit for some times."""

    def __init__(self):
        super().__init__()
        self.targets = [target(name) for name in "abc"]
        self.run(4 * DISCOVERY_TIMEOUT_S, *self.targets)
        self.moves = 0

    def beat(self, who):
        if self.grant_by_life.get(who.life) is None or who.name != "a":
            return super().beat(who)
        grant = self.grant_by_life[who.life]
        holds = self.holds(grant)
        busy = tuple(
            (bucket, rate)
            for bucket, rate in KEY_LOAD
            if any(h.first // 16 <= bucket <= h.last // 16 for h in holds)
        )
        return self.report(who, holds=holds, settled=grant.grant, key_load=busy)

    def tick(self):
        commands = super().tick()
        self.moves = getattr(self, "moves", 0) + len(commands)
        return commands

    def play(self, limit_per_s, seconds):
        self.targets[0] = attrs.evolve(self.targets[0], limit_per_s=limit_per_s)
        self.run(seconds, *self.targets)

    def keys_of_first(self):
        return sum(r.last - r.first + 1 for r in self.owned(self.targets[0]))


def test_keys_leave_a_target_while_its_limit_lasts_and_return_later():
    # Guards against: callers of a target in need are refused while others have room.
    group = LimitedGroup()
    before = group.keys_of_first()
    group.play(LIMIT_PER_S, 6.0)
    assert group.keys_of_first() < before / 3
    left = group.keys_of_first()
    group.play(None, RECOVERY_S - 1.0)
    assert group.keys_of_first() <= left
    group.play(None, 6.0)
    assert group.keys_of_first() > 2 * left


def test_a_need_that_comes_and_goes_empties_a_target_only_once():
    # Guards against: the same keys move away and back with each turn.
    group = LimitedGroup()
    group.play(LIMIT_PER_S, 6.0)
    moves = group.moves
    for _ in range(6):
        group.play(None, 3.0)
        group.play(LIMIT_PER_S, 3.0)
    assert group.moves <= moves + 2


def test_a_target_that_accepts_nothing_keeps_no_busy_key():
    group = LimitedGroup()
    group.play(0.0, 8.0)
    assert group.keys_of_first() < 65536 / 20
