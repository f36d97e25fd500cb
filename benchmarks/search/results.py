"""What a leg of a measurement showed, over all its runs."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.loads import Sample
from benchmarks.loads_checks import TRUE

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3
_GRACE_SECONDS = 0.05
_SLOW_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class SearcherCounts:
    """What the searchers counted themselves.

    Attributes:
        calls: Calls with queries.
        shed: Calls refused for want of a slot.
        connections_refused: Connections over the limit.
        peak_connections: Most connections open at one searcher.
        peak_running: Most slots in use at one searcher.
        peak_open: Most calls at one searcher, running or waiting for a slot.
    """

    calls: int
    shed: int
    connections_refused: int
    peak_connections: int
    peak_running: int
    peak_open: int

    @classmethod
    def of(cls, stats: Iterable[dict[str, Any]]) -> "SearcherCounts":
        """Sum the counts of all searchers, and take the highest of their peaks."""
        counts: Counter[str] = Counter()
        peaks: Counter[str] = Counter()
        for one in stats:
            counts.update(one["counts"])
            peaks |= Counter(one["peaks"])
        return cls(
            calls=counts["searches"],
            shed=counts["shed"],
            connections_refused=counts["connections_refused"],
            peak_connections=peaks["connections"],
            peak_running=peaks["running"],
            peak_open=peaks["open"],
        )


@dataclass(slots=True, frozen=True)
class LegRun:
    """One run of one leg.

    Attributes:
        samples: The searches after the warm-up.
        sent: All searches, warm-up included, as the searchers' counts include it.
        searchers: What the searchers counted.
        calls_needed: Calls that one search needs at least.
        seconds: Length of the measured part.
        cores: Processor time of the busiest instance, as a share of the leg's time.
        notes: What the fault counted.
    """

    samples: list[Sample]
    sent: int
    searchers: SearcherCounts
    calls_needed: int
    seconds: float
    cores: float
    notes: dict[str, int]

    def extra_calls(self) -> float:
        """Return the calls over those needed, as a share of the needed."""
        return self.searchers.calls / (self.sent * self.calls_needed) - 1.0


def quantile_ms(samples: Iterable[Sample], percentile: float) -> float:
    """Return a latency quantile of the answered searches, in milliseconds."""
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    for sample in samples:
        if sample.code == "answered":
            histogram.record_value(max(_LOWEST_US, int(sample.latency * 1_000_000)))
    return histogram.get_value_at_percentile(percentile) / 1000


def late(samples: Iterable[Sample], deadline: float) -> int:
    """Return how many got their last word, answer or refusal, only after the deadline."""
    return sum(sample.latency > deadline + _GRACE_SECONDS for sample in samples)


def not_prompt(samples: Iterable[Sample]) -> int:
    """Return how many had no complete answer within half a second."""
    return sum(
        sample.code != "answered" or sample.coverage < 1.0 or sample.latency > _SLOW_SECONDS
        for sample in samples
    )


def summary(name: str, runs: Sequence[LegRun], deadline: float = 1.0) -> dict[str, Any]:
    """Return one row of a table."""
    samples = [sample for run in runs for sample in run.samples]
    answered = [sample for sample in samples if sample.code == "answered"]
    p99s = [quantile_ms(run.samples, 99) for run in runs]
    refused = Counter(sample.code for sample in samples if sample.code != "answered")
    return {
        "leg": name,
        "sent": len(samples),
        "answered": len(answered),
        "p50 ms": quantile_ms(samples, 50),
        "p99 ms": quantile_ms(samples, 99),
        "p99.9 ms": quantile_ms(samples, 99.9),
        "p99 of each run": f"{median(p99s):.0f} ({min(p99s):.0f}..{max(p99s):.0f})",
        "coverage": sum(s.coverage for s in answered) / max(len(answered), 1),
        "complete": sum(s.coverage == 1.0 for s in answered) / max(len(answered), 1),
        "untrue labels": sum(sample.label != TRUE for sample in answered),
        "late": late(samples, deadline),
        "not complete in 500 ms": not_prompt(samples),
        "refused": " ".join(f"{code}={count}" for code, count in refused.items()) or "0",
        "extra calls": f"{sum(run.extra_calls() for run in runs) / len(runs):+.1%}",
        **common_columns(runs),
        **sum((Counter(run.notes) for run in runs), Counter()),
    }


def common_columns(runs: Sequence[LegRun]) -> dict[str, Any]:
    """Return what the searchers counted and how busy the processes were, the peaks of any run."""
    counts = [run.searchers for run in runs]
    return {
        "shed": sum(one.shed for one in counts),
        "connections refused": sum(one.connections_refused for one in counts),
        "peak connections": max(one.peak_connections for one in counts),
        "peak running": max(one.peak_running for one in counts),
        "peak open": max(one.peak_open for one in counts),
        "cores": max(run.cores for run in runs),
        "generator lag ms": 1000 * max((s.lag for run in runs for s in run.samples), default=0.0),
    }
