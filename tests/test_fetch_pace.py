"""Tests of the intervals at which a daemon fetches map updates."""

import pytest

from tamarackhaven._fetch_pace import FetchPace


@pytest.mark.parametrize(
    "is_behind, has_lease, confirmed_at, due_at",
    [
        (False, True, 99.9, 115.0),  # replies confirm the map
        (False, False, 99.9, 101.0),  # no lease yet: fetches anyway
        (False, True, 98.0, 101.0),  # no replies to renewals
        (True, True, 99.9, 100.05),  # newer version known, but not fetched yet
    ],
)
def test_interval_until_the_next_fetch(is_behind, has_lease, confirmed_at, due_at):
    pace = FetchPace()
    assert pace.is_due(100.0, is_behind, has_lease, confirmed_at)
    pace.asked(100.0)
    last = min(confirmed_at + due_at - 100.0, due_at)
    assert not pace.is_due(due_at - 0.01, is_behind, has_lease, last)
    assert pace.is_due(due_at + 0.01, is_behind, has_lease, last)
