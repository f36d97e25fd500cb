"""Counters and latency histograms of one instance."""

import resource
import threading
import time
from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 2
_QUANTILES = (50.0, 99.0, 99.9)
_PREFIX = "limpethollow"


class Metrics:
    """Thread-safe counters and histograms, written out as text lines."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Raise a counter.

        Args:
            name: Name of the counter.
            reason: Its label, empty for none.
            amount: By how much.
        """
        with self._lock:
            self._counters[name, reason] += amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show a value as it is whenever metrics are asked for.

        Args:
            name: Name of the gauge.
            read: Returns the value.
        """
        self._gauges[name] = read

    def value(self, name: str, reason: str = "") -> int:
        """Return a counter's value."""
        with self._lock:
            return self._counters[name, reason]

    def observe(self, name: str, seconds: float) -> None:
        """Add one duration to a histogram."""
        microseconds = min(max(int(seconds * 1_000_000), _LOWEST_US), _HIGHEST_US)
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(microseconds)

    def timed(self, name: str) -> "_Timed":
        """Return a context manager that observes how long its block takes."""
        return _Timed(self, name)

    def render(self) -> str:
        """Return all values, a line each, in the text form that scrapers read."""
        with self._lock:
            lines = [
                _line(f"{name}_total", {"reason": reason} if reason else {}, value)
                for (name, reason), value in sorted(self._counters.items())
            ]
            for name, histogram in sorted(self._histograms.items()):
                lines.append(_line(f"{name}_seconds_count", {}, histogram.get_total_count()))
                for quantile in _QUANTILES:
                    seconds = histogram.get_value_at_percentile(quantile) / 1_000_000
                    labels = {"quantile": f"{quantile / 100:g}"}
                    lines.append(_line(f"{name}_seconds", labels, seconds))
        lines += [_line(name, {}, read()) for name, read in sorted(self._gauges.items())]
        lines += _process_lines()
        return "\n".join(lines) + "\n"


class _Timed:
    __slots__ = ("_metrics", "_name", "_started")

    def __init__(self, metrics: Metrics, name: str) -> None:
        self._metrics = metrics
        self._name = name

    def __enter__(self) -> "_Timed":
        self._started = time.monotonic()
        return self

    def __exit__(self, *_: object) -> None:
        self._metrics.observe(self._name, time.monotonic() - self._started)


def _process_lines() -> list[str]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return [
        _line("cpu_seconds_total", {}, usage.ru_utime + usage.ru_stime),
        _line("resident_bytes_peak", {}, usage.ru_maxrss * 1024),
        _line("threads", {}, threading.active_count()),
    ]


def _line(name: str, labels: dict[str, str], value: float) -> str:
    inside = ",".join(f'{key}="{label}"' for key, label in labels.items())
    braces = f"{{{inside}}}" if inside else ""
    return f"{_PREFIX}_{name}{braces} {value:g}"
