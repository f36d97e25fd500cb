"""(d) One firm at ten times its share, under each admission policy."""

from collections import Counter
from collections.abc import Sequence
from statistics import median
from typing import Any

from benchmarks.loads import Sample
from benchmarks.registry import benchmark
from benchmarks.search.beds import COVERAGE, Layout, Leg
from benchmarks.search.comparisons import interleaved
from benchmarks.search.results import LegRun, common_columns, quantile_ms
from limpethollow_policy.process.admissions import policy_names
from limpethollow_wire.services import AdmissionPolicy

CALM_FIRMS = ("calm-a", "calm-b", "calm-c")
FLOODING_FIRM = "flooding"
CALM_RATE = 6.0
# Two searchers of two slots at 100 ms a search run 40 searches a second, 10 for each of four firms.
FLOOD_RATE = 100.0
SECONDS = 4.0
MAX_QUEUE = 16

NARROW = Layout(
    shards=[[0, 1, 2, 3], [0, 1, 2, 3]],
    # A searcher that gains nothing by several queries in a call, so no call can absorb the flood.
    options={"service_time": 0.08, "jitter": 0.04, "query_cost": 1.0, "connect_cost": 0.006},
    firms=(*CALM_FIRMS, FLOODING_FIRM),
)


@benchmark("search-flood")
def run() -> Sequence[dict[str, Any]]:
    """Compare each policy under the flood with the same load less the flood."""
    legs = [_leg("no flood", AdmissionPolicy().policy, CALM_RATE)]
    legs += [_leg(f"{policy}, flood", policy, FLOOD_RATE) for policy in policy_names()]
    runs = interleaved(NARROW, legs)
    calm_p99 = median(_p99s(runs[0]))
    return [_row(leg.name, kept, calm_p99) for leg, kept in zip(legs, runs, strict=True)]


def _leg(name: str, policy: str, flood_rate: float) -> Leg:
    admission = AdmissionPolicy(policy=policy, max_queue=MAX_QUEUE)
    rates = {**dict.fromkeys(CALM_FIRMS, CALM_RATE), FLOODING_FIRM: flood_rate}
    return Leg(name, {"objective": COVERAGE, "admission": admission}, rates, SECONDS)


def _row(name: str, runs: Sequence[LegRun], calm_p99: float) -> dict[str, Any]:
    samples = [sample for run in runs for sample in run.samples]
    calm = _calm(runs)
    flood = [sample for sample in samples if sample.firm == FLOODING_FIRM]
    p99s = _p99s(runs)
    seconds = sum(run.seconds for run in runs)
    return {
        "leg": name,
        "others' p50 ms": quantile_ms(calm, 50),
        "others' p99 ms, median of runs": median(p99s),
        "p99 of each run": f"{min(p99s):.0f}..{max(p99s):.0f}",
        "others' p99, ratio": median(p99s) / calm_p99,
        "others refused": _refused(calm),
        "flooding firm's p99 ms": quantile_ms(flood, 99),
        "flooding firm refused": _refused(flood),
        "answered a second": sum(s.code == "answered" for s in samples) / seconds,
        "slowest refusal ms": 1000 * max((s.latency for s in samples if s.retry_after), default=0),
        "retry_after": _retry_after(samples),
        **common_columns(runs),
    }


def _calm(runs: Sequence[LegRun]) -> list[Sample]:
    return [s for run in runs for s in run.samples if s.firm in CALM_FIRMS]


def _p99s(runs: Sequence[LegRun]) -> list[float]:
    return [quantile_ms(_calm([run]), 99) for run in runs]


def _refused(samples: Sequence[Sample]) -> str:
    codes = Counter(sample.code for sample in samples if sample.code != "answered")
    return f"{codes.total()} of {len(samples)}"


def _retry_after(samples: Sequence[Sample]) -> str:
    said = [sample.retry_after for sample in samples if sample.retry_after]
    return f"{min(said):.2f}..{max(said):.2f} s" if said else ""
