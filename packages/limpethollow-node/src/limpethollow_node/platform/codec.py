"""Decodes objects of the platform's store into the product's types."""

import codecs
from typing import Annotated, Any, TypeVar

import msgspec

from limpethollow_policy.process.crashes import MAX_SEARCHERS, CrashEvidence, CrashReport
from limpethollow_policy.process.entries import (
    MAX_INTEGER,
    MAX_NAME_CHARACTERS,
    invalid_instance_field,
    invalid_searcher_field,
    is_name,
)
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
from limpethollow_policy.version.tenants import Tenant, key_digest
from limpethollow_wire.exceptions import BadRequest

T = TypeVar("T")

_READY = "ready"
_DRAINING = "draining"
_SAFE = "safe"
_MAX_LOAD_DIGITS = 9
_SHOWN_CHARACTERS = 100


class StoredQuarantine(msgspec.Struct, frozen=True):
    """A quarantined request as stored.

    Attributes:
        report: The crash evidence against the request.
        released: Whether an operator has allowed it to run again.
    """

    report: CrashReport
    released: bool


class ObjectMeta(msgspec.Struct, frozen=True):
    """What the store keeps about each object, whatever its kind."""

    name: str
    revision: int = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object of the store.

    Attributes:
        meta: What the store keeps about it.
        spec: Its content as JSON text, `null` if it has none that can be read. It is decoded into
            what its kind holds, and only if it is needed: another writer's may take 20 times the
            memory of its text when it is decoded into plain values. The text is part of the
            store's answer, which stays in memory as long as this object does.
    """

    meta: ObjectMeta
    spec: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def name(self) -> str:
        """Return the object's name, unique in its kind."""
        return self.meta.name

    @property
    def revision(self) -> int:
        """Return the store's revision at the object's last change."""
        return self.meta.revision


# Larger ones overflow in computations and can't be written to log lines.
_Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


