"""A fleet of instances on one machine, and what its processes used between two moments."""

import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from limpethollow_wire.plans import Intent
from limpethollow_wire.services import CallerSpec, SearcherSpec, ServiceSpec
from tests.support.clusters import DOMAINS, Cluster
from tests.support.processes import StandIn, wait_for

_TICKS = 100.0
_SEARCHERS = 20


class Fleet(Cluster):
    """Instances over the four failure domains of tas-north, with peers' bytes counted if asked."""

    def __init__(self, count_bytes: bool = False) -> None:
        super().__init__()
        self.count_bytes = count_bytes
        self.proxies: dict[str, StandIn] = {}

    def grow(self, count: int) -> None:
        """Start instances until there are so many, and wait until each sees all."""
        for number in range(len(self.listed), count):
            name = f"n{number}"
            process = self.start_instance(name, DOMAINS[number % len(DOMAINS)])
            if self.count_bytes:
                self.proxies[name] = self.start_proxy(f"p-{name}", process.ready["peer"])
                self.listed[name]["peer_address"] = self.proxies[name].ready["entry"]
        self.publish_list()
        wait_for(lambda: all(self._sees_everyone(i) for i in self.listed), "membership", 60.0)

    def change(self, number: int) -> Any:
        """Confirm one change of a service and return the confirmation."""
        held = [
            SearcherSpec(f"s{i}", f"10.0.0.{i}:80", (i % 10,), "lton-a") for i in range(_SEARCHERS)
        ]
        callers = (CallerSpec("firm", "0" * 64),)
        spec = ServiceSpec("bench", 10, tuple(held), callers, route_ttl=1.0 + number / 1000)
        with self.operator(f"n{number % len(self.listed)}") as operator:
            return operator.confirm(operator.plan(Intent(service=spec)).id, 20.0)

    def relays(self) -> set[str]:
        """Return the ids of all relays, by the same choice as the instances make."""
        from limpethollow_policy.process.relays import relays_of
        from limpethollow_wire.instances import InstanceInfo

        infos = [InstanceInfo(**row) for row in self.listed.values()]
        return {name for domain in DOMAINS for name in relays_of(domain, infos)}


@dataclass(slots=True)
class Usage:
    """What a fleet had used up to a moment."""

    at: float
    cpu: dict[str, float]
    calls: Counter[str]
    bytes: dict[str, int]

    @classmethod
    def of(cls, fleet: Fleet) -> "Usage":
        """Read it without asking the instances, so that reading costs them nothing."""
        cpu = {name: _cpu_seconds(process.pid) for name, process in fleet.instances.items()}
        calls = Counter(fleet.platform.stats()["calls"])
        counted = {name: proxy.stats()["bytes"] for name, proxy in fleet.proxies.items()}
        return cls(time.monotonic(), cpu, calls, counted)


def resident_megabytes(pid: int) -> float:
    """Return a process's resident memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def mean(values: Any) -> float:
    """Return the mean, 0 for none."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0
