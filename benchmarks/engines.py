"""Processor time of a shard call: the engine on the platform against the threaded path.

Both serve searches of 20 shards, one round of each path after the other, so that load of the
machine hits both alike. Counted is all processor time of the serving process, its share of links,
feeds, logs and timers included, over the calls that searchers got.
"""

import itertools
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import urllib3

from benchmarks.idle import cpu_seconds
from benchmarks.registry import benchmark
from limpethollow_wire.services import Objective
from tests.standins.backends import REQUEST_ID
from tests.support.clusters import Cluster
from tests.support.platforms import HOST, PlatformInstance, PlatformSystem, search_route

SHARDS = 20
SERVICE = "finder"
ROUNDS = 5
SEARCHES_PER_ROUND = 120
# Searches under way at once: a heavy day has some 5 to 15 at an instance.
CALLERS = 4
_TARGET_MS = 0.11

_numbers = itertools.count()


@benchmark("engines")
def engines() -> Sequence[dict[str, Any]]:
    """Measure both paths in turn, round by round."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        system = stack.enter_context(PlatformSystem(folder))
        cluster = stack.enter_context(Cluster())
        legs = {"engine": _engine(system, stack), "threaded path": _threads(cluster, stack)}
        for leg in legs.values():
            leg.round()
        costs: dict[str, list[float]] = {name: [] for name in legs}
        for _ in range(ROUNDS):
            for name, leg in legs.items():
                costs[name].append(leg.round())
    return _rows(costs)


class Leg:
    """One path under measurement.

    Args:
        pid: Process that serves it.
        search: Makes one search.
        callers: Makes the searches of a round at once.
    """

    def __init__(self, pid: int, search: Callable[[], None], callers: ThreadPoolExecutor) -> None:
        self._pid = pid
        self._search = search
        self._callers = callers

    def round(self) -> float:
        """Make one round of searches; return milliseconds of processor time a shard call."""
        before = cpu_seconds(self._pid)
        jobs = [self._callers.submit(self._search) for _ in range(SEARCHES_PER_ROUND)]
        for job in jobs:
            job.result()
        spent = cpu_seconds(self._pid) - before
        return spent * 1000 / (SEARCHES_PER_ROUND * SHARDS)


def _engine(system: PlatformSystem, stack: ExitStack) -> Leg:
    shards = [f"finder-{number}" for number in range(SHARDS)]
    for shard in shards:
        system.backend(shard, f"{shard}-1", records=[b"r" * 16])
    system.configure(1, search_route(shards))
    instance = system.instance()
    callers = stack.enter_context(ThreadPoolExecutor(CALLERS))
    http = stack.enter_context(urllib3.PoolManager(maxsize=CALLERS, retries=False))
    return Leg(instance.child.pid, lambda: _search_platform(http, instance), callers)


def _search_platform(http: urllib3.PoolManager, instance: PlatformInstance) -> None:
    headers = {
        "Host": HOST,
        REQUEST_ID: f"b{next(_numbers)}",
        "X-Limpethollow-Deadline-Ms": "2000",
    }
    reply = http.request("GET", f"http://127.0.0.1:{instance.front}/find/x", headers=headers)
    if reply.status != 200 or reply.headers["X-Limpethollow-Missing-Parts"] != "0":
        raise RuntimeError(f"A search got {reply.status} {reply.headers}.")


def _threads(cluster: Cluster, stack: ExitStack) -> Leg:
    cluster.start_instances(1)
    searchers = cluster.start_searchers(SERVICE, [[shard] for shard in range(SHARDS)])
    cluster.put_service(SERVICE, searchers, objective=Objective(mode="coverage", deadline=10.0))
    session = stack.enter_context(cluster.session())
    callers = stack.enter_context(ThreadPoolExecutor(CALLERS))
    instance = next(iter(cluster.instances.values()))
    return Leg(instance.pid, lambda: _search_threads(session), callers)


def _search_threads(session: Any) -> None:
    # No two queries are the same, so that no answer is shared with another search.
    answer = session.search(SERVICE, {"turn": next(_numbers)}, deadline=10.0)
    if len(answer.coverage.covered) != SHARDS:
        raise RuntimeError(f"A search covered {answer.coverage.covered}.")


def _rows(costs: dict[str, list[float]]) -> list[dict[str, Any]]:
    ratios = [a / b for a, b in zip(costs["engine"], costs["threaded path"], strict=True)]
    rows: list[dict[str, Any]] = [
        {
            "path": name,
            "ms a shard call, median": statistics.median(values),
            "least": min(values),
            "most": max(values),
        }
        for name, values in costs.items()
    ]
    rows.append(
        {
            "path": "ratio, engine over threads",
            "ms a shard call, median": statistics.median(ratios),
            "least": min(ratios),
            "most": max(ratios),
        }
    )
    rows.append({"path": "goal of the engine", "ms a shard call, median": _TARGET_MS})
    return rows
