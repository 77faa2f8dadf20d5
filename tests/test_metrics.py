"""Counters, latency quantiles and their exposition as text."""

import re
from concurrent.futures import ThreadPoolExecutor

from hypothesis import given, settings, strategies as st

from tamarackhaven._metrics import (
    LATENCY,
    REFUSALS,
    RETRIES,
    RETRIES_REFUSED,
    RETRY_REASONS,
    Metrics,
)
from tamarackhaven._retry import RetryRefusal
from tamarackhaven.errors import ErrorKind

_SAMPLE_LINE = re.compile(
    r'[a-z_]+(\{[a-z_]+="([^"\\\n]|\\.)*"(,[a-z_]+="([^"\\\n]|\\.)*")*\})? [-+.e\d]+'
)


def test_every_refusal_kind_and_retry_reason_is_exported_as_zero_at_start():
    page = Metrics().page()
    for kind in ErrorKind:
        assert f'{REFUSALS}{{kind="{kind.name}"}} 0\n' in page
    for reason in RETRY_REASONS:
        assert f'{RETRIES}{{reason="{reason.name}"}} 0\n' in page
    for refusal in RetryRefusal:
        assert f'{RETRIES_REFUSED}{{reason="{refusal.value}"}} 0\n' in page


def test_counts_from_concurrent_threads_are_not_lost():
    metrics = Metrics()
    with ThreadPoolExecutor(8) as pool:
        for _ in range(800):
            pool.submit(metrics.count, REFUSALS, kind="INTERNAL")
            pool.submit(metrics.observe, 0.001, service="s", target="t")
    assert metrics.counter(REFUSALS, kind="INTERNAL") == 800
    assert f'{LATENCY}_count{{service="s",target="t"}} 800' in metrics.page()


@settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=12
)
@given(
    name=st.text(st.characters(codec="utf-8", exclude_categories=("Cs",))),
    seconds=st.lists(st.floats(0.0001, 500), min_size=1, max_size=60),
)
def test_page_parses_and_median_matches_a_sorted_list(name, seconds):
    metrics = Metrics()
    for value in seconds:
        metrics.observe(value, service=name, target="t")
    for line in metrics.page().strip("\n").split("\n"):
        assert line.startswith("# ") or _SAMPLE_LINE.fullmatch(line), line
    expected_s = sorted(seconds)[max(0, -(-len(seconds) * 50 // 100) - 1)]
    median_s = metrics.quantile_s(50, service=name, target="t")
    assert abs(median_s - expected_s) <= expected_s * 0.02 + 0.000_002
