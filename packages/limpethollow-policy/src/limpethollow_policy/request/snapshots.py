"""Choice of the snapshot that all parts of an answer come from."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Inventory:
    """Index versions that one usable searcher can serve at the requested partition epoch.

    Attributes:
        searcher_id: Id of the searcher.
        versions: Available index versions by shard.
    """

    searcher_id: str
    versions: dict[int, frozenset[int]]


def servable_versions(
    inventories: Iterable[Inventory], shards: frozenset[int], min_version: int = 0
) -> tuple[int, ...]:
    """Return the index versions that every shard can serve, newest first.

    Args:
        inventories: One for each usable searcher.
        shards: Requested shards.
        min_version: Lowest acceptable version.
    """
    common: set[int] | None = None
    by_shard = versions_by_shard(inventories, shards)
    for versions in by_shard.values():
        common = set(versions) if common is None else common & versions
    return tuple(sorted((v for v in common or () if v >= min_version), reverse=True))


def versions_by_shard(
    inventories: Iterable[Inventory], shards: frozenset[int]
) -> dict[int, set[int]]:
    """Return, for each requested shard, the versions that at least one searcher holds."""
    by_shard: dict[int, set[int]] = {shard: set() for shard in shards}
    for inventory in inventories:
        for shard in shards & inventory.versions.keys():
            by_shard[shard] |= inventory.versions[shard]
    return by_shard


def choose_version(
    inventories: Iterable[Inventory], shards: frozenset[int], min_version: int = 0
) -> int | None:
    """Choose the index version of an answer.

    This is the newest version that every shard can serve. If there is none, it is the version that
    covers the most shards, the newest one on a tie: the answer then reports the missing shards
    instead of mixing versions.

    Returns:
        The version, None if no shard has an acceptable version.
    """
    known = list(inventories)
    complete = servable_versions(known, shards, min_version)
    if complete:
        return complete[0]
    counts: dict[int, int] = {}
    for versions in versions_by_shard(known, shards).values():
        for version in versions:
            if version >= min_version:
                counts[version] = counts.get(version, 0) + 1
    if not counts:
        return None
    return max(counts, key=lambda version: (counts[version], version))
