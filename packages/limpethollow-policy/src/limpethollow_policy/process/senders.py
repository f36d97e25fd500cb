"""Which calls are made, what they carry, and who gets what they bring."""

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.calls import CallTable, OpenCall, Work
from limpethollow_policy.process.crashes import Standing
from limpethollow_policy.process.repeats import Repeats
from limpethollow_policy.process.replicas import Choice, ReplicaSet
from limpethollow_policy.process.results import ResultCache
from limpethollow_policy.process.searches import ActiveSearches
from limpethollow_policy.process.suspects import SuspectQueries
from limpethollow_policy.request.events import CancelCall, Failure, StartCall
from limpethollow_policy.request.gathers import Gather, Snapshot
from limpethollow_policy.request.outboxes import Outbox
from limpethollow_wire.searches import CallQuery, SearcherReply

_INVENTORY_TIMEOUT = 0.25
_UNNAMED = "failed"
_VERSION_GONE = "version_gone"
_QUARANTINED = "quarantined"


class CallSender:
    """Makes the calls of one group's searches.

    One call goes to a searcher however many shards are wanted from it. It carries the queries of
    other searches at the same snapshot too, and a search joins calls and kept answers of others
    that asked the same.

    Args:
        replicas: The group's searchers.
        active: The started searches.
        calls: The open calls.
        repeats: Budgets of hedges and retries.
        suspects: Queries that may end their searchers.
        outbox: Where actions go.
    """

    __slots__ = (
        "_active",
        "_calls",
        "_changed",
        "_kept",
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
        repeats: Repeats,
        suspects: SuspectQueries,
        outbox: Outbox,
    ) -> None:
        self._replicas = replicas
        self._active = active
        self._calls = calls
        self._repeats = repeats
        self._suspects = suspects
        self._outbox = outbox
        self._kept = ResultCache()
        self._changed: set[str] = set()

    def will_bring_all(self, gather: Gather, version: int) -> bool:
        """Return whether a search needs no call of its own at a version."""
        snapshot = Snapshot(self._replicas.epoch, version)
        busy = self._calls.busy_shards(gather.key, snapshot)
        return self._kept.has_all(gather.key, snapshot, gather.search.shards - busy)

    def fill(self, gather: Gather) -> None:
        """Give a search what others' calls brought, or will bring, for its query and snapshot."""
        if self._kept.fill(gather):
            self._outbox.count("shared_answers", "kept")
        if gather.snapshot is None:
            return
        joined = gather.open_shards & self._calls.busy_shards(gather.key, gather.snapshot)
        gather.idle = gather.open_shards - joined
        if joined:
            self._outbox.count("shared_answers", "joined")
            gather.asked_shards |= joined

    def wants_less(self, key: str) -> None:
        """Note that fewer searches wait for a query, so calls for it may be useless now."""
        self._changed.add(key)

    def ask_inventory(self, searcher: SearcherState, now: float) -> None:
        """Ask a searcher for its index versions."""
        self._start(searcher, Snapshot(self._replicas.epoch, 0), {}, _INVENTORY_TIMEOUT, now)

    def assign(self, now: float, *, patient: bool) -> bool:
        """Make the calls that free slots allow; false where there was none to make."""
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
        """Repeat calls that take unusually long on other replicas, within the budget."""
        delay = self._repeats.hedge_delay()
        if delay is None:
            return
        for call in self._calls:
            first = not (call.is_inventory or call.hedge or call.cancelled)
            if first and now - call.started >= delay:
                self._hedge_call(call, now)

    def hedge_times(self) -> list[float]:
        """Return the seconds at which calls become old enough for a hedge."""
        delay = self._repeats.hedge_delay()
        if delay is None:
            return []
        return [c.started + delay for c in self._calls if not (c.is_inventory or c.hedge)]

    def cancel_useless(self) -> None:
        """Cancel the calls that can bring nothing any more that somebody waits for."""
        if not self._changed:
            return
        changed, self._changed = self._changed, set()
        for call in self._calls:
            may_be = not (call.cancelled or changed.isdisjoint(call.work))
            if may_be and not self._is_useful(call):
                self._calls.cancel(call)
                self._outbox.add(CancelCall(call.id))
                self._outbox.count("searcher_calls_cancelled")

    def take_reply(self, call: OpenCall, reply: SearcherReply, now: float) -> None:
        """Hand out a reply's parts; a shard asked for and not answered has failed, named or not.

        A part is taken for the query and shard that this call asked for and no other, so a reply
        that is crossed, doubled or short adds nothing to an answer.
        """
        for part in reply.parts:
            if part.shard in call.work.get(part.id, ()):
                snapshot = Snapshot(reply.epoch, part.version)
                self._hand_out(call, part.id, part.shard, snapshot, part.rows)
        self._suspects.survived(call.work, now)
        if call.cancelled:
            return
        self._work_ended(call)
        codes = {(error.id, error.shard): error.code for error in reply.errors}
        for key, shards in call.work.items():
            failed = {shard: codes.get((key, shard), _UNNAMED) for shard in shards}
            self._shards_failed(call, key, failed)

    def take_failure(self, call: OpenCall, failure: Failure, now: float) -> None:
        """Have a failed call's work done again where the budget allows."""
        if failure is Failure.LOST:
            self._suspects.lost(call, now)
        if call.cancelled:
            return
        self._outbox.count("searcher_call_failures", failure)
        self._work_ended(call)
        for key, shards in call.work.items():
            self._shards_failed(call, key, dict.fromkeys(shards, str(failure)))

    def _hand_out(
        self, call: OpenCall, key: str, shard: int, snapshot: Snapshot, rows: list[object]
    ) -> None:
        if snapshot != call.snapshot:
            self._outbox.count("parts_refused", "snapshot")
            return
        self._kept.keep(key, snapshot, shard, rows)
        for gather in self._active.asking(key):
            gather.accept(shard, snapshot, rows)
        self._changed.add(key)

    def _work_ended(self, call: OpenCall) -> None:
        """Make the shards idle that an ended call did not bring and no other will."""
        for key, shards in call.work.items():
            lost = shards - self._calls.busy_shards(key, call.snapshot)
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
        """Let a shard be tried again, or give it up with its reason."""
        may_retry = gather.failed(shard, call.searcher.spec.id)
        if shard not in gather.idle:
            return
        if self._suspects.standing(gather.key) is Standing.QUARANTINED:
            gather.give_up(shard, _QUARANTINED)
            return
        if reason == _VERSION_GONE and not self._claims(call, shard):
            return
        if not may_retry:
            gather.give_up(shard, reason)
        elif call.repeat_is_paid or self._repeats.spend_retry():
            if not call.repeat_is_paid:
                self._outbox.count("retries", reason)
            call.repeat_is_paid = True
        else:
            self._outbox.count("retries_refused", "budget")
            gather.give_up(shard, reason)

    def _claims(self, call: OpenCall, shard: int) -> bool:
        """Return whether a searcher lists the snapshot that it just said is gone.

        Taking it at its list would send it the same call again and again without end, so such a
        reply counts as a failure with its bounded retries.
        """
        epoch, version = call.snapshot
        return call.searcher.can_serve(shard, epoch, version)

    def _call(self, gather: Gather, choice: Choice, free_share: float, now: float) -> None:
        work = self._batch(gather, choice)
        assert gather.snapshot is not None
        self._open(choice.searcher, gather.snapshot, work, now)
        self._repeats.call_started(free_share)

    def _batch(self, first: Gather, choice: Choice) -> dict[str, frozenset[int]]:
        """Return one search's work joined with what others need of the same searcher."""
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
        """Repeat one call's open work on other replicas, once for each shard."""
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
