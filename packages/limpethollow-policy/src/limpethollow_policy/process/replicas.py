"""The searchers of one group: who may serve what, and who should."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from limpethollow_policy.connection.budgets import slots_per_owner
from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.choices import find_choice
from limpethollow_policy.request.gathers import Gather
from limpethollow_policy.request.snapshots import Inventory, choose_version, servable_versions
from limpethollow_policy.version.groups import Group
from limpethollow_wire.services import ServiceSpec


@dataclass(slots=True, frozen=True)
class Choice:
    """A searcher chosen for some shards."""

    searcher: SearcherState
    shards: frozenset[int]


class ReplicaSet:
    """All searchers of a group with the evidence on each.

    Args:
        spec: The service.
        group: The group.
        rng: Source for jitter.
    """

    __slots__ = ("_max_age", "_rng", "_score", "_searchers", "epoch")

    def __init__(self, spec: ServiceSpec, group: Group, rng: Random) -> None:
        self.epoch = spec.epoch
        self._max_age = spec.inventory_max_age
        self._rng = rng
        self._score = find_choice(spec.replica_choice)
        self._searchers = {
            searcher.id: SearcherState(searcher, slots_per_owner(searcher, spec.owners), rng)
            for searcher in group.searchers
        }

    def __iter__(self) -> Iterator[SearcherState]:
        return iter(self._searchers.values())

    def __contains__(self, searcher_id: str) -> bool:
        return searcher_id in self._searchers

    def __getitem__(self, searcher_id: str) -> SearcherState:
        return self._searchers[searcher_id]

    def holders(self, shard: int) -> list[SearcherState]:
        """Return the searchers that hold a shard by configuration."""
        return [searcher for searcher in self if shard in searcher.spec.shards]

    def usable(self, now: float) -> list[SearcherState]:
        """Return the searchers that may get new work."""
        return [searcher for searcher in self if searcher.is_usable(now)]

    def has_free_slot(self, now: float) -> bool:
        """Return whether some usable searcher can take one more call."""
        return any(searcher.has_free_slot for searcher in self.usable(now))

    def stale(self, shards: frozenset[int], now: float) -> list[SearcherState]:
        """Return the usable holders whose list of versions is too old to pin by."""
        return [
            searcher
            for searcher in self.usable(now)
            if not shards.isdisjoint(searcher.spec.shards)
            and not searcher.inventory_is_fresh(now, self._max_age)
        ]

    def fresh(self, searchers: list[SearcherState], now: float) -> list[SearcherState]:
        """Return those whose last word is young enough to send work by."""
        return [s for s in searchers if s.inventory_is_fresh(now, self._max_age)]

    def servable(self, shards: frozenset[int], min_version: int, now: float) -> tuple[int, ...]:
        """Return the versions that fresh, usable replicas serve on every shard, newest first."""
        return servable_versions(self._inventories(now), shards, min_version)

    def best_version(self, shards: frozenset[int], min_version: int, now: float) -> int | None:
        """Return the version to pin, complete or not, None where there is none."""
        return choose_version(self._inventories(now), shards, min_version)

    def choose(
        self, gather: Gather, shards: frozenset[int], now: float, exclude: str = ""
    ) -> Choice | None:
        """Choose the searcher for a call.

        The service's replica choice ranks them. By default the one that serves most of the shards
        wins, so that a search takes few calls; among equals the one with the shortest expected
        wait. A replica that failed this search before comes last.

        Args:
            gather: The search, pinned.
            shards: Shards that need a call.
            now: Monotonic second.
            exclude: A searcher that must not be chosen.
        """
        best: Choice | None = None
        best_score: tuple[float, ...] | None = None
        for searcher in self.usable(now):
            if searcher.spec.id == exclude or not searcher.has_free_slot:
                continue
            serves = self._serves(searcher, gather, shards)
            if not serves:
                continue
            fresh = sum((shard, searcher.spec.id) not in gather.failed_at for shard in serves)
            score = self._score(fresh, len(serves), searcher, now, self._rng)
            if best_score is None or score > best_score:
                best, best_score = Choice(searcher, serves), score
        return best

    def comes_back(self, shard: int, now: float) -> float | None:
        """Return when a paused holder of a shard may be tried again, None where none is paused."""
        paused = [
            searcher.down_until
            for searcher in self.holders(shard)
            if not searcher.draining and searcher.down_until > now
        ]
        return min(paused, default=None)

    def serves_somewhere(self, shard: int, version: int, now: float) -> bool:
        """Return whether a usable replica keeps this version of the shard, busy or not."""
        return any(s.can_serve(shard, self.epoch, version) for s in self.usable(now))

    def _serves(
        self, searcher: SearcherState, gather: Gather, shards: frozenset[int]
    ) -> frozenset[int]:
        version = gather.version or 0
        return frozenset(s for s in shards if searcher.can_serve(s, gather.epoch, version))

    def _inventories(self, now: float) -> list[Inventory]:
        return [
            searcher.inventory(self.epoch)
            for searcher in self.usable(now)
            if searcher.inventory_is_fresh(now, self._max_age)
        ]
