"""The searches of one group that have started and have no answer yet."""

from collections.abc import Iterator

from limpethollow_policy.request.gathers import Gather


class ActiveSearches:
    """Started searches in order of their start, found by id or by query."""

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
        """Add a search that starts."""
        self._by_id[gather.search.id] = gather
        self._by_key.setdefault(gather.key, {})[gather.search.id] = gather

    def remove(self, search_id: str) -> Gather | None:
        """Take out a search that got its answer or whose caller left."""
        gather = self._by_id.pop(search_id, None)
        if gather is None:
            return None
        same = self._by_key[gather.key]
        del same[search_id]
        if not same:
            del self._by_key[gather.key]
        return gather

    def asking(self, key: str) -> tuple[Gather, ...]:
        """Return the searches that ask the same query."""
        return tuple(self._by_key.get(key, {}).values())
