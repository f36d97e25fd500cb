"""The configuration in force at one instance, merged from whatever brings it."""

from collections.abc import Iterable
from hashlib import blake2b

from limpethollow_wire.services import ServiceRecord, ServiceSpec

BUCKETS = 256


class Configuration:
    """Keeps the newest record of every service, tombstones included.

    Records come from the platform, from relays and from random peers, late, twice and out of
    order. Only a higher version replaces a lower one, and a deletion is a record like any other,
    so nothing that was frozen, cut off or just started can bring an old version back.

    A tombstone is never forgotten: an instance that was cut off for any length of time may still
    offer the record that it replaced, and without the tombstone that record would look new. A
    service of the same name, created again, takes its place.
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
        """All records, tombstones included."""
        return tuple(self._records.values())

    @property
    def digest(self) -> dict[str, int]:
        """Version by service, tombstones included."""
        return {name: record.version for name, record in self._records.items()}

    @property
    def fingerprint(self) -> int:
        """Hash over name and version of all records; equal where two instances agree."""
        return self._fingerprint

    @property
    def bucket_hashes(self) -> dict[int, int]:
        """Hash of each bucket of records that is not empty."""
        return {index: value for index, value in enumerate(self._buckets) if value}

    def merge(self, records: Iterable[ServiceRecord]) -> tuple[ServiceRecord, ...]:
        """Take in records.

        Returns:
            Those that were newer than what was known, now in force.
        """
        applied = []
        for record in records:
            known = self._records.get(record.name)
            if known is None or record.version > known.version:
                self._replace(known, record)
                applied.append(record)
        return tuple(applied)

    def get(self, name: str) -> ServiceRecord | None:
        """Return the record of a service, a tombstone included, None where there is none."""
        return self._records.get(name)

    def spec(self, name: str) -> ServiceSpec | None:
        """Return a service's configuration, None where it is deleted or not known."""
        record = self._records.get(name)
        return record.spec if record else None

    def differing_buckets(self, theirs: dict[int, int]) -> tuple[int, ...]:
        """Return the buckets whose records differ from a peer's."""
        return tuple(i for i, value in enumerate(self._buckets) if value != theirs.get(i, 0))

    def versions_in(self, buckets: Iterable[int]) -> dict[str, int]:
        """Return the versions of all records in some buckets."""
        wanted = frozenset(buckets)
        return {
            name: record.version
            for name, record in self._records.items()
            if _bucket(name) in wanted
        }

    def lacking(self, versions: dict[str, int]) -> tuple[str, ...]:
        """Return the names whose version in a peer's digest is newer than ours."""
        return tuple(name for name, version in versions.items() if version > self._version(name))

    def newer_than(self, versions: dict[str, int], buckets: Iterable[int]) -> tuple[str, ...]:
        """Return the names for which a peer has an older version or none.

        Args:
            versions: The peer's versions in some buckets.
            buckets: The buckets.
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
        change = _hash(record.name, record.version)
        if known is not None:
            change ^= _hash(known.name, known.version)
        self._records[record.name] = record
        self._buckets[_bucket(record.name)] ^= change
        self._fingerprint ^= change


def _bucket(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0]


def _hash(name: str, version: int) -> int:
    digest = blake2b(f"{name}\0{version}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
