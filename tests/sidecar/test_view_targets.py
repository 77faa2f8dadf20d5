"""Which targets a daemon knows after leaders have changed."""

import pytest

from tamarackhaven.fleet._messages import TargetsView
from tamarackhaven.fleet._model import SILENT_TARGET_TTL_S, Target, life_of
from tamarackhaven.sidecar import _view
from tamarackhaven.sidecar._view import View


def target(name, born_ms=1, host="h"):
    life = life_of(name, born_ms, f"{host}:1")
    return Target(life, name, born_ms, "s", "z", host, 1, 4)


A, B = target("a", host="ha"), target("b", host="hb")


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(_view, "boot_s", lambda: Clock.now)
    return Clock


def names(view):
    return {each.name for each in view.available_targets("s")}


def lead(view, term, *targets):
    view.apply_update(TargetsView(term, targets, is_whole=True))


def test_a_target_that_ended_while_there_was_no_leader_is_dropped(clock):
    # Guards against: requests go to a target that ended hours ago.
    view = View()
    lead(view, 1, A, B)
    lead(view, 2, A)
    assert names(view) == {"a", "b"}, "the new leader may not know b yet"
    clock.now += SILENT_TARGET_TTL_S
    view.confirm(clock.now)
    view.drop_unlisted_targets(clock.now)
    assert names(view) == {"a", "b"}
    clock.now += 0.1
    view.drop_unlisted_targets(clock.now)
    assert names(view) == {"a"}


def test_a_target_that_reports_to_the_new_leader_stays(clock):
    view = View()
    lead(view, 1, A, B)
    lead(view, 2, A)
    view.apply_update(TargetsView(2, (B,)))
    clock.now += 2 * SILENT_TARGET_TTL_S
    view.confirm(clock.now)
    view.drop_unlisted_targets(clock.now)
    assert names(view) == {"a", "b"}


def test_no_target_is_dropped_without_a_leader(clock):
    # Guards against: a daemon that is cut off from the control VMs stops serving.
    view = View()
    lead(view, 1, A, B)
    lead(view, 2)
    view.confirm(clock.now)
    clock.now += 2 * SILENT_TARGET_TTL_S
    view.drop_unlisted_targets(clock.now)
    assert names(view) == {"a", "b"}


def test_a_leader_change_does_not_extend_the_time_of_an_unlisted_target(clock):
    view = View()
    lead(view, 1, A, B)
    for term in range(2, 5):
        lead(view, term, A)
        clock.now += SILENT_TARGET_TTL_S / 2
    view.confirm(clock.now)
    view.drop_unlisted_targets(clock.now)
    assert names(view) == {"a"}


def test_a_target_that_was_replaced_while_there_was_no_leader_is_gone(clock):
    # Guards against: requests go to the life before a restart.
    view = View()
    lead(view, 1, A)
    later = target("a", born_ms=2, host="ha")
    lead(view, 2, later)
    assert [each.life for each in view.available_targets("s")] == [later.life]


def test_a_late_word_of_a_replaced_target_does_not_bring_it_back(clock):
    view = View()
    later = target("a", born_ms=2, host="ha")
    lead(view, 1, later)
    view.apply_update(TargetsView(1, (A,)))
    assert [each.life for each in view.available_targets("s")] == [later.life]


def test_targets_of_a_deposed_leader_are_ignored(clock):
    # Guards against: a target that is gone comes back with a late message.
    view = View()
    lead(view, 2, A)
    view.apply_update(TargetsView(1, (B,)))
    assert names(view) == {"a"}
