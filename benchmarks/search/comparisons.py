"""Runs the legs of a scenario in turns, so that all of them see the same machine."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from benchmarks.search.beds import Bed, Layout, Leg
from benchmarks.search.results import LegRun, summary

REPEATS = 3


def interleaved(layout: Layout, legs: Sequence[Leg], repeats: int = REPEATS) -> list[list[LegRun]]:
    """Run every leg once a round, each round with arrivals of its own; return the runs by leg."""
    runs: list[list[LegRun]] = [[] for _ in legs]
    with Bed(layout) as bed:
        for turn in range(repeats):
            for leg, kept in zip(legs, runs, strict=True):
                kept.append(bed.run(replace(leg, seed=turn + 1)))
    return runs


def compare(layout: Layout, legs: Sequence[Leg], repeats: int = REPEATS) -> list[dict[str, Any]]:
    """Return one row a leg."""
    runs = interleaved(layout, legs, repeats)
    rows = [summary(leg.name, kept) for leg, kept in zip(legs, runs, strict=True)]
    columns = dict.fromkeys(column for row in rows for column in row)
    return [{column: row.get(column, 0) for column in columns} for row in rows]
