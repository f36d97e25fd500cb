"""Counters and latency histograms of one instance."""

import resource
import threading
import time
from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from limpethollow_node.process.usage import open_descriptors, resident_bytes

_MIN_MICROSECONDS = 1
_MAX_MICROSECONDS = 60_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 99.0, 99.9)
_PREFIX = "limpethollow"


class Metrics:
    """Thread-safe counters, histograms and gauges, rendered as text lines."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Increment a counter.

        Args:
            name: Name of the counter.
            reason: Value of the `reason` label; empty for no label.
            amount: How much to add.
        """
        with self._lock:
            self._counters[name, reason] += amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read whenever the metrics are rendered.

        Args:
            name: Name of the gauge.
            read: Returns the current value.
        """
        self._gauges[name] = read

    def value(self, name: str, reason: str = "") -> int:
        """Return the value of a counter."""
        with self._lock:
            return self._counters[name, reason]

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram, clamped to its range of 1 microsecond to 60 seconds."""
        microseconds = min(max(int(seconds * 1_000_000), _MIN_MICROSECONDS), _MAX_MICROSECONDS)
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(_MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(microseconds)

    def timed(self, name: str) -> "_Timer":
        """Return a context manager that records the duration of its block in a histogram."""
        return _Timer(self, name)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, one value per line."""
        with self._lock:
            lines = [
                _format_line(f"{name}_total", {"reason": reason} if reason else {}, value)
                for (name, reason), value in sorted(self._counters.items())
            ]
            for name, histogram in sorted(self._histograms.items()):
                lines.append(_format_line(f"{name}_seconds_count", {}, histogram.get_total_count()))
                for percentile in _PERCENTILES:
                    seconds = histogram.get_value_at_percentile(percentile) / 1_000_000
                    labels = {"quantile": f"{percentile / 100:g}"}
                    lines.append(_format_line(f"{name}_seconds", labels, seconds))
        lines += [_format_line(name, {}, read()) for name, read in sorted(self._gauges.items())]
        lines += _format_process_metrics()
        return "\n".join(lines) + "\n"


class _Timer:
    __slots__ = ("_metrics", "_name", "_started")

    def __init__(self, metrics: Metrics, name: str) -> None:
        self._metrics = metrics
        self._name = name

    def __enter__(self) -> "_Timer":
        self._started = time.monotonic()
        return self

    def __exit__(self, *_: object) -> None:
        self._metrics.observe(self._name, time.monotonic() - self._started)


def _format_process_metrics() -> list[str]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return [
        _format_line("cpu_seconds_total", {}, usage.ru_utime + usage.ru_stime),
        _format_line("resident_bytes_peak", {}, usage.ru_maxrss * 1024),
        _format_line("resident_bytes", {}, resident_bytes()),
        _format_line("open_descriptors", {}, open_descriptors()),
        _format_line("threads", {}, threading.active_count()),
    ]


def _format_line(name: str, labels: dict[str, str], value: float) -> str:
    label_list = ",".join(f'{key}="{label}"' for key, label in labels.items())
    braces = f"{{{label_list}}}" if label_list else ""
    return f"{_PREFIX}_{name}{braces} {value:g}"
