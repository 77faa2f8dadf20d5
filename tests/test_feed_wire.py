"""Tests of the compressed encoding of feeds."""

import tracemalloc

import pytest

from tamarackhaven._events import ResourceDeleted, ShardChanged
from tamarackhaven._feed_wire import MAX_PART_EVENTS, PackedEvents, pack
from tamarackhaven._history import Feed
from tamarackhaven._model import ShardGrant
from tamarackhaven._view import View
from tamarackhaven.errors import TamarackhavenError


def events_of(count):
    return [
        ShardChanged(9, ShardGrant("s", n, f"t{n % 7}", 3, n)) for n in range(count)
    ]


def test_packed_events_can_be_read_repeatedly():
    for count in (0, 1, MAX_PART_EVENTS, 3 * MAX_PART_EVENTS + 1):
        events = [*events_of(count), ResourceDeleted(9, "Service", "line\nend")]
        packed = PackedEvents(pack(events))
        assert list(packed) == list(packed) == events
    assert pack([]) == b""
    assert list(PackedEvents(b"")) == []


def test_truncated_feed_changes_nothing():
    data = pack(events_of(3 * MAX_PART_EVENTS))
    for snapshot in (True, False):
        view = View()
        with pytest.raises(TamarackhavenError):
            view.apply(Feed(9, snapshot, PackedEvents(data[:-9])))
        assert view.version == 0
        assert view.owned_by("s", "t0") == []


def test_first_feed_is_decoded_in_parts():
    """Guards against a first feed that exceeds a daemon's memory limit of 64 MB.

    A daemon that starts at a service with many shards gets a compressed feed. Decoded
    at once it takes about 1,200 bytes per shard as records; decoded one part at a time,
    the peak stays far below that and hardly grows with the number of shards.
    """
    count = 32 * MAX_PART_EVENTS
    data = pack(events_of(count))
    view = View()
    tracemalloc.start()
    view.apply(Feed(9, True, PackedEvents(data)))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(view.owned_by("s", "t0")) == -(-count // 7)
    assert peak < 200 * count
