"""An open-loop load generator: `python -m benchmarks.loads PLAN RESULT`.

Arrivals are drawn beforehand from a Poisson process with a fixed seed, and each latency is counted
from the second its search was due. A system that stalls is therefore charged for every search that
should have been sent meanwhile: coordinated omission can't occur. No two queries are the same, so
that no answer is taken from another's.
"""

import json
import queue
import sys
import threading
import time
from pathlib import Path
from random import Random

import msgspec

from benchmarks.loads_checks import label_of
from limpethollow import Session
from limpethollow.adapters import HttpAdapter
from limpethollow.models import Route
from limpethollow_wire.exceptions import LimpethollowError

_SCATTERED_SEED = 7919


class Stream(msgspec.Struct, frozen=True):
    """One firm's searches.

    Attributes:
        firm: The firm.
        key: Its key.
        rate: Searches a second.
    """

    firm: str
    key: str
    rate: float


class LoadPlan(msgspec.Struct, frozen=True):
    """What one load process sends.

    Attributes:
        service: Name of the service.
        addresses: The instances to ask for routes.
        streams: The firms' searches.
        seconds: How long to send.
        seed: Seed of the arrivals.
        run: Makes the queries unlike those of any other run.
        threads: Searches that may be open at once.
        deadline: Seconds each caller waits.
        spread: Whether threads spread over all instances and not only ask the owner.
        start_at: Monotonic second of the first possible arrival.
    """

    service: str
    addresses: tuple[str, ...]
    streams: tuple[Stream, ...]
    seconds: float
    seed: int
    run: str
    threads: int
    deadline: float
    spread: bool
    start_at: float


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """What became of one search.

    Attributes:
        firm: Whose it was.
        due: Seconds after the start at which it was due.
        latency: Seconds from then to its answer.
        code: `answered`, or the code of the typed error.
        label: `true`, `mislabelled` or `mixed`; empty without an answer.
        coverage: Share of the shards covered.
        retry_after: What a refusal said, 0 where it said nothing.
        lag: Seconds from when it was due until it was sent; high where the generator is too slow.
    """

    firm: str
    due: float
    latency: float
    code: str
    label: str = ""
    coverage: float = 0.0
    retry_after: float = 0.0
    lag: float = 0.0


class RoutedSession(Session):
    """A session that shares its route with others and keeps a connection of its own.

    Args:
        router: The session that keeps the route.
        adapter: The transport.
        key: The firm's key.
        turn: Turns the order of the instances, as callers of a system without owners would; None
            leaves the owner first.
    """

    def __init__(self, router: Session, adapter: HttpAdapter, key: str, turn: int | None) -> None:
        super().__init__([], key, adapter=adapter)
        self._router = router
        self._turn = turn

    def route(self, service: str) -> Route:
        """Return the shared route, turned where that is wanted."""
        route = self._router.route(service)
        if self._turn is None:
            return route
        instances = sorted(route.instances, key=lambda instance: instance.id)
        turn = self._turn % len(instances)
        return msgspec.structs.replace(route, instances=(*instances[turn:], *instances[:turn]))

    def forget(self, service: str) -> None:
        """Ask for the route anew, for all."""
        self._router.forget(service)


def arrivals(streams: tuple[Stream, ...], seconds: float, seed: int) -> list[tuple[float, Stream]]:
    """Return when each search is due, earliest first."""
    due: list[tuple[float, Stream]] = []
    for number, stream in enumerate(streams):
        rng = Random(seed * _SCATTERED_SEED + number)
        when = rng.expovariate(stream.rate)
        while when < seconds:
            due.append((when, stream))
            when += rng.expovariate(stream.rate)
    return sorted(due, key=lambda item: item[0])


class Generator:
    """Sends one plan's searches and keeps what became of them.

    Args:
        plan: The plan.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._due: queue.SimpleQueue[tuple[float, Stream] | None] = queue.SimpleQueue()
        self._samples: list[Sample] = []
        self._routers = {
            stream.firm: (Session(list(plan.addresses), stream.key), stream.key)
            for stream in plan.streams
        }

    def run(self) -> list[Sample]:
        """Send everything and wait for the last answer."""
        threads = [
            threading.Thread(target=self._work, args=[number], daemon=True)
            for number in range(self._plan.threads)
        ]
        for thread in threads:
            thread.start()
        self._release()
        for thread in threads:
            thread.join()
        return self._samples

    def _release(self) -> None:
        for when, stream in arrivals(self._plan.streams, self._plan.seconds, self._plan.seed):
            time.sleep(max(0.0, self._plan.start_at + when - time.monotonic()))
            self._due.put((when, stream))
        for _ in range(self._plan.threads):
            self._due.put(None)

    def _work(self, number: int) -> None:
        adapter = HttpAdapter()
        turn = self._plan.seed + number if self._plan.spread else None
        sessions = {
            firm: RoutedSession(router, adapter, key, turn)
            for firm, (router, key) in self._routers.items()
        }
        while (item := self._due.get()) is not None:
            when, stream = item
            self._samples.append(self._search(sessions[stream.firm], when, stream))
        adapter.close()

    def _search(self, session: Session, when: float, stream: Stream) -> Sample:
        lag = self._since(when)
        try:
            query = {"driver": f"{self._plan.run}-{when}"}
            answer = session.search(self._plan.service, query, deadline=self._plan.deadline)
        except LimpethollowError as error:
            retry_after = error.retry_after or 0.0
            latency = self._since(when)
            return Sample(stream.firm, when, latency, error.code, retry_after=retry_after, lag=lag)
        latency = self._since(when)
        label, share = label_of(answer), answer.coverage.share
        return Sample(stream.firm, when, latency, "answered", label, share, lag=lag)

    def _since(self, when: float) -> float:
        return time.monotonic() - self._plan.start_at - when


def main() -> None:
    """Read the plan, say that all is ready, send, and write the samples."""
    plan_path, result_path = map(Path, sys.argv[1:])
    plan = msgspec.json.decode(plan_path.read_bytes(), type=LoadPlan)
    print(json.dumps({"ready": {}}), flush=True)
    samples = Generator(plan).run()
    result_path.write_bytes(msgspec.json.encode(samples))


if __name__ == "__main__":
    main()
