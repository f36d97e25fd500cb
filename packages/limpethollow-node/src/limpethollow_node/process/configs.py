"""Synchronizes this instance's configuration with the platform and with peers."""

import threading
import time
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from limpethollow_node.process import events
from limpethollow_node.process.members import MembershipTracker
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.platforms import ObjectList, PlatformClient, PlatformObject
from limpethollow_policy.process.backoffs import Backoff
from limpethollow_policy.process.freshness import Freshness, RefuseWork
from limpethollow_policy.version.configurations import Configuration
from limpethollow_wire.exceptions import (
    BadRequest,
    LimpethollowError,
    Unavailable,
    UnknownService,
)
from limpethollow_wire.peers import SyncState, VersionDigest
from limpethollow_wire.services import ServiceRecord, ServiceSpec

SERVICE_KIND = "service"

_INITIAL_BACKOFF = 0.1
_MAX_BACKOFF = 5.0
_IDLE_POLL = 0.5
_LOAD_POLL = 0.05
_NO_WAIT = 0.0

Listener = Callable[[tuple[ServiceRecord, ...]], None]


class _StoredRecord(msgspec.Struct, frozen=True):
    spec: ServiceSpec | None = None
    write_id: str = ""


def decode_record(stored: PlatformObject) -> ServiceRecord:
    """Decode the service record stored in a platform object.

    Raises:
        BadRequest: It is invalid.
    """
    content = stored.decode(_StoredRecord)
    return ServiceRecord(stored.name, stored.version, content.spec, content.write_id)


