"""Tests of the sketch of hot keys and of the pins decided from it."""

import collections
import random

from hypothesis import given, settings, strategies as st

from tamarackhaven._changes import PinKey, ShardMove, UnpinKey
from tamarackhaven._events import HotKey, LoadReport
from tamarackhaven._hot_keys import HotKeys, HotKeySettings
from tamarackhaven._model import OwnershipPolicy, Service, ShardGrant
from tamarackhaven._pins import STALE_S, PinPlanner
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
    """Compared with exact decayed counts in one dictionary without bound."""
    half_life = 30.0
    sketch = HotKeys(HotKeySettings(counters, half_life))
    exact, now = collections.Counter(), 0.0
    for key, pause in requests:
        now += pause
        for known in exact:
            exact[known] *= 0.5 ** (pause / half_life)
        exact[key] += 1.0
        sketch.offer(key, now)
        assert len(sketch) <= counters
    total = sum(exact.values())
    found = {hot.key_hash: hot.share for hot in sketch.hottest(counters)}
    for key, share in found.items():
        true = exact[key] / total
        assert true - sketch.error_bound() - 1e-9 <= share <= true + 1e-9
    frequent = {k for k in exact if exact[k] / total > sketch.error_bound() + 1e-9}
    assert frequent <= set(found)


def test_the_22_hottest_of_a_skewed_stream_are_found():
    draw = random.Random(5)
    sketch = HotKeys(HotKeySettings(counters=256))
    for number in range(40_000):
        hot = draw.random() < 0.5
        key = draw.randrange(22) if hot else draw.randrange(10**9) + 100
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


def test_a_pin_lives_until_its_key_is_cold_and_home():
    """A key is hot for a while, then cold, while its pin is at another target.

    It is pinned once, kept while its share is between the thresholds and for the
    shortest life, moved home, and folded back only there; so it never has two owners.
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
    on_the_way = planner.decide(SERVICE, POLICY, grants("t2", moving_to="t3"), 71)
    assert on_the_way.moves == on_the_way.changes == []
    decision = planner.decide(SERVICE, POLICY, grants("t2"), 71)
    assert (decision.moves, decision.changes) == ([ShardMove(4, 9, "t1")], [])
    assert decision.cold_shards == {4}
    decision = planner.decide(SERVICE, POLICY, grants("t1"), 72)
    assert [type(change) for change in decision.changes] == [UnpinKey]


def test_thresholds_mean_the_same_with_many_targets():
    """A key is 6% of its target's requests, and 0.06% of those of all 100 targets."""
    planner = PinPlanner(PlacementSettings(pin_rate=1.0))
    for number in range(100):
        report(planner, 0, target=f"t{number}")
    report(planner, 0, k6=0.06)
    pinned = planner.decide(SERVICE, POLICY, {}, 1).changes
    assert [change.key_hash for change in pinned] == [6]


def test_stale_and_replaced_reports_decide_nothing():
    """A target is cut off, or a replaced process still reports.

    Pins stay as they are: an old report neither pins a key nor unpins one.
    """
    planner = PinPlanner(PlacementSettings(pin_rate=1.0, pin_hold_s=0.0))
    report(planner, 0, epoch=5, k6=0.5)
    report(planner, 1, epoch=4, k7=0.5)
    pinned = planner.decide(SERVICE, POLICY, {}, 2).changes
    assert [change.key_hash for change in pinned] == [6]
    late = planner.decide(SERVICE, POLICY, grants("t1"), STALE_S + 1)
    assert late.changes == late.moves == []


def test_a_key_that_few_ask_for_is_not_pinned_however_few_others_there_are():
    """With a handful of keys in use each is a large part of the load.

    Pinned, nearly all keys would move for no gain.
    """
    planner = PinPlanner(PlacementSettings(pin_rate=1000.0))
    report(planner, 0, k6=0.5)
    assert planner.decide(SERVICE, POLICY, {}, 1).changes == []
