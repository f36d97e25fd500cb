"""The scheduler of one group: admission, snapshot, replica choice, hedges, retries, answers."""

from random import Random

from limpethollow_policy.connection.searchers import SearcherState
from limpethollow_policy.process.admissions import AdmissionLimits, make_queue
from limpethollow_policy.process.replicas import Choice, ReplicaSet
from limpethollow_policy.request.events import (
    Action,
    CancelCall,
    Complete,
    Count,
    DenySlot,
    Failure,
    GrantSlot,
    OpenCall,
    Refuse,
    Search,
    Servable,
    SlotRequest,
    StartCall,
    TellDrain,
    WakeAt,
)
from limpethollow_policy.request.gathers import Gather
from limpethollow_policy.request.hedges import LatencyWindow, ShareBudget
from limpethollow_policy.version.groups import Group
from limpethollow_wire.exceptions import (
    CoverageTooLow,
    DeadlinePassed,
    LimpethollowError,
    Overloaded,
    Unavailable,
    VersionGone,
)
from limpethollow_wire.searches import CallQuery, SearcherReply, ServableVersions
from limpethollow_wire.services import ServiceSpec

_RETRY_SHARE = 0.1
_RETRY_RESERVE = 20.0
_HEDGE_RESERVE = 5.0
_MAX_ATTEMPTS = 4
_INVENTORY_TIMEOUT = 0.25
_PIN_PATIENCE_SHARE = 0.25
_ASK_AGAIN_SECONDS = 0.02
_SMALLEST_RETRY_AFTER = 0.05
_REFUSALS = {
    "queue_full": "The queue is full.",
    "gave_way": "The queue is full and the search gave way to a firm that uses less of its share.",
    "waited_out": "The search waited out its deadline.",
}


