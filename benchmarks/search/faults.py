"""(b) a killed replica, (c) silent connections, (e) version turnover, (f) a cold start."""

import threading
import time
from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

from benchmarks.registry import benchmark
from benchmarks.search.beds import COVERAGE, SIMPLEST, Bed, Layout, Leg
from benchmarks.search.comparisons import compare
from tests.support.processes import post

RATE = 20.0
SECONDS = 2.0
COLD_SECONDS = 1.0
TURNOVER_STEP = 0.03
OPTIONS = {"service_time": 0.02, "jitter": 0.01, "connect_cost": 0.006}

PAIRS_OF_FOUR = Layout(shards=[[number // 2] for number in range(8)], options=OPTIONS)
PROXIED = Layout(shards=[[0, 1], [0, 1], [2, 3], [2, 3]], options=OPTIONS, proxied=True)

_versions = count(2)


@benchmark("search-replica-killed")
def killed() -> Sequence[dict[str, Any]]:
    """Kill one searcher under load; its shard keeps one replica."""
    return _against_simplest(PAIRS_OF_FOUR, kill_first, Bed.restart_first)


@benchmark("search-silent-connections")
def silent() -> Sequence[dict[str, Any]]:
    """Make every open connection to one searcher silent for good; new ones work."""
    return _against_simplest(PROXIED, freeze_connections, cut_connections)


@benchmark("search-version-turnover")
def turnover() -> Sequence[dict[str, Any]]:
    """Publish one index version after another while searches run."""
    return _against_simplest(PAIRS_OF_FOUR, Turnover.start, Turnover.stop)


@benchmark("search-cold-start")
def cold_start() -> Sequence[dict[str, Any]]:
    """Make one searcher ten times slower for the first second after its start."""
    return _against_simplest(PAIRS_OF_FOUR, start_cold, None)


def _against_simplest(
    layout: Layout,
    fault: Callable[[Bed], dict[str, int] | None],
    mend: Callable[[Bed], None] | None,
) -> Sequence[dict[str, Any]]:
    rates = {"tasfreight": RATE}
    legs = [
        Leg(name, {"objective": COVERAGE, **fields}, rates, SECONDS, fault, mend)
        for name, fields in (("simplest", SIMPLEST), ("default", {}))
    ]
    return compare(layout, [Leg("default, no fault", legs[1].fields, rates, SECONDS), *legs])


def kill_first(bed: Bed) -> None:
    """Kill a searcher."""
    bed.first.kill()


def freeze_connections(bed: Bed) -> dict[str, int]:
    """Make the open connections to a searcher silent, and return how many there were."""
    proxy = bed.proxies[bed.searchers[0].id]
    return {"dead connections": post(proxy.address, "/control", {"freeze": True})["pairs"]}


def cut_connections(bed: Bed) -> None:
    """Close what is left of the silent connections, or the next leg finds them at the searcher."""
    post(bed.proxies[bed.searchers[0].id].address, "/control", {"cut": True})


def start_cold(bed: Bed) -> None:
    """Let a searcher behave as if it had just started."""
    bed.first.control(cold_start=COLD_SECONDS, started=time.monotonic())


class Turnover:
    """Publishes index versions, one searcher after the other, each keeping the newest two."""

    _running: "Turnover | None" = None

    def __init__(self, bed: Bed) -> None:
        self._bed = bed
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._publish, daemon=True)
        self._thread.start()

    @classmethod
    def start(cls, bed: Bed) -> None:
        """Begin to publish."""
        cls._running = cls(bed)

    @classmethod
    def stop(cls, bed: Bed) -> None:
        """End once all searchers keep the same versions."""
        if cls._running:
            cls._running._done.set()
            cls._running._thread.join()

    def _publish(self) -> None:
        while not self._done.is_set():
            version = next(_versions)
            for searcher in tuple(self._bed.cluster.searchers.values()):
                searcher.control(versions=[version - 1, version])
                time.sleep(TURNOVER_STEP)