class ConfigManager:
    """Merges service records from the platform and peers and notifies listeners of changes.

    Args:
        platform: Client of the platform.
        members: Known instances; also decides whether this instance watches the platform.
        metrics: Registry for counters.
        rng: Random source for backoff jitter.
    """

    def __init__(
        self, platform: PlatformClient, members: MembershipTracker, metrics: Metrics, rng: Random
    ) -> None:
        self._platform = platform
        self._members = members
        self._metrics = metrics
        self._lock = threading.Lock()
        self._configuration = Configuration()
        self._freshness = Freshness(time.monotonic())
        self._revision = 0
        self._listeners: list[Listener] = []
        self._backoff = Backoff(_INITIAL_BACKOFF, _MAX_BACKOFF, rng)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="configs", daemon=True)

    def __enter__(self) -> "ConfigManager":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()

    @property
    def is_loaded(self) -> bool:
        """Whether the configuration was loaded; only then is a missing record a missing service."""
        return self._freshness.is_loaded

    @property
    def is_refusing(self) -> bool:
        """Whether new work is refused because the configuration in force can't be confirmed."""
        with self._lock:
            return self._refusal() is not None

    @property
    def wants_probe(self) -> bool:
        """Whether peers have been silent for so long that the platform should be probed."""
        with self._lock:
            return self._freshness.wants_probe(time.monotonic())

    @property
    def digest(self) -> dict[str, int]:
        """Versions in force by service name, tombstones included."""
        with self._lock:
            return self._configuration.digest

    @property
    def records(self) -> tuple[ServiceRecord, ...]:
        """All records in force, tombstones included."""
        with self._lock:
            return self._configuration.records

    @property
    def bucket_hashes(self) -> dict[int, int]:
        """Hashes of the record buckets, by bucket number."""
        with self._lock:
            return self._configuration.bucket_hashes

    def listen(self, listener: Listener) -> None:
        """Register a callable that is called with records that come into force."""
        self._listeners.append(listener)

    def record(self, service: str) -> ServiceRecord | None:
        """Return the record in force of a service, which may be a tombstone."""
        with self._lock:
            return self._configuration.get(service)

    def require(self, service: str) -> ServiceRecord:
        """Return the record of an existing service.

        Raises:
            UnknownService: The service was deleted or never existed.
            Unavailable: The record is missing and the configuration is not loaded yet.
        """
        record = self.record(service)
        if record is not None and record.spec is not None:
            return record
        if not self.is_loaded:
            self.require_current()
        raise UnknownService(f"Service '{service}' does not exist.")

    def admit(self, service: str) -> ServiceRecord:
        """Return the record of a service, after checking that this instance may accept new work.

        Raises:
            UnknownService: The service was deleted or never existed.
            Unavailable: This instance can't confirm which configuration is in force.
        """
        self.require_current()
        return self.require(service)

    def require_current(self) -> None:
        """Raise an error if this instance can't confirm which configuration is in force.

        Raises:
            Unavailable: Neither a peer nor the platform has answered recently.
        """
        with self._lock:
            refusal = self._refusal()
        if refusal is None:
            return
        self._metrics.count("work_refused", refusal.reason)
        raise Unavailable(
            "The instance can't confirm which configuration is in force.",
            remedy="Use another instance, or retry after retry_after seconds.",
            retry_after=refusal.retry_after,
        )

    def merge(self, records: Iterable[ServiceRecord]) -> tuple[ServiceRecord, ...]:
        """Merge records from any source and return those that came into force."""
        with self._lock:
            evacuated = {r.name: _evacuated_domains(r) for r in self._configuration.records}
            applied = self._configuration.merge(records)
        if applied:
            events.RECORDS_APPLIED.log(versions={r.name: r.version for r in applied})
            for record in applied:
                _log_evacuations(record, evacuated.get(record.name, frozenset()))
            for listener in self._listeners:
                listener(applied)
        return applied

    def state(self, relay: bool = False) -> SyncState:
        """Return the synchronization state of this instance for comparison with a peer's."""
        members = self._members.revision
        with self._lock:
            return SyncState(
                instance=self._members.own_id,
                fingerprint=self._configuration.fingerprint,
                revision=self._revision,
                members=members,
                loaded=self._freshness.is_loaded,
                relay=relay,
            )

    def digest_of_differing(self, theirs: dict[int, int]) -> VersionDigest:
        """Return the local versions in all buckets whose hash differs from the peer's."""
        with self._lock:
            buckets = self._configuration.differing_buckets(theirs)
            return VersionDigest(self._configuration.versions_in(buckets), buckets)

    def lacking(self, versions: dict[str, int]) -> tuple[str, ...]:
        """Return the names of services for which a peer's digest has a newer version."""
        with self._lock:
            return self._configuration.lacking(versions)

    def newer_than(self, digest: VersionDigest) -> tuple[str, ...]:
        """Return the names of services for which a peer's digest has an older version or none."""
        with self._lock:
            return self._configuration.newer_than(digest.versions, digest.buckets)

    def named(self, names: Iterable[str]) -> tuple[ServiceRecord, ...]:
        """Return the records of the named services that exist here, tombstones included."""
        with self._lock:
            found = [self._configuration.get(name) for name in names]
        return tuple(record for record in found if record is not None)

    def confirmed(self, begun_at: float, complete_to: int) -> None:
        """Record that the platform, or a peer with a loaded configuration, answered a request.

        Args:
            begun_at: Monotonic time at which the request started.
            complete_to: Platform revision up to which all records are known.
        """
        with self._lock:
            self._freshness.confirmed(begun_at)
            self._freshness.loaded()
            self._revision = max(self._revision, complete_to)

    def probe(self) -> None:
        """Fetch changes from the platform without waiting, which also tests whether it answers."""
        self._metrics.count("platform_probes")
        try:
            if self.is_loaded:
                self._fetch(lambda: self._platform.watch(SERVICE_KIND, self._revision, _NO_WAIT))
            else:
                self._fetch(lambda: self._platform.list(SERVICE_KIND))
        except LimpethollowError:
            return

    def _refusal(self) -> RefuseWork | None:
        return self._freshness.refusal(self._members.has_peers, time.monotonic())

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self.is_loaded and not self._members.should_load():
                self._stopped.wait(_LOAD_POLL)
            elif self.is_loaded and not self._members.should_watch():
                self._stopped.wait(_IDLE_POLL)
            else:
                self._update_once()

    def _update_once(self) -> None:
        try:
            if self.is_loaded:
                self._fetch(lambda: self._platform.watch(SERVICE_KIND, self._revision))
            else:
                self._fetch(lambda: self._platform.list(SERVICE_KIND))
        except LimpethollowError:
            self._stopped.wait(self._backoff.failed())
            return
        except Exception as error:
            # If this thread ended, the instance would keep a stale configuration.
            events.UNEXPECTED_ERROR.log(where="configs", error=repr(error), exc_info=True)
            self._stopped.wait(self._backoff.failed())
            return
        self._backoff.succeeded()

    def _fetch(self, call: Callable[[], ObjectList]) -> None:
        begun_at = time.monotonic()
        answer = call()
        self.merge(self._decode_records(answer.objects))
        self.confirmed(begun_at, answer.revision)

    def _decode_records(self, objects: Iterable[PlatformObject]) -> list[ServiceRecord]:
        """Decode the records; an invalid one keeps its old version and doesn't block others."""
        records = []
        for stored in objects:
            try:
                records.append(decode_record(stored))
            except (BadRequest, RecursionError) as error:
                self._metrics.count("records_unreadable", "platform")
                events.RECORD_UNREADABLE.log(service=stored.name, error=str(error))
        return records


def _evacuated_domains(record: ServiceRecord) -> frozenset[str]:
    return frozenset(record.spec.evacuated) if record.spec else frozenset()


def _log_evacuations(record: ServiceRecord, before: frozenset[str]) -> None:
    after = _evacuated_domains(record)
    for domain in sorted(after - before):
        events.DOMAIN_EVACUATED.log(domain=domain, service=record.name, version=record.version)
    for domain in sorted(before - after):
        events.DOMAIN_RESTORED.log(domain=domain, service=record.name, version=record.version)
