"""How a service is cut into groups of shards with all searchers that hold them."""

from dataclasses import dataclass

from limpethollow_wire.services import SearcherSpec, ServiceRecord, ServiceSpec


@dataclass(slots=True, frozen=True)
class Group:
    """A set of shards and every searcher that holds one of them.

    Attributes:
        index: Number of the group within the service.
        shards: Its shards.
        searchers: Its searchers.
    """

    index: int
    shards: frozenset[int]
    searchers: tuple[SearcherSpec, ...]


class GroupCuts:
    """Remembers how services are cut, so that a search does not cut its service anew."""

    __slots__ = ("_cuts",)

    def __init__(self) -> None:
        self._cuts: dict[str, tuple[int, tuple[Group, ...]]] = {}

    def of(self, record: ServiceRecord) -> tuple[Group, ...]:
        """Return the groups of a record, none for a tombstone."""
        version, cut = self._cuts.get(record.name, (-1, ()))
        if version != record.version:
            cut = cut_groups(record.spec) if record.spec else ()
            self._cuts[record.name] = (record.version, cut)
        return cut


def cut_groups(spec: ServiceSpec) -> tuple[Group, ...]:
    """Cut a service into groups.

    Shards that share a searcher belong together, so that replica choice, connections and slots of
    a searcher are decided in one place. Sets that share none are joined in shard order up to
    `searchers_per_group`.
    """
    bundles = _connected_shards(spec)
    groups: list[Group] = []
    shards: set[int] = set()
    searchers: dict[str, SearcherSpec] = {}
    for bundle in bundles:
        holders = {s.id: s for s in spec.searchers if bundle & set(s.shards)}
        if shards and len(searchers) + len(holders) > spec.searchers_per_group:
            groups.append(Group(len(groups), frozenset(shards), tuple(searchers.values())))
            shards, searchers = set(), {}
        shards |= bundle
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
    bundles: dict[int, set[int]] = {}
    for shard in range(spec.shards):
        bundles.setdefault(root(shard), set()).add(shard)
    return sorted(bundles.values(), key=min)
