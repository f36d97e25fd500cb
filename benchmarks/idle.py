"""What a system at rest costs: memory, processor time, calls to the platform and to searchers."""

import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from benchmarks.registry import benchmark
from tests.support.clusters import Cluster

INSTANCES = 8
SERVICES = 6
SETTLE_SECONDS = 40.0
MEASURED_SECONDS = 60.0
_TICKS_PER_SECOND = 100
# The connection over which this measurement itself reads a stand-in's counts.
_OWN = 1


@benchmark("idle")
def idle() -> Sequence[dict[str, Any]]:
    """Measure one idle minute of 8 instances that served 6 services before."""
    with Cluster() as cluster:
        cluster.start_instances(INSTANCES)
        for number in range(SERVICES):
            name = f"finder-{number}"
            searchers = cluster.start_searchers(name, [[0, 1, 2, 3]] * 2)
            cluster.put_service(name, searchers)
        for instance in cluster.listed:
            with cluster.session(instance) as session:
                for number in range(SERVICES):
                    session.search(f"finder-{number}", {}, deadline=10.0)
        time.sleep(SETTLE_SECONDS)
        before = _sample(cluster)
        time.sleep(MEASURED_SECONDS)
        return _rows(before, _sample(cluster))


def _sample(cluster: Cluster) -> dict[str, float]:
    pids = [process.pid for process in cluster.instances.values()]
    searchers = [searcher.stats() for searcher in cluster.searchers.values()]
    return {
        "resident MB, largest": max(map(_resident_mb, pids)),
        "threads, most": max(map(_threads, pids)),
        "CPU seconds, largest": max(map(cpu_seconds, pids)),
        "CPU seconds, all instances": sum(map(cpu_seconds, pids)),
        "platform calls": cluster.platform.stats()["total"],
        "searcher requests": sum(_requests(stats["counts"]) for stats in searchers),
        "searcher connections open": sum(stats["connections"] - _OWN for stats in searchers),
    }


_LEVELS = ("resident MB, largest", "threads, most", "searcher connections open")


def _rows(before: dict[str, float], after: dict[str, float]) -> list[dict[str, Any]]:
    rows = []
    for name, value in after.items():
        if name in _LEVELS:
            rows.append({"what": name, "idle minute": value})
        else:
            rows.append({"what": f"{name}, a minute", "idle minute": value - before[name]})
    return rows


def _requests(counts: dict[str, int]) -> int:
    names = ("searches", "inventories", "cancels", "bookings", "connections")
    return sum(counts.get(name, 0) for name in names)


def _resident_mb(pid: int) -> float:
    return _status(pid, "VmRSS") / 1024


def _threads(pid: int) -> float:
    return _status(pid, "Threads")


def _status(pid: int, field: str) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return float(line.split()[1])
    raise KeyError(field)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
