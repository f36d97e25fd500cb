"""What a booking costs, against the same path without tokens."""

import secrets
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

from benchmarks.registry import benchmark
from limpethollow import Session
from limpethollow_policy.request.booking_events import DispatchAnswered, SlotGranted
from limpethollow_policy.request.bookings import BookingLedger
from limpethollow_wire.bookings import (
    BookingRequest,
    BookingToken,
    ForwardedBooking,
    SearcherBookingReply,
)
from tests.support.clusters import CALLER_KEY, Cluster
from tests.support.processes import post
from tests.system.bookings.bench import OneAddress

ROUNDS = 400
ENTRIES = 5_000
SERVICE = "booking-desk"


@benchmark("bookings")
def bookings() -> Sequence[dict[str, Any]]:
    """Measure all ways in turn, round by round, so that load of the machine hits each alike."""
    with Cluster() as cluster:
        ids = cluster.start_instances(2)
        searchers = cluster.start_searchers(SERVICE, [[0]], slots=4)
        cluster.put_service(SERVICE, searchers)
        ways = _ways(cluster, ids, searchers[0].address)
        seconds: dict[str, list[float]] = {name: [] for name in ways}
        calls = dict.fromkeys(ways, 0)
        platform = dict.fromkeys(ways, 0)
        for number in range(ROUNDS):
            for name, run in ways.items():
                before = _calls(cluster) if number == ROUNDS - 1 else None
                started = time.perf_counter()
                run()
                seconds[name].append(time.perf_counter() - started)
                if before is not None:
                    after = _calls(cluster)
                    calls[name], platform[name] = after[0] - before[0], after[1] - before[1]
    return [*_rows(seconds, calls, platform), *_decisions()]


def _ways(cluster: Cluster, ids: list[str], searcher: str) -> dict[str, Callable[[], object]]:
    first, second = (_session(cluster, instance) for instance in ids)
    route = first.route(SERVICE)
    prefix = next(i.token_prefix for i in route.instances if i.id == ids[0])

    def token() -> str:
        return f"{prefix}.0.{secrets.token_hex(8)}"

    def direct() -> object:
        body = {"token": token(), "service": SERVICE, "shard": 0, "booking": {}, "timeout": 1.0}
        return post(searcher, "/book", body)

    return {
        "booking at the searcher itself": direct,
        "search of one shard, one instance": lambda: first.search(SERVICE, {"q": token()}),
        "booking, one instance": lambda: first.book(SERVICE, 0, {}, token=token()),
        "booking, forwarded": lambda: second.book(SERVICE, 0, {}, token=token()),
    }


def _session(cluster: Cluster, instance: str) -> Session:
    address = cluster.listed[instance]["address"]
    return Session(address, CALLER_KEY, adapter=OneAddress(address))


def _calls(cluster: Cluster) -> tuple[int, int]:
    counts = next(iter(cluster.searchers.values())).stats()["counts"]
    to_searcher = counts.get("bookings", 0) + counts.get("searches", 0)
    return to_searcher, cluster.platform.stats()["total"]


def _rows(
    seconds: dict[str, list[float]], calls: dict[str, int], platform: dict[str, int]
) -> list[dict[str, Any]]:
    base = statistics.median(seconds["search of one shard, one instance"])
    return [
        {
            "way": name,
            "median ms": statistics.median(taken) * 1_000,
            "p99 ms": sorted(taken)[int(len(taken) * 0.99)] * 1_000,
            "ratio to search": statistics.median(taken) / base,
            "searcher calls": calls[name],
            "platform calls": platform[name],
        }
        for name, taken in seconds.items()
    ]


def _decisions() -> list[dict[str, Any]]:
    """Measure the decisions alone: ledger, run and fingerprint of one booking."""
    tracemalloc.start()
    ledger = BookingLedger("n0", "run", 0.0)
    for _ in range(ENTRIES):
        _decide(ledger)
    bytes_each = tracemalloc.get_traced_memory()[0] / ENTRIES
    tracemalloc.stop()
    ledger = BookingLedger("n0", "run", 0.0)
    started = time.perf_counter()
    for _ in range(ENTRIES):
        _decide(ledger)
    taken = (time.perf_counter() - started) / ENTRIES
    return [
        {"way": "decisions alone", "median ms": taken * 1_000},
        {"way": f"memory of an entry: {bytes_each:.0f} bytes"},
    ]


def _decide(ledger: BookingLedger) -> None:
    token = BookingToken("n0", "run", 0, "p1", 0, secrets.token_hex(8))
    forwarded = ForwardedBooking(SERVICE, "firm", BookingRequest(str(token), 0, {"bay": 1}), 1.0)
    ledger.offer(token, forwarded.owner, forwarded.fingerprint, 1.0, 0.0)
    entry = ledger.entry(token)
    assert entry is not None and entry.run is not None
    entry.run.start(0.0)
    entry.run.handle(SlotGranted(1, "s0", "p1"), 0.0)
    reply = SearcherBookingReply(str(token), "done", {"booked": {"bay": 1}}, 2)
    entry.run.handle(DispatchAnswered(1, reply), 0.0)
    ledger.settle(token)
