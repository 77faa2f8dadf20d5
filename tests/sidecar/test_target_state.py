"""A daemon's state of its target, and the keys that it grants to the target."""

import attrs
import pytest

from tamarackhaven.fleet import DaemonSettings
from tamarackhaven.fleet._messages import LeaseGrant
from tamarackhaven.fleet._model import GrantId, Hold, KeyRange, TargetPhase
from tamarackhaven.sidecar import TargetNotice
from tamarackhaven.sidecar._target_state import Heartbeat, TargetState

ADDRESS = "10.0.0.1:80"
SETTINGS = DaemonSettings(
    name="vm",
    zone="z",
    callers=ADDRESS,
    readiness=ADDRESS,
    registry=ADDRESS,
    links=ADDRESS,
    target=ADDRESS,
    service="s",
)
SLOWEST_CLOCK = 0.98


def make_heartbeat(sequence=1, born_ms=1, name="i", **fields):
    return Heartbeat(
        name=name,
        born_ms=born_ms,
        service="s",
        zone="z",
        slots=4,
        phase=fields.pop("phase", TargetPhase.READY),
        sequence=sequence,
        **fields,
    )


def grant(state, number=1, ranges=((0, 99),), lease_s=4.0, term=1):
    rows = tuple(KeyRange(a, b, 7, state.life) for a, b in ranges)
    return LeaseGrant(1, GrantId(term, number), lease_s, state.life, rows)


def start_later_life(state, born_ms, now):
    """Apply the first heartbeats of a later life under the same name."""
    state.apply_heartbeat(make_heartbeat(1, born_ms=born_ms), now - 1.0)
    assert state.heartbeat.born_ms != born_ms
    return state.apply_heartbeat(make_heartbeat(2, born_ms=born_ms), now)


@pytest.fixture
def state():
    state = TargetState(SETTINGS, "10.0.0.1", 7000)
    state.apply_heartbeat(make_heartbeat(), 10.0)
    return state


def test_a_heartbeat_reply_names_no_keys_without_a_lease(state):
    assert state.apply_heartbeat(make_heartbeat(2), 11.0).ranges is None


def test_a_hold_expires_before_the_lease_even_on_the_slowest_clock(state):
    # The control group reassigns the keys when the lease expires. A target whose clock
    # is slow holds them for longer than it was told; if that were longer than the
    # lease, both targets would run requests for them.
    state.apply_grant(grant(state), requested_s=10.0)
    reply = state.apply_heartbeat(make_heartbeat(2), 11.5)
    assert 11.5 + reply.hold_s / SLOWEST_CLOCK < 14.0


def test_an_expired_lease_renews_no_holds(state):
    state.apply_grant(grant(state), requested_s=10.0)
    assert state.apply_heartbeat(make_heartbeat(2), 14.0).ranges is None
    assert not state.holds(5, 14.0)


def test_an_older_grant_does_not_replace_a_newer_one(state):
    # A deposed leader's grant was delayed. If it were applied, it would grant keys
    # again that the target has released since.
    state.apply_grant(grant(state, 5, ranges=(), term=2), requested_s=10.0)
    state.apply_grant(grant(state, 9, term=1), requested_s=10.0)
    assert state.apply_heartbeat(make_heartbeat(2), 11.0).ranges == ()


def test_a_grant_to_another_life_is_not_passed_to_the_target(state):
    state.apply_grant(grant(state), requested_s=10.0)
    reply = start_later_life(state, 2, 12.0)
    assert reply.ranges is None
    assert state.ended_lives == ["i@1@10.0.0.1:7000"]


@pytest.mark.parametrize(
    "delayed",
    [
        make_heartbeat(1),
        make_heartbeat(9, born_ms=0),
        make_heartbeat(9, born_ms=0, name="other"),
    ],
    ids=["older sequence", "earlier life", "earlier life of another name"],
)
def test_a_delayed_heartbeat_is_ignored(state, delayed):
    state.apply_heartbeat(make_heartbeat(3), 11.0)
    delayed = attrs.evolve(delayed, phase=TargetPhase.DRAINING)
    assert state.apply_heartbeat(delayed, 12.0).ranges is None
    assert state.heartbeat == make_heartbeat(3)
    assert state.accepts_new(False, 12.0)


