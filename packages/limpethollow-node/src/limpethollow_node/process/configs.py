"""Keeps the configuration in force at this instance current."""

import threading
from collections.abc import Callable
from random import Random

from limpethollow_node.process import events
from limpethollow_node.process.platforms import PlatformClient, PlatformObject
from limpethollow_policy.process.backoffs import Backoff
from limpethollow_policy.version.configurations import Configuration
from limpethollow_wire.codecs import convert
from limpethollow_wire.exceptions import LimpethollowError, Unavailable, UnknownService
from limpethollow_wire.services import ServiceRecord, ServiceSpec

SERVICE_KIND = "service"

_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 5.0
_RETRY_AFTER = 1.0

Listener = Callable[[tuple[ServiceRecord, ...]], None]


def record_of(stored: PlatformObject) -> ServiceRecord:
    """Read a service's record out of the platform's object."""
    spec = stored.value.get("spec")
    return ServiceRecord(
        name=stored.name,
        version=stored.version,
        spec=None if spec is None else convert(spec, ServiceSpec),
        write_id=str(stored.value.get("write_id", "")),
    )


class ConfigKeeper:
    """Merges records from the platform and from peers, and tells listeners of new ones.

    Args:
        platform: The platform's client.
        rng: Source for jitter.
    """

    def __init__(self, platform: PlatformClient, rng: Random) -> None:
        self._platform = platform
        self._lock = threading.Lock()
        self._configuration = Configuration()
        self._listeners: list[Listener] = []
        self._backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, rng)
        self._loaded = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._follow, name="configs", daemon=True)

    def __enter__(self) -> "ConfigKeeper":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()

    @property
    def is_loaded(self) -> bool:
        """Whether the configuration was read once, so that its absence means something."""
        return self._loaded.is_set()

    @property
    def digest(self) -> dict[str, int]:
        """Version in force by service, tombstones included."""
        with self._lock:
            return self._configuration.digest

    @property
    def records(self) -> tuple[ServiceRecord, ...]:
        """All records in force, tombstones included."""
        with self._lock:
            return self._configuration.records

    def listen(self, listener: Listener) -> None:
        """Have a callable told of records that came into force."""
        self._listeners.append(listener)

    def record(self, service: str) -> ServiceRecord | None:
        """Return a service's record in force, a tombstone included."""
        with self._lock:
            return self._configuration.get(service)

    def require(self, service: str) -> ServiceRecord:
        """Return the record of a service that exists.

        Raises:
            UnknownService: It is deleted, or there never was one.
            Unavailable: The configuration was not read yet.
        """
        record = self.record(service)
        if record is not None and record.spec is not None:
            return record
        if not self.is_loaded:
            raise Unavailable(
                "The instance does not know yet what is in force.", retry_after=_RETRY_AFTER
            )
        raise UnknownService(f"There is no service '{service}'.")

    def merge(self, records: tuple[ServiceRecord, ...]) -> tuple[ServiceRecord, ...]:
        """Take in records from anywhere; return those that came into force."""
        with self._lock:
            applied = self._configuration.merge(records)
        if applied:
            events.RECORDS_APPLIED.log(versions={r.name: r.version for r in applied})
            for listener in self._listeners:
                listener(applied)
        return applied

    def newer_than(self, digest: dict[str, int]) -> tuple[ServiceRecord, ...]:
        """Return the records that the sender of a digest lacks."""
        with self._lock:
            return self._configuration.newer_than(digest)

    def loaded_from_peer(self) -> None:
        """Note that a peer gave its whole configuration."""
        self._loaded.set()

    def _follow(self) -> None:
        revision: int | None = None
        while not self._stopped.is_set():
            try:
                if revision is None:
                    answer = self._platform.list(SERVICE_KIND)
                else:
                    answer = self._platform.watch(SERVICE_KIND, revision)
                self.merge(tuple(record_of(stored) for stored in answer.objects))
            except LimpethollowError as error:
                events.PLATFORM_FAILED.log(call="services", error=str(error))
                self._stopped.wait(self._backoff.failed())
                continue
            revision = answer.revision
            self._loaded.set()
            self._backoff.succeeded()
