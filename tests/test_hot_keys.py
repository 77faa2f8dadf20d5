"""Tests of the hot-key sketch and of the pins that are decided from it."""

import collections
import random

from hypothesis import given, settings, strategies as st

from tamarackhaven._changes import PinKey, ShardMove, UnpinKey
from tamarackhaven._events import HotKey, LoadReport
from tamarackhaven._hot_keys import HotKeys, HotKeySettings
from tamarackhaven._model import OwnershipPolicy, Service, ShardGrant
from tamarackhaven._pins import MAX_LOAD_REPORT_AGE_S, PinPlanner
from tamarackhaven._settings import PlacementSettings

SERVICE = Service("track", "alone", shard_count=4)
POLICY = OwnershipPolicy("alone", max_pinned_keys=2)


@settings(
    max_examples=60, derandomize=True, deadline=None, print_blob=False, database=None
)
@given(
    st.lists(st.tuples(st.integers(0, 12), st.sampled_from([0.0, 1.0, 90.0, 1e5]))),
    st.integers(1, 8),
)
def test_sketch_agrees_with_exact_counts(requests, counters):
    """The reference is exact decayed counts in one unbounded dictionary."""
    half_life_s = 30.0
    sketch = HotKeys(HotKeySettings(counters, half_life_s))
    exact, now = collections.Counter(), 0.0
    for key, pause_s in requests:
        now += pause_s
        for known in exact:
            exact[known] *= 0.5 ** (pause_s / half_life_s)
        exact[key] += 1.0
        sketch.offer(key, now)
        assert len(sketch) <= counters
    total = sum(exact.values())
    found = {hot.key_hash: hot.share for hot in sketch.hottest(counters)}
    for key, share in found.items():
        true_share = exact[key] / total
        assert true_share - sketch.error_bound() - 1e-9 <= share <= true_share + 1e-9
    frequent = {k for k in exact if exact[k] / total > sketch.error_bound() + 1e-9}
    assert frequent <= set(found)


def test_the_22_hottest_of_a_skewed_stream_are_found():
    rng = random.Random(5)
    sketch = HotKeys(HotKeySettings(counters=256))
    for number in range(40_000):
        hot = rng.random() < 0.5
        key = rng.randrange(22) if hot else rng.randrange(10**9) + 100
        sketch.offer(key, number / 1000)
    assert {hot.key_hash for hot in sketch.hottest(22)} == set(range(22))


def report(planner, now, epoch=1, target="t1", **share_by_key):
    keys = [HotKey(int(key[1:]), share) for key, share in share_by_key.items()]
    planner.report(LoadReport("track", target, epoch, 100.0, 12, False, keys), now)


def grants(pin_owner, home_owner="t1", moving_to=""):
    return {
        1: ShardGrant("track", 1, home_owner, 1, 7, moving_to),
        4: ShardGrant("track", 4, pin_owner, 1, 9, key_hash=5),
    }


def test_pin_lasts_until_its_key_is_cold_and_at_its_home_owner():
    """A key is hot, then cold, while its pin is at another target.

    It is pinned once, stays pinned between the thresholds and for the minimum lifetime,
    moves to the owner of its shard, and is unpinned only there. Otherwise the key could
    have two owners.
    """
    planner = PinPlanner(PlacementSettings(pin_rate=1.0))
    report(planner, 0, k5=0.3, k6=0.2, k7=0.1, k8=0.04)
    pinned = planner.decide(SERVICE, POLICY, {}, 1).changes
    assert [change.key_hash for change in pinned] == [5, 6]
    assert all(type(change) is PinKey for change in pinned)
    for now, share in ((2, 0.001), (50, 0.03), (70, 0.03)):
        report(planner, now, k5=share)
        assert planner.decide(SERVICE, POLICY, grants("t2"), now).moves == []
    report(planner, 71, k5=0.001)
    while_moving = planner.decide(SERVICE, POLICY, grants("t2", moving_to="t3"), 71)
    assert while_moving.moves == while_moving.changes == []
    decision = planner.decide(SERVICE, POLICY, grants("t2"), 71)
    assert (decision.moves, decision.changes) == ([ShardMove(4, 9, "t1")], [])
    assert decision.cold_shards == {4}
    decision = planner.decide(SERVICE, POLICY, grants("t1"), 72)
    assert [type(change) for change in decision.changes] == [UnpinKey]


def test_pin_thresholds_do_not_depend_on_the_number_of_targets():
    """A key is 6% of its target's requests, and 0.06% of those of all 100 targets."""
    planner = PinPlanner(PlacementSettings(pin_rate=1.0))
    for number in range(100):
        report(planner, 0, target=f"t{number}")
    report(planner, 0, k6=0.06)
    pinned = planner.decide(SERVICE, POLICY, {}, 1).changes
    assert [change.key_hash for change in pinned] == [6]


def test_stale_reports_and_those_of_replaced_processes_are_ignored():
    """A target is cut off, or a replaced process still sends reports.

    The pins must stay as they are: an old report neither pins nor unpins a key.
    """
    planner = PinPlanner(PlacementSettings(pin_rate=1.0, pin_hold_s=0.0))
    report(planner, 0, epoch=5, k6=0.5)
    report(planner, 1, epoch=4, k7=0.5)
    pinned = planner.decide(SERVICE, POLICY, {}, 2).changes
    assert [change.key_hash for change in pinned] == [6]
    late = planner.decide(SERVICE, POLICY, grants("t1"), MAX_LOAD_REPORT_AGE_S + 1)
    assert late.changes == late.moves == []


def test_key_with_a_low_rate_is_not_pinned_even_if_few_keys_are_in_use():
    """If only a few keys are in use, each is a large part of the load.

    Pinning by share alone would move nearly all keys without any gain.
    """
    planner = PinPlanner(PlacementSettings(pin_rate=1000.0))
    report(planner, 0, k6=0.5)
    assert planner.decide(SERVICE, POLICY, {}, 1).changes == []
