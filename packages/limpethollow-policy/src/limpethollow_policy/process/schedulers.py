"""The scheduler of one group: takes events in, gives actions out, and leaves each job to a part."""

from random import Random

from limpethollow_policy.process.answers import Verdicts
from limpethollow_policy.process.calls import CallTable
from limpethollow_policy.process.pins import Pin, Pinner
from limpethollow_policy.process.repeats import Repeats
from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_policy.process.searches import ActiveSearches
from limpethollow_policy.process.senders import CallSender
from limpethollow_policy.process.slots import SlotGranter
from limpethollow_policy.process.suspects import SuspectQueries
from limpethollow_policy.process.waits import WaitEstimate, queue_for
from limpethollow_policy.request.events import (
    Action,
    Failure,
    Refuse,
    Search,
    Servable,
    SlotRequest,
    TellDrain,
    WakeAt,
)
from limpethollow_policy.request.gathers import Gather
from limpethollow_policy.request.outboxes import Outbox
from limpethollow_policy.version.groups import Group
from limpethollow_wire.exceptions import (
    DeadlinePassed,
    LimpethollowError,
    Quarantined,
    VersionGone,
)
from limpethollow_wire.searches import SearcherReply, ServableVersions
from limpethollow_wire.services import ServiceSpec

_MAX_UNPINNED = 8


