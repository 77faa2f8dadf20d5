"""The soak detects requests that an older configuration has handled."""

import random

import pytest

from soak import _routes
from soak._routes import (
    CONFIG_DEADLINE_S,
    CONTACT_S,
    CONTROL_GROUP,
    MOVING_PREFIXES,
    RouteWatch,
    draw_change,
)

PREFIX = MOVING_PREFIXES[0]


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(_routes.time, "monotonic", lambda: Clock.now)
    return Clock


def watch_of(clock, *services):
    """Return a watch of versions that move one route, each acknowledged at once."""
    watch = RouteWatch()
    for number, service in enumerate(services, start=1):
        watch.declare(number, {PREFIX: service} if service else {})
        watch.acknowledge(number)
        clock.now += 0.1
    return watch


def ask(watch, service):
    watch.sent("a", "d", PREFIX)
    return watch.handled("a", service)


@pytest.mark.parametrize(
    ("services", "handler"),
    [
        (("owned", "shared"), "owned"),
        (("owned", None), "owned"),
        ((None, "owned"), None),
    ],
    ids=["run by the old service", "served though dropped", "404 though there"],
)
@pytest.mark.parametrize("late_s", [-0.2, 0.1])
def test_a_request_handled_by_an_older_version_is_detected(
    clock, services, handler, late_s
):
    watch = watch_of(clock, *services)
    clock.now += CONFIG_DEADLINE_S + late_s
    assert bool(ask(watch, handler)) is (late_s > 0)
    assert ask(watch, services[-1]) is None


def test_a_version_without_a_definite_answer_may_be_in_force_or_not(clock):
    watch = watch_of(clock, "owned")
    watch.declare(2, {PREFIX: "shared"})
    clock.now += 2 * CONFIG_DEADLINE_S
    assert ask(watch, "owned") is None
    assert ask(watch, "shared") is None
    assert ask(watch, None)


def test_a_refused_version_in_force_is_detected(clock):
    watch = watch_of(clock, "owned")
    watch.declare(2, {PREFIX: "shared"})
    watch.refuse(2)
    clock.now += 2 * CONFIG_DEADLINE_S
    assert ask(watch, "shared")


@pytest.mark.parametrize("vm", ["d", CONTROL_GROUP])
def test_a_daemon_out_of_touch_is_excused_until_it_is_in_touch_again(clock, vm):
    watch = watch_of(clock, "owned", "shared")
    clock.now += 2 * CONFIG_DEADLINE_S
    with watch.disturbed(vm):
        assert ask(watch, "owned") is None
    clock.now += CONTACT_S - 0.1
    assert ask(watch, "owned") is None
    clock.now += 0.2
    assert ask(watch, "owned")


def test_a_daemon_that_is_disturbed_after_the_sending_is_excused(clock):
    watch = watch_of(clock, "owned", "shared")
    clock.now += 2 * CONFIG_DEADLINE_S
    watch.sent("a", "d", PREFIX)
    clock.now += 0.1
    watch.disturb("d")
    assert watch.handled("a", "owned") is None


def test_routes_move_and_are_taken_back_come_and_go():
    rng = random.Random(1)
    history = [{}]
    for _ in range(400):
        history.append(draw_change(rng, history[-1], history[max(len(history) - 2, 0)]))
    steps = list(zip(history, history[1:], strict=False))
    taken_back = sum(a == c for a, c in zip(history, history[2:], strict=False))
    assert taken_back > 100
    assert any(len(before) > len(after) for before, after in steps)
    assert any(
        before.get(prefix) and after.get(prefix) and before[prefix] != after[prefix]
        for before, after in steps
        for prefix in MOVING_PREFIXES
    )
