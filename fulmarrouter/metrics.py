"""Counters, gauges and latency histograms of one process."""

import threading

from hdrh import histogram

# Range and precision of the latency histograms.
LOWEST_TRACKABLE_US = 1
HIGHEST_TRACKABLE_US = 120_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
PREFIX = "fulmarrouter_"

_Labels = tuple[tuple[str, str], ...]


class Registry:
    """All metrics of a process; safe to use from every task."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, _Labels], int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Records a duration, in seconds."""
        with self._lock:
            durations = self._histograms.get(name)
            if durations is None:
                durations = histogram.HdrHistogram(
                    LOWEST_TRACKABLE_US,
                    HIGHEST_TRACKABLE_US,
                    SIGNIFICANT_DIGITS,
                )
                self._histograms[name] = durations
            durations.record_value(max(LOWEST_TRACKABLE_US, int(seconds * 1e6)))

    def counters(self, name: str) -> dict[str, int]:
        """Returns a counter's values by their labels, joined by commas."""
        with self._lock:
            return {
                ",".join(value for _, value in labels): count
                for (counter_name, labels), count in self._counters.items()
                if counter_name == name
            }

    def render(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines: list[str] = []
        with self._lock:
            for (name, labels), count in sorted(self._counters.items()):
                lines.append(
                    f"{PREFIX}{name}_total{_render_labels(labels)} {count}"
                )
            for name, value in sorted(self._gauges.items()):
                lines.append(f"{PREFIX}{name} {value}")
            for name, durations in sorted(self._histograms.items()):
                lines += _render_histogram(name, durations)
        return "\n".join(lines) + "\n"


def _render_labels(labels: _Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"


def _render_histogram(
    name: str, durations: histogram.HdrHistogram
) -> list[str]:
    lines = [
        f'{PREFIX}{name}{{quantile="{quantile}"}}'
        f" {durations.get_value_at_percentile(quantile * 100) / 1e6}"
        for quantile in QUANTILES
    ]
    lines.append(f"{PREFIX}{name}_count {durations.get_total_count()}")
    return lines
