"""The searchers of one group, and the choice of the ones that get its calls."""

from collections.abc import Hashable, Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

from limpethollow_policy.connection.connection_limits import slots_per_owner
from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.choices import Candidate, find_replica_choice
from limpethollow_policy.request.gathers import Gather, Snapshot
from limpethollow_policy.request.snapshots import Inventory, choose_version, servable_versions
from limpethollow_policy.version.groups import Group
from limpethollow_wire.searches import SearcherReply
from limpethollow_wire.services import SearcherSpec, ServiceSpec

_STRAGGLER_FACTOR = 5.0

_Option = tuple[SearcherState, float, frozenset[int]]


@dataclass(slots=True, frozen=True)
class Choice:
    """A searcher and the shards that it was chosen for."""

    searcher: SearcherState
    shards: frozenset[int]


class ReplicaSet:
    """All searchers of a group with their observed state.

    Args:
        spec: The service.
        group: The group.
        rng: Source of randomness for jitter and tie-breaking.
    """

    __slots__ = (
        "_configured_shards",
        "_holders",
        "_servable_cache",
        "_max_age",
        "_removed",
        "_rng",
        "_score",
        "_searchers",
        "epoch",
        "queries_per_call",
        "shards",
    )

    def __init__(self, spec: ServiceSpec, group: Group, rng: Random) -> None:
        self._rng = rng
        self._searchers: dict[str, SearcherState] = {}
        self._removed: list[SearcherState] = []
        self.reconfigure(spec, group)

    def __iter__(self) -> Iterator[SearcherState]:
        return iter(self._searchers.values())

    def __contains__(self, searcher_id: str) -> bool:
        return searcher_id in self._searchers

    def __getitem__(self, searcher_id: str) -> SearcherState:
        return self._searchers[searcher_id]

    def reconfigure(self, spec: ServiceSpec, group: Group) -> None:
        """Apply a new configuration.

        A searcher that remains keeps its observed state and its open calls, so that its slots are
        not used twice. A searcher that was removed while it had open calls is remembered until
        they end, in case the next configuration lists it again.
        """
        known = [*self._searchers.values(), *self._removed]
        self.epoch = spec.epoch
        self.shards = group.shards
        self.queries_per_call = spec.queries_per_call
        self._max_age = spec.inventory_max_age
        self._score = find_replica_choice(spec.replica_choice)
        self._searchers = {}
        for searcher in group.searchers:
            slots = slots_per_owner(searcher, spec.owners)
            state = next((s for s in known if _is_same(s, searcher)), None)
            if state is None:
                state = SearcherState(searcher, slots, self._rng)
            state.spec = searcher
            state.slots = slots
            state.evacuated = searcher.failure_domain in spec.evacuated
            self._searchers[searcher.id] = state
        kept = self._searchers.values()
        self._removed = [s for s in known if s.in_flight and s not in kept]
        self._holders = {
            shard: [s for s in self if shard in s.spec.shards] for shard in group.shards
        }
        self._configured_shards = {s.id: frozenset(s.shards) for s in group.searchers}
        self._servable_cache = ((), {})

    def holders(self, shard: int) -> list[SearcherState]:
        """Return the searchers that are configured to hold a shard."""
        return self._holders.get(shard, [])

    def usable(self, now: float) -> list[SearcherState]:
        """Return the searchers that may be sent new work."""
        return [searcher for searcher in self if searcher.is_usable(now)]

    @property
    def max_needing_call(self) -> float:
        """The maximum number of started searches that still need a call.

        Started searches get slots in the order of their start, regardless of the admission policy,
        so no more of them are started than the next free slots can serve.
        """
        held = sum(len(searcher.spec.shards) for searcher in self)
        calls_per_search = len(self.shards) * len(self._searchers) / max(held, 1)
        return self.queries_per_call * max(1.0, calls_per_search)

    def has_free_slot(self, now: float) -> bool:
        """Return whether any usable searcher can take another call."""
        return any(searcher.has_free_slot for searcher in self.usable(now))

    def free_share(self, now: float) -> float:
        """Return the fraction of the usable searchers' slots that is free, 0 to 1."""
        usable = self.usable(now)
        slots = sum(searcher.slots for searcher in usable)
        used = sum(min(searcher.in_flight, searcher.slots) for searcher in usable)
        return 1.0 - used / slots if slots else 0.0

    def usable_holders(self, shards: frozenset[int], now: float) -> list[SearcherState]:
        """Return the usable searchers that are configured to hold any of the shards."""
        return [
            s for s in self.usable(now) if not shards.isdisjoint(self._configured_shards[s.spec.id])
        ]

    def stale(self, shards: frozenset[int], now: float) -> list[SearcherState]:
        """Return the usable holders whose inventory is too old for choosing a snapshot."""
        holders = self.usable_holders(shards, now)
        return [s for s in holders if not s.inventory_is_fresh(now, self._max_age)]

    def fresh(self, searchers: list[SearcherState], now: float) -> list[SearcherState]:
        """Return the searchers whose inventory is recent enough for sending them work."""
        return [s for s in searchers if s.inventory_is_fresh(now, self._max_age)]

    def servable(self, shards: frozenset[int], min_version: int, now: float) -> tuple[int, ...]:
        """Return the versions that usable replicas serve for every shard, newest first.

        Only replicas with a fresh inventory count.
        """
        evidence = self._servable_cache_key(now)
        if self._servable_cache[0] != evidence:
            self._servable_cache = (evidence, {})
        cache = self._servable_cache[1]
        key = (shards, min_version)
        if key not in cache:
            cache[key] = servable_versions(self._inventories(now), shards, min_version)
        return cache[key]

    def best_version(self, shards: frozenset[int], min_version: int, now: float) -> int | None:
        """Return the version to pin, even if it lacks some shards, or None if there is none."""
        return choose_version(self._inventories(now), shards, min_version)

    def pinnable(self, shards: frozenset[int], min_version: int, now: float) -> tuple[int, ...]:
        """Return the servable versions, or else the version that covers the most shards."""
        versions = self.servable(shards, min_version, now)
        best = None if versions else self.best_version(shards, min_version, now)
        return versions if best is None else (best,)

    def answered(
        self, searcher: SearcherState, reply: SearcherReply, latency: float | None, now: float
    ) -> bool:
        """Update a searcher's state from its reply.

        An unchanged list of versions keeps its object identity, from which `servable` knows that
        its cached result is still valid.

        Returns:
            Whether other instances should be told about a change of `draining`.
        """
        versions = searcher.versions
        draining_changed = searcher.answered(reply, latency, now)
        if searcher.versions == versions:
            searcher.versions = versions
        return draining_changed

    def choose(
        self,
        gather: Gather,
        shards: AbstractSet[int],
        now: float,
        *,
        exclude: SearcherState | None = None,
        patient: bool = False,
    ) -> list[Choice]:
        """Choose searchers for shards of a search by the service's replica choice policy.

        Each choice covers all remaining shards that its searcher can serve, so a searcher gets a
        single call regardless of the number of shards.

        Args:
            gather: The search; its snapshot is pinned.
            shards: Shards that need a call.
            now: Current monotonic time in seconds.
            exclude: A searcher that must not be chosen.
            patient: Whether a call may wait for a slot of another searcher.
        """
        able = self._candidates(gather, shards, exclude, now)
        choices: list[Choice] = []
        left = set(shards)
        while left:
            choice = self._best(gather, able, patient)
            if choice is None:
                break
            choices.append(choice)
            left -= choice.shards
            able = [(s, wait, serves - choice.shards) for s, wait, serves in able]
            able = [option for option in able if option[2]]
        return choices

    def _candidates(
        self,
        gather: Gather,
        shards: AbstractSet[int],
        exclude: SearcherState | None,
        now: float,
    ) -> list[_Option]:
        """Return the searchers that can serve any of the shards, whether or not they are busy."""
        able = []
        for searcher in {s: None for shard in shards for s in self.holders(shard)}:
            if searcher is exclude or not searcher.is_usable(now):
                continue
            serves = self.serves(searcher, gather, shards)
            if serves:
                able.append((searcher, searcher.expected_wait(now), serves))
        return able

    def _best(self, gather: Gather, able: list[_Option], patient: bool) -> Choice | None:
        shortest = min((wait for _, wait, _ in able), default=0.0)
        best: Choice | None = None
        best_score: tuple[float, ...] = ()
        for searcher, wait, serves in able:
            if not searcher.has_free_slot:
                continue
            failed = gather.failed_at
            fresh = sum((shard, searcher.spec.id) not in failed for shard in serves)
            straggles = wait > shortest * _STRAGGLER_FACTOR
            candidate = Candidate(fresh, len(serves), wait, straggles, patient)
            score = self._score(candidate, self._rng)
            if score is not None and (best is None or score > best_score):
                best, best_score = Choice(searcher, serves), score
        return best

    def any_paused(self, now: float) -> bool:
        """Return whether any searcher in service is paused."""
        return any(s.down_until > now and s.is_in_service for s in self._searchers.values())

    def earliest_resume(self, shard: int, now: float) -> float | None:
        """Return when a holder of a shard leaves its pause first, or None if none is paused."""
        paused = [
            searcher.down_until
            for searcher in self.holders(shard)
            if searcher.is_in_service and searcher.down_until > now
        ]
        return min(paused, default=None)

    def is_served(self, shard: int, snapshot: Snapshot, now: float) -> bool:
        """Return whether any usable replica, busy or not, has this snapshot of the shard."""
        epoch, version = snapshot
        holders = self.holders(shard)
        return any(s.is_usable(now) and s.can_serve(shard, epoch, version) for s in holders)

    def serves(
        self, searcher: SearcherState, gather: Gather, shards: AbstractSet[int]
    ) -> frozenset[int]:
        """Return the subset of the shards that a searcher has at the search's snapshot."""
        held = self._configured_shards.get(searcher.spec.id)
        if gather.snapshot is None or held is None:
            return frozenset()
        epoch, version = gather.snapshot
        return frozenset(s for s in held & shards if searcher.can_serve(s, epoch, version))

    def _servable_cache_key(self, now: float) -> tuple[Hashable, ...]:
        """Return the cache key of `servable`, in a form that is cheap to compare."""
        return tuple(
            (
                (id(s.versions), s.epoch)
                if s.is_usable(now) and s.inventory_is_fresh(now, self._max_age)
                else None
            )
            for s in self._searchers.values()
        )

    def _inventories(self, now: float) -> list[Inventory]:
        return [
            searcher.inventory(self.epoch)
            for searcher in self.usable(now)
            if searcher.inventory_is_fresh(now, self._max_age)
        ]


def _is_same(state: SearcherState, spec: SearcherSpec) -> bool:
    return (state.spec.id, state.spec.address) == (spec.id, spec.address)
