r"""Plays days with one mechanism switched off at a time: `python -m benchmarks.ablation --help`.

Example, three seeds of two days of one deployment:

    python -m benchmarks.ablation --player PATH --site PATH --days quiet-1,scale-1 --seeds 0,1,2 \
        --copies DIR
"""

import argparse
import sys
from itertools import product
from pathlib import Path

from benchmarks.ablation import mechanisms
from benchmarks.ablation.copies import copy_without
from benchmarks.ablation.plays import Day, Player, mean_by_site

_BASE = "all on"


def main() -> int:
    """Play everything and print a table of worth lost by site."""
    options = _parser().parse_args()
    player = Player(options.player.resolve(), options.jobs, tuple(options.with_option))
    days = _days(options)
    base: dict[str, float] = {}
    for name in [_BASE, *options.only]:
        mechanism = None if name == _BASE else mechanisms.get(name)
        copy = copy_without(mechanism, options.copies.resolve() / name.replace(" ", "-"))
        results = player.play(copy, days, f"trial: ablation, {name}")
        means = mean_by_site(days, results)
        base = base or means
        if name == _BASE:
            _print_row("switched off", *means, "rules broken")
            _print_row(*["---"] * (len(means) + 2))
        _print_row(name, *_cells(means, base, name), _broken(results))
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--player", type=Path, required=True, help="the users' player")
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--days", type=lambda text: text.split(","), required=True)
    parser.add_argument("--seeds", type=lambda text: text.split(","), default=["0"])
    parser.add_argument("--copies", type=Path, required=True, help="folder for scratch copies")
    parser.add_argument(
        "--with-option",
        action="append",
        default=[],
        metavar="OPTION",
        help="passed on to each play, as --with-option=--no-cpu",
    )
    parser.add_argument("--jobs", type=int, default=4, help="days played at once")
    parser.add_argument(
        "--only", type=lambda text: text.split(","), default=mechanisms.names(), help="mechanisms"
    )
    return parser


def _days(options: argparse.Namespace) -> list[Day]:
    """Return the days to play; the seed 0 stands for the site file's own."""
    return [
        Day(site.resolve(), name, int(seed) or None)
        for site, name, seed in product(options.site, options.days, options.seeds)
    ]


def _cells(means: dict[str, float], base: dict[str, float], name: str) -> list[str]:
    if name == _BASE:
        return [f"{mean:.4f}" for mean in means.values()]
    return [f"{mean - base[site]:+.4f}" for site, mean in means.items()]


def _broken(results: list) -> str:
    return ", ".join(sorted({rule for result in results for rule in result.broken})) or "none"


def _print_row(*cells: str) -> None:
    print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    sys.exit(main())
