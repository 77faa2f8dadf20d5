"""Keys told by calls: renewals, releases, and no key with two holders."""

import attrs
import pytest

from tamarackhaven.fleet import FleetLeaseSettings
from tamarackhaven.fleet._messages import LeaseGrant
from tamarackhaven.fleet._model import GrantId, Hold, KeyRange, TargetPhase
from tamarackhaven.sidecar import _target_state
from tamarackhaven.sidecar._called_holds import (
    CALL_TIMEOUT_S,
    CalledHolds,
    GrantOrder,
    OrderEnd,
    ReleaseOrder,
)
from tamarackhaven.sidecar._target_state import Heartbeat
from tests.sidecar.held_by_calls import TwoHoldersError, World, holds_by_orders_with

LEASE = FleetLeaseSettings()
LIFE = "i@1@10.0.0.1:1"
SLOWEST_CLOCK = 0.98


def heartbeat(sequence):
    return Heartbeat("i", 1, "s", "z", 4, TargetPhase.READY, sequence)


def grant(number, *ranges, lease_s=4.0):
    rows = tuple(KeyRange(a, b, fence, LIFE, "old") for a, b, fence in ranges)
    return LeaseGrant(1, GrantId(1, number), lease_s, LIFE, rows)


def summaries(orders):
    return [(type(each), each.first, each.last, each.fence) for each in orders]


@pytest.fixture
def holds():
    called_holds = CalledHolds(LEASE, LIFE)
    called_holds.record_heartbeat(heartbeat(1), 9.0)
    return called_holds


def grant_and_confirm(holds, now=10.0, *ranges):
    """Grant ranges, and confirm the calls that tell the target."""
    holds.apply_grant(grant(1, *(ranges or ((0, 99, 7),))), now)
    for order in holds.due(now):
        holds.ended(order, OrderEnd.DONE, now)


def test_a_granted_key_is_held_once_the_target_has_answered(holds):
    holds.apply_grant(grant(1, (0, 99, 7)), 10.0)
    (order,) = holds.due(10.0)
    assert (order.handover, order.fence) == ("old", 7)
    assert holds.is_granted(5, 10.0) and not holds.holds(5, 10.0)
    assert holds.due(10.0) == [], "one call at a time for the same keys"
    holds.ended(order, OrderEnd.DONE, 10.0)
    assert holds.holds(5, 10.0) and not holds.holds(500, 10.0)


def test_a_hold_expires_before_the_lease_even_if_its_call_arrives_late(holds):
    holds.apply_grant(grant(1, (0, 99, 7)), 10.0)
    (order,) = holds.due(10.5)
    arrives_s = 10.5 + CALL_TIMEOUT_S
    assert arrives_s + order.hold_s / SLOWEST_CLOCK < 14.0


def test_a_hold_is_renewed_with_the_lease_but_not_with_each_grant(holds):
    grant_and_confirm(holds)
    holds.apply_grant(grant(2, (0, 99, 7)), 10.4)
    assert holds.due(10.4) == []
    holds.apply_grant(grant(3, (0, 99, 7)), 10.8)
    (order,) = holds.due(10.8)
    assert isinstance(order, GrantOrder)


def test_a_hanging_call_does_not_delay_calls_for_other_keys(holds):
    # Guards against: a target leaves one call unanswered, the holds of other keys
    # aren't renewed meanwhile and expire, and requests for those keys fail.
    holds.apply_grant(grant(1, (0, 99, 7), (200, 299, 8)), 10.0)
    first, second = holds.due(10.0)
    holds.ended(second, OrderEnd.DONE, 10.0)
    holds.apply_grant(grant(2, (0, 99, 7), (200, 299, 8)), 11.0)
    assert summaries(holds.due(11.0)) == [(GrantOrder, 200, 299, 8)]
    holds.ended(first, OrderEnd.UNANSWERED, 11.1)
    assert summaries(holds.due(11.1)) == [(GrantOrder, 0, 99, 7)]


def test_a_moved_part_of_a_range_is_released_and_the_rest_stays_held(holds):
    grant_and_confirm(holds)
    holds.apply_grant(grant(2, (0, 39, 7), (60, 99, 7)), 10.1)
    (order,) = holds.due(10.1)
    assert summaries([order]) == [(ReleaseOrder, 40, 59, 7)]
    assert holds.holds(39, 10.1) and not holds.holds(40, 10.1)
    assert Hold(40, 59, 7) in holds.held(10.1)
    holds.ended(order, OrderEnd.DONE, 10.3, "token")
    assert Hold(40, 59, 7) not in holds.held(10.3)
    (release,) = holds.releases
    assert (release.first, release.last, release.handover) == (40, 59, "token")


