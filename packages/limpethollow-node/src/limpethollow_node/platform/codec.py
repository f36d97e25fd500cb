"""Objects of the platform's store, decoded into the product's types."""

from typing import Any, TypeVar

import msgspec

from limpethollow_policy.process.crashes import CrashEvidence, CrashReport
from limpethollow_policy.process.evacuations import Evacuation
from limpethollow_policy.process.loadreports import LoadReport
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.searchers import Searcher
from limpethollow_policy.version.routes import (
    CallerLimits,
    Route,
    RoutingVersion,
    ServiceLimits,
    WeightedService,
)
from limpethollow_wire.exceptions import BadRequest

T = TypeVar("T")

_READY = "ready"
_DRAINING = "draining"
_SAFE = "safe"


class StoredQuarantine(msgspec.Struct, frozen=True):
    """A quarantined request as the store has it.

    Attributes:
        report: The evidence on it.
        released: Whether an operator wants it to run again.
    """

    report: CrashReport
    released: bool


class _Meta(msgspec.Struct, frozen=True):
    name: str
    revision: int = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object of the store; what `spec` holds depends on its kind."""

    meta: _Meta
    spec: Any = None

    @property
    def name(self) -> str:
        """Return the object's name, unique in its kind."""
        return self.meta.name

    @property
    def revision(self) -> int:
        """Return the store's revision at the object's last change."""
        return self.meta.revision


class _Entry(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    # How much longer the searcher is cold after its start.
    cold_left_ms: float = 0
    # Millisecond of the process's start: a new one under the old id is another process.
    born: int = 0


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float
    attempts: int = 1
    service: str | None = None
    traffic_split: list[_Split] | None = None
    gather: list[str] | None = None
    top_k: int = 0
    # The least share of the shards that an answer must cover; it says nothing about versions.
    min_version: float = 0.0


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_conns: int = 16
    cold_start_s: float = 0.0
    # Requests a second that a cold searcher stands; 0 where it stands any number.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


class _Quarantine(msgspec.Struct, frozen=True, rename="camel"):
    searchers: list[str]
    on_trial: list[str]
    epoch: int = 0
    released: bool = False


def decode_searcher(stored: StoredObject) -> Searcher:
    """Decode a searcher's entry.

    Raises:
        BadRequest: Another writer left something that names no searcher to use.
    """
    entry = _convert(stored, _Entry, f"The searcher's entry {stored.name!r} can't be used")
    if entry.state not in (_READY, _DRAINING):
        raise BadRequest(f"The searcher's entry {stored.name!r} has state {entry.state!r}.")
    host, _, port = entry.addr.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536 or entry.slots < 1:
        raise BadRequest(f"The searcher's entry {stored.name!r} has no usable address or slots.")
    return Searcher(
        id=stored.name,
        service=entry.service,
        address=entry.addr,
        failure_domain=entry.zone,
        slots=entry.slots,
        draining=entry.state == _DRAINING,
        incarnation=entry.born,
        cold_left=max(0.0, entry.cold_left_ms / 1000),
    )


def decode_version(stored: StoredObject) -> RoutingVersion:
    """Decode the operator's configuration.

    Raises:
        BadRequest: It can't be read.
    """
    found = _convert(stored, _Configuration, "The configuration can't be read")
    return RoutingVersion(
        number=found.version,
        routes=tuple(_decode_route(route) for route in found.routes),
        services={service.name: _decode_limits(service) for service in found.services},
        limits=CallerLimits(
            header_bytes=found.limits.max_header_bytes,
            body_bytes=found.limits.max_body_bytes,
            header_timeout=found.limits.header_timeout_ms / 1000,
            idle_timeout=found.limits.idle_timeout_ms / 1000,
        ),
    )


def decode_load(value: bytes) -> LoadReport:
    """Decode a searcher's word on its load: running, waiting, slots and, at most, the slowdown.

    Raises:
        BadRequest: It isn't three or four whole numbers, or there are no slots.
    """
    fields = [field.strip() for field in value.split(b",")]
    if len(fields) not in (3, 4) or not all(field.isdigit() for field in fields):
        raise BadRequest(f"The load {value!r} is no list of three or four numbers.")
    load = LoadReport(*map(int, fields))
    if load.slots < 1:
        raise BadRequest(f"The load {value!r} has no slots.")
    return load


def decode_instance(stored: StoredObject) -> Instance:
    """Decode an instance's own object.

    Raises:
        BadRequest: It can't be read.
    """
    instance = _convert(stored, Instance, f"The instance {stored.name!r} can't be read")
    if instance.name != stored.name:
        raise BadRequest(f"The instance {stored.name!r} calls itself {instance.name!r}.")
    return instance


def decode_evacuation(stored: StoredObject) -> Evacuation:
    """Decode the operator's order to evacuate a failure domain: its name says which."""
    return Evacuation(stored.name)


def decode_quarantine(stored: StoredObject) -> StoredQuarantine:
    """Decode a quarantined request.

    Raises:
        BadRequest: It can't be read.
    """
    found = _convert(stored, _Quarantine, f"The request {stored.name!r} can't be read")
    evidence = CrashEvidence(frozenset(found.searchers), frozenset(found.on_trial), found.epoch)
    return StoredQuarantine(CrashReport(stored.name, evidence), found.released)


def encode_quarantine(report: CrashReport) -> Any:
    """Return what the object of a quarantined request holds."""
    evidence = report.evidence
    searchers, on_trial = sorted(evidence.searchers), sorted(evidence.on_trial)
    return msgspec.to_builtins(_Quarantine(searchers, on_trial, evidence.epoch))


def _convert(stored: StoredObject, kind: type[T], mistake: str) -> T:
    try:
        return msgspec.convert(stored.spec, kind)
    except msgspec.MsgspecError as error:
        raise BadRequest(f"{mistake}: {error}.") from None


def _decode_limits(service: _Service) -> ServiceLimits:
    return ServiceLimits(
        connections=service.max_conns,
        cold_seconds=service.cold_start_s,
        cold_rate=service.cold_per_s,
    )


def _decode_route(route: _Route) -> Route:
    targets: tuple[WeightedService, ...] = ()
    if route.traffic_split:
        targets = tuple(WeightedService(part.service, part.weight) for part in route.traffic_split)
    elif route.service is not None:
        targets = (WeightedService(route.service),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        idempotent=route.type == _SAFE,
        timeout=route.timeout_ms / 1000,
        objective=route.slo_ms / 1000,
        attempts=max(1, route.attempts),
        targets=targets,
        shards=tuple(route.gather or ()),
        top=route.top_k,
        floor=route.min_version,
    )
