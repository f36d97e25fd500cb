"""Choice of the one snapshot that all parts of an answer come from."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Inventory:
    """What one usable searcher can serve at the wanted partition epoch.

    Attributes:
        searcher_id: Name of the searcher.
        versions: Index versions kept, by shard.
    """

    searcher_id: str
    versions: dict[int, frozenset[int]]


def servable_versions(
    inventories: Iterable[Inventory], shards: frozenset[int], min_version: int = 0
) -> tuple[int, ...]:
    """Return the index versions that every shard can serve, newest first.

    Args:
        inventories: One for each usable searcher.
        shards: Shards wanted.
        min_version: Lowest version allowed.
    """
    common: set[int] | None = None
    by_shard = versions_by_shard(inventories, shards)
    for versions in by_shard.values():
        common = set(versions) if common is None else common & versions
    return tuple(sorted((v for v in common or () if v >= min_version), reverse=True))


def versions_by_shard(
    inventories: Iterable[Inventory], shards: frozenset[int]
) -> dict[int, set[int]]:
    """Return, for each wanted shard, the versions that some searcher keeps."""
    by_shard: dict[int, set[int]] = {shard: set() for shard in shards}
    for inventory in inventories:
        for shard in shards & inventory.versions.keys():
            by_shard[shard] |= inventory.versions[shard]
    return by_shard


def choose_version(
    inventories: Iterable[Inventory], shards: frozenset[int], min_version: int = 0
) -> int | None:
    """Choose the index version of an answer.

    The newest version that every shard can serve wins. Where no version is servable on every
    shard, the one that covers most shards wins, the newer one on a tie: the answer then says which
    shards it lacks instead of mixing versions.

    Returns:
        The version, None where no shard has any version allowed.
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
