"""One search inside a group, from its arrival to its answer."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from limpethollow_policy.request.events import Search
from limpethollow_wire.searches import Coverage, GroupAnswer, MissingShard, Part
from limpethollow_wire.services import Objective

MAX_RESTARTS = 4


class Gather:
    """Collects the parts of one search at one pinned snapshot.

    Parts are kept only if they carry the pinned epoch and version, so an answer that mixes
    snapshots can't be built, whatever arrives late, twice or crossed.

    Args:
        search: The search.
        objective: What its service must reach.
        now: Monotonic second of its arrival.
    """

    __slots__ = (
        "_parts",
        "answer_at",
        "arrived",
        "attempts",
        "epoch",
        "failed_at",
        "failures",
        "floor",
        "in_flight",
        "restarts",
        "search",
        "started",
        "version",
    )

    def __init__(self, search: Search, objective: Objective, now: float) -> None:
        self.search = search
        self.arrived = now
        self.floor = objective.coverage_floor if search.floor is None else search.floor
        self.answer_at = _answer_time(search, objective, now)
        self.started = False
        self.epoch = 0
        self.version: int | None = None
        self.restarts = 0
        self.failures: dict[int, str] = {}
        self.failed_at: set[tuple[int, str]] = set()
        self.attempts: Counter[int] = Counter()
        self.in_flight: dict[int, set[str]] = {}
        self._parts: dict[int, list[Any]] = {}

    @property
    def is_pinned(self) -> bool:
        """Whether the snapshot is chosen."""
        return self.version is not None

    @property
    def uncovered(self) -> frozenset[int]:
        """Shards with no part yet."""
        return self.search.shards - self._parts.keys()

    @property
    def idle_shards(self) -> frozenset[int]:
        """Shards with no part, no call on its way and not given up on."""
        busy = {shard for shard, calls in self.in_flight.items() if calls}
        return self.uncovered - busy - self.failures.keys()

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to wait for."""
        return self.is_pinned and self.uncovered <= self.failures.keys()

    @property
    def share(self) -> float:
        """Share of the wanted shards covered, 0 to 1."""
        return len(self._parts) / len(self.search.shards)

    @property
    def meets_floor(self) -> bool:
        """Whether enough shards are covered for an answer."""
        return self.share >= self.floor

    def horizon(self) -> float:
        """Return the monotonic second until which waiting can still help."""
        return self.answer_at if self.meets_floor else self.search.deadline

    def pin(self, epoch: int, version: int) -> None:
        """Choose the snapshot; all that was collected at another one is dropped."""
        self.epoch = epoch
        self.version = version
        self._parts.clear()
        self.failures.clear()
        self.attempts.clear()

    def unpin(self) -> bool:
        """Drop the snapshot and start over; false where that was done too often."""
        self.restarts += 1
        self.version = None
        self._parts.clear()
        self.failures.clear()
        return self.restarts <= MAX_RESTARTS

    def call_started(self, call_id: str, shards: Iterable[int]) -> None:
        """Remember that a call for these shards is on its way."""
        for shard in shards:
            self.in_flight.setdefault(shard, set()).add(call_id)
            self.attempts[shard] += 1

    def call_ended(self, call_id: str, shards: Iterable[int]) -> None:
        """Forget a call, whatever became of it."""
        for shard in shards:
            self.in_flight.get(shard, set()).discard(call_id)

    def accept(self, shard: int, epoch: int, version: int, rows: list[Any]) -> bool:
        """Keep a part if it is wanted and of the pinned snapshot.

        Returns:
            Whether it was kept.
        """
        if shard not in self.uncovered or (epoch, version) != (self.epoch, self.version):
            return False
        self._parts[shard] = rows
        self.failures.pop(shard, None)
        return True

    def give_up(self, shard: int, reason: str) -> None:
        """Stop trying to cover a shard."""
        self.failures[shard] = reason

    def answer(self, reason: str) -> GroupAnswer:
        """Build the answer from what has come.

        Args:
            reason: Why shards that are neither covered nor given up on are missing.
        """
        missing = tuple(
            MissingShard(shard, self.failures.get(shard, reason))
            for shard in sorted(self.uncovered)
        )
        covered = tuple(sorted(self._parts))
        coverage = Coverage(
            epoch=self.epoch,
            version=self.version or 0,
            wanted=len(self.search.shards),
            covered=covered,
            missing=missing,
        )
        parts = tuple(Part(shard, self._parts[shard]) for shard in covered)
        return GroupAnswer(coverage, parts)


def _answer_time(search: Search, objective: Objective, now: float) -> float:
    if objective.mode == "latency":
        return min(now + objective.latency, search.deadline)
    return search.deadline
