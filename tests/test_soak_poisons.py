"""The soak detects requests that go on ending targets, and too many repeats."""

import pytest

from soak import _poisons, _routes
from soak._poisons import KNOWN_AFTER_S, PoisonWatch
from soak._repeats import RATIO, WINDOW_S, RepeatWatch
from soak._routes import CONTACT_S, CONTROL_GROUP, RouteWatch
from standin.fleet import BUDGET
from standin.fleet_target import Started
from standin.poison import MAX_ENDS, Poison

POISON = Poison(path="/poison")
VM = "vm"


class Run:
    """A poison with ``ends`` targets ended, on a clock of its own."""

    def __init__(self, monkeypatch, ends):
        self.now = 100.0
        for module in (_poisons, _routes):
            monkeypatch.setattr(module.time, "monotonic", lambda: self.now)
        self.violations = []
        self.routes = RouteWatch()
        self.watch = PoisonWatch(
            self.routes, lambda guarantee, detail: self.violations.append(guarantee)
        )
        self.watch.add(POISON)
        for number in range(ends):
            self.send(f"a{number}", f"target {number}")
            self.watch.ended(f"target {number}")

    def send(self, attempt, target):
        self.watch.note_known([VM])
        self.watch.sent(attempt, VM)
        return self.watch.arrived(target, Started(attempt, "/poison/x", -1, b""))


@pytest.mark.parametrize(
    ("ends", "after_s", "is_broken"),
    [
        (MAX_ENDS, KNOWN_AFTER_S + CONTACT_S, True),
        (MAX_ENDS, KNOWN_AFTER_S / 2, False),
        (MAX_ENDS - 1, KNOWN_AFTER_S + CONTACT_S, False),
    ],
)
def test_an_arrival_after_the_third_end_is_known_is_detected(
    monkeypatch, ends, after_s, is_broken
):
    run = Run(monkeypatch, ends)
    run.now += after_s
    assert run.send("late", "another") == POISON.after_s
    assert bool(run.violations) is is_broken


@pytest.mark.parametrize("was_known", [True, False])
def test_a_disturbance_excuses_only_daemons_that_could_not_know_before(
    monkeypatch, was_known
):
    run = Run(monkeypatch, MAX_ENDS)
    with run.routes.disturbed(CONTROL_GROUP):
        run.now += KNOWN_AFTER_S + CONTACT_S
    if was_known:
        run.now += CONTACT_S
        run.watch.note_known([VM])
        run.routes.disturb(VM)
    run.send("late", "another")
    assert bool(run.violations) is was_known


def test_other_requests_end_no_target(monkeypatch):
    run = Run(monkeypatch, 0)
    assert run.watch.arrived("target", Started("a", "/other", -1, b"")) is None
    assert run.watch.arrivals == 0


@pytest.mark.parametrize("extra", [0, 1])
def test_repeats_above_the_budget_are_detected(extra):
    watch = RepeatWatch()
    requests = 100
    for number in range(requests):
        watch.requested("s", 0.1 * number)
    allowed = int(RATIO * requests + BUDGET["slack"])
    for number in range(allowed + extra):
        attempt = f"a{number}"
        watch.arrived("s", attempt, WINDOW_S - 0.001)
        watch.arrived("s", attempt, WINDOW_S - 0.001)
    assert bool(watch.too_many()) is bool(extra)
    assert watch.most == allowed + extra