class GroupScheduler:
    """Decides all that concerns one group of shards at one owner instance.

    Every method takes the current monotonic second and returns what to do, in order. The caller
    carries the actions out and reports what became of each call exactly once, by `call_answered`
    or `call_failed`.

    Args:
        spec: The service.
        group: The group.
        rng: Source for jitter and for the choice among equals.
    """

    def __init__(self, spec: ServiceSpec, group: Group, rng: Random) -> None:
        self._spec = spec
        self._outbox = Outbox()
        self._replicas = ReplicaSet(spec, group, rng)
        self._queue = queue_for(spec)
        self._waits = WaitEstimate(self._replicas, self._queue)
        self._active = ActiveSearches()
        self._calls = CallTable()
        self._repeats = Repeats(spec.hedge)
        self._suspects = SuspectQueries(self._calls)
        self._sender = CallSender(
            self._replicas,
            self._active,
            self._calls,
            self._repeats,
            self._suspects,
            self._outbox,
        )
        self._slots = SlotGranter(
            self._replicas, self._waits, self._outbox, self._calls, self._sender.ask_inventory
        )
        self._pinner = Pinner(self._replicas, self._calls, self._sender.ask_inventory)
        self._verdicts = Verdicts(self._replicas, self._waits)

    @property
    def replicas(self) -> ReplicaSet:
        """The group's searchers with the evidence on each."""
        return self._replicas

    @property
    def is_idle(self) -> bool:
        """Whether no search, no booking and no call is open."""
        return self._slots.is_idle and not (self._active or self._calls or len(self._queue))

    def reconfigure(self, spec: ServiceSpec, group: Group, now: float) -> list[Action]:
        """Go over to a new configuration with all that is open.

        Searches that run keep their snapshot, and so do those that wait their place. Starting a
        second scheduler instead would use every searcher's slots twice until the first ended.
        """
        if spec.epoch != self._spec.epoch:
            self._restart_unpinned(now)
        self._spec = spec
        self._replicas.reconfigure(spec, group)
        self._repeats.reconfigure(spec.hedge)
        self._suspects.forget()
        self._move_queue()
        return self._pump(now)

    def search_arrived(self, search: Search, now: float) -> list[Action]:
        """Take in a search; it is answered by `Complete`, `Servable` or `Refuse`, exactly once."""
        gather = Gather(search, self._spec.objective, now)
        self._probe_leaving(now)
        if search.deadline <= now:
            message = "The deadline has passed; the search was not run."
            self._refuse_unstarted(gather, "deadline_passed", DeadlinePassed(message))
        elif quarantined_for := self._suspects.seconds_left(gather.key, now):
            message = "Each searcher that ran this query ended."
            error = Quarantined(message, retry_after=quarantined_for)
            self._refuse_unstarted(gather, error.code, error)
        elif self._is_of_another_cut(search):
            self._restart_elsewhere(gather, now)
        elif search.versions_only or self._needs_no_call(gather, now):
            self._start(gather)
        elif now + self._waits.estimate(search.firm, now) > self._repeats.latest_start(gather):
            self._refuse_overload(gather, "wait_too_long", now)
        else:
            self._let_wait(gather, now)
        return self._pump(now)

    def search_abandoned(self, search_id: str, now: float) -> list[Action]:
        """Drop a search whose caller left; it gets no answer."""
        waiting = next((g for g in self._queue if g.search.id == search_id), None)
        if waiting is not None:
            self._queue.remove(waiting)
        self._finish(search_id)
        return self._pump(now)

    def call_answered(self, call_id: str, reply: SearcherReply, now: float) -> list[Action]:
        """Take in a searcher's reply."""
        call = self._calls.end(call_id)
        if call is None:
            return []
        latency = now - call.started
        charged = None if call.is_inventory or call.cancelled else latency
        if self._replicas.answered(call.searcher, reply, charged, now):
            self._outbox.add(TellDrain(call.searcher.spec.id, reply.draining))
            self._outbox.count("searcher_drains", "left" if reply.draining else "back")
        if call.cancelled:
            call.searcher.cut_short(latency, now)
            self._repeats.call_cut_short(latency)
        elif not call.is_inventory:
            self._repeats.call_answered(latency)
        self._sender.take_reply(call, reply, now)
        return self._pump(now)

    def call_failed(
        self, call_id: str, failure: Failure, retry_after: float | None, now: float
    ) -> list[Action]:
        """Take in that a call gave no reply that can be used."""
        call = self._calls.end(call_id)
        if call is None:
            return []
        call.searcher.failed(failure, retry_after, now)
        if failure is Failure.CANCELLED:
            call.searcher.cut_short(now - call.started, now)
        if failure is Failure.TIMEOUT and not call.is_inventory:
            self._repeats.call_cut_short(now - call.started)
        self._sender.take_failure(call, failure, now)
        return self._pump(now)

    def slot_wanted(self, request: SlotRequest, now: float) -> list[Action]:
        """Take in a booking's wish; it is answered by `GrantSlot` or `DenySlot`, exactly once."""
        self._probe_leaving(now)
        self._slots.wanted(request)
        return self._pump(now)

    def slot_released(
        self, request_id: str, failure: Failure | None, retry_after: float | None, now: float
    ) -> list[Action]:
        """Take in that a booking no longer uses its slot, and how its dispatch ended."""
        self._slots.released(request_id, failure, retry_after, now)
        return self._pump(now)

    def drain_noted(
        self, searcher_id: str, draining: bool, said_at: float, listed: bool, now: float
    ) -> list[Action]:
        """Take in what another instance heard of a searcher, or what the platform's list says."""
        if searcher_id in self._replicas:
            self._outbox.count("searcher_drain_notices", "list" if listed else "peer")
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
        self._slots.serve(now)
        for gather in self._active:
            if gather.idle or not gather.is_pinned or gather.is_finished:
                self._advance(gather, now)
        self._admit(now)
        while self._sender.assign(now, patient=not len(self._queue)):
            self._admit(now)
        if not len(self._queue):
            self._sender.hedge(now)
        self._sender.cancel_useless()
        self._wake(now)
        return self._outbox.drain()

    def _advance(self, gather: Gather, now: float) -> None:
        """Bring one search as far as it gets without another call."""
        if not gather.is_pinned:
            if not self._pin(gather, now):
                return
            self._sender.fill(gather)
        self._drop_hopeless(gather, now)
        is_over = gather.is_pinned and (gather.is_finished or gather.is_lost)
        if is_over and gather.search.id in self._active:
            self._conclude(gather, "floor_missed", now)

    def _probe_leaving(self, now: float) -> None:
        """Ask leaving searchers whether they are back, once a while and only with traffic.

        The answer takes no slot and comes from the searcher itself. Without it a searcher whose
        drain was called off, or that was restarted, would never get work again.
        """
        for searcher in self._replicas:
            if searcher.wants_probe(now):
                self._outbox.count("searcher_probes")
                self._sender.ask_inventory(searcher, now)

    # Admission

    def _admit(self, now: float) -> None:
        """Start waiting searches while they can use slots, or learn at once that none is left.

        Several may start for one free slot, because one call can carry several queries; their
        number is bounded so that the queue's policy goes on deciding who is next.
        """
        while len(self._queue) and self._may_start(now):
            gather = self._queue.pop(now)
            if gather is None:
                return
            self._start(gather)
            self._advance(gather, now)

    def _may_start(self, now: float) -> bool:
        if not self._replicas.usable(now):
            return True
        if not self._replicas.has_free_slot(now):
            return False
        unpinned = sum(not gather.is_pinned for gather in self._active)
        lacking = sum(bool(gather.idle) for gather in self._active)
        return unpinned < _MAX_UNPINNED and lacking < self._replicas.most_lacking

    def _needs_no_call(self, gather: Gather, now: float) -> bool:
        """Return whether kept answers and open calls will bring all that a search wants."""
        search = gather.search
        servable = self._replicas.servable(search.shards, search.min_version, now)
        version = servable[0] if search.pinned is None and servable else search.pinned
        return version is not None and self._sender.will_bring_all(gather, version)

    def _let_wait(self, gather: Gather, now: float) -> None:
        out = self._queue.offer(gather)
        if out is not None:
            self._refuse_overload(out, "queue_full" if out is gather else "gave_way", now)

    def _start(self, gather: Gather) -> None:
        self._active.add(gather)

    def _finish(self, search_id: str) -> None:
        gather = self._active.remove(search_id)
        if gather is not None:
            self._sender.wants_less(gather.key)

    def _move_queue(self) -> None:
        """Make the queue anew by the new configuration; nobody who waits is refused for that."""
        waiting = sorted(self._queue, key=lambda gather: gather.arrived)
        self._queue = queue_for(self._spec)
        self._waits.queue = self._queue
        for gather in waiting:
            out = self._queue.offer(gather)
            if out is not None:
                self._start(out)

    # Snapshot

    def _pin(self, gather: Gather, now: float) -> bool:
        """Choose a search's snapshot; false where it has none now."""
        search = gather.search
        if self._is_of_another_cut(search):
            self._restart_elsewhere(gather, now)
            return False
        match self._pinner.pin(gather, now):
            case Pin.WAITING:
                return False
            case Pin.IMPOSSIBLE:
                self._conclude(gather, "no_replica", now)
                return False
        if search.versions_only:
            self._tell_versions(search, now)
            return False
        return True

    def _tell_versions(self, search: Search, now: float) -> None:
        versions = self._replicas.pinnable(search.shards, search.min_version, now)
        self._outbox.add(Servable(search.id, ServableVersions(self._replicas.epoch, versions)))
        self._finish(search.id)

    def _drop_hopeless(self, gather: Gather, now: float) -> None:
        """Stop waiting for shards that no replica will serve before the answer is due."""
        for shard in tuple(gather.idle):
            assert gather.snapshot is not None
            if self._replicas.serves_somewhere(shard, gather.snapshot, now):
                continue
            back = self._replicas.comes_back(shard, now)
            if back is not None and back < gather.horizon():
                continue
            if self._is_of_another_cut(gather.search) and gather.search.deadline > now:
                return self._restart_elsewhere(gather, now)
            if not any(holder.is_usable(now) for holder in self._replicas.holders(shard)):
                gather.give_up(shard, "no_replica")
            elif self._restart(gather, now):
                return None
            else:
                gather.give_up(shard, "version_gone")
        return None

    def _is_of_another_cut(self, search: Search) -> bool:
        """Return whether the shards are cut otherwise here than when the search named its own.

        Numbers of the old cut often exist in the new one, too. A search that were pinned at the
        new epoch with them would be called complete without the shards that only the new cut has.
        """
        return search.epoch != self._replicas.epoch or not search.shards <= self._replicas.shards

    def _restart_unpinned(self, now: float) -> None:
        """Start over what would be pinned at the new cut with the shards of the old one."""
        for gather in (*self._queue, *self._active):
            if not gather.is_pinned:
                self._queue.remove(gather)
                self._restart_elsewhere(gather, now)

    def _restart_elsewhere(self, gather: Gather, now: float) -> None:
        """Have the coordinator start over, since it knows which shards there are now."""
        self._outbox.count("search_restarts", "repartition")
        message = "The service was partitioned anew while the search ran."
        self._outbox.add(Refuse(gather.search.id, VersionGone(message)))
        self._finish(gather.search.id)

    def _restart(self, gather: Gather, now: float) -> bool:
        """Start over at another snapshot if that can cover more, and can be done in time."""
        search = gather.search
        if search.pinned is not None or not gather.may_restart():
            return False
        if now + self._repeats.restart_takes() >= gather.horizon():
            return False
        assert gather.snapshot is not None
        better = self._replicas.best_version(search.shards, search.min_version, now)
        stale = self._replicas.stale(search.shards, now)
        if better == gather.snapshot.version and not stale:
            return False
        gather.unpin()
        self._sender.wants_less(gather.key)
        self._outbox.count("search_restarts", "version_gone")
        if self._pin(gather, now):
            self._sender.fill(gather)
        return True

    # Answers

    def _expire(self, now: float) -> None:
        for gather in self._active:
            if now >= gather.search.deadline:
                self._conclude(gather, "deadline", now)
            elif now >= gather.answer_at and gather.is_pinned and gather.meets_floor:
                self._conclude(gather, "objective", now)
        for gather in tuple(self._queue):
            if now >= self._repeats.latest_start(gather):
                self._queue.remove(gather)
                self._refuse_overload(gather, "waited_out", now)

    def _conclude(self, gather: Gather, reason: str, now: float) -> None:
        """Give a search its final answer, or the typed error that says why there is none."""
        verdict = self._verdicts.conclude(gather, reason, now)
        if isinstance(verdict, Refuse):
            self._refuse(gather, verdict.error)
        else:
            self._outbox.add(verdict)
        self._finish(gather.search.id)

    def _refuse(self, gather: Gather, error: LimpethollowError) -> None:
        self._outbox.add(Refuse(gather.search.id, error))
        self._outbox.count("searches_refused", error.code)

    def _refuse_overload(self, gather: Gather, reason: str, now: float) -> None:
        error = self._verdicts.overloaded(gather.search.firm, reason, now)
        self._refuse_unstarted(gather, reason, error)

    def _refuse_unstarted(self, gather: Gather, reason: str, error: LimpethollowError) -> None:
        self._outbox.count("admissions_refused", f"{gather.search.firm}/{reason}")
        self._refuse(gather, error)

    # Timing

    def _wake(self, now: float) -> None:
        times = [*self._search_times(now), *self._sender.hedge_times()]
        times += self._slots.deadlines()
        later = [when for when in times if when > now]
        if later:
            self._outbox.add(WakeAt(min(later)))

    def _search_times(self, now: float) -> list[float]:
        times = [self._repeats.latest_start(gather) for gather in self._queue]
        for gather in self._active:
            times += [gather.search.deadline, gather.answer_at]
            if not gather.is_pinned:
                times += self._pinner.wake_times(gather)
        if self._replicas.any_paused(now):
            times += [s.down_until for s in self._replicas if s.is_in_service]
        return times
