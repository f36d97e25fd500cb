"""Partitioning of a service into groups of shards and the searchers that hold them."""

from dataclasses import dataclass

from limpethollow_wire.services import SearcherSpec, ServiceRecord, ServiceSpec


@dataclass(slots=True, frozen=True)
class Group:
    """A set of shards and every searcher that holds one of them.

    Attributes:
        index: Index of the group within the service.
        shards: Its shards.
        searchers: Its searchers.
    """

    index: int
    shards: frozenset[int]
    searchers: tuple[SearcherSpec, ...]


class GroupCache:
    """Caches the groups of each service, so that they are not computed for every search."""

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, tuple[int, tuple[Group, ...]]] = {}

    def of(self, record: ServiceRecord) -> tuple[Group, ...]:
        """Return the groups of a record; empty for a tombstone."""
        version, groups = self._by_service.get(record.name, (-1, ()))
        if version != record.version:
            groups = partition_service(record.spec) if record.spec else ()
            self._by_service[record.name] = (record.version, groups)
        return groups


def partition_service(spec: ServiceSpec) -> tuple[Group, ...]:
    """Partition a service into groups.

    Shards that share a searcher, directly or through other shards, are placed in the same group, so
    that the choice of replicas and the connections and slots of a searcher are managed in one
    place. Sets of shards without a common searcher are merged, in shard order, into groups of up
    to `searchers_per_group` searchers.
    """
    components = _connected_shards(spec)
    groups: list[Group] = []
    shards: set[int] = set()
    searchers: dict[str, SearcherSpec] = {}
    for component in components:
        holders = {s.id: s for s in spec.searchers if component & set(s.shards)}
        if shards and len(searchers) + len(holders) > spec.searchers_per_group:
            groups.append(Group(len(groups), frozenset(shards), tuple(searchers.values())))
            shards, searchers = set(), {}
        shards |= component
        searchers |= holders
    groups.append(Group(len(groups), frozenset(shards), tuple(searchers.values())))
    return tuple(groups)


def _connected_shards(spec: ServiceSpec) -> list[set[int]]:
    parent = list(range(spec.shards))

    def root(shard: int) -> int:
        while parent[shard] != shard:
            parent[shard] = parent[parent[shard]]
            shard = parent[shard]
        return shard

    for searcher in spec.searchers:
        for shard in searcher.shards[1:]:
            parent[root(shard)] = root(searcher.shards[0])
    components: dict[int, set[int]] = {}
    for shard in range(spec.shards):
        components.setdefault(root(shard), set()).add(shard)
    return sorted(components.values(), key=min)
