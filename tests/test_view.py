"""Tests of the event history and of a daemon's view."""

import random

import pytest

from tamarackhaven import _keys
from tamarackhaven._changes import Command, PutResource
from tamarackhaven._events import ResourceChanged, ShardChanged
from tamarackhaven._history import Feed, History
from tamarackhaven._model import AvailabilityZone, OwnershipPolicy, Service, ShardGrant
from tamarackhaven._state import ClusterState
from tamarackhaven._view import View


def zone_event(version, region=""):
    return ResourceChanged(version, AvailabilityZone("a", region, version=version))


def test_view_ignores_feeds_that_are_not_newer():
    """A control VM that lags answers a daemon that has a newer configuration.

    If it were applied, the old answer would revert a configuration that operators were
    told is in force.
    """
    view = View()
    assert view.apply(Feed(5, False, [zone_event(5, "new")]))
    assert not view.apply(Feed(4, True, [zone_event(4, "old")]))
    assert not view.apply(Feed(5, False, [zone_event(5, "old")]))
    assert view.resource("AvailabilityZone", "a").region == "new"
    view.apply(Feed(6, False, [zone_event(3, "old")]))
    assert view.resource("AvailabilityZone", "a").region == "new"


def test_snapshot_removes_absent_resources():
    view = View()
    view.apply(Feed(5, False, [zone_event(5)]))
    view.apply(Feed(9, True, []))
    assert view.resource("AvailabilityZone", "a") is None


@pytest.mark.parametrize("behind", [1, 49, 51, 500])
def test_history_returns_all_missed_events_or_none(behind):
    history = History(versions=50)
    for version in range(1, 601):
        history.add(version, [zone_event(version)])
    events = history.since(600 - behind)
    if behind > 50:
        assert events is None
    else:
        assert [event.version for event in events] == [*range(601 - behind, 601)]
    assert history.since(700) is None


def test_history_is_bounded_in_events():
    history = History(events=100)
    for version in range(1, 100):
        history.add(version, [zone_event(version)] * 30)
    assert history.since(90) is None
    assert len(history.since(97)) == 60


def test_view_built_from_deltas_equals_the_state():
    """Random changes are applied to a view as deltas of random length."""
    rng = random.Random(7)
    state, history, view = ClusterState(), History(), View()
    for index in range(1, 120):
        name = rng.choice("abc")
        old = state.resource("AvailabilityZone", name)
        zone = AvailabilityZone(name, str(index))
        change = PutResource(str(index), zone, old.version if old else 0)
        _, events = state.apply(index, Command(change))
        history.add(index, events)
        if rng.random() < 0.2:
            view.apply(Feed(index, False, history.since(view.version)))
    view.apply(Feed(state.version, False, history.since(view.version)))
    for zone in state.zones:
        assert view.resource("AvailabilityZone", zone.name) == zone


def test_locate_finds_shards_and_pinned_keys():
    view = View()
    service = Service("rota", "alone", shard_count=4)
    key_hash = _keys.hash_key("rota", "sunday")
    shard = _keys.shard_of(key_hash, 4)
    events = [
        ResourceChanged(1, OwnershipPolicy("alone")),
        ResourceChanged(1, service),
        ShardChanged(2, ShardGrant("rota", shard, "t1", 1, 2, version=2)),
    ]
    view.apply(Feed(2, True, events))
    assert view.locate("rota", key_hash).grant.owner == "t1"
    pinned = ShardGrant("rota", 4, "t2", 3, 3, key_hash=key_hash, version=3)
    view.apply(Feed(3, False, [ShardChanged(3, pinned)]))
    assert view.locate("rota", key_hash).grant == pinned
    assert [grant.shard for grant in view.owned_by("rota", "t2")] == [4]
