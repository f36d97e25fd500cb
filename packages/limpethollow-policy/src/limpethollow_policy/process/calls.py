"""The calls on their way to searchers, and the work that each of them will bring back."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.request.gathers import Snapshot

Work = Mapping[str, frozenset[int]]


@dataclass(slots=True, eq=False)
class OpenCall:
    """A call on its way.

    Attributes:
        id: Name of the call.
        searcher: Where it went.
        started: Monotonic second it was sent.
        snapshot: Snapshot asked for.
        work: Shards asked for, by query key; empty for an inventory call.
        hedge: Whether it repeats work that another call was still doing.
        hedged: Shards by query key that another call repeats.
        cancelled: Whether its cancellation was asked for.
        repeat_is_paid: Whether its failure has taken a retry out of the budget.
        to_doubtful: Whether its searcher's last call before it had failed.
    """

    id: str
    searcher: SearcherState
    started: float
    snapshot: Snapshot
    work: Work
    hedge: bool = False
    hedged: set[tuple[str, int]] = field(default_factory=set)
    cancelled: bool = False
    repeat_is_paid: bool = False
    to_doubtful: bool = False

    @property
    def is_inventory(self) -> bool:
        """Whether the call asks only for the searcher's index versions."""
        return not self.work


class CallTable:
    """All open calls of one group, found by id or by the work they do.

    Work is named by query key, snapshot and shard and not by search, so that a search joins the
    calls that others already made for the same query on the same snapshot.
    """

    __slots__ = ("_busy", "_calls", "_next")

    def __init__(self) -> None:
        self._calls: dict[str, OpenCall] = {}
        self._busy: dict[tuple[str, Snapshot], dict[int, int]] = {}
        self._next = 0

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[OpenCall]:
        return iter(tuple(self._calls.values()))

    def open(self, searcher: SearcherState, snapshot: Snapshot, work: Work, now: float) -> OpenCall:
        """Add a call; an inventory call has no work and takes no slot."""
        self._next += 1
        call = OpenCall(str(self._next), searcher, now, snapshot, work)
        call.to_doubtful = searcher.is_doubtful
        self._calls[call.id] = call
        if not call.is_inventory:
            searcher.call_started(call.id, now)
        self._add(call, 1)
        return call

    def end(self, call_id: str) -> OpenCall | None:
        """Take a call out; None where it ended before, so that no reply counts twice."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return None
        call.searcher.call_ended(call_id)
        if not call.cancelled:
            self._add(call, -1)
        return call

    def cancel(self, call: OpenCall) -> None:
        """Count on a call no longer; it keeps its slot until it ends."""
        call.cancelled = True
        self._add(call, -1)

    def busy_shards(self, key: str, snapshot: Snapshot) -> frozenset[int]:
        """Return the shards that some open call will bring for a query on a snapshot."""
        return frozenset(self._busy.get((key, snapshot), ()))

    def asks_inventory_of(self, searcher: SearcherState) -> bool:
        """Return whether a call for the searcher's index versions is open."""
        return any(c.is_inventory and c.searcher is searcher for c in self._calls.values())

    def _add(self, call: OpenCall, amount: int) -> None:
        for key, shards in call.work.items():
            busy = self._busy.setdefault((key, call.snapshot), {})
            for shard in shards:
                busy[shard] = busy.get(shard, 0) + amount
                if not busy[shard]:
                    del busy[shard]
            if not busy:
                del self._busy[key, call.snapshot]
