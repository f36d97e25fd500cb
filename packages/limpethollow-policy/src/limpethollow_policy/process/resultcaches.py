"""A cache of shard results, shared by searches with the same query and snapshot."""

from collections import OrderedDict
from typing import Any

from limpethollow_policy.request.gathers import Gather, Snapshot

_MAX_ROWS = 20_000

_Key = tuple[str, Snapshot, int]


class ResultCache:
    """A bounded LRU cache of shard results.

    A snapshot never changes, so a result cached under its epoch and version never becomes invalid;
    it merely is no longer requested once newer versions are pinned.

    Args:
        max_rows: Maximum number of rows over all results. Each result counts as one row more than
            it has.
    """

    __slots__ = ("_results", "_max_rows", "_rows")

    def __init__(self, max_rows: int = _MAX_ROWS) -> None:
        self._max_rows = max_rows
        self._rows = 0
        self._results: OrderedDict[_Key, list[Any]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._results)

    def keep(self, key: str, snapshot: Snapshot, shard: int, rows: list[Any]) -> None:
        """Add the rows of one shard."""
        name = (key, snapshot, shard)
        if name in self._results:
            return
        self._results[name] = rows
        self._rows += len(rows) + 1
        while self._rows > self._max_rows:
            _, evicted = self._results.popitem(last=False)
            self._rows -= len(evicted) + 1

    def has_all(self, key: str, snapshot: Snapshot, shards: frozenset[int]) -> bool:
        """Return whether the cache holds a query's results for all of the shards."""
        return all((key, snapshot, shard) in self._results for shard in shards)

    def fill(self, gather: Gather) -> int:
        """Add the cached results to a pinned search; return the number of shards filled."""
        snapshot = gather.snapshot
        if snapshot is None:
            return 0
        filled = 0
        for shard in tuple(gather.open_shards):
            rows = self._results.get((gather.key, snapshot, shard))
            if rows is not None and gather.accept(shard, snapshot, rows):
                self._results.move_to_end((gather.key, snapshot, shard))
                filled += 1
        return filled
