"""Registry of measurements, and how their results are printed and kept."""

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

RESULTS = Path(__file__).parent / "results"

Benchmark = Callable[[], Sequence[dict[str, Any]]]
_BENCHMARKS: dict[str, Benchmark] = {}


def benchmark(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register a measurement; it returns rows that share their keys."""

    def register(run: Benchmark) -> Benchmark:
        _BENCHMARKS[name] = run
        return run

    return register


def names() -> tuple[str, ...]:
    """Return the registered names, sorted."""
    return tuple(sorted(_BENCHMARKS))


def run(name: str) -> None:
    """Run one measurement, print its rows as a table and keep them as JSON."""
    rows = list(_BENCHMARKS[name]())
    print(f"\n## {name}\n")
    print(_table(rows), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / f"{name}.json").write_text(json.dumps(rows, indent=2))


def _table(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return "no rows"
    columns = list(rows[0])
    lines = [columns, ["---"] * len(columns)]
    lines += [[_cell(row.get(column, "")) for column in columns] for row in rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