def test_an_unanswered_release_is_retried(holds):
    grant_and_confirm(holds)
    holds.apply_grant(grant(2), 10.1)
    (order,) = holds.due(10.1)
    holds.ended(order, OrderEnd.UNANSWERED, 11.6)
    assert holds.held(11.6) == (Hold(0, 99, 7),)
    (retried,) = holds.due(11.6)
    assert isinstance(retried, ReleaseOrder)


def test_keys_count_as_held_until_an_unanswered_grant_has_expired(holds):
    # Guards against: a call to hold keys isn't answered, and its keys are released
    # right after. The target executes the call a second later and holds the keys again,
    # at the same time as the next owner.
    grant_and_confirm(holds)
    holds.apply_grant(grant(2, (0, 99, 7)), 11.0)
    (renewal,) = holds.due(11.0)
    holds.ended(renewal, OrderEnd.UNANSWERED, 11.4)
    holds.apply_grant(grant(3), 11.4)
    (order,) = holds.due(11.4)
    holds.ended(order, OrderEnd.DONE, 11.5, "token")
    assert holds.held(11.5) == (Hold(0, 99, 7),)
    assert holds.releases == ()
    last_s = 11.0 + CALL_TIMEOUT_S + renewal.hold_s / SLOWEST_CLOCK
    assert holds.held(last_s) == (Hold(0, 99, 7),)
    assert holds.held(15.0) == ()
    assert [each.handover for each in holds.releases] == ["token"]


def test_keys_refused_under_a_token_are_not_ordered_again(holds):
    holds.apply_grant(grant(1, (0, 99, 7)), 10.0)
    (order,) = holds.due(10.0)
    holds.ended(order, OrderEnd.SUPERSEDED, 10.0)
    assert holds.refused == (Hold(0, 99, 7),)
    assert holds.due(10.1) == []
    holds.apply_grant(grant(2, (0, 99, 9)), 10.4)
    assert summaries(holds.due(10.4)) == [(GrantOrder, 0, 99, 9)]
    assert holds.refused == ()


def test_a_restarted_daemon_counts_all_keys_as_held_until_old_leases_expire():
    # The earlier process told the target of keys that this one doesn't know.
    restarted = CalledHolds(LEASE, LIFE)
    restarted.record_heartbeat(heartbeat(7), 20.0)
    assert restarted.held(20.0) == (Hold(0, 65535, 0),)
    assert restarted.held(20.0 + LEASE.lease_s) == ()


def test_keys_granted_back_under_the_same_token_keep_their_handover(holds):
    # Guards against: a leader that moved keys is lost after their release, and the next
    # one doesn't know of the move. Without the handover the keys would be slow, as
    # after a crash.
    grant_and_confirm(holds)
    holds.apply_grant(grant(2), 10.1)
    (order,) = holds.due(10.1)
    holds.ended(order, OrderEnd.DONE, 10.2, "mine")
    holds.apply_grant(grant(3, (0, 99, 7)), 10.5)
    (regranted,) = holds.due(10.5)
    assert regranted.handover == "mine"


@pytest.mark.parametrize("seed", range(12))
def test_no_key_has_two_holders_if_calls_fail(seed):
    world = World(seed)
    world.run(60.0)


@pytest.mark.parametrize("seed", range(3))
def test_all_keys_are_held_again_once_calls_succeed(seed):
    world = World(seed)
    world.run(30.0)
    world.is_calm = True
    world.run(15.0)
    assert world.served() == 1.0


class _IgnoresUnansweredGrants(CalledHolds):
    def ended(self, order, end, now, handover=""):
        super().ended(order, end, now, handover)
        self._spans = [attrs.evolve(s, unanswered_until_s=0.0) for s in self._spans]


class _CountsAnyReleaseAsDone(CalledHolds):
    def ended(self, order, end, now, handover=""):
        if isinstance(order, ReleaseOrder):
            end = OrderEnd.DONE
        super().ended(order, end, now, handover)


class _AssumesNoEarlierHolds(CalledHolds):
    def record_heartbeat(self, heartbeat, now):
        reply = super().record_heartbeat(heartbeat, now)
        self._earlier_holds_until_s = now
        return reply


class _HoldsOutliveLease(CalledHolds):
    def _max_hold_s(self, now, delay_s=0.0):
        return super()._max_hold_s(now - 1.0)


@pytest.mark.parametrize(
    "holds",
    [
        _IgnoresUnansweredGrants,
        _CountsAnyReleaseAsDone,
        _AssumesNoEarlierHolds,
        _HoldsOutliveLease,
    ],
)
def test_the_simulation_detects_each_missing_safeguard(holds, monkeypatch):
    monkeypatch.setattr(_target_state, "_HOLDS_BY_ORDERS", holds_by_orders_with(holds))

    def run_all_seeds():
        for seed in range(40):
            World(seed).run(60.0)

    with pytest.raises(TwoHoldersError):
        run_all_seeds()