def test_a_draining_target_gets_no_requests_that_other_targets_can_run(state):
    state.apply_heartbeat(make_heartbeat(2, phase=TargetPhase.DRAINING), 11.0)
    assert not state.accepts_new(False, 11.0)
    assert state.target(11.0).phase is TargetPhase.DRAINING


def test_a_draining_owner_serves_its_keys_only_within_the_drain_time(state):
    state.apply_heartbeat(make_heartbeat(2, phase=TargetPhase.DRAINING), 11.0)
    assert state.accepts_new(True, 12.0)
    assert not state.accepts_new(True, 11.0 + SETTINGS.drain_s)


def test_a_target_that_announced_that_it_leaves_is_draining(state):
    assert not state.leave("someone else", None, 11.0)
    assert state.accepts_new(False, 11.0)
    assert state.leave("i", None, 11.0)
    assert not state.accepts_new(False, 11.0)


def test_a_late_leave_of_a_former_life_with_the_same_name_is_ignored(state):
    # Guards against: a target that started again under its name gets nothing for good.
    start_later_life(state, 5, 12.0)
    assert not state.leave("i", 1, 12.5)
    assert state.accepts_new(False, 12.6)
    assert state.leave("i", 5, 13.0)
    assert not state.accepts_new(False, 13.1)


@pytest.mark.parametrize(
    ("born_ms", "is_leaving"), [(None, True), (1, True), (9, False)]
)
def test_a_leave_before_the_first_heartbeat_counts(born_ms, is_leaving):
    # Guards against: a daemon that has just started acknowledges a leave, knows no
    # target yet, and takes the next heartbeat for that of a ready one.
    state = TargetState(SETTINGS, "h", 1)
    assert state.leave("i", born_ms, 10.0)
    state.apply_heartbeat(make_heartbeat(born_ms=1), 10.2)
    assert state.accepts_new(False, 10.2) is not is_leaving


def test_only_the_life_that_gave_the_answer_leaves(state):
    life = state.life
    assert not state.leave_life("i@9@elsewhere:1", 11.0)
    assert state.leave_life(life, 11.0)
    assert not state.leave_life(life, 11.5)
    state.apply_heartbeat(make_heartbeat(sequence=9), 12.0)
    assert state.leaving_since_s == 11.0
    start_later_life(state, 2, 14.0)
    assert state.accepts_new(False, 14.0)


def test_a_later_life_has_no_limit(state):
    state.limit.record(TargetNotice(2.0), 10.0, 10.1)
    assert state.target(10.2).limit_per_s == 2.0
    start_later_life(state, 2, 13.0)
    assert state.target(13.0).limit_per_s is None


def test_a_silent_target_is_reported_as_draining(state):
    assert state.target(12.0).phase is TargetPhase.READY
    assert state.target(15.0).phase is TargetPhase.DRAINING


def test_the_settled_grant_is_the_newest_one_that_a_heartbeat_followed(state):
    state.apply_grant(grant(state, 1), requested_s=10.0)
    state.apply_heartbeat(make_heartbeat(2), 10.5)
    assert state.settled == GrantId()
    state.apply_grant(grant(state, 2, ranges=()), requested_s=10.6)
    state.apply_heartbeat(make_heartbeat(3, holds=(Hold(0, 99, 7),)), 11.0)
    assert state.settled == GrantId(1, 1)
    state.apply_heartbeat(make_heartbeat(4), 11.1)
    assert state.settled == GrantId(1, 2)


def test_a_restarted_daemon_grants_no_keys_before_its_own_lease(state):
    # The daemon restarts while its target continues to run. The holds that the target
    # reports don't prove that it may still hold them.
    restarted = TargetState(SETTINGS, "10.0.0.1", 7000)
    assert (
        restarted.apply_heartbeat(
            make_heartbeat(7, holds=(Hold(0, 99, 7),)), 20.0
        ).ranges
        is None
    )
    # The daemon may still send it requests: the target refuses keys it doesn't hold.
    assert restarted.holds(5, 20.1)
    assert not restarted.holds(500, 20.1)
    assert not restarted.holds(5, 22.0)
    restarted.apply_grant(grant(restarted, 3), requested_s=20.0)
    assert restarted.apply_heartbeat(make_heartbeat(8), 21.0).ranges
