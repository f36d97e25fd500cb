"""(a) One straggler of 20 searchers, with hedge budgets of 0, 2, 5 and 10 % and as the baseline."""

from collections.abc import Sequence
from typing import Any

from benchmarks.registry import benchmark
from benchmarks.search.beds import COVERAGE, SIMPLEST, Bed, Layout, Leg
from benchmarks.search.comparisons import compare
from limpethollow_wire.services import HedgePolicy

PAIRS = 10
SERVICE_SECONDS = 0.02
JITTER_SECONDS = 0.01
STRAGGLER_SECONDS = 0.25
RATE = 15.0
SECONDS = 4.0
BUDGETS = (0.0, 0.02, 0.05, 0.1)

WIDE = Layout(
    shards=[[number // 2] for number in range(2 * PAIRS)],
    options={
        "service_time": SERVICE_SECONDS,
        "jitter": JITTER_SECONDS,
        "connect_cost": 0.006,
    },
)


@benchmark("search-straggler")
def run() -> Sequence[dict[str, Any]]:
    """Compare with and without the straggler; the other budgets with it only."""
    legs = _pair("simplest", {"objective": COVERAGE, **SIMPLEST})
    for budget in BUDGETS:
        fields = {"objective": COVERAGE, "hedge": HedgePolicy(budget=budget)}
        pair = _pair(f"hedge {budget:.0%}", fields)
        legs += pair if budget in (0.0, HedgePolicy().budget) else pair[1:]
    return compare(WIDE, legs)


def _pair(name: str, fields: dict[str, Any]) -> list[Leg]:
    rates = {"tasfreight": RATE}
    return [
        Leg(name, fields, rates, SECONDS),
        Leg(f"{name}, straggler", fields, rates, SECONDS, slow_one, restore_one),
    ]


def slow_one(bed: Bed) -> None:
    """Make one searcher a straggler."""
    bed.first.control(service_time=STRAGGLER_SECONDS)


def restore_one(bed: Bed) -> None:
    """End the straggling."""
    bed.first.control(service_time=SERVICE_SECONDS)
