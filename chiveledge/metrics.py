"""Counters and latency histograms of one process."""

from __future__ import annotations

import resource
from collections import Counter
from pathlib import Path
from typing import TypedDict

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
KB_PER_MB = 1024


class HistogramSummary(TypedDict):
    """Percentiles of one histogram, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class MetricsRecord(TypedDict):
    """All metrics of a process, in the form that the administration API returns."""

    counters: dict[str, int]
    histograms: dict[str, HistogramSummary]
    resident_mb: float
    processor_s: float


class Metrics:
    """Counters, figures that are set, and latency histograms by name."""

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        self._counters[name] += amount

    def set(self, name: str, value: int) -> None:
        """Set a figure that may fall, such as a number of connections."""
        self._counters[name] = value

    def value(self, name: str) -> int:
        """Return the value of a counter."""
        return self._counters[name]

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * US_PER_S)))

    def to_record(self) -> MetricsRecord:
        """Return all metrics, with the memory and processor time of the process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return MetricsRecord(
            counters=dict(self._counters),
            histograms={
                name: _summarise(histogram)
                for name, histogram in self._histograms.items()
            },
            resident_mb=round(_resident_mb(), 1),
            processor_s=round(usage.ru_utime + usage.ru_stime, 3),
        )


def _summarise(histogram: HdrHistogram) -> HistogramSummary:
    return HistogramSummary(
        count=histogram.get_total_count(),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        max_ms=histogram.get_max_value() / 1000,
    )


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1024 / KB_PER_MB
