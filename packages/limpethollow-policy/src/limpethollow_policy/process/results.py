"""Shard answers kept for searches that ask the same of the same snapshot."""

from collections import OrderedDict
from typing import Any

from limpethollow_policy.request.gathers import Gather, Snapshot

_MAX_ROWS = 20_000

_Key = tuple[str, Snapshot, int]


class ResultCache:
    """A bounded store of finished shard answers, the least recently used one dropped first.

    A snapshot never changes, so an answer kept under its epoch and version stays true for ever; it
    just stops being asked for when newer versions are pinned.

    Args:
        max_rows: Rows kept at most over all answers; an answer counts as one row more than it has.
    """

    __slots__ = ("_kept", "_max_rows", "_rows")

    def __init__(self, max_rows: int = _MAX_ROWS) -> None:
        self._max_rows = max_rows
        self._rows = 0
        self._kept: OrderedDict[_Key, list[Any]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, key: str, snapshot: Snapshot, shard: int, rows: list[Any]) -> None:
        """Keep one shard's rows."""
        name = (key, snapshot, shard)
        if name in self._kept:
            return
        self._kept[name] = rows
        self._rows += len(rows) + 1
        while self._rows > self._max_rows:
            _, dropped = self._kept.popitem(last=False)
            self._rows -= len(dropped) + 1

    def has_all(self, key: str, snapshot: Snapshot, shards: frozenset[int]) -> bool:
        """Return whether a query's answers for all these shards are kept."""
        return all((key, snapshot, shard) in self._kept for shard in shards)

    def fill(self, gather: Gather) -> int:
        """Give a pinned search all it wants that is kept; return how many shards that were."""
        snapshot = gather.snapshot
        if snapshot is None:
            return 0
        filled = 0
        for shard in tuple(gather.open_shards):
            rows = self._kept.get((gather.key, snapshot, shard))
            if rows is not None and gather.accept(shard, snapshot, rows):
                self._kept.move_to_end((gather.key, snapshot, shard))
                filled += 1
        return filled
