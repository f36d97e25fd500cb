"""Makes the calls of a group's searches and distributes their results."""

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.calls import CallTable, OpenCall, Work
from limpethollow_policy.process.crashes import Standing
from limpethollow_policy.process.repeatlimits import RepeatLimits
from limpethollow_policy.process.replicas import Choice, ReplicaSet
from limpethollow_policy.process.resultcaches import ResultCache
from limpethollow_policy.process.searches import ActiveSearches
from limpethollow_policy.process.suspects import SuspectQueries
from limpethollow_policy.request.events import CancelCall, Failure, StartCall
from limpethollow_policy.request.gathers import Gather, Snapshot
from limpethollow_policy.request.outboxes import Outbox
from limpethollow_wire.searches import CallQuery, SearcherReply

_INVENTORY_TIMEOUT = 0.25
_NO_PART = "failed"
_VERSION_GONE = "version_gone"
_QUARANTINED = "quarantined"


class CallSender:
    """Makes the calls of one group's searches.

    A searcher gets one call for all shards that are needed from it. The call also carries the
    queries of other searches at the same snapshot, and a search shares the open calls and cached
    results of other searches with the same query.

    Args:
        replicas: The group's searchers.
        active: The started searches.
        calls: The open calls.
        repeats: The limits of hedges and retries.
        suspects: Queries suspected of crashing their searchers.
        outbox: Collects the actions.
    """

    __slots__ = (
        "_active",
        "_calls",
        "_changed_keys",
        "_results",
        "_outbox",
        "_repeats",
        "_replicas",
        "_suspects",
    )

    def __init__(
        self,
        replicas: ReplicaSet,
        active: ActiveSearches,
        calls: CallTable,
        repeats: RepeatLimits,
        suspects: SuspectQueries,
        outbox: Outbox,
    ) -> None:
        self._replicas = replicas
        self._active = active
        self._calls = calls
        self._repeats = repeats
        self._suspects = suspects
        self._outbox = outbox
        self._results = ResultCache()
        self._changed_keys: set[str] = set()

    def is_covered_by_others(self, gather: Gather, version: int) -> bool:
        """Return whether open calls and cached results cover a whole search at a version."""
        snapshot = Snapshot(self._replicas.epoch, version)
        busy = self._calls.requested_shards(gather.key, snapshot)
        return self._results.has_all(gather.key, snapshot, gather.search.shards - busy)

    def fill(self, gather: Gather) -> None:
        """Add cached results to a search, and join it to open calls for its query and snapshot."""
        if self._results.fill(gather):
            self._outbox.count("shared_answers", "kept")
        if gather.snapshot is None:
            return
        joined = gather.open_shards & self._calls.requested_shards(gather.key, gather.snapshot)
        gather.idle = gather.open_shards - joined
        if joined:
            self._outbox.count("shared_answers", "joined")
            gather.asked_shards |= joined

    def mark_changed(self, key: str) -> None:
        """Record that fewer searches wait for a query, so its calls may have become useless."""
        self._changed_keys.add(key)

    def ask_inventory(self, searcher: SearcherState, now: float) -> None:
        """Send a searcher an inventory call, which asks for its index versions."""
        self._start(searcher, Snapshot(self._replicas.epoch, 0), {}, _INVENTORY_TIMEOUT, now)

    def assign(self, now: float, *, patient: bool) -> bool:
        """Make the calls that free slots allow; return whether any was made."""
        made = False
        idle = [gather for gather in self._active if gather.idle]
        free_share = self._replicas.free_share(now) if idle else 0.0
        for gather in idle:
            for choice in self._replicas.choose(gather, gather.idle, now, patient=patient):
                if self._suspects.may_call(gather.key):
                    self._call(gather, choice, free_share, now)
                    made = True
        return made

    def hedge(self, now: float) -> None:
        """Hedge unusually slow calls on other replicas, within the budget."""
        delay = self._repeats.hedge_delay()
        if delay is None:
            return
        for call in self._calls:
            is_first_send = not (call.is_inventory or call.hedge or call.cancelled)
            if is_first_send and now - call.started >= delay:
                self._hedge_call(call, now)

    def hedge_times(self) -> list[float]:
        """Return the times at which open calls become old enough to be hedged."""
        delay = self._repeats.hedge_delay()
        if delay is None:
            return []
        return [c.started + delay for c in self._calls if not (c.is_inventory or c.hedge)]

    def cancel_useless(self) -> None:
        """Cancel the calls whose results no search waits for any more."""
        if not self._changed_keys:
            return
        changed, self._changed_keys = self._changed_keys, set()
        for call in self._calls:
            is_affected = not (call.cancelled or changed.isdisjoint(call.work))
            if is_affected and not self._is_useful(call):
                self._calls.cancel(call)
                self._outbox.add(CancelCall(call.id))
                self._outbox.count("searcher_calls_cancelled")

    def handle_reply(self, call: OpenCall, reply: SearcherReply, now: float) -> None:
        """Distribute the parts of a reply; a requested shard without a part counts as failed.

        It counts as failed whether or not the reply has an error for it. Only parts for queries and
        shards of this call are accepted, so misrouted, duplicate or truncated replies add nothing
        to an answer.
        """
        for part in reply.parts:
            if part.shard in call.work.get(part.id, ()):
                snapshot = Snapshot(reply.epoch, part.version)
                self._distribute_part(call, part.id, part.shard, snapshot, part.rows)
        self._suspects.survived(call.work, now)
        if call.cancelled:
            return
        self._mark_idle(call)
        codes = {(error.id, error.shard): error.code for error in reply.errors}
        for key, shards in call.work.items():
            failed = {shard: codes.get((key, shard), _NO_PART) for shard in shards}
            self._shards_failed(call, key, failed)

    def handle_failure(self, call: OpenCall, failure: Failure, now: float) -> None:
        """Retry the work of a failed call if the budget allows it."""
        if failure is Failure.LOST:
            self._suspects.lost(call, now)
        if call.cancelled:
            return
        self._outbox.count("searcher_call_failures", failure)
        self._mark_idle(call)
        for key, shards in call.work.items():
            self._shards_failed(call, key, dict.fromkeys(shards, str(failure)))

    def _distribute_part(
        self, call: OpenCall, key: str, shard: int, snapshot: Snapshot, rows: list[object]
    ) -> None:
        if snapshot != call.snapshot:
            self._outbox.count("parts_refused", "snapshot")
            return
        self._results.keep(key, snapshot, shard, rows)
        for gather in self._active.asking(key):
            gather.accept(shard, snapshot, rows)
        self._changed_keys.add(key)

    def _mark_idle(self, call: OpenCall) -> None:
        """Mark the shards of an ended call idle that are still open and in no other call."""
        for key, shards in call.work.items():
            lost = shards - self._calls.requested_shards(key, call.snapshot)
            for gather in self._active.asking(key):
                if gather.snapshot == call.snapshot:
                    gather.idle |= lost & gather.open_shards

    def _shards_failed(self, call: OpenCall, key: str, failed: dict[int, str]) -> None:
        for gather in self._active.asking(key):
            if gather.snapshot != call.snapshot:
                continue
            for shard in gather.open_shards & failed.keys():
                self._shard_failed(gather, call, shard, failed[shard])

    def _shard_failed(self, gather: Gather, call: OpenCall, shard: int, reason: str) -> None:
        """Allow another try of a failed shard, or give it up with the reason."""
        may_retry = gather.failed(shard, call.searcher.spec.id)
        if shard not in gather.idle:
            return
        if self._suspects.standing(gather.key) is Standing.QUARANTINED:
            gather.give_up(shard, _QUARANTINED)
            return
        if reason == _VERSION_GONE and not self._still_lists_snapshot(call, shard):
            return
        if not may_retry:
            gather.give_up(shard, reason)
        elif call.retry_is_charged or self._repeats.spend_retry():
            if not call.retry_is_charged:
                self._outbox.count("retries", reason)
            call.retry_is_charged = True
        else:
            self._outbox.count("retries_refused", "budget")
            gather.give_up(shard, reason)

    def _still_lists_snapshot(self, call: OpenCall, shard: int) -> bool:
        """Return whether a searcher still lists the snapshot that it just reported as gone.

        Trusting its list would send it the same call in an endless loop, so such a reply counts as
        a failure, whose retries are bounded.
        """
        epoch, version = call.snapshot
        return call.searcher.can_serve(shard, epoch, version)

    def _call(self, gather: Gather, choice: Choice, free_share: float, now: float) -> None:
        work = self._batch(gather, choice)
        assert gather.snapshot is not None
        self._open(choice.searcher, gather.snapshot, work, now)
        self._repeats.call_started(free_share)

    def _batch(self, first: Gather, choice: Choice) -> dict[str, frozenset[int]]:
        """Return the work of one search, combined with what others need from the same searcher."""
        work = {first.key: choice.shards}
        if not self._suspects.is_trusted(first.key):
            return work
        for other in self._active:
            if other is first or not other.idle or other.snapshot != first.snapshot:
                continue
            if not self._suspects.is_trusted(other.key):
                continue
            if other.key not in work and len(work) >= self._replicas.queries_per_call:
                continue
            shards = self._replicas.serves(choice.searcher, other, other.idle)
            shards -= {s for s in shards if (s, choice.searcher.spec.id) in other.failed_at}
            if shards:
                work[other.key] = work.get(other.key, frozenset()) | shards
        return work

    def _open(
        self, searcher: SearcherState, snapshot: Snapshot, work: Work, now: float
    ) -> OpenCall:
        asking = [g for key in work for g in self._active.asking(key) if g.snapshot == snapshot]
        left = max(gather.search.deadline for gather in asking) - now
        call = self._start(searcher, snapshot, work, self._repeats.attempt_timeout(left), now)
        for gather in asking:
            gather.asked_shards |= work[gather.key]
            gather.idle -= work[gather.key]
        return call

    def _start(
        self, searcher: SearcherState, snapshot: Snapshot, work: Work, timeout: float, now: float
    ) -> OpenCall:
        call = self._calls.open(searcher, snapshot, work, now)
        queries = tuple(
            CallQuery(key, self._active.asking(key)[0].search.query, tuple(sorted(shards)))
            for key, shards in work.items()
        )
        epoch, version = snapshot
        self._outbox.add(StartCall(call.id, searcher.spec.id, epoch, version, timeout, queries))
        return call

    def _hedge_call(self, call: OpenCall, now: float) -> None:
        """Hedge the open work of one call on other replicas, at most once per shard."""
        for key, shards in call.work.items():
            waiting = [g for g in self._active.asking(key) if g.snapshot == call.snapshot]
            open_shards = frozenset().union(*(g.open_shards for g in waiting))
            wanted = frozenset(s for s in shards & open_shards if (key, s) not in call.hedged)
            if not (wanted and self._repeats.may_hedge and self._suspects.is_trusted(key)):
                continue
            choices = self._replicas.choose(waiting[0], wanted, now, exclude=call.searcher)
            for choice in choices:
                if not self._repeats.spend_hedge():
                    return
                hedge = self._open(choice.searcher, call.snapshot, {key: choice.shards}, now)
                hedge.hedge = True
                call.hedged |= {(key, shard) for shard in choice.shards}
                self._outbox.count("hedges")

    def _is_useful(self, call: OpenCall) -> bool:
        return any(
            gather.snapshot == call.snapshot and not shards.isdisjoint(gather.uncovered)
            for key, shards in call.work.items()
            for gather in self._active.asking(key)
        )
