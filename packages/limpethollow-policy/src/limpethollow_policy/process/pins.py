"""Which snapshot a search gets, and how long choosing one may take."""

from collections.abc import Callable
from enum import Enum

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.calls import CallTable
from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_policy.request.gathers import Gather, Snapshot

_PATIENCE_SHARE = 0.25
_FIRST_ASK_PAUSE = 0.005
_LONGEST_ASK_PAUSE = 0.16

AskInventory = Callable[[SearcherState, float], None]


class Pin(Enum):
    """What became of the choice.

    Attributes:
        DONE: The search has its snapshot.
        WAITING: A better choice may come soon.
        IMPOSSIBLE: No allowed snapshot can be served before the deadline.
    """

    DONE = "done"
    WAITING = "waiting"
    IMPOSSIBLE = "impossible"


class Pinner:
    """Pins searches to snapshots by what the searchers last said of their versions.

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

    def pin(self, gather: Gather, now: float) -> Pin:
        """Choose a search's snapshot if that can be done now.

        Searchers that gave no word for long are asked each time, even where the others can serve
        all: a new or returning replica would otherwise get no call while there is steady traffic.
        """
        search = gather.search
        asking = self._ask_stale(gather, now)
        servable = self._replicas.servable(search.shards, search.min_version, now)
        if search.pinned is not None:
            return self._pin_given(gather, search.pinned, asking, now)
        if servable:
            return self._choose(gather, servable[0])
        return self._pin_with_less(gather, asking, now)

    def pin_by(self, gather: Gather) -> float:
        """Return the second after which a snapshot that covers less is good enough."""
        patience = (gather.answer_at - gather.arrived) * _PATIENCE_SHARE
        return gather.arrived + patience

    def wake_times(self, gather: Gather) -> list[float]:
        """Return the seconds at which a waiting search must be looked at again."""
        times = [self.pin_by(gather)]
        if gather.ask_pause:
            times.append(gather.ask_again_at)
        return times

    def _pin_given(self, gather: Gather, version: int, asking: bool, now: float) -> Pin:
        """Pin what the coordinator chose, once the searchers' versions are known here."""
        if asking and now < self.pin_by(gather) and not self._is_servable(gather, version, now):
            return Pin.WAITING
        return self._choose(gather, version)

    def _is_servable(self, gather: Gather, version: int, now: float) -> bool:
        return version in self._replicas.servable(gather.search.shards, 0, now)

    def _pin_with_less(self, gather: Gather, asking: bool, now: float) -> Pin:
        """Pin a snapshot that not every shard can serve, once waiting can't give a better one."""
        search = gather.search
        best = self._replicas.best_version(search.shards, search.min_version, now)
        if now < self.pin_by(gather):
            if asking:
                return Pin.WAITING
            if self._may_improve(gather, best, now):
                self._ask_again(gather, now)
                return Pin.WAITING
        if best is not None:
            return self._choose(gather, best)
        if asking:
            return Pin.WAITING
        if search.min_version and self._usable_holders(gather, now):
            # The version was promised by a booking's reply, so it will come: keep asking.
            self._ask_again(gather, now)
            return Pin.WAITING
        if self._comes_back(gather, gather.search.deadline, now):
            return Pin.WAITING
        return Pin.IMPOSSIBLE

    def _choose(self, gather: Gather, version: int) -> Pin:
        if not gather.search.versions_only:
            gather.pin(Snapshot(self._replicas.epoch, version))
        return Pin.DONE

    def _ask_stale(self, gather: Gather, now: float) -> bool:
        """Ask holders with stale lists for their versions; true while an answer is awaited."""
        shards = gather.search.shards
        for searcher in self._replicas.stale(shards, now):
            self._ask(searcher, now)
        holders = self._replicas.usable_holders(shards, now)
        return any(self._calls.asks_inventory_of(searcher) for searcher in holders)

    def _ask_again(self, gather: Gather, now: float) -> None:
        """Ask for versions although they are known, with a pause that doubles.

        Other searches go on pinning by what is known, so a search that waits for a version that is
        not there yet does not hold them up.
        """
        if now < gather.ask_again_at:
            return
        gather.ask_pause = min(max(gather.ask_pause * 2, _FIRST_ASK_PAUSE), _LONGEST_ASK_PAUSE)
        gather.ask_again_at = now + gather.ask_pause
        for searcher in self._usable_holders(gather, now):
            self._ask(searcher, now)

    def _ask(self, searcher: SearcherState, now: float) -> None:
        if not self._calls.asks_inventory_of(searcher):
            self._ask_inventory(searcher, now)

    def _may_improve(self, gather: Gather, best: int | None, now: float) -> bool:
        """Return whether some shard lacks the best version, but may get it while we wait."""
        if self._comes_back(gather, self.pin_by(gather), now):
            return True
        snapshot = Snapshot(self._replicas.epoch, best or 0)
        return any(
            not self._replicas.serves_somewhere(shard, snapshot, now)
            and any(holder.is_usable(now) for holder in self._replicas.holders(shard))
            for shard in gather.search.shards
        )

    def _comes_back(self, gather: Gather, horizon: float, now: float) -> bool:
        times = [self._replicas.comes_back(shard, now) for shard in gather.search.shards]
        return any(when is not None and when < horizon for when in times)

    def _usable_holders(self, gather: Gather, now: float) -> list[SearcherState]:
        return self._replicas.usable_holders(gather.search.shards, now)
