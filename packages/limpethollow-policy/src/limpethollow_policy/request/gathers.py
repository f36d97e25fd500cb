"""State of one search within a group, from its arrival to its answer."""

from collections import Counter
from collections.abc import Set as AbstractSet
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from limpethollow_policy.request.events import Search
from limpethollow_wire.searches import Coverage, GroupAnswer, MissingShard, Part
from limpethollow_wire.services import Objective

MAX_RESTARTS = 4
MAX_FAILURES_PER_SHARD = 4

_KEY_BYTES = 12


class Snapshot(NamedTuple):
    """The data state that all parts of an answer must come from.

    Attributes:
        epoch: Partition epoch.
        version: Index version.
    """

    epoch: int
    version: int


def query_key(query: dict[str, Any]) -> str:
    """Return a digest of a query; queries with equal content have equal digests."""
    text = msgspec.json.encode(query, order="deterministic")
    return blake2b(text, digest_size=_KEY_BYTES).hexdigest()


class Gather:
    """Collects the parts of one search at one pinned snapshot.

    Only parts with the pinned epoch and version are accepted, so an answer never mixes snapshots,
    even if replies are late, duplicated or mixed up.

    Attributes:
        idle: Open shards that no call in flight covers; updated by the sender of calls.

    Args:
        search: The search.
        objective: The objective of its service.
        now: Monotonic second of its arrival.
    """

    __slots__ = (
        "_floor",
        "_open",
        "_parts",
        "_error_floor",
        "answer_at",
        "arrived",
        "ask_again_at",
        "ask_pause",
        "asked_shards",
        "failed_at",
        "failures",
        "idle",
        "key",
        "restarts",
        "search",
        "shard_failures",
        "snapshot",
    )

    def __init__(self, search: Search, objective: Objective, now: float) -> None:
        self.search = search
        self.key = query_key(search.query)
        self.arrived = now
        self.answer_at = _answer_time(search, objective, now)
        self.snapshot: Snapshot | None = None
        self.restarts = 0
        self.failures: dict[int, str] = {}
        self.failed_at: set[tuple[int, str]] = set()
        self.shard_failures: Counter[int] = Counter()
        self.asked_shards: set[int] = set()
        self.ask_again_at = now
        self.ask_pause = 0.0
        self._floor = objective.coverage_floor
        self._error_floor = objective.coverage_floor if search.floor is None else search.floor
        self._parts: dict[int, list[Any]] = {}
        self._open = set(search.shards)
        self.idle: set[int] = set()

    @property
    def is_pinned(self) -> bool:
        """Whether a snapshot is chosen."""
        return self.snapshot is not None

    @property
    def uncovered(self) -> frozenset[int]:
        """Shards without a part."""
        return self.search.shards - self._parts.keys()

    @property
    def open_shards(self) -> AbstractSet[int]:
        """Shards without a part that have not been given up."""
        return self._open

    @property
    def is_finished(self) -> bool:
        """Whether no open shards are left."""
        return self.is_pinned and not self._open

    @property
    def floor_unreachable(self) -> bool:
        """Whether too many shards have been given up for the answer to reach the required floor."""
        return self._fraction(len(self.search.shards) - len(self.failures)) < self._error_floor

    @property
    def meets_floor(self) -> bool:
        """Whether enough shards are covered to answer before the deadline."""
        return self._fraction(len(self._parts)) >= self._floor

    @property
    def is_answerable(self) -> bool:
        """Whether enough shards are covered to return an answer rather than an error."""
        return self._fraction(len(self._parts)) >= self._error_floor

    def horizon(self) -> float:
        """Return the monotonic second until which to wait for more parts."""
        return self.answer_at if self.meets_floor else self.search.deadline

    def pin(self, snapshot: Snapshot) -> None:
        """Choose the snapshot and discard everything collected so far."""
        self.snapshot = snapshot
        self._clear()

    def may_restart(self) -> bool:
        """Return whether the search may restart at another snapshot."""
        return self.restarts < MAX_RESTARTS

    def unpin(self) -> None:
        """Discard the snapshot and everything collected at it."""
        self.restarts += 1
        self.snapshot = None
        self._clear()

    def accept(self, shard: int, snapshot: Snapshot, rows: list[Any]) -> bool:
        """Store a part if it is needed and comes from the pinned snapshot.

        Returns:
            Whether it was stored.
        """
        if snapshot != self.snapshot or shard in self._parts or shard not in self.search.shards:
            return False
        self._parts[shard] = rows
        self.failures.pop(shard, None)
        self._open.discard(shard)
        self.idle.discard(shard)
        return True

    def failed(self, shard: int, searcher_id: str) -> bool:
        """Record that a searcher returned no part for a shard.

        Returns:
            Whether another attempt is allowed.
        """
        self.failed_at.add((shard, searcher_id))
        self.shard_failures[shard] += 1
        return self.shard_failures[shard] < MAX_FAILURES_PER_SHARD

    def give_up(self, shard: int, reason: str) -> None:
        """Stop trying to cover a shard."""
        self.failures[shard] = reason
        self._open.discard(shard)
        self.idle.discard(shard)

    def answer(self, reason: str) -> GroupAnswer:
        """Build the answer from the parts received.

        Args:
            reason: Reason reported for missing shards that were asked for and not given up.
        """
        missing = tuple(
            MissingShard(shard, self._missing_reason(shard, reason))
            for shard in sorted(self.uncovered)
        )
        covered = tuple(sorted(self._parts))
        snapshot = self.snapshot or Snapshot(0, 0)
        coverage = Coverage(
            epoch=snapshot.epoch,
            version=snapshot.version,
            wanted=len(self.search.shards),
            covered=covered,
            missing=missing,
        )
        parts = tuple(Part(shard, self._parts[shard]) for shard in covered)
        return GroupAnswer(coverage, parts)

    def _clear(self) -> None:
        self._parts.clear()
        self.failures.clear()
        self.asked_shards.clear()
        self._open = set(self.search.shards)
        self.idle = set()

    def _missing_reason(self, shard: int, reason: str) -> str:
        if shard in self.failures:
            return self.failures[shard]
        return reason if shard in self.asked_shards else "no_slot"

    def _fraction(self, shards: int) -> float:
        return shards / len(self.search.shards)


def _answer_time(search: Search, objective: Objective, now: float) -> float:
    if objective.mode != "latency":
        return search.deadline
    latency = objective.latency if search.answer_in is None else search.answer_in
    return min(now + latency, search.deadline)
