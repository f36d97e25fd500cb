"""Memory and bytes of the configuration and of the list, at several sizes."""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from benchmarks.registry import benchmark
from limpethollow_policy.process.members import WHOLE_LIST, Membership
from limpethollow_policy.version.configurations import Configuration
from limpethollow_wire.codecs import convert, from_cbor, to_cbor
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.peers import Buckets, ListChange, Records, SyncState
from limpethollow_wire.services import SearcherSpec, ServiceRecord, ServiceSpec

_TOMBSTONES = 1000


@benchmark("capacity-services")
def services() -> list[dict[str, Any]]:
    """What the records of so many services take, with 420 searchers each."""
    return [_services_row(count) for count in (10, 100, 310)]


def _services_row(count: int) -> dict[str, Any]:
    frames = [to_cbor(Records((_record(f"service-{n}", 420),))) for n in range(count)]
    configuration = Configuration()

    def load() -> None:
        for frame in frames:
            configuration.merge(convert(from_cbor(frame), Records).records)

    began = time.process_time()
    megabytes = _held(load) / 1e6
    took = time.process_time() - began
    buckets = len(to_cbor(Buckets(configuration.bucket_hashes)))
    state = SyncState("instance-1", configuration.fingerprint, 10**6, 10**6, True)
    return {
        "services": count,
        "searchers": count * 420,
        "MB": megabytes,
        "load ms/service (traced)": took * 1000 / count,
        "record bytes": len(frames[0]),
        "state bytes": len(to_cbor(state)),
        "buckets bytes": buckets,
    }


@benchmark("capacity-records")
def records() -> list[dict[str, Any]]:
    """One record by its number of searchers: bytes, and time to read and merge it."""
    rows = []
    for searchers in (2, 20, 140, 420):
        frame = to_cbor(Records((_record("service", searchers),)))
        began = time.process_time()
        for _ in range(100):
            Configuration().merge(convert(from_cbor(frame), Records).records)
        took = (time.process_time() - began) / 100
        rows.append({"searchers": searchers, "bytes": len(frame), "read+merge ms": took * 1000})
    return rows


@benchmark("capacity-tombstones")
def tombstones() -> list[dict[str, Any]]:
    """Bytes of memory for each deleted service, which is never forgotten."""
    rows = []
    for count in (_TOMBSTONES, 10 * _TOMBSTONES, 50 * _TOMBSTONES):
        configuration = Configuration()
        found = [ServiceRecord(f"service-{n}", n, None, f"{n:024x}") for n in range(1, 1 + count)]
        held = _held(lambda c=configuration, f=found: c.merge(f))
        own = _held(
            lambda n=count: [ServiceRecord(f"s-{i}", i, None, f"{i:024x}") for i in range(n)]
        )
        rows.append({"tombstones": count, "bytes each": (held + own) / count})
    return rows


@benchmark("capacity-members")
def members() -> list[dict[str, Any]]:
    """Memory of the list with evidence on all, and bytes of the whole list and of one change."""
    return [_members_row(count) for count in (800, 1600, 3200)]


def _members_row(count: int) -> dict[str, Any]:
    view = Membership("instance-0")

    def load() -> None:
        view.listed(ListChange(WHOLE_LIST, 1, _infos(count)), 0.0)
        for number in range(count):
            view.heard(f"instance-{number}", f"{number:08x}", False, 1.0)

    held = _held(load)
    whole = view.changes_since(WHOLE_LIST)
    view.listed(ListChange(1, 2, _infos(1)[:1], ("instance-7",)), 1.0)
    began = time.process_time()
    for revision in range(3, 103):
        view.listed(ListChange(revision - 1, revision, (_info(revision, "leaving"),)), 1.0)
    took = (time.process_time() - began) / 100
    return {
        "instances": count,
        "MB": held / 1e6,
        "whole list bytes": len(to_cbor(whole)),
        "change bytes": len(to_cbor(view.changes_since(101))),
        "ms/change": took * 1000,
    }


def _infos(count: int) -> tuple[InstanceInfo, ...]:
    return tuple(_info(number) for number in range(count))


def _info(number: int, state: str = "live") -> InstanceInfo:
    return InstanceInfo(
        id=f"instance-{number}",
        failure_domain=f"domain-{number % 36}",
        address=f"10.1.{number // 250}.{number % 250}:8080",
        peer_address=f"10.1.{number // 250}.{number % 250}:8082",
        operator_address=f"10.1.{number // 250}.{number % 250}:8081",
        state=state,
    )


def _record(name: str, searchers: int) -> ServiceRecord:
    held = tuple(
        SearcherSpec(f"{name}-s{n}", f"10.2.{n // 250}.{n % 250}:8080", (n,), f"domain-{n % 36}")
        for n in range(searchers)
    )
    return ServiceRecord(name, 10**6, ServiceSpec(name, searchers, held), "f" * 24)


def _held(load: Callable[[], Any]) -> int:
    """Return the bytes that are held after a call and were not before."""
    tracemalloc.start()
    try:
        kept = load()
        held, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return held
