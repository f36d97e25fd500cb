"""The configuration in force at one instance, merged from whatever brings it."""

from collections.abc import Iterable

from limpethollow_wire.services import ServiceRecord, ServiceSpec


class Configuration:
    """Keeps the newest record of every service, tombstones included.

    Records come from the platform, from relays and from random peers, late, twice and out of
    order. Only a higher version replaces a lower one, and a deletion is a record like any other,
    so nothing that was frozen, cut off or just started can bring an old version back.
    """

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, ServiceRecord] = {}

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

    def merge(self, records: Iterable[ServiceRecord]) -> tuple[ServiceRecord, ...]:
        """Take in records.

        Returns:
            Those that were newer than what was known, now in force.
        """
        applied = []
        for record in records:
            known = self._records.get(record.name)
            if known is None or record.version > known.version:
                self._records[record.name] = record
                applied.append(record)
        return tuple(applied)

    def get(self, name: str) -> ServiceRecord | None:
        """Return the record of a service, a tombstone included, None where there is none."""
        return self._records.get(name)

    def spec(self, name: str) -> ServiceSpec | None:
        """Return a service's configuration, None where it is deleted or not known."""
        record = self._records.get(name)
        return record.spec if record else None

    def newer_than(self, digest: dict[str, int]) -> tuple[ServiceRecord, ...]:
        """Return the records that the sender of a digest lacks."""
        return tuple(
            record for name, record in self._records.items() if record.version > digest.get(name, 0)
        )

    def is_behind(self, digest: dict[str, int]) -> bool:
        """Return whether the sender of a digest has a record that is newer than ours."""
        return any(
            version > (self._records[name].version if name in self._records else 0)
            for name, version in digest.items()
        )
