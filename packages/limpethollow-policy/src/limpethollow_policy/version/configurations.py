"""The configuration in force at one instance, merged from all sources."""

from collections.abc import Iterable
from hashlib import blake2b

from limpethollow_wire.services import ServiceRecord, ServiceSpec

BUCKETS = 256


class Configuration:
    """Holds the latest record of every service, including tombstones.

    Records arrive from the platform, from relays and from random peers, possibly late, duplicated
    and out of order. A record is replaced only by one with a higher version, and a deletion is a
    record like any other, so an instance that was frozen, partitioned or just started can't bring
    an old version back.

    Tombstones are never removed: an instance that was partitioned for any length of time may still
    offer the deleted record, which would look new without the tombstone. A tombstone is replaced
    when a service of the same name is created again.
    """

    __slots__ = ("_buckets", "_fingerprint", "_records")

    def __init__(self) -> None:
        self._records: dict[str, ServiceRecord] = {}
        self._buckets = [0] * BUCKETS
        self._fingerprint = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def records(self) -> tuple[ServiceRecord, ...]:
        """All records, including tombstones."""
        return tuple(self._records.values())

    @property
    def digest(self) -> dict[str, int]:
        """Version by service, including tombstones."""
        return {name: record.version for name, record in self._records.items()}

    @property
    def fingerprint(self) -> int:
        """Hash over the names and versions of all records; equal if two instances agree."""
        return self._fingerprint

    @property
    def bucket_hashes(self) -> dict[int, int]:
        """Hash of each non-empty bucket of records."""
        return {index: value for index, value in enumerate(self._buckets) if value}

    def merge(self, records: Iterable[ServiceRecord]) -> tuple[ServiceRecord, ...]:
        """Merge records into the configuration.

        Returns:
            The records that were newer than the known ones and are now in force.
        """
        applied = []
        for record in records:
            known = self._records.get(record.name)
            if known is None or record.version > known.version:
                self._replace(known, record)
                applied.append(record)
        return tuple(applied)

    def get(self, name: str) -> ServiceRecord | None:
        """Return the record of a service, which may be a tombstone, or None if there is none."""
        return self._records.get(name)

    def spec(self, name: str) -> ServiceSpec | None:
        """Return a service's configuration, None if it is deleted or unknown."""
        record = self._records.get(name)
        return record.spec if record else None

    def differing_buckets(self, peer_hashes: dict[int, int]) -> tuple[int, ...]:
        """Return the buckets whose records differ from a peer's."""
        return tuple(i for i, value in enumerate(self._buckets) if value != peer_hashes.get(i, 0))

    def versions_in(self, buckets: Iterable[int]) -> dict[str, int]:
        """Return the versions of all records in the given buckets."""
        wanted = frozenset(buckets)
        return {
            name: record.version
            for name, record in self._records.items()
            if _bucket(name) in wanted
        }

    def lacking(self, versions: dict[str, int]) -> tuple[str, ...]:
        """Return the names whose version in a peer's digest is higher than the local one."""
        return tuple(name for name, version in versions.items() if version > self._version(name))

    def newer_than(self, versions: dict[str, int], buckets: Iterable[int]) -> tuple[str, ...]:
        """Return the names for which a peer has an older version or no record.

        Args:
            versions: The peer's versions in the given buckets.
            buckets: The buckets to compare.
        """
        wanted = frozenset(buckets)
        return tuple(
            name
            for name, record in self._records.items()
            if _bucket(name) in wanted and record.version > versions.get(name, 0)
        )

    def _version(self, name: str) -> int:
        record = self._records.get(name)
        return record.version if record else 0

    def _replace(self, known: ServiceRecord | None, record: ServiceRecord) -> None:
        delta = _hash(record.name, record.version)
        if known is not None:
            delta ^= _hash(known.name, known.version)
        self._records[record.name] = record
        self._buckets[_bucket(record.name)] ^= delta
        self._fingerprint ^= delta


def _bucket(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0]


def _hash(name: str, version: int) -> int:
    digest = blake2b(f"{name}\0{version}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
