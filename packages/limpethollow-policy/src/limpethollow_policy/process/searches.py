"""The searches of one group that have started and are not answered yet."""

from collections.abc import Iterator

from limpethollow_policy.request.gathers import Gather


class ActiveSearches:
    """Started searches in start order, indexed by id and by query key."""

    __slots__ = ("_by_id", "_by_key")

    def __init__(self) -> None:
        self._by_id: dict[str, Gather] = {}
        self._by_key: dict[str, dict[str, Gather]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Gather]:
        return iter(tuple(self._by_id.values()))

    def __contains__(self, search_id: str) -> bool:
        return search_id in self._by_id

    def add(self, gather: Gather) -> None:
        """Add a search that is being started."""
        self._by_id[gather.search.id] = gather
        self._by_key.setdefault(gather.key, {})[gather.search.id] = gather

    def remove(self, search_id: str) -> Gather | None:
        """Remove and return a search, or None if it is not active."""
        gather = self._by_id.pop(search_id, None)
        if gather is None:
            return None
        same_query = self._by_key[gather.key]
        del same_query[search_id]
        if not same_query:
            del self._by_key[gather.key]
        return gather

    def asking(self, key: str) -> tuple[Gather, ...]:
        """Return the searches with a given query key."""
        return tuple(self._by_key.get(key, {}).values())
