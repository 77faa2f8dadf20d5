"""Starts under a rate, compared with a naive count over every window."""

import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven.sidecar._rate_limit import BURST_S, RateLimit, RecentStarts

RATES = st.sampled_from([0.25, 0.7, 1.0, 1.7, 2.4, 10.0, 33.3])
WINDOW_S = 4.0


def starts_of(changes, seconds, step_s=0.01):
    """Return when requests start if one is always waiting, and the rates over time.

    ``changes`` are pairs of a rate and how long it lasts.
    """
    limit = None
    starts_s, rate_by_s = [], []
    now = 0.0
    for per_s, lasts_s in changes:
        until_s = now + lasts_s
        if limit is None:
            limit = RateLimit(per_s, now)
        limit.set_rate(per_s, now)
        rate_by_s.append((now, per_s))
        while now < min(until_s, seconds):
            while limit.wait_s(now) == 0.0:
                limit.take(now)
                starts_s.append(now)
            now += step_s
    return starts_s, rate_by_s


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(RATES, st.floats(0.1, 6.0)), min_size=1, max_size=6))
def test_no_window_has_more_starts_than_its_rates_and_one_burst_allow(changes):
    starts_s, rate_by_s = starts_of(changes, 20.0)
    ends_s = [since_s for since_s, _ in rate_by_s[1:]] + [float("inf")]
    burst = max(1.0, *(BURST_S * per_s for per_s, _ in changes))
    for end_s in starts_s:
        begin_s = end_s - WINDOW_S
        count = sum(begin_s < each <= end_s for each in starts_s)
        allowed = sum(
            per_s * max(min(until_s, end_s) - max(since_s, begin_s, 0.0), 0.0)
            for (since_s, per_s), until_s in zip(rate_by_s, ends_s, strict=True)
        )
        assert count <= allowed + burst + 0.01


@pytest.mark.parametrize("per_s", [0.25, 1.7, 33.3])
def test_the_whole_rate_is_used_while_requests_wait(per_s):
    starts_s, _ = starts_of([(per_s, 40.0)], 40.0)
    assert len(starts_s) >= 0.95 * 40 * per_s - 1


def test_the_expected_wait_grows_with_the_starts_ahead():
    limit = RateLimit(2.0, 0.0)
    assert [limit.wait_s(0.0, ahead) for ahead in range(3)] == pytest.approx(
        [0.5, 1.0, 1.5]
    )
    assert limit.wait_s(0.5) == 0.0


def test_recent_starts_are_counted_by_key_and_forgotten():
    starts = RecentStarts(4.0)
    for number, key in enumerate((7, 7, 9)):
        starts.add(key, float(number))
    assert (starts.count(2.0), starts.count_of(7, 2.0), starts.count_of(8, 2.0)) == (
        3,
        2,
        0,
    )
    assert (starts.count(5.5), starts.count_of(7, 5.5)) == (1, 0)
