"""A bed of real processes that legs of a measurement run on, one after the other."""

import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

import msgspec

from benchmarks.loads import LoadPlan, Sample, Stream
from benchmarks.search.results import LegRun, SearcherCounts
from limpethollow_wire.keys import key_digest
from limpethollow_wire.services import (
    AdmissionPolicy,
    CallerSpec,
    HedgePolicy,
    Objective,
    SearcherSpec,
)
from tests.support.clusters import Cluster
from tests.support.processes import Process, StandIn

SERVICE = "driver-finder"
INSTANCES = 4
LOAD_PROCESSES = 2
LOAD_THREADS = 96
WARM_UP_SECONDS = 1.0
LISTENER_THREADS = 96
ROUTE_TTL = 5.0
_START_SECONDS = 0.8
_RETURN_SECONDS = 30.0

COVERAGE = Objective(mode="coverage", latency=0.2, deadline=1.0, coverage_floor=0.5)
LATENCY = Objective(mode="latency", latency=0.15, deadline=1.0, coverage_floor=0.5)

SIMPLEST: dict[str, Any] = {
    "replica_choice": "random",
    "hedge": HedgePolicy(budget=0.0),
    "admission": AdmissionPolicy(policy="fifo"),
    "dispatch": "direct",
}


@dataclass(slots=True, frozen=True)
class Leg:
    """One way to run a scenario.

    Attributes:
        name: Its name in the table.
        fields: Fields of the service's configuration.
        rates: Searches a second by firm.
        seconds: How long it is measured, after the warm-up.
        fault: Brings the fault about, at the start of the measured part; may return counts to
            show in the table.
        mend: Undoes it after the leg.
        seed: Seed of the arrivals.
    """

    name: str
    fields: dict[str, Any]
    rates: dict[str, float]
    seconds: float = 3.0
    fault: Callable[["Bed"], dict[str, int] | None] | None = None
    mend: Callable[["Bed"], None] | None = None
    seed: int = 1


@dataclass(slots=True)
class Layout:
    """Which searchers there are; two hold the same shards, so a search takes half as many calls.

    Attributes:
        shards: Shards held, by searcher.
        options: Fields of every searcher stand-in.
        proxied: Whether a fault-injecting proxy stands before each searcher.
        firms: The callers' firms.
    """

    shards: list[list[int]]
    options: dict[str, Any] = field(default_factory=dict)
    proxied: bool = False
    firms: tuple[str, ...] = ("tasfreight",)


class Bed:
    """Platform, instances and searchers that stay up while legs take turns.

    Usage:
        with Bed(layout) as bed:
            run = bed.run(leg)

    Args:
        layout: The searchers.
    """

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._stack = ExitStack()
        self._runs = 0
        self.cluster = Cluster()
        self.searchers: list[SearcherSpec] = []
        self.proxies: dict[str, StandIn] = {}

    def __enter__(self) -> "Bed":
        self._stack.enter_context(self.cluster)
        self.cluster.start_instances(INSTANCES, f"[listeners]\nthreads = {LISTENER_THREADS}\n")
        specs = self.cluster.start_searchers(SERVICE, self._layout.shards, **self._layout.options)
        self.searchers = [self._proxied(s) for s in specs] if self._layout.proxied else specs
        return self

    def __exit__(self, *details: object) -> None:
        self._stack.__exit__(*details)

    @property
    def first(self) -> StandIn:
        """The searcher that most faults strike."""
        return self.cluster.searchers[self.searchers[0].id]

    def restart_first(self) -> None:
        """Start the first searcher again, empty, at its old address."""
        spec = self.searchers[0]
        port = int(spec.address.rpartition(":")[2])
        self.cluster.start_searcher(
            SERVICE, spec.id, list(spec.shards), port=port, **self._layout.options
        )

    def run(self, leg: Leg) -> LegRun:
        """Put the leg's configuration in force, load it, and return what was seen."""
        callers = tuple(CallerSpec(firm, key_digest(_key(firm))) for firm in self._layout.firms)
        self.cluster.put_service(
            SERVICE, self.searchers, callers=callers, route_ttl=ROUTE_TTL, **leg.fields
        )
        for searcher in self._alive():
            searcher.control(reset=True)
        used = self._processor_seconds()
        begun = time.monotonic()
        start_at = begun + _START_SECONDS
        loads = [self._start_load(leg, number, start_at) for number in range(LOAD_PROCESSES)]
        time.sleep(max(0.0, start_at + WARM_UP_SECONDS - time.monotonic()))
        notes = (leg.fault(self) if leg.fault else None) or {}
        samples = [sample for load in loads for sample in self._finish(load)]
        counts = SearcherCounts.of(searcher.stats() for searcher in self._alive())
        cores = _busiest(used, self._processor_seconds()) / (time.monotonic() - begun)
        if leg.mend:
            leg.mend(self)
        measured = [s for s in samples if s.due >= WARM_UP_SECONDS]
        calls_needed = len(self._layout.shards) // 2
        return LegRun(measured, len(samples), counts, calls_needed, leg.seconds, cores, notes)

    def _processor_seconds(self) -> dict[str, float]:
        return {i: self.cluster.metric(i, "cpu_seconds_total") for i in self.cluster.instances}

    def _alive(self) -> list[Any]:
        return [s for s in self.cluster.searchers.values() if s.is_running]

    def _proxied(self, spec: SearcherSpec) -> SearcherSpec:
        proxy = self.cluster.start_proxy(f"proxy-{spec.id}", spec.address)
        self.proxies[spec.id] = proxy
        return msgspec.structs.replace(spec, address=proxy.ready["entry"])

    def _start_load(self, leg: Leg, number: int, start_at: float) -> tuple[Process, Any]:
        self._runs += 1
        streams = tuple(
            Stream(firm, _key(firm), rate / LOAD_PROCESSES) for firm, rate in leg.rates.items()
        )
        plan = LoadPlan(
            service=SERVICE,
            addresses=tuple(info["address"] for info in self.cluster.listed.values()),
            streams=streams,
            seconds=WARM_UP_SECONDS + leg.seconds,
            seed=leg.seed * LOAD_PROCESSES + number,
            run=str(self._runs),
            threads=LOAD_THREADS,
            deadline=1.0,
            spread=leg.fields.get("dispatch") == "direct",
            start_at=start_at,
        )
        path = self.cluster.folder / f"load-{self._runs}.json"
        result = path.with_suffix(".result")
        path.write_bytes(msgspec.json.encode(plan))
        arguments = ["-m", "benchmarks.loads", str(path), str(result)]
        process = Process(arguments, path.with_suffix(".log"))
        self._stack.enter_context(process)
        return process, result

    def _finish(self, load: tuple[Process, Any]) -> list[Sample]:
        process, result = load
        process.wait(_RETURN_SECONDS)
        return msgspec.json.decode(result.read_bytes(), type=list[Sample])


def _key(firm: str) -> str:
    return f"key-of-{firm}"


def _busiest(before: dict[str, float], after: dict[str, float]) -> float:
    return max(after[instance] - before[instance] for instance in after)
