"""Drives a `GroupScheduler` with a clock of its own and checks what must always hold."""

from collections import Counter
from random import Random
from typing import Any

from limpethollow_policy.process.schedulers import GroupScheduler
from limpethollow_policy.request.events import (
    Action,
    CancelCall,
    Complete,
    CompleteVersions,
    Count,
    DenySlot,
    FailSearch,
    Failure,
    GrantSlot,
    ScheduleTick,
    Search,
    SlotRequest,
    StartCall,
)
from limpethollow_policy.version.groups import Group
from limpethollow_wire.searches import CallError, CallPart, SearcherReply
from limpethollow_wire.services import SearcherSpec, ServiceSpec


def make_spec(*held: tuple[int, ...], slots: int = 2, **fields: Any) -> ServiceSpec:
    """Return a service whose searchers `s0`, `s1`, ... hold these shards."""
    searchers = tuple(
        SearcherSpec(f"s{number}", f"127.0.0.1:{number + 1}", shards, slots=slots)
        for number, shards in enumerate(held)
    )
    count = 1 + max(shard for shards in held for shard in shards)
    return ServiceSpec("finder", count, searchers, **fields)


def whole_group(spec: ServiceSpec) -> Group:
    """Return one group of all of a service's shards and searchers."""
    return Group(0, frozenset(range(spec.shards)), spec.searchers)


