"""Chooses the snapshot of a search, and limits the time that this takes."""

from collections.abc import Callable
from enum import Enum

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.calls import CallTable
from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_policy.request.gathers import Gather, Snapshot

_MAX_WAIT_SHARE = 0.25
_INITIAL_ASK_PAUSE = 0.005
_MAX_ASK_PAUSE = 0.16

AskInventory = Callable[[SearcherState, float], None]


class PinResult(Enum):
    """Result of an attempt to choose a snapshot.

    Attributes:
        DONE: The search has its snapshot.
        WAITING: A better snapshot may become available soon.
        IMPOSSIBLE: No allowed snapshot can be served before the deadline.
    """

    DONE = "done"
    WAITING = "waiting"
    IMPOSSIBLE = "impossible"


class SnapshotPinner:
    """Pins searches to snapshots by the versions that the searchers last reported.

    Args:
        replicas: The group's searchers.
        calls: The open calls.
        ask_inventory: Starts an inventory call to a searcher.
    """

    __slots__ = ("_ask_inventory", "_calls", "_replicas")

    def __init__(self, replicas: ReplicaSet, calls: CallTable, ask_inventory: AskInventory) -> None:
        self._replicas = replicas
        self._calls = calls
        self._ask_inventory = ask_inventory

    def pin(self, gather: Gather, now: float) -> PinResult:
        """Choose the snapshot of a search if possible.

        Searchers without a recent report are always asked, even if the others can serve all shards:
        a new or returning replica would otherwise get no calls during steady traffic.
        """
        search = gather.search
        asking = self._ask_stale(gather, now)
        servable = self._replicas.servable(search.shards, search.min_version, now)
        if search.pinned is not None:
            return self._pin_requested(gather, search.pinned, asking, now)
        if servable:
            return self._choose(gather, servable[0])
        return self._pin_partial(gather, asking, now)

    def pin_deadline(self, gather: Gather) -> float:
        """Return the time after which a snapshot with less coverage is accepted."""
        max_wait = (gather.answer_at - gather.arrived) * _MAX_WAIT_SHARE
        return gather.arrived + max_wait

    def wake_times(self, gather: Gather) -> list[float]:
        """Return the times at which a waiting search must be checked again."""
        times = [self.pin_deadline(gather)]
        if gather.ask_pause:
            times.append(gather.ask_again_at)
        return times

    def _pin_requested(self, gather: Gather, version: int, asking: bool, now: float) -> PinResult:
        """Pin the coordinator's version once the searchers' versions are known here."""
        if (
            asking
            and now < self.pin_deadline(gather)
            and not self._is_servable(gather, version, now)
        ):
            return PinResult.WAITING
        return self._choose(gather, version)

    def _is_servable(self, gather: Gather, version: int, now: float) -> bool:
        return version in self._replicas.servable(gather.search.shards, 0, now)

    def _pin_partial(self, gather: Gather, asking: bool, now: float) -> PinResult:
        """Pin a snapshot that some shards can't serve, once waiting can't improve it."""
        search = gather.search
        best = self._replicas.best_version(search.shards, search.min_version, now)
        if now < self.pin_deadline(gather):
            if asking:
                return PinResult.WAITING
            if self._may_improve(gather, best, now):
                self._ask_again(gather, now)
                return PinResult.WAITING
        if best is not None:
            return self._choose(gather, best)
        if asking:
            return PinResult.WAITING
        if search.min_version and self._usable_holders(gather, now):
            # A booking's reply announced this version, so it will become available: keep asking.
            self._ask_again(gather, now)
            return PinResult.WAITING
        if self._returns_before(gather, gather.search.deadline, now):
            return PinResult.WAITING
        return PinResult.IMPOSSIBLE

    def _choose(self, gather: Gather, version: int) -> PinResult:
        if not gather.search.versions_only:
            gather.pin(Snapshot(self._replicas.epoch, version))
        return PinResult.DONE

    def _ask_stale(self, gather: Gather, now: float) -> bool:
        """Ask holders with stale version lists; return whether an answer is pending."""
        shards = gather.search.shards
        for searcher in self._replicas.stale(shards, now):
            self._ask(searcher, now)
        holders = self._replicas.usable_holders(shards, now)
        return any(self._calls.has_inventory_call(searcher) for searcher in holders)

    def _ask_again(self, gather: Gather, now: float) -> None:
        """Ask for versions again although they are known, with a pause that doubles.

        Other searches are still pinned by the known versions, so a search that waits for a version
        that is not yet available does not delay them.
        """
        if now < gather.ask_again_at:
            return
        gather.ask_pause = min(max(gather.ask_pause * 2, _INITIAL_ASK_PAUSE), _MAX_ASK_PAUSE)
        gather.ask_again_at = now + gather.ask_pause
        for searcher in self._usable_holders(gather, now):
            self._ask(searcher, now)

    def _ask(self, searcher: SearcherState, now: float) -> None:
        if not self._calls.has_inventory_call(searcher):
            self._ask_inventory(searcher, now)

    def _may_improve(self, gather: Gather, best: int | None, now: float) -> bool:
        """Return whether a shard lacks the best version but may get it while the search waits."""
        if self._returns_before(gather, self.pin_deadline(gather), now):
            return True
        snapshot = Snapshot(self._replicas.epoch, best or 0)
        return any(
            not self._replicas.is_served(shard, snapshot, now)
            and any(holder.is_usable(now) for holder in self._replicas.holders(shard))
            for shard in gather.search.shards
        )

    def _returns_before(self, gather: Gather, horizon: float, now: float) -> bool:
        times = [self._replicas.earliest_resume(shard, now) for shard in gather.search.shards]
        return any(when is not None and when < horizon for when in times)

    def _usable_holders(self, gather: Gather, now: float) -> list[SearcherState]:
        return self._replicas.usable_holders(gather.search.shards, now)
