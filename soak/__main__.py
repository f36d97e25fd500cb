"""Runs the soak: `python -m soak SEED...`; each seed is a run of its own, the same each time."""

import argparse
import shutil
import sys
import threading
import time
from collections import Counter
from collections.abc import Collection
from pathlib import Path
from random import Random
from tempfile import mkdtemp

from soak.callers import Caller, CrashingCaller, Outcome
from soak.faults import EXTRA_PLANS, STOPS, TEAMS, Planned, act, plan
from soak.promises import RECOVER_SECONDS, Seen, broken
from soak.teams import NOISY, NOISY_CALLERS, KeyRing
from soak.world import World

_CALLERS = 6
_CALM_SECONDS = RECOVER_SECONDS + 2.0


def main(arguments: list[str] | None = None) -> int:
    """Run all seeds; return 1 where one broke a promise."""
    options = _parser().parse_args(arguments)
    failed = [
        seed
        for seed in options.seeds
        if run(
            seed,
            options.seconds,
            options.instances,
            crashing=options.crashing,
            extras=options.extras or (),
        )
    ]
    print(f"{len(options.seeds)} seeds, {len(failed)} broke a promise: {failed}", flush=True)
    return 1 if failed else 0


def run(
    seed: int,
    seconds: float,
    instances: int,
    *,
    crashing: bool = False,
    extras: Collection[str] = (),
) -> list[str]:
    """Run one seed, print what came of it, and return the broken promises.

    The logs of a run that broke one are kept.

    Args:
        seed: Draws the faults and the load.
        seconds: How long faults are injected.
        instances: How many instances.
        crashing: Whether a request comes again and again that ends each searcher which runs it.
        extras: Names of the plans of faults that are played beside the run's own.
    """
    folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
    rng = Random(seed)
    faults = plan(rng, seconds)
    for name in extras:
        faults += EXTRA_PLANS[name].faults(seed, seconds)
    faults.sort(key=lambda planned: planned.at)
    outcomes: list[Outcome] = []
    keys = KeyRing.of_three() if TEAMS in extras else None
    teams = [None] * _CALLERS if keys is None else _teams_of_callers(keys)
    with World(folder, instances, keys) as world:
        callers = [
            Caller(
                f"c{n}", world, Random(seed + n), outcomes, pauses=STOPS not in extras, team=team
            )
            for n, team in enumerate(teams)
        ]
        if crashing:
            crashing_team = None if keys is None else NOISY
            callers.append(
                CrashingCaller("crash", world, Random(seed), outcomes, team=crashing_team)
            )
        for caller in callers:
            caller.start()
        _inject(faults, world, rng)
        over = time.monotonic()
        time.sleep(_CALM_SECONDS)
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join()
        found = broken(Seen(world, outcomes, list(world.runs), over))
    _print(seed, faults, outcomes, found, folder)
    if not found:
        shutil.rmtree(folder)
    return found


def _teams_of_callers(keys: KeyRing) -> list[str]:
    return [name for name in keys.teams for _ in range(NOISY_CALLERS if name == NOISY else 1)]


def _inject(faults: list[Planned], world: World, rng: Random) -> None:
    begun = time.monotonic()
    threads = []
    for number, planned in enumerate(faults):
        time.sleep(max(0.0, begun + planned.at - time.monotonic()))
        own = Random(rng.random() + number)
        thread = threading.Thread(target=act, args=(planned, world, own), daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def _print(
    seed: int, faults: list[Planned], outcomes: list[Outcome], found: list[str], folder: Path
) -> None:
    statuses = Counter(outcome.status for outcome in outcomes)
    print(f"seed {seed}: {len(faults)} faults, {len(outcomes)} requests, {dict(statuses)}")
    if found:
        for planned in faults:
            print(f"    {planned.at:5.1f} s  {planned.name}, {planned.seconds:.1f} s")
        for name, count in Counter(line.partition(":")[0] for line in found).items():
            print(f"  {count} times: {name}")
        for line in found[:20]:
            print(f"  BROKEN {line}")
        print(f"  {len(found)} in all; logs are kept in {folder}", flush=True)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("seeds", nargs="+", type=int, metavar="SEED")
    parser.add_argument("--seconds", type=float, default=10.0, help="time of faults a seed")
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--crashing", action="store_true", help="send a crashing request, too")
    for extra in EXTRA_PLANS.values():
        parser.add_argument(
            f"--{extra.name}",
            action="append_const",
            dest="extras",
            const=extra.name,
            help=extra.summary,
        )
    return parser


if __name__ == "__main__":
    sys.exit(main())
