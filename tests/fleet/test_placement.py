"""Placement of key ranges on targets by their load."""

import attrs
import pytest

from tamarackhaven.fleet import _placement as placement
from tamarackhaven.fleet._model import BUCKET_KEYS, KEY_COUNT, KeyRange
from tamarackhaven.fleet._ranges import assigned, has_overlap


def spread(*lives):
    return placement.first_ranges(dict.fromkeys(lives, 100.0))


def utilization_of(ranges, capacity_by_life, rate_by_bucket, other_rate=0.0):
    weights = placement.KeyWeights(
        rate_by_bucket, other_rate, sum(capacity_by_life.values())
    )
    return placement.Utilization(ranges, capacity_by_life, weights)


def settle(ranges, capacity_by_life, rate_by_bucket, other_rate=0.0, rounds=30):
    """Balance until nothing moves; return the ranges and the number of rounds."""
    ranges = tuple(ranges)
    for count in range(rounds):
        utilization = utilization_of(
            ranges, capacity_by_life, rate_by_bucket, other_rate
        )
        moves = placement.balance(ranges, utilization, 4)
        if not moves:
            return ranges, count
        new = [attrs.evolve(m.old, owner=m.to_life, fence=count + 1) for m in moves]
        assert not has_overlap(new)
        ranges = assigned(ranges, new)
    raise AssertionError("balancing doesn't converge")


def utilization_by_life(ranges, capacity_by_life, rate_by_bucket, other_rate=0.0):
    utilization = utilization_of(ranges, capacity_by_life, rate_by_bucket, other_rate)
    return {life: utilization.of(life) for life in capacity_by_life}


def test_first_ranges_cover_all_keys_in_proportion_to_capacity():
    ranges = placement.first_ranges({"a": 100.0, "b": 300.0})
    assert ranges[0].first == 0 and ranges[-1].last == KEY_COUNT - 1
    size = sum(r.last - r.first + 1 for r in ranges if r.owner == "b")
    assert size == pytest.approx(0.75 * KEY_COUNT, rel=0.01)


def test_a_hot_run_of_keys_is_split_among_all_targets():
    # Two hundred adjacent keys get most of the traffic. Unless they're split, one
    # target's queue overflows while the others idle.
    capacity = dict.fromkeys("abcd", 50.0)
    hot = {1000 + number: 9.0 for number in range(200 // BUCKET_KEYS)}
    before = utilization_by_life(spread(*"abcd"), capacity, hot)
    assert max(before.values()) > 2
    ranges, rounds = settle(spread(*"abcd"), capacity, hot)
    after = utilization_by_life(ranges, capacity, hot)
    assert max(after.values()) < 1.0
    assert rounds < 10


def test_one_hot_bucket_is_not_moved_back_and_forth():
    # A single key is too hot for any target, so its owner is always overloaded. Moving
    # it between targets would leave it unserved each time without any gain.
    capacity = dict.fromkeys("ab", 50.0)
    settle(spread("a", "b"), capacity, {77: 80.0})


def test_balanced_load_causes_no_moves():
    capacity = dict.fromkeys("abc", 100.0)
    utilization = utilization_of(spread(*"abc"), capacity, {}, other_rate=120.0)
    assert placement.balance(spread(*"abc"), utilization, 4) == []


def test_targets_with_spare_capacity_keep_their_keys():
    # Demand varies randomly. Each move for it would leave keys unserved for a heartbeat
    # and make no target faster.
    capacity = dict.fromkeys("ab", 100.0)
    utilization = utilization_of(spread("a", "b"), capacity, {3: 30.0})
    assert utilization.of("a") > utilization.of("b") + 0.2
    assert placement.balance(spread("a", "b"), utilization, 4) == []


def test_a_target_that_joins_gets_its_share():
    capacity = dict.fromkeys("abc", 100.0)
    ranges, _ = settle(spread("a", "b"), capacity, {}, other_rate=90.0)
    joined = sum(r.last - r.first + 1 for r in ranges if r.owner == "c")
    assert joined > 0.5 * KEY_COUNT / 3


def test_keys_move_away_from_a_slow_target():
    capacity = {"a": 100.0, "b": 20.0}
    ranges, _ = settle(spread("a", "b"), capacity, {}, other_rate=60.0)
    after = utilization_by_life(ranges, capacity, {}, 60.0)
    assert after["b"] < 1.6 * after["a"]


def test_assigned_ranges_go_to_the_least_utilized_target():
    ranges = [KeyRange(0, 99, 1, "a"), KeyRange(100, 199, 1, "gone")]
    utilization = utilization_of(ranges, {"a": 10.0, "b": 10.0}, {})
    (new,) = placement.assign_ranges([ranges[1]], utilization)
    assert new.owner == "b" and new.handover == ""


def test_no_owner_gets_more_ranges_than_fit_a_heartbeats_answer():
    many = [
        KeyRange(n * 100, n * 100 + 99, n, "ab"[n % 2])
        for n in range(2 * placement.MAX_RANGES_PER_TARGET)
    ]
    utilization = utilization_of(many, {"a": 10.0, "b": 10.0, "c": 1.0}, {})
    assert utilization.least() == "c"


def test_one_key_that_is_too_hot_does_not_block_moves_of_others():
    # One key is too hot for any target, and its owner has no other key to move. Keys
    # of the second most utilized target must still move.
    capacity = dict.fromkeys("abc", 50.0)
    ranges = (
        KeyRange(0, BUCKET_KEYS - 1, owner="a"),
        KeyRange(BUCKET_KEYS, KEY_COUNT // 2, owner="b"),
        KeyRange(KEY_COUNT // 2 + 1, KEY_COUNT - 1, owner="c"),
    )
    hot = {0: 500.0, **dict.fromkeys(range(10, 20), 8.0)}
    ranges, _ = settle(ranges, capacity, hot)
    after = utilization_by_life(ranges, capacity, hot)
    assert after["b"] < 1.5
    assert after["c"] < 1.5
    assert after["a"] > 9


def test_a_busy_key_leaves_a_target_with_far_less_capacity():
    # Guards against: a key too busy for a target in need stays there, as it weighs too
    # much to make both targets even.
    capacity = {"a": 2.0, "b": 30.0}
    ranges, _ = settle(spread("a", "b"), capacity, {7: 12.0})
    after = utilization_by_life(ranges, capacity, {7: 12.0})
    assert max(after.values()) < 1.0
