"""The scheduler of one group: turns events into actions and delegates to its components."""

from random import Random

from limpethollow_policy.process.answers import AnswerBuilder
from limpethollow_policy.process.calls import CallTable
from limpethollow_policy.process.pins import PinResult, SnapshotPinner
from limpethollow_policy.process.repeatlimits import RepeatLimits
from limpethollow_policy.process.replicas import ReplicaSet
from limpethollow_policy.process.searches import ActiveSearches
from limpethollow_policy.process.senders import CallSender
from limpethollow_policy.process.slots import SlotGranter
from limpethollow_policy.process.suspects import SuspectQueries
from limpethollow_policy.process.waitestimates import WaitEstimate, make_admission_queue
from limpethollow_policy.request.events import (
    Action,
    CompleteVersions,
    FailSearch,
    Failure,
    NotifyDrain,
    ScheduleTick,
    Search,
    SlotRequest,
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
    """Makes all decisions about one group of shards at one owner instance.

    Every event method takes the current monotonic time in seconds and returns the actions to take,
    in order. The caller executes the actions and reports the outcome of each call exactly once, by
    `call_answered` or `call_failed`.

    Args:
        spec: The service.
        group: The group.
        rng: Source of randomness for jitter and tie-breaking.
    """

    def __init__(self, spec: ServiceSpec, group: Group, rng: Random) -> None:
        self._spec = spec
        self._outbox = Outbox()
        self._replicas = ReplicaSet(spec, group, rng)
        self._queue = make_admission_queue(spec)
        self._waits = WaitEstimate(self._replicas, self._queue)
        self._active = ActiveSearches()
        self._calls = CallTable()
        self._repeats = RepeatLimits(spec.hedge)
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
        self._pinner = SnapshotPinner(self._replicas, self._calls, self._sender.ask_inventory)
        self._verdicts = AnswerBuilder(self._replicas, self._waits)

    @property
    def replicas(self) -> ReplicaSet:
        """The group's searchers with their observed state."""
        return self._replicas

    @property
    def is_idle(self) -> bool:
        """Whether no search, no booking and no call is open."""
        return self._slots.is_idle and not (self._active or self._calls or len(self._queue))

    def reconfigure(self, spec: ServiceSpec, group: Group, now: float) -> list[Action]:
        """Apply a new configuration without dropping open work.

        Running searches keep their snapshot and waiting searches keep their place in the queue.
        Starting a second scheduler instead would use every searcher's slots twice until the first
        one had finished.
        """
        if spec.epoch != self._spec.epoch:
            self._restart_unpinned(now)
        self._spec = spec
        self._replicas.reconfigure(spec, group)
        self._repeats.reconfigure(spec.hedge)
        self._suspects.forget()
        self._rebuild_queue()
        return self._run(now)

    def search_arrived(self, search: Search, now: float) -> list[Action]:
        """Process a new search.

        Exactly one `Complete`, `CompleteVersions` or `FailSearch` answers it.
        """
        gather = Gather(search, self._spec.objective, now)
        self._probe_leaving_searchers(now)
        if search.deadline <= now:
            message = "The deadline has passed; the search was not run."
            self._refuse_before_start(gather, "deadline_passed", DeadlinePassed(message))
        elif quarantined_for := self._suspects.seconds_left(gather.key, now):
            message = "Every searcher that ran this query terminated."
            error = Quarantined(message, retry_after=quarantined_for)
            self._refuse_before_start(gather, error.code, error)
        elif self._has_other_partitioning(search):
            self._refuse_for_restart(gather, now)
        elif search.versions_only or self._is_covered(gather, now):
            self._start(gather)
        elif now + self._waits.estimate(search.firm, now) > self._repeats.latest_start(gather):
            self._refuse_overload(gather, "wait_too_long", now)
        else:
            self._enqueue(gather, now)
        return self._run(now)

    def search_abandoned(self, search_id: str, now: float) -> list[Action]:
        """Drop a search whose caller disconnected; it is not answered."""
        waiting = next((g for g in self._queue if g.search.id == search_id), None)
        if waiting is not None:
            self._queue.remove(waiting)
        self._finish(search_id)
        return self._run(now)

    def call_answered(self, call_id: str, reply: SearcherReply, now: float) -> list[Action]:
        """Process a searcher's reply."""
        call = self._calls.end(call_id)
        if call is None:
            return []
        latency = now - call.started
        measured = None if call.is_inventory or call.cancelled else latency
        if self._replicas.answered(call.searcher, reply, measured, now):
            self._outbox.add(NotifyDrain(call.searcher.spec.id, reply.draining))
            self._outbox.count("searcher_drains", "left" if reply.draining else "back")
        if call.cancelled:
            call.searcher.call_cancelled(latency, now)
            self._repeats.call_cut_short(latency)
        elif not call.is_inventory:
            self._repeats.call_answered(latency)
        self._sender.handle_reply(call, reply, now)
        return self._run(now)

    def call_failed(
        self, call_id: str, failure: Failure, retry_after: float | None, now: float
    ) -> list[Action]:
        """Process a call that got no usable reply."""
        call = self._calls.end(call_id)
        if call is None:
            return []
        call.searcher.failed(failure, retry_after, now)
        if failure is Failure.CANCELLED:
            call.searcher.call_cancelled(now - call.started, now)
        if failure is Failure.TIMEOUT and not call.is_inventory:
            self._repeats.call_cut_short(now - call.started)
        self._sender.handle_failure(call, failure, now)
        return self._run(now)

    def slot_requested(self, request: SlotRequest, now: float) -> list[Action]:
        """Process a booking's slot request; exactly one `GrantSlot` or `DenySlot` answers it."""
        self._probe_leaving_searchers(now)
        self._slots.wanted(request)
        return self._run(now)

    def slot_released(
        self, request_id: str, failure: Failure | None, retry_after: float | None, now: float
    ) -> list[Action]:
        """Release a booking's slot and process the outcome of its dispatch."""
        self._slots.released(request_id, failure, retry_after, now)
        return self._run(now)

    def drain_reported(
        self, searcher_id: str, draining: bool, reported_at: float, listed: bool, now: float
    ) -> list[Action]:
        """Process a drain notice from another instance or from the platform's list."""
        if searcher_id in self._replicas:
            self._outbox.count("searcher_drain_notices", "list" if listed else "peer")
            if listed:
                self._replicas[searcher_id].drain_listed(draining, now)
            else:
                self._replicas[searcher_id].drain_reported(draining, reported_at)
        return self._run(now)

    def tick(self, now: float) -> list[Action]:
        """Process timeouts that have expired."""
        return self._run(now)

    def _run(self, now: float) -> list[Action]:
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
        self._schedule_wake_up(now)
        return self._outbox.drain()

    def _advance(self, gather: Gather, now: float) -> None:
        """Advance one search as far as possible without sending another call to a searcher."""
        if not gather.is_pinned:
            if not self._pin(gather, now):
                return
            self._sender.fill(gather)
        self._give_up_unservable(gather, now)
        is_over = gather.is_pinned and (gather.is_finished or gather.floor_unreachable)
        if is_over and gather.search.id in self._active:
            self._answer(gather, "floor_missed", now)

    def _probe_leaving_searchers(self, now: float) -> None:
        """Probe leaving searchers for their return, at intervals and only while there is traffic.

        A probe uses no slot and is answered by the searcher itself. Without probes, a searcher
        whose drain was cancelled, or that was restarted, would never get work again.
        """
        for searcher in self._replicas:
            if searcher.wants_probe(now):
                self._outbox.count("searcher_probes")
                self._sender.ask_inventory(searcher, now)

    # Admission

    def _admit(self, now: float) -> None:
        """Start queued searches while slots are free, or while no searcher is usable.

        In the latter case they fail at once instead of waiting. Several searches may start for one
        free slot, because one call can carry several queries; their number is bounded so that the
        queue's policy still decides which search is next.
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
        needing_call = sum(bool(gather.idle) for gather in self._active)
        return unpinned < _MAX_UNPINNED and needing_call < self._replicas.max_needing_call

    def _is_covered(self, gather: Gather, now: float) -> bool:
        """Return whether cached results and open calls will cover all shards of a search."""
        search = gather.search
        servable = self._replicas.servable(search.shards, search.min_version, now)
        version = servable[0] if search.pinned is None and servable else search.pinned
        return version is not None and self._sender.is_covered_by_others(gather, version)

    def _enqueue(self, gather: Gather, now: float) -> None:
        displaced = self._queue.offer(gather)
        if displaced is not None:
            self._refuse_overload(
                displaced, "queue_full" if displaced is gather else "gave_way", now
            )

    def _start(self, gather: Gather) -> None:
        self._active.add(gather)

    def _finish(self, search_id: str) -> None:
        gather = self._active.remove(search_id)
        if gather is not None:
            self._sender.mark_changed(gather.key)

    def _rebuild_queue(self) -> None:
        """Rebuild the queue for a new configuration without refusing any waiting search."""
        waiting = sorted(self._queue, key=lambda gather: gather.arrived)
        self._queue = make_admission_queue(self._spec)
        self._waits.queue = self._queue
        for gather in waiting:
            displaced = self._queue.offer(gather)
            if displaced is not None:
                self._start(displaced)

    # Snapshot

    def _pin(self, gather: Gather, now: float) -> bool:
        """Pin a snapshot for a search; return False if none can be pinned now."""
        search = gather.search
        if self._has_other_partitioning(search):
            self._refuse_for_restart(gather, now)
            return False
        match self._pinner.pin(gather, now):
            case PinResult.WAITING:
                return False
            case PinResult.IMPOSSIBLE:
                self._answer(gather, "no_replica", now)
                return False
        if search.versions_only:
            self._answer_versions(search, now)
            return False
        return True

    def _answer_versions(self, search: Search, now: float) -> None:
        versions = self._replicas.pinnable(search.shards, search.min_version, now)
        self._outbox.add(
            CompleteVersions(search.id, ServableVersions(self._replicas.epoch, versions))
        )
        self._finish(search.id)

    def _give_up_unservable(self, gather: Gather, now: float) -> None:
        """Give up shards that no replica will serve before the answer is due."""
        for shard in tuple(gather.idle):
            assert gather.snapshot is not None
            if self._replicas.is_served(shard, gather.snapshot, now):
                continue
            back = self._replicas.earliest_resume(shard, now)
            if back is not None and back < gather.horizon():
                continue
            if self._has_other_partitioning(gather.search) and gather.search.deadline > now:
                return self._refuse_for_restart(gather, now)
            if not any(holder.is_usable(now) for holder in self._replicas.holders(shard)):
                gather.give_up(shard, "no_replica")
            elif self._restart(gather, now):
                return None
            else:
                gather.give_up(shard, "version_gone")
        return None

    def _has_other_partitioning(self, search: Search) -> bool:
        """Return whether a search names shards of a different partitioning.

        Shard numbers of the old partitioning often exist in the new one, too. A search for them
        that was pinned at the new epoch would be reported as complete without the shards that exist
        only in the new partitioning.
        """
        return search.epoch != self._replicas.epoch or not search.shards <= self._replicas.shards

    def _restart_unpinned(self, now: float) -> None:
        """Restart unpinned searches, which name shards of the previous partitioning."""
        for gather in (*self._queue, *self._active):
            if not gather.is_pinned:
                self._queue.remove(gather)
                self._refuse_for_restart(gather, now)

    def _refuse_for_restart(self, gather: Gather, now: float) -> None:
        """Make the coordinator restart a search, since it knows the current shards."""
        self._outbox.count("search_restarts", "repartition")
        message = "The service was repartitioned while the search was running."
        self._outbox.add(FailSearch(gather.search.id, VersionGone(message)))
        self._finish(gather.search.id)

    def _restart(self, gather: Gather, now: float) -> bool:
        """Restart a search at another snapshot if that can cover more shards in time."""
        search = gather.search
        if search.pinned is not None or not gather.may_restart():
            return False
        if now + self._repeats.expected_restart_seconds() >= gather.horizon():
            return False
        assert gather.snapshot is not None
        better = self._replicas.best_version(search.shards, search.min_version, now)
        stale = self._replicas.stale(search.shards, now)
        if better == gather.snapshot.version and not stale:
            return False
        gather.unpin()
        self._sender.mark_changed(gather.key)
        self._outbox.count("search_restarts", "version_gone")
        if self._pin(gather, now):
            self._sender.fill(gather)
        return True

    # Answers

    def _expire(self, now: float) -> None:
        for gather in self._active:
            if now >= gather.search.deadline:
                self._answer(gather, "deadline", now)
            elif now >= gather.answer_at and gather.is_pinned and gather.meets_floor:
                self._answer(gather, "objective", now)
        for gather in tuple(self._queue):
            if now >= self._repeats.latest_start(gather):
                self._queue.remove(gather)
                self._refuse_overload(gather, "waited_out", now)

    def _answer(self, gather: Gather, reason: str, now: float) -> None:
        """Send a search its final answer, or the typed error that explains why there is none."""
        verdict = self._verdicts.conclude(gather, reason, now)
        if isinstance(verdict, FailSearch):
            self._refuse(gather, verdict.error)
        else:
            self._outbox.add(verdict)
        self._finish(gather.search.id)

    def _refuse(self, gather: Gather, error: LimpethollowError) -> None:
        self._outbox.add(FailSearch(gather.search.id, error))
        self._outbox.count("searches_refused", error.code)

    def _refuse_overload(self, gather: Gather, reason: str, now: float) -> None:
        error = self._verdicts.overloaded(gather.search.firm, reason, now)
        self._refuse_before_start(gather, reason, error)

    def _refuse_before_start(self, gather: Gather, reason: str, error: LimpethollowError) -> None:
        self._outbox.count("admissions_refused", f"{gather.search.firm}/{reason}")
        self._refuse(gather, error)

    # Timing

    def _schedule_wake_up(self, now: float) -> None:
        times = [*self._search_wake_times(now), *self._sender.hedge_times()]
        times += self._slots.deadlines()
        future = [at for at in times if at > now]
        if future:
            self._outbox.add(ScheduleTick(min(future)))

    def _search_wake_times(self, now: float) -> list[float]:
        times = [self._repeats.latest_start(gather) for gather in self._queue]
        for gather in self._active:
            times += [gather.search.deadline, gather.answer_at]
            if not gather.is_pinned:
                times += self._pinner.wake_times(gather)
        if self._replicas.any_paused(now):
            times += [s.down_until for s in self._replicas if s.is_in_service]
        return times
