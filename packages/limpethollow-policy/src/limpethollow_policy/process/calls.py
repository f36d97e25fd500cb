"""The open calls to searchers, and the shards that each of them was asked for."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.request.gathers import Snapshot

Work = Mapping[str, frozenset[int]]


@dataclass(slots=True, eq=False)
class OpenCall:
    """A call to a searcher that has not ended.

    Attributes:
        id: Identifier of the call.
        searcher: The searcher that it was sent to.
        started: Monotonic time at which it was sent, in seconds.
        snapshot: Requested snapshot.
        work: Requested shards by query key; empty for an inventory call.
        hedge: Whether it duplicates work of a call that was still open.
        hedged: Pairs of query key and shard that another call duplicates.
        cancelled: Whether its cancellation was requested.
        retry_is_charged: Whether a retry was already taken from the budget for its failure.
        searcher_was_doubtful: Whether the previous call to its searcher had failed.
    """

    id: str
    searcher: SearcherState
    started: float
    snapshot: Snapshot
    work: Work
    hedge: bool = False
    hedged: set[tuple[str, int]] = field(default_factory=set)
    cancelled: bool = False
    retry_is_charged: bool = False
    searcher_was_doubtful: bool = False

    @property
    def is_inventory(self) -> bool:
        """Whether the call only requests the searcher's index versions."""
        return not self.work


class CallTable:
    """All open calls of one group, indexed by id and by the requested work.

    Work is identified by query key, snapshot and shard instead of by search, so that searches with
    the same query on the same snapshot share their calls.
    """

    __slots__ = ("_open_counts", "_calls", "_last_id")

    def __init__(self) -> None:
        self._calls: dict[str, OpenCall] = {}
        self._open_counts: dict[tuple[str, Snapshot], dict[int, int]] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[OpenCall]:
        return iter(tuple(self._calls.values()))

    def open(self, searcher: SearcherState, snapshot: Snapshot, work: Work, now: float) -> OpenCall:
        """Add a call; an inventory call has no work and occupies no slot."""
        self._last_id += 1
        call = OpenCall(str(self._last_id), searcher, now, snapshot, work)
        call.searcher_was_doubtful = searcher.is_doubtful
        self._calls[call.id] = call
        if not call.is_inventory:
            searcher.call_started(call.id, now)
        self._count_work(call, 1)
        return call

    def end(self, call_id: str) -> OpenCall | None:
        """Remove a call; None if it has already ended, so that no reply counts twice."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return None
        call.searcher.call_ended(call_id)
        if not call.cancelled:
            self._count_work(call, -1)
        return call

    def cancel(self, call: OpenCall) -> None:
        """Stop waiting for the results of a call; it keeps its slot until it ends."""
        call.cancelled = True
        self._count_work(call, -1)

    def requested_shards(self, key: str, snapshot: Snapshot) -> frozenset[int]:
        """Return the shards requested by open calls for a query on a snapshot."""
        return frozenset(self._open_counts.get((key, snapshot), ()))

    def has_inventory_call(self, searcher: SearcherState) -> bool:
        """Return whether an inventory call to the searcher is open."""
        return any(c.is_inventory and c.searcher is searcher for c in self._calls.values())

    def _count_work(self, call: OpenCall, amount: int) -> None:
        for key, shards in call.work.items():
            counts = self._open_counts.setdefault((key, call.snapshot), {})
            for shard in shards:
                counts[shard] = counts.get(shard, 0) + amount
                if not counts[shard]:
                    del counts[shard]
            if not counts:
                del self._open_counts[key, call.snapshot]
