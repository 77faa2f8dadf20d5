"""Counters, gauges and latency quantiles in the Prometheus text exposition format.

Latencies are recorded with ``hdrhistogram`` and accumulate from the start of the
process.
"""

import threading
from collections import defaultdict

from hdrh.histogram import HdrHistogram

from tamarackhaven._retry import (
    LOST_KINDS,
    REFUSED_KINDS,
    RELOCATED_KINDS,
    RetryReason,
    RetryRefusal,
)
from tamarackhaven.errors import ErrorKind

REFUSALS = "tamarackhaven_refusals_total"
RETRIES = "tamarackhaven_retries_total"
RETRIES_REFUSED = "tamarackhaven_retries_refused_total"
ANSWERS = "tamarackhaven_answers_total"
LATENCY = "tamarackhaven_latency_seconds"
RETRY_REASONS = (*(RELOCATED_KINDS | REFUSED_KINDS | LOST_KINDS), RetryReason.HEDGE)
METRICS_PATH = "/metrics"
REFUSALS_PATH = "/refusals/"
QUANTILES = (50.0, 90.0, 99.0, 99.9)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_US_PER_S = 1_000_000
_MAX_LATENCY_US = 600 * _US_PER_S
_SIGNIFICANT_DIGITS = 2
_HELP_BY_NAME = {
    REFUSALS: "Requests answered with an error of the closed list, by its name.",
    RETRIES: "Further tries of one request, by the error before it, or HEDGE.",
    RETRIES_REFUSED: "Errors that were answered without a further try, by reason.",
    ANSWERS: "Answers that were passed on, by HTTP status.",
    LATENCY: "Time from a request's arrival to the target's answer.",
}


class Metrics:
    """All metrics of one process. Its methods are thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._count_by_key = defaultdict(int)
        self._gauge_by_key = {}
        self._histogram_by_key = {}
        self._seconds_by_key = defaultdict(float)
        self._gauge_sources = []
        self._initialize_counters()

    def _initialize_counters(self):
        # All series start at 0. A counter that appears only with its first event has no
        # earlier value to compute a rate from, so an alert on the rate would miss the
        # first failure.
        for kind in ErrorKind:
            self.count(REFUSALS, 0, kind=kind.name)
        for reason in RETRY_REASONS:
            self.count(RETRIES, 0, reason=reason.name)
        for refusal in RetryRefusal:
            self.count(RETRIES_REFUSED, 0, reason=refusal.value)

    def count(self, name, amount=1, **labels):
        """Add ``amount`` to a counter."""
        with self._lock:
            self._count_by_key[_series_key(name, labels)] += amount

    def counter(self, name, **labels):
        """Return the current value of a counter, 0 if it doesn't exist."""
        with self._lock:
            return self._count_by_key.get(_series_key(name, labels), 0)

    def gauge(self, name, value, **labels):
        """Set a gauge to ``value``."""
        with self._lock:
            self._gauge_by_key[_series_key(name, labels)] = value

    def observe(self, seconds, **labels):
        """Record one latency in seconds, with labels such as service and target."""
        key = _series_key(LATENCY, labels)
        microseconds = min(max(1, round(seconds * _US_PER_S)), _MAX_LATENCY_US)
        with self._lock:
            histogram = self._histogram_by_key.get(key)
            if histogram is None:
                histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
                self._histogram_by_key[key] = histogram
            histogram.record_value(microseconds)
            self._seconds_by_key[key] += seconds

    def quantile_s(self, percent, **labels):
        """Return a latency percentile, 0 to 100, in seconds; 0 if none was recorded."""
        with self._lock:
            histogram = self._histogram_by_key.get(_series_key(LATENCY, labels))
            if histogram is None:
                return 0.0
            return histogram.get_value_at_percentile(percent) / _US_PER_S

    def add_source(self, source):
        """Call ``source()`` before each page is rendered, so that it can set gauges."""
        self._gauge_sources.append(source)

    def page(self):
        """Return all metrics as text in the Prometheus exposition format."""
        for source in self._gauge_sources:
            source()
        with self._lock:
            lines = _section_lines(self._count_by_key, "counter")
            lines += _section_lines(self._gauge_by_key, "gauge")
            lines += self._latency_lines()
        return "\n".join(lines) + "\n"

    def _latency_lines(self):
        if not self._histogram_by_key:
            return []
        lines = _header_lines(LATENCY, "summary")
        for (name, labels), histogram in sorted(self._histogram_by_key.items()):
            for percent in QUANTILES:
                value = histogram.get_value_at_percentile(percent) / _US_PER_S
                quantile = ("quantile", f"{percent / 100:g}")
                lines.append(f"{name}{_format_labels((*labels, quantile))} {value:g}")
            total = self._seconds_by_key[name, labels]
            lines.append(f"{name}_sum{_format_labels(labels)} {total:g}")
            lines.append(
                f"{name}_count{_format_labels(labels)} {histogram.total_count}"
            )
        return lines


def _series_key(name, labels):
    return name, tuple(sorted((key, str(value)) for key, value in labels.items()))


def _header_lines(name, kind):
    help_text = _HELP_BY_NAME.get(name, "See docs/OPERATING.md.")
    return [f"# HELP {name} {help_text}", f"# TYPE {name} {kind}"]


def _section_lines(value_by_key, kind):
    lines = []
    last = None
    for (name, labels), value in sorted(value_by_key.items()):
        if name != last:
            lines += _header_lines(name, kind)
            last = name
        lines.append(f"{name}{_format_labels(labels)} {value:g}")
    return lines


def _format_labels(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{_escape_label_value(value)}"' for key, value in labels)
    return "{" + pairs + "}"


def _escape_label_value(value):
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