class GroupScheduler:
    """Decides all that concerns one group of shards at one owner instance.

    Every method takes the current monotonic second and returns what to do, in order. The caller
    carries the actions out and reports what became of each call exactly once, by `call_answered`
    or `call_failed`.

    Args:
        spec: The service.
        group: The group.
        rng: Source for jitter.
    """

    def __init__(self, spec: ServiceSpec, group: Group, rng: Random) -> None:
        self._spec = spec
        self._replicas = ReplicaSet(spec, group, rng)
        shares = {caller.firm: caller.share for caller in spec.callers}
        limits = AdmissionLimits(spec.admission.max_queue, shares)
        self._queue = make_queue(spec.admission.policy, limits)
        self._active: dict[str, Gather] = {}
        self._calls: dict[str, OpenCall] = {}
        self._slot_requests: dict[str, SlotRequest] = {}
        self._slots_granted: dict[str, str] = {}
        self._next_call = 0
        self._latencies = LatencyWindow()
        self._hedges = ShareBudget(spec.hedge.budget, _HEDGE_RESERVE)
        self._retries = ShareBudget(_RETRY_SHARE, _RETRY_RESERVE)
        self._actions: list[Action] = []

    @property
    def replicas(self) -> ReplicaSet:
        """The group's searchers with the evidence on each."""
        return self._replicas

    @property
    def is_idle(self) -> bool:
        """Whether no search and no call is open."""
        searching = self._active or self._calls or len(self._queue)
        return not (searching or self._slot_requests or self._slots_granted)

    def search_arrived(self, search: Search, now: float) -> list[Action]:
        """Take in a search; it is answered by `Complete`, `Servable` or `Refuse`, exactly once."""
        self._probe_leaving(now)
        gather = Gather(search, self._spec.objective, now)
        error = self._admission_error(gather, now)
        if error:
            self._refuse(gather, error)
        elif search.versions_only:
            self._start(gather)
        else:
            self._let_wait(gather, now)
        return self._pump(now)

    def search_abandoned(self, search_id: str, now: float) -> list[Action]:
        """Drop a search whose caller left; it gets no answer."""
        for gather in self._queue:
            if gather.search.id == search_id:
                self._queue.remove(gather)
                break
        self._finish(search_id)
        return self._pump(now)

    def call_answered(self, call_id: str, reply: SearcherReply, now: float) -> list[Action]:
        """Take in a searcher's reply."""
        call = self._end_call(call_id)
        if call is None:
            return []
        searcher = self._replicas[call.searcher_id]
        latency = now - call.started
        if searcher.answered(reply, None if call.is_inventory else latency, now):
            self._actions.append(TellDrain(call.searcher_id, reply.draining))
            self._actions.append(Count("searcher_drains", "left" if reply.draining else "back"))
        if not call.is_inventory:
            self._latencies.add(latency)
        self._take_parts(call, reply)
        self._take_errors(call, reply)
        return self._pump(now)

    def call_failed(
        self, call_id: str, failure: Failure, retry_after: float | None, now: float
    ) -> list[Action]:
        """Take in that a call gave no reply that can be used."""
        call = self._end_call(call_id)
        if call is None:
            return []
        self._replicas[call.searcher_id].failed(failure, retry_after, now)
        if failure is not Failure.CANCELLED:
            self._actions.append(Count("searcher_call_failures", failure))
        for search_id, shards in call.shards.items():
            gather = self._active.get(search_id)
            if gather:
                self._shards_failed(gather, call.searcher_id, shards, failure)
        return self._pump(now)

    def slot_wanted(self, request: SlotRequest, now: float) -> list[Action]:
        """Take in a booking's wish; it is answered by `GrantSlot` or `DenySlot`, exactly once."""
        self._probe_leaving(now)
        self._slot_requests[request.id] = request
        return self._pump(now)

    def slot_released(
        self, request_id: str, failure: Failure | None, retry_after: float | None, now: float
    ) -> list[Action]:
        """Take in that a booking no longer uses its slot, and how its dispatch ended."""
        searcher_id = self._slots_granted.pop(request_id, None)
        if searcher_id is not None:
            searcher = self._replicas[searcher_id]
            searcher.call_ended(request_id)
            if failure is not None:
                searcher.failed(failure, retry_after, now)
        return self._pump(now)

    def drain_noted(
        self, searcher_id: str, draining: bool, said_at: float, listed: bool, now: float
    ) -> list[Action]:
        """Take in what another instance heard of a searcher, or what the platform's list says."""
        if searcher_id in self._replicas:
            self._actions.append(Count("searcher_drain_notices", "list" if listed else "peer"))
            if listed:
                self._replicas[searcher_id].drain_listed(draining, now)
            else:
                self._replicas[searcher_id].drain_noted(draining, said_at)
        return self._pump(now)

    def tick(self, now: float) -> list[Action]:
        """Act on the passage of time."""
        return self._pump(now)

    def _pump(self, now: float) -> list[Action]:
        self._expire(now)
        for request in tuple(self._slot_requests.values()):
            self._grant_slot(request, now)
        for gather in tuple(self._active.values()):
            self._advance(gather, now)
        while len(self._queue) and self._may_start(now):
            gather = self._queue.pop(now)
            if gather is None:
                break
            self._start(gather)
            self._advance(gather, now)
        self._hedge(now)
        self._cancel_useless_calls()
        self._wake(now)
        actions, self._actions = self._actions, []
        return actions

    def _probe_leaving(self, now: float) -> None:
        """Ask leaving searchers whether they are back, once a while and only with traffic.

        The answer takes no slot and comes from the searcher itself. Without it a searcher whose
        drain was called off, or that was restarted, would never get work again.
        """
        for searcher in self._replicas:
            if searcher.wants_probe(now):
                self._actions.append(Count("searcher_probes"))
                self._start_call(searcher, {}, 0, _INVENTORY_TIMEOUT, now)

    def _may_start(self, now: float) -> bool:
        """Return whether a waiting search can use a slot, or learn at once that none is left."""
        return self._replicas.has_free_slot(now) or not self._replicas.usable(now)

    def _start(self, gather: Gather) -> None:
        self._active[gather.search.id] = gather

    def _advance(self, gather: Gather, now: float) -> None:
        if not gather.is_pinned:
            self._pin(gather, now)
        if gather.is_pinned and gather.search.id in self._active:
            self._assign(gather, now)
            self._drop_hopeless(gather, now)
        if gather.is_pinned and gather.is_finished and gather.search.id in self._active:
            self._conclude(gather, "failed", now)

    def _grant_slot(self, request: SlotRequest, now: float) -> None:
        """Give a booking a slot, bookings before searches, or say at once that there is none.

        Only a searcher that was heard of lately gets a booking. After a quiet hour, one that left
        long ago would get new work, and a connection that went silent would leave the outcome
        unknown; the inventory call tells both before the booking is sent.
        """
        holders = [s for s in self._replicas.holders(request.shard) if s.is_usable(now)]
        fresh = self._replicas.fresh(holders, now)
        if not fresh:
            self._ask_inventories(frozenset((request.shard,)), now)
        free = [s for s in fresh if s.has_free_slot]
        if free:
            best = min(free, key=lambda s: (s.spec.id in request.exclude, s.expected_wait(now)))
            best.call_started(request.id, now)
            self._slots_granted[request.id] = best.spec.id
            self._actions.append(GrantSlot(request.id, best.spec.id))
        elif now >= request.deadline:
            self._deny(request, self._overloaded(now, "No slot became free in time."))
        elif not holders:
            message = f"No searcher of shard {request.shard} can be used."
            self._deny(request, Unavailable(message, retry_after=self._retry_after(now)))
        else:
            return
        self._slot_requests.pop(request.id)

    def _deny(self, request: SlotRequest, error: LimpethollowError) -> None:
        self._actions.append(DenySlot(request.id, error))
        self._actions.append(Count("bookings_refused", error.code))

    # Snapshot

    def _pin(self, gather: Gather, now: float) -> None:
        search = gather.search
        servable = self._replicas.servable(search.shards, search.min_version, now)
        if search.pinned is not None and self._knows_inventories(search, now):
            gather.pin(self._replicas.epoch, search.pinned)
        elif servable and search.versions_only:
            versions = ServableVersions(self._replicas.epoch, servable)
            self._actions.append(Servable(search.id, versions))
            self._finish(search.id)
        elif servable:
            gather.pin(self._replicas.epoch, servable[0])
        else:
            self._pin_with_less(gather, now)

    def _knows_inventories(self, search: Search, now: float) -> bool:
        if self._replicas.servable(search.shards, 0, now):
            return True
        return not self._ask_inventories(search.shards, now)

    def _pin_with_less(self, gather: Gather, now: float) -> None:
        """Pin a snapshot that not every shard can serve, once waiting can't give a better one."""
        search = gather.search
        asking = self._ask_inventories(search.shards, now)
        if asking and now < self._pin_by(gather):
            return
        version = self._replicas.best_version(search.shards, search.min_version, now)
        if version is not None and not search.versions_only:
            gather.pin(self._replicas.epoch, version)
        elif asking:
            return
        elif search.min_version and self._replicas.best_version(search.shards, 0, now) is not None:
            self._forget_inventories(search.shards)
        elif not self._anyone_comes_back(search.shards, gather.horizon(), now):
            self._conclude(gather, "no_replica", now)

    def _ask_inventories(self, shards: frozenset[int], now: float) -> bool:
        """Ask stale searchers for their versions; true while an answer is awaited."""
        asked = {c.searcher_id for c in self._calls.values() if c.is_inventory}
        for searcher in self._replicas.stale(shards, now):
            if searcher.spec.id not in asked:
                self._start_call(searcher, {}, 0, _INVENTORY_TIMEOUT, now)
        return any(
            not shards.isdisjoint(self._replicas[c.searcher_id].spec.shards)
            for c in self._calls.values()
            if c.is_inventory
        )

    def _forget_inventories(self, shards: frozenset[int]) -> None:
        for searcher in self._replicas:
            if not shards.isdisjoint(searcher.spec.shards):
                searcher.forget_inventory()

    def _pin_by(self, gather: Gather) -> float:
        patience = (gather.answer_at - gather.arrived) * _PIN_PATIENCE_SHARE
        return gather.arrived + patience

    def _anyone_comes_back(self, shards: frozenset[int], horizon: float, now: float) -> bool:
        times = [self._replicas.comes_back(shard, now) for shard in shards]
        return any(when is not None and when < horizon for when in times)

    # Calls

    def _assign(self, gather: Gather, now: float) -> None:
        shards = gather.idle_shards
        while shards:
            choice = self._replicas.choose(gather, shards, now)
            if choice is None:
                return
            self._call(gather, choice, now)
            shards -= choice.shards

    def _call(self, gather: Gather, choice: Choice, now: float, hedge: bool = False) -> OpenCall:
        search = gather.search
        call = self._start_call(
            choice.searcher,
            {search.id: choice.shards},
            gather.version or 0,
            search.deadline - now,
            now,
        )
        call.hedge = hedge
        gather.call_started(call.id, choice.shards)
        choice.searcher.call_started(call.id, now)
        self._hedges.earn()
        self._retries.earn()
        return call

    def _start_call(
        self,
        searcher: SearcherState,
        shards: dict[str, frozenset[int]],
        version: int,
        timeout: float,
        now: float,
    ) -> OpenCall:
        self._next_call += 1
        call = OpenCall(str(self._next_call), searcher.spec.id, now, timeout, version, shards)
        self._calls[call.id] = call
        queries = tuple(
            CallQuery(search_id, self._active[search_id].search.query, tuple(sorted(wanted)))
            for search_id, wanted in shards.items()
        )
        epoch = self._replicas.epoch
        self._actions.append(StartCall(call.id, searcher.spec.id, epoch, version, timeout, queries))
        return call

    def _end_call(self, call_id: str) -> OpenCall | None:
        call = self._calls.pop(call_id, None)
        if call is None:
            return None
        self._replicas[call.searcher_id].call_ended(call_id)
        for search_id, shards in call.shards.items():
            gather = self._active.get(search_id)
            if gather:
                gather.call_ended(call_id, shards)
        return call

    def _take_parts(self, call: OpenCall, reply: SearcherReply) -> None:
        for part in reply.parts:
            gather = self._active.get(part.id)
            if gather and part.shard in call.shards.get(part.id, ()):
                gather.accept(part.shard, reply.epoch, part.version, part.rows)

    def _take_errors(self, call: OpenCall, reply: SearcherReply) -> None:
        """Treat every shard that was asked for and not answered as failed, named or not."""
        codes = {(error.id, error.shard): error.code for error in reply.errors}
        for search_id, shards in call.shards.items():
            gather = self._active.get(search_id)
            if gather is None:
                continue
            for shard in shards & gather.uncovered:
                code = codes.get((search_id, shard), "failed")
                if code != "version_gone":
                    self._shards_failed(gather, call.searcher_id, frozenset((shard,)), code)

    def _shards_failed(
        self, gather: Gather, searcher_id: str, shards: frozenset[int], reason: str
    ) -> None:
        for shard in shards & gather.idle_shards:
            gather.failed_at.add((shard, searcher_id))
            if reason == Failure.CANCELLED:
                continue
            if gather.attempts[shard] >= _MAX_ATTEMPTS:
                gather.give_up(shard, reason)
            elif self._retries.spend():
                self._actions.append(Count("retries", reason))
            else:
                self._actions.append(Count("retries_refused", "budget"))
                gather.give_up(shard, reason)

    def _drop_hopeless(self, gather: Gather, now: float) -> None:
        """Stop waiting for shards that no replica will serve before the answer is due."""
        version = gather.version or 0
        for shard in gather.idle_shards:
            if self._replicas.serves_somewhere(shard, version, now):
                continue
            back = self._replicas.comes_back(shard, now)
            if back is not None and back < gather.horizon():
                continue
            if not any(holder.is_usable(now) for holder in self._replicas.holders(shard)):
                gather.give_up(shard, "no_replica")
            elif self._may_repin(gather, now):
                return
            else:
                gather.give_up(shard, "version_gone")

    def _may_repin(self, gather: Gather, now: float) -> bool:
        """Start over at another snapshot if that can cover more than the pinned one."""
        search = gather.search
        if search.pinned is not None:
            return False
        stale = self._replicas.stale(search.shards, now)
        better = self._replicas.best_version(search.shards, search.min_version, now)
        if (better == gather.version and not stale) or not gather.unpin():
            return False
        self._actions.append(Count("search_restarts", "version_gone"))
        return True

    # Hedges and cancellation

    def _hedge(self, now: float) -> None:
        delay = self._hedge_delay()
        if delay is None or len(self._queue):
            return
        for call in tuple(self._calls.values()):
            due = not (call.is_inventory or call.hedge or call.hedged or call.cancelled)
            if due and now - call.started >= delay:
                self._hedge_call(call, now)

    def _hedge_call(self, call: OpenCall, now: float) -> None:
        for search_id, shards in call.shards.items():
            gather = self._active.get(search_id)
            wanted = shards & gather.uncovered if gather else frozenset()
            if not wanted or not self._hedges.available:
                continue
            choice = self._replicas.choose(gather, wanted, now, exclude=call.searcher_id)
            if choice is None:
                continue
            self._hedges.spend()
            self._call(gather, choice, now, hedge=True)
            call.hedged = True
            self._actions.append(Count("hedges"))

    def _hedge_delay(self) -> float | None:
        if self._spec.hedge.budget <= 0:
            return None
        quantile = self._latencies.quantile(self._spec.hedge.quantile)
        return None if quantile is None else max(quantile, self._spec.hedge.minimum_delay)

    def _cancel_useless_calls(self) -> None:
        for call in self._calls.values():
            if call.is_inventory or call.cancelled or self._is_useful(call):
                continue
            call.cancelled = True
            self._actions.append(CancelCall(call.id))
            self._actions.append(Count("searcher_calls_cancelled"))

    def _is_useful(self, call: OpenCall) -> bool:
        return any(
            search_id in self._active and not shards.isdisjoint(self._active[search_id].uncovered)
            for search_id, shards in call.shards.items()
        )

    # Answers

    def _expire(self, now: float) -> None:
        for gather in tuple(self._active.values()):
            if now >= gather.search.deadline:
                self._conclude(gather, "deadline", now)
            elif now >= gather.answer_at and gather.is_pinned and gather.meets_floor:
                self._conclude(gather, "objective", now)
        for gather in tuple(self._queue):
            if now >= gather.search.deadline:
                self._queue.remove(gather)
                self._refuse_waiting(gather, "waited_out", now)

    def _conclude(self, gather: Gather, reason: str, now: float) -> None:
        """Give a search its final answer, or the typed error that says why there is none."""
        search = gather.search
        if not gather.is_pinned or search.versions_only:
            self._refuse(gather, self._no_snapshot(gather, now))
        elif gather.search.pinned is not None and self._lost_pin(gather):
            self._refuse(gather, VersionGone(f"Version {gather.version} is gone from a shard."))
        elif gather.meets_floor:
            self._actions.append(Complete(search.id, gather.answer(reason)))
        else:
            self._refuse(gather, self._too_little(gather, reason, now))
        self._finish(search.id)

    def _lost_pin(self, gather: Gather) -> bool:
        return "version_gone" in gather.failures.values()

    def _no_snapshot(self, gather: Gather, now: float) -> LimpethollowError:
        retry_after = self._retry_after(now)
        if gather.search.min_version:
            return VersionGone(
                f"No replica set serves version {gather.search.min_version} yet.",
                remedy="Come back after retry_after seconds.",
                retry_after=retry_after,
            )
        return Unavailable("No searcher of the service can be used.", retry_after=retry_after)

    def _too_little(self, gather: Gather, reason: str, now: float) -> LimpethollowError:
        answer = gather.answer(reason)
        covered = len(answer.coverage.covered)
        return CoverageTooLow(
            f"Only {covered} of {answer.coverage.wanted} shards answered.",
            retry_after=self._retry_after(now),
            details={
                "covered": list(answer.coverage.covered),
                "missing": {str(m.shard): m.reason for m in answer.coverage.missing},
            },
        )

    def _refuse(self, gather: Gather, error: LimpethollowError) -> None:
        self._actions.append(Refuse(gather.search.id, error))
        self._actions.append(Count("searches_refused", error.code))

    def _finish(self, search_id: str) -> None:
        self._active.pop(search_id, None)

    # Admission and timing

    def _admission_error(self, gather: Gather, now: float) -> LimpethollowError | None:
        firm = gather.search.firm
        if gather.search.deadline <= now:
            self._count_refusal(firm, "deadline_passed")
            return DeadlinePassed("The deadline has passed; the search was not run.")
        if self._estimated_wait(firm, now) > gather.search.deadline - now:
            self._count_refusal(firm, "wait_too_long")
            return self._overloaded(now, "The wait would be longer than the deadline.", firm)
        return None

    def _let_wait(self, gather: Gather, now: float) -> None:
        out = self._queue.offer(gather)
        if out is not None:
            self._refuse_waiting(out, "queue_full" if out is gather else "gave_way", now)

    def _refuse_waiting(self, gather: Gather, reason: str, now: float) -> None:
        firm = gather.search.firm
        self._count_refusal(firm, reason)
        self._refuse(gather, self._overloaded(now, _REFUSALS[reason], firm))

    def _count_refusal(self, firm: str, reason: str) -> None:
        self._actions.append(Count("admissions_refused", f"{firm}/{reason}"))

    def _estimated_wait(self, firm: str, now: float) -> float:
        return self._queue.wait(firm, now)

    def _overloaded(self, now: float, message: str, firm: str = "") -> LimpethollowError:
        return Overloaded(message, retry_after=self._retry_after(now, firm))

    def _retry_after(self, now: float, firm: str = "") -> float:
        paused = [s.down_until - now for s in self._replicas if s.down_until > now]
        wait = self._estimated_wait(firm, now)
        return max(wait, min(paused, default=0.0), _SMALLEST_RETRY_AFTER)

    def _wake(self, now: float) -> None:
        times = [*self._gather_times(now), *self._call_times()]
        later = [when for when in times if when > now]
        if later:
            self._actions.append(WakeAt(min(later)))

    def _gather_times(self, now: float) -> list[float]:
        times: list[float] = []
        for gather in self._active.values():
            times += [gather.search.deadline, gather.answer_at]
            if not gather.is_pinned:
                times += [self._pin_by(gather), now + _ASK_AGAIN_SECONDS]
            for shard in gather.idle_shards:
                back = self._replicas.comes_back(shard, now)
                times += [] if back is None else [back]
        times += [gather.search.deadline for gather in self._queue]
        times += [request.deadline for request in self._slot_requests.values()]
        return times

    def _call_times(self) -> list[float]:
        delay = self._hedge_delay()
        if delay is None:
            return []
        return [c.started + delay for c in self._calls.values() if not c.is_inventory]
