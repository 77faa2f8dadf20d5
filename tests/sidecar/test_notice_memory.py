"""What a daemon remembers of targets' notices that its callers were returned."""

import pytest

from tamarackhaven.sidecar import TargetNotice
from tamarackhaven.sidecar._notice_memory import (
    LIMIT_TTL_S,
    MAX_LIVES,
    NoticeMemory,
)

DRAIN_S = 2.0
LEAVING = TargetNotice(is_leaving=True)
SILENT = TargetNotice()


@pytest.fixture
def memory():
    return NoticeMemory(DRAIN_S)


def test_a_shared_target_gets_nothing_once_it_said_that_it_leaves(memory):
    assert memory.record("a", LEAVING, 9.9, 10.0)
    assert not memory.accepts_new("a", False, 10.0)
    assert memory.accepts_new("b", False, 10.0)


@pytest.mark.parametrize(("now", "is_accepted"), [(11.4, True), (11.6, False)])
def test_an_owner_that_leaves_serves_its_keys_while_they_move(memory, now, is_accepted):
    memory.record("a", LEAVING, 9.9, 10.0)
    assert memory.accepts_new("a", True, now) is is_accepted


def test_an_answer_without_the_notice_does_not_bring_a_leaving_target_back(memory):
    # Guards against: an overtaken answer of a leaving target makes it a target again.
    memory.record("a", LEAVING, 9.9, 10.0)
    assert not memory.record("a", SILENT, 10.5, 11.0)
    assert not memory.record("a", LEAVING, 10.5, 13.0)
    assert not memory.accepts_new("a", True, 13.0)


def test_a_later_life_of_a_target_does_not_leave(memory):
    memory.record("i@1@h:1", LEAVING, 9.9, 10.0)
    assert memory.accepts_new("i@2@h:1", False, 11.0)


def test_a_limit_is_known_while_it_is_fresh_and_named(memory):
    memory.record("a", TargetNotice(2.0), 9.9, 10.0)
    assert memory.known_limit_per_s("a", 10.0 + LIMIT_TTL_S) == 2.0
    assert memory.known_limit_per_s("a", 10.1 + LIMIT_TTL_S) is None
    memory.record("a", SILENT, 10.1, 10.2)
    assert memory.known_limit_per_s("a", 10.2) is None


def test_only_so_many_targets_are_remembered(memory):
    for number in range(MAX_LIVES + 10):
        memory.record(number, LEAVING, 0.0, 1.0)
        memory.record(number, TargetNotice(2.0), 0.0, 1.0)
    assert memory.accepts_new(0, False, 1.0)
    assert memory.known_limit_per_s(9, 1.0) is None
    assert memory.known_limit_per_s(10, 1.0) == 2.0
    assert not memory.accepts_new(MAX_LIVES + 9, False, 1.0)