class Driver:
    """Carries actions of one scheduler to searchers that a test plays.

    Every step checks the invariants: one final action a search, no mixed snapshot, a label that
    fits the parts, and no more calls on their way to a searcher than it has slots.
    """

    def __init__(self, spec: ServiceSpec, seed: int = 1) -> None:
        self.spec = spec
        self.now = 100.0
        self.scheduler = GroupScheduler(spec, whole_group(spec), Random(seed))
        self.epochs = {s.id: spec.epoch for s in spec.searchers}
        self.versions = {s.id: {shard: {1} for shard in s.shards} for s in spec.searchers}
        self.searches: dict[str, Search] = {}
        self.calls: dict[str, StartCall] = {}
        self.cancelled: set[str] = set()
        self.finals: dict[str, Complete | FailSearch | CompleteVersions] = {}
        self.slots: dict[str, GrantSlot | DenySlot] = {}
        self.counts: Counter[tuple[str, str]] = Counter()
        self.started: list[StartCall] = []
        self.wake_at: float | None = None

    def search(self, search_id: str = "q", query: Any = None, **fields: Any) -> str:
        """Let a search arrive; `within` is its deadline in seconds from now."""
        shards = fields.pop("shards", range(self.spec.shards))
        search = Search(
            id=search_id,
            firm=fields.pop("firm", "firm"),
            query=query or {"id": search_id},
            shards=frozenset(shards),
            deadline=self.now + fields.pop("within", self.spec.objective.deadline),
            epoch=fields.pop("epoch", self.spec.epoch),
            **fields,
        )
        self.searches[search_id] = search
        self.carry(self.scheduler.search_arrived(search, self.now))
        return search_id

    def abandon(self, search_id: str) -> None:
        self.carry(self.scheduler.search_abandoned(search_id, self.now))

    def book(self, request_id: str, shard: int = 0, within: float = 1.0, **fields: Any) -> None:
        request = SlotRequest(request_id, shard, self.now + within, **fields)
        self.carry(self.scheduler.slot_requested(request, self.now))

    def release(self, request_id: str, failure: Failure | None = None) -> None:
        self.carry(self.scheduler.slot_released(request_id, failure, None, self.now))

    def reconfigure(self, spec: ServiceSpec) -> None:
        self.spec = spec
        for searcher in spec.searchers:
            self.epochs.setdefault(searcher.id, spec.epoch)
            self.versions.setdefault(searcher.id, {shard: {1} for shard in searcher.shards})
        self.carry(self.scheduler.reconfigure(spec, whole_group(spec), self.now))

    def advance(self, seconds: float) -> None:
        """Let time pass, waking the scheduler at every second it asked for."""
        until = self.now + seconds
        while self.wake_at is not None and self.wake_at <= until:
            self.now = max(self.now, self.wake_at)
            self.wake_at = None
            self.carry(self.scheduler.tick(self.now))
        self.now = until
        self.carry(self.scheduler.tick(self.now))

    def answer(self, call_id: str, after: float = 0.0, **changes: Any) -> None:
        """Answer a call as its searcher would, with `changes` made to the reply."""
        self.now += after
        reply = self.reply(call_id, **changes)
        self.calls.pop(call_id, None)
        self.carry(self.scheduler.call_answered(call_id, reply, self.now))

    def fail(self, call_id: str, failure: Failure = Failure.BROKEN, **fields: Any) -> None:
        retry_after = fields.pop("retry_after", None)
        self.calls.pop(call_id, None)
        self.carry(self.scheduler.call_failed(call_id, failure, retry_after, self.now))

    def answer_inventories(self) -> None:
        for call_id, call in tuple(self.calls.items()):
            if not call.queries:
                self.answer(call_id)

    def answer_all(self, after: float = 0.0) -> None:
        """Answer until no call is open."""
        for _ in range(1000):
            if not self.calls:
                return
            self.answer(next(iter(self.calls)), after)
        raise AssertionError("The scheduler makes calls without end.")

    def reply(self, call_id: str, **changes: Any) -> SearcherReply:
        """Return what the call's searcher would say now."""
        call = next(c for c in self.started if c.call_id == call_id)
        held, epoch = self.versions[call.searcher_id], self.epochs[call.searcher_id]
        parts, errors = [], []
        for query in call.queries:
            for shard in query.shards:
                if epoch == call.epoch and call.version in held.get(shard, ()):
                    row = {"shard": shard, "epoch": epoch, "version": call.version}
                    row["query"] = query.query
                    parts.append(CallPart(query.id, shard, call.version, [row]))
                else:
                    errors.append(CallError(query.id, shard, "version_gone"))
        fields = {
            "request_id": call_id,
            "service": self.spec.name,
            "epoch": epoch,
            "draining": False,
            "versions": {str(s): tuple(sorted(v)) for s, v in held.items()},
            "parts": tuple(parts),
            "errors": tuple(errors),
        }
        return SearcherReply(**{**fields, **changes})

    def calls_to(self, searcher_id: str) -> list[StartCall]:
        """Return the open calls with queries to a searcher."""
        return [c for c in self.calls.values() if c.searcher_id == searcher_id and c.queries]

    def search_calls(self) -> list[StartCall]:
        """Return all open calls with queries."""
        return [call for call in self.calls.values() if call.queries]

    def coverage(self, search_id: str) -> Any:
        final = self.finals[search_id]
        assert isinstance(final, Complete), final
        return final.answer.coverage

    def missing(self, search_id: str) -> dict[int, str]:
        return {m.shard: m.reason for m in self.coverage(search_id).missing}

    def error(self, search_id: str) -> Any:
        final = self.finals[search_id]
        assert isinstance(final, FailSearch), final
        return final.error

    def set_versions(self, versions: set[int], *searcher_ids: str) -> None:
        """Have searchers keep these versions of all their shards; all searchers by default."""
        for searcher_id in searcher_ids or tuple(self.versions):
            held = self.versions[searcher_id]
            self.versions[searcher_id] = {shard: set(versions) for shard in held}

    def carry(self, actions: list[Action]) -> None:
        for action in actions:
            self._carry(action)
        self._check_slots()

    def _carry(self, action: Action) -> None:
        match action:
            case StartCall():
                assert action.call_id not in self.calls
                self.calls[action.call_id] = action
                self.started.append(action)
            case CancelCall(call_id):
                assert call_id in self.calls
                assert call_id not in self.cancelled
                self.cancelled.add(call_id)
            case Complete(search_id) | FailSearch(search_id) | CompleteVersions(search_id):
                assert search_id not in self.finals, "a second answer to one search"
                self.finals[search_id] = action
                if isinstance(action, Complete):
                    self._check_label(action)
            case GrantSlot(request_id) | DenySlot(request_id):
                assert request_id not in self.slots
                self.slots[request_id] = action
            case Count(name, reason):
                self.counts[name, reason] += 1
            case ScheduleTick(when):
                assert when > self.now
                self.wake_at = when if self.wake_at is None else min(self.wake_at, when)

    def _check_label(self, action: Complete) -> None:
        search, answer = self.searches[action.search_id], action.answer
        coverage = answer.coverage
        missing = {m.shard for m in coverage.missing}
        assert coverage.covered == tuple(part.shard for part in answer.parts)
        assert not missing & set(coverage.covered)
        assert missing | set(coverage.covered) == search.shards
        assert coverage.wanted == len(search.shards)
        assert coverage.epoch == search.epoch, "shards of one cut labelled as those of another"
        assert coverage.version >= search.min_version
        for part in answer.parts:
            for row in part.rows:
                assert row["shard"] == part.shard
                assert (row["epoch"], row["version"]) == (coverage.epoch, coverage.version)
                assert row["query"] == search.query

    def _check_slots(self) -> None:
        busy = Counter(c.searcher_id for c in self.calls.values() if c.queries)
        for searcher in self.spec.searchers:
            assert busy[searcher.id] <= searcher.slots, f"over the slots of {searcher.id}"
