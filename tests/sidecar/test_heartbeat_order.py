"""Which heartbeats are taken, when some are late and others are of another writer."""

import pytest

from tamarackhaven.fleet._model import TargetPhase
from tamarackhaven.sidecar._heartbeat_order import HeartbeatOrder
from tamarackhaven.sidecar._target_state import Heartbeat

HEARTBEAT_S = 1.0
HUGE = (1 << 53) - 1


def make_heartbeat(sequence, born_ms=1, name="i"):
    return Heartbeat(name, born_ms, "s", "z", 4, TargetPhase.READY, sequence)


class Target:
    """A target that sends heartbeats at the interval, and a daemon's order of them."""

    def __init__(self, step=1, sequence=1):
        self.order = HeartbeatOrder(HEARTBEAT_S)
        self.now = 100.0
        self.sequence = sequence
        self._step = step

    def accepts(self, sequence, born_ms=1, after_s=0.0):
        """Whether another heartbeat is taken, ``after_s`` after the last one."""
        return self.order.accepts(make_heartbeat(sequence, born_ms), self.now + after_s)

    def beat(self, born_ms=1):
        """Send the next heartbeat; return whether it is taken."""
        self.now += HEARTBEAT_S
        self.sequence += self._step
        return self.accepts(self.sequence, born_ms)


@pytest.fixture
def target():
    target = Target()
    assert all(target.beat() for _ in range(5))
    return target


@pytest.mark.parametrize(("sequence", "born_ms"), [(HUGE, 1), (5000, 1), (1, 2)])
def test_one_heartbeat_far_ahead_or_of_a_later_life_changes_nothing(
    target, sequence, born_ms
):
    # Guards against: all heartbeats of a sound target look old from then on.
    assert not target.accepts(sequence, born_ms, after_s=0.3)
    assert all(target.beat() for _ in range(3))


def test_two_heartbeats_far_ahead_between_those_of_a_target_change_nothing(target):
    assert not target.accepts(HUGE - 1, after_s=0.3)
    assert not target.accepts(HUGE, after_s=0.4)
    assert target.beat()


@pytest.mark.parametrize("first", [(HUGE, 1), (1, 9)])
def test_a_target_is_known_again_after_an_odd_first_heartbeat(first):
    # Guards against: a daemon that has just started hears another writer first.
    target = Target()
    assert target.accepts(*first)
    taken = [target.beat() for _ in range(6)]
    assert taken == [False, False, True, True, True, True]


def test_late_heartbeats_in_a_burst_are_not_taken(target):
    # Guards against: what a partition has held up is taken for the state of now.
    assert not any(
        target.accepts(sequence, after_s=0.9 + sequence / 100)
        for sequence in range(1, 5)
    )
    assert target.beat()


def test_late_heartbeats_of_an_earlier_life_are_not_taken(target):
    for sequence in range(1, 9):
        assert not target.accepts(sequence, born_ms=0, after_s=0.5)
        assert target.beat()


def test_a_later_life_is_taken_once_the_former_one_owes_a_heartbeat(target):
    assert not target.accepts(1, born_ms=2, after_s=0.5)
    assert target.accepts(2, born_ms=2, after_s=1.5)
    assert not target.accepts(9, born_ms=1, after_s=1.6)


def test_one_heartbeat_of_a_later_life_ends_no_life_whose_own_is_late(target):
    # Guards against: one heartbeat of another writer gives away keys that are held.
    assert not target.accepts(1, born_ms=2, after_s=1.5)
    assert target.accepts(target.sequence + 1, after_s=2.0)
    assert not target.accepts(2, born_ms=2, after_s=2.2)


@pytest.mark.parametrize(("named", "is_taken"), [("j", True), ("i", False)])
def test_a_target_that_says_its_name_decides_which_life_runs(target, named, is_taken):
    # Guards against: another writer's heartbeats end a life that names itself.
    later = make_heartbeat(1, born_ms=2, name="j")
    taken = [
        target.order.accepts(later, target.now + after_s, named)
        for after_s in (0.1, 2.0, 4.0)
    ]
    assert taken[0] is is_taken
    assert any(taken) is is_taken


def test_a_first_heartbeat_counts_only_if_the_target_has_that_name():
    # Guards against: a daemon that has restarted takes a late heartbeat of a target
    # that ran before.
    order = HeartbeatOrder(HEARTBEAT_S)
    assert not order.accepts(make_heartbeat(5, name="former"), 100.0, "i")
    assert order.accepts(make_heartbeat(5), 100.1, "i")


def test_a_target_that_broke_off_its_connections_needs_no_further_proof(target):
    # Guards against: after a crash keys wait for one heartbeat longer than they must.
    target.order.suspect_end()
    assert target.accepts(1, born_ms=2, after_s=0.1)
    assert not target.accepts(1, born_ms=3, after_s=1.5)


def test_a_life_whose_clock_was_set_back_is_taken_if_it_goes_on(target):
    target.sequence = 0
    assert [target.beat(born_ms=0) for _ in range(4)] == [False, False, True, True]


@pytest.mark.parametrize("step", [1, 17, 900, 1_000_000])
def test_targets_may_count_in_steps_of_any_size(step):
    # Guards against: a target that counts in milliseconds counts as another writer.
    target = Target(step)
    taken = [target.beat() for _ in range(20)]
    assert taken.count(False) <= 1
    assert all(taken[3:])


def test_heartbeats_that_a_frozen_daemon_missed_are_no_leap(target):
    target.now += 30.0
    assert target.accepts(target.sequence + 300)