class _SearcherSpec(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    # Remaining time in which the searcher is cold after its start.
    cold_left_ms: float = 0
    # Start time of the process in milliseconds; distinguishes processes that reuse an id.
    born: int = 0


class _SplitTarget(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _RouteSpec(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float
    attempts: _Integer = 1
    service: str | None = None
    traffic_split: list[_SplitTarget] | None = None
    gather: list[str] | None = None
    top_k: _Integer = 0
    # Minimum share of the shards that an answer must cover; despite its name, not a version.
    min_version: float = 0.0
    public: bool = False
    priority: _Integer = 0
    allowed_regions: list[str] | None = None


class _ServiceSpec(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_conns: _Integer = 16
    cold_start_s: float = 0.0
    # Requests per second that a cold searcher can handle; 0 means no limit.
    cold_per_s: float = 0.0


class _TenantSpec(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: _Integer | None = None
    rate_per_s: float | None = None
    burst: float | None = None
    allowed_regions: list[str] | None = None


class _LimitsSpec(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: _Integer = 16 * 1024
    max_body_bytes: _Integer = 1024 * 1024
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _ConfigurationSpec(msgspec.Struct, frozen=True):
    version: _Integer
    routes: list[_RouteSpec]
    services: list[_ServiceSpec]
    limits: _LimitsSpec = _LimitsSpec()
    tenants: list[_TenantSpec] | None = None


# A searcher's run is named by its id and the start of its process.
_Run = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS + 21)]
_Runs = Annotated[list[_Run], msgspec.Meta(max_length=MAX_SEARCHERS)]


class _QuarantineSpec(msgspec.Struct, frozen=True, rename="camel"):
    searchers: _Runs
    on_trial: _Runs
    epoch: _Integer = 0
    released: bool = False


def decode_searcher(stored: StoredObject) -> Searcher:
    """Decode a searcher's entry.

    Raises:
        BadRequest: The entry has a missing or invalid field.
    """
    entry = _convert(stored, _SearcherSpec, f"Invalid searcher entry {_shown(stored.name)}")
    if entry.state not in (_READY, _DRAINING):
        raise BadRequest(
            f"The searcher entry {_shown(stored.name)} has the unknown state {_shown(entry.state)}."
        )
    searcher = Searcher(
        id=stored.name,
        service=entry.service,
        address=entry.addr,
        failure_domain=entry.zone,
        slots=entry.slots,
        draining=entry.state == _DRAINING,
        incarnation=entry.born,
        cold_left=max(0.0, entry.cold_left_ms / 1000),
    )
    invalid = invalid_searcher_field(searcher)
    if invalid is not None:
        raise BadRequest(f"The searcher entry {_shown(stored.name)} has an invalid {invalid}.")
    return searcher


def decode_version(stored: StoredObject) -> RoutingVersion:
    """Decode the operator's configuration.

    Raises:
        BadRequest: A field is missing or invalid.
    """
    decoded = _convert(stored, _ConfigurationSpec, "Invalid configuration")
    return RoutingVersion(
        number=decoded.version,
        routes=tuple(_decode_route(route) for route in decoded.routes),
        services={service.name: _decode_service_limits(service) for service in decoded.services},
        limits=CallerLimits(
            header_bytes=decoded.limits.max_header_bytes,
            body_bytes=decoded.limits.max_body_bytes,
            header_timeout=decoded.limits.header_timeout_ms / 1000,
            idle_timeout=decoded.limits.idle_timeout_ms / 1000,
        ),
        tenants=tuple(_decode_tenant(tenant) for tenant in decoded.tenants or ()),
    )


def decode_load(value: bytes) -> LoadReport:
    """Decode a searcher's load report: running, waiting, slots and, optionally, the slowdown.

    Raises:
        BadRequest: The value isn't three or four whole numbers, or the slot count is 0.
    """
    fields = [field.strip() for field in value.split(b",")]
    are_numbers = all(field.isdigit() and len(field) <= _MAX_LOAD_DIGITS for field in fields)
    if len(fields) not in (3, 4) or not are_numbers:
        raise BadRequest(
            f"The load report {value[:100]!r} is not a list of three or four whole numbers of at "
            f"most {_MAX_LOAD_DIGITS} digits."
        )
    load = LoadReport(*map(int, fields))
    if load.slots < 1:
        raise BadRequest(f"The load report {value!r} has a slot count of 0.")
    return load


def decode_instance(stored: StoredObject) -> Instance:
    """Decode an instance's object.

    Raises:
        BadRequest: A field is missing or invalid.
    """
    instance = _convert(stored, Instance, f"Invalid instance {_shown(stored.name)}")
    if instance.name != stored.name:
        raise BadRequest(
            f"The object of instance {_shown(stored.name)} has the name {_shown(instance.name)} in "
            "its spec."
        )
    invalid = invalid_instance_field(instance)
    if invalid is not None:
        raise BadRequest(f"The instance {_shown(stored.name)} has an invalid {invalid}.")
    return instance


def decode_evacuation(stored: StoredObject) -> Evacuation:
    """Decode an operator's evacuation; the object's name is that of the failure domain."""
    return Evacuation(stored.name)


def decode_quarantine(stored: StoredObject) -> StoredQuarantine:
    """Decode a quarantined request.

    Raises:
        BadRequest: A field is missing or invalid.
    """
    decoded = _convert(
        stored, _QuarantineSpec, f"Invalid quarantined request {_shown(stored.name)}"
    )
    if not is_name(stored.name):
        raise BadRequest(f"The name {_shown(stored.name)} is not the fingerprint of a request.")
    evidence = CrashEvidence(
        frozenset(decoded.searchers), frozenset(decoded.on_trial), decoded.epoch
    )
    return StoredQuarantine(CrashReport(stored.name, evidence), decoded.released)


def encode_quarantine(report: CrashReport) -> Any:
    """Return the `spec` of a quarantined request's object."""
    evidence = report.evidence
    searchers, on_trial = sorted(evidence.searchers), sorted(evidence.on_trial)
    return msgspec.to_builtins(_QuarantineSpec(searchers, on_trial, evidence.epoch))


def _shown(text: str) -> str:
    """Return the beginning of a text that may be large, as it is shown in errors."""
    return repr(text[:_SHOWN_CHARACTERS])


def _convert(stored: StoredObject, kind: type[T], message: str) -> T:
    try:
        # The decoder doesn't check the fields that it skips.
        codecs.utf_8_decode(stored.spec, "strict", True)
        return msgspec.json.decode(stored.spec, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequest(f"{message}: {error}.") from None


def _decode_service_limits(service: _ServiceSpec) -> ServiceLimits:
    return ServiceLimits(
        connections=service.max_conns,
        cold_seconds=service.cold_start_s,
        cold_rate=service.cold_per_s,
    )


def _decode_tenant(tenant: _TenantSpec) -> Tenant:
    if not tenant.name or not tenant.name.isprintable():
        # It is the value of a header in requests to searchers.
        raise BadRequest(
            f"Invalid configuration: the tenant name {tenant.name!r} is not printable."
        )
    return Tenant(
        name=tenant.name,
        keys=tuple(key_digest(key.encode()) for key in tenant.api_keys),
        priority=tenant.priority,
        rate=max(0.0, tenant.rate_per_s or 0.0),
        burst=max(0.0, tenant.burst or 0.0),
        homes=tuple(tenant.allowed_regions or ()),
    )


def _decode_route(route: _RouteSpec) -> Route:
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
        public=route.public,
        priority=route.priority,
        homes=tuple(route.allowed_regions or ()),
    )
