"""The actor that drives one group's scheduler."""

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from typing import Any

import pykka

from limpethollow_node.connection.searchers import CallFailed, SearcherClient
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_policy.process.schedulers import GroupScheduler
from limpethollow_policy.request.events import (
    Action,
    CancelCall,
    Complete,
    Count,
    DenySlot,
    Failure,
    GrantSlot,
    Refuse,
    Search,
    Servable,
    SlotRequest,
    StartCall,
    TellDrain,
    WakeAt,
)
from limpethollow_policy.version.groups import Group
from limpethollow_wire.searches import SearcherCall, SearcherReply
from limpethollow_wire.services import ServiceSpec


@dataclass(slots=True, frozen=True)
class SearchMessage:
    """A search and the future that gets its answer."""

    search: Search
    future: Future[Any]


@dataclass(slots=True, frozen=True)
class AbandonMessage:
    """The caller of a search left."""

    search_id: str


@dataclass(slots=True, frozen=True)
class SlotMessage:
    """A booking's wish for a slot and the future that gets the searcher's id."""

    request: SlotRequest
    future: Future[str]


@dataclass(slots=True, frozen=True)
class ReleaseMessage:
    """A booking is done with its slot."""

    request_id: str
    failure: Failure | None
    retry_after: float | None


@dataclass(slots=True, frozen=True)
class AnsweredMessage:
    """A searcher replied."""

    call_id: str
    reply: SearcherReply


@dataclass(slots=True, frozen=True)
class FailedMessage:
    """A call to a searcher failed."""

    call_id: str
    failure: Failure
    retry_after: float | None


@dataclass(slots=True, frozen=True)
class DrainMessage:
    """Another instance heard that a searcher is leaving or back, or the platform lists it so."""

    searcher_id: str
    draining: bool
    said_at: float
    listed: bool


@dataclass(slots=True, frozen=True)
class TickMessage:
    """The time the scheduler asked to be woken at has come."""


@dataclass(slots=True, frozen=True)
class RetireMessage:
    """A newer version took over; end once nothing is open."""


class GroupActor(pykka.ThreadingActor):
    """Carries events to one group's scheduler and its actions to the searchers.

    Args:
        spec: The service.
        group: The group.
        clients: Client of each searcher; closed when the actor ends.
        timers: Where wake-ups are set.
        metrics: Where counters are kept.
        prefix: Makes the ids of calls unique among all instances and runs.
        tell_drain: Tells other owners of the group that a searcher is leaving or back.
    """

    use_daemon_thread = True

    def __init__(
        self,
        spec: ServiceSpec,
        group: Group,
        clients: dict[str, SearcherClient],
        timers: Timers,
        metrics: Metrics,
        prefix: str,
        tell_drain: Callable[[str, bool], None] = lambda searcher_id, draining: None,
    ) -> None:
        super().__init__()
        self._service = spec.name
        self._prefix = f"{prefix}-{group.index}"
        self._timers = timers
        self._metrics = metrics
        self._scheduler = GroupScheduler(spec, group, Random())
        self._clients = clients
        self._tell_drain = tell_drain
        self._calls: dict[str, str] = {}
        self._futures: dict[str, Future[Any]] = {}
        self._slots: dict[str, Future[str]] = {}
        self._wake_at = float("inf")
        self._retiring = False
        workers = sum(2 * searcher.slots + 2 for searcher in group.searchers)
        self._workers = ThreadPoolExecutor(workers, thread_name_prefix=f"calls-{spec.name}")

    def on_stop(self) -> None:
        """Close all connections when the actor ends."""
        self._workers.shutdown(wait=False)
        for client in self._clients.values():
            client.__exit__()

    def on_failure(self, *details: Any) -> None:
        """Log the defect that ended the actor."""
        events.DEFECT.log(where="group actor", service=self._service, error=repr(details[1]))

    def on_receive(self, message: Any) -> Any:
        """Hand one event to the scheduler and carry out what it says."""
        now = time.monotonic()
        for action in self._decide(message, now):
            self._carry_out(action)
        if self._retiring and self._scheduler.is_idle:
            self.stop()

    def _decide(self, message: Any, now: float) -> list[Action]:
        match message:
            case SearchMessage(search, future):
                self._futures[search.id] = future
                return self._scheduler.search_arrived(search, now)
            case AnsweredMessage(call_id, reply):
                self._calls.pop(call_id, None)
                return self._scheduler.call_answered(call_id, reply, now)
            case FailedMessage(call_id, failure, retry_after):
                self._calls.pop(call_id, None)
                return self._scheduler.call_failed(call_id, failure, retry_after, now)
            case AbandonMessage(search_id):
                self._futures.pop(search_id, None)
                return self._scheduler.search_abandoned(search_id, now)
            case SlotMessage(request, future):
                self._slots[request.id] = future
                return self._scheduler.slot_wanted(request, now)
            case ReleaseMessage(request_id, failure, retry_after):
                return self._scheduler.slot_released(request_id, failure, retry_after, now)
            case DrainMessage(searcher_id, draining, said_at, listed):
                return self._scheduler.drain_noted(searcher_id, draining, said_at, listed, now)
            case RetireMessage():
                self._retiring = True
                return []
            case TickMessage():
                self._wake_at = float("inf")
                return self._scheduler.tick(now)
        raise TypeError(f"A group actor takes no {type(message).__name__}.")

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartCall():
                self._calls[action.call_id] = action.searcher_id
                self._workers.submit(self._call, action)
            case CancelCall(call_id):
                self._workers.submit(self._cancel, self._calls[call_id], call_id)
            case Complete(search_id, answer):
                self._settle(search_id, lambda future: future.set_result(answer))
            case Servable(search_id, versions):
                self._settle(search_id, lambda future: future.set_result(versions))
            case Refuse(search_id, error):
                self._settle(search_id, lambda future: future.set_exception(error))
            case GrantSlot(request_id, searcher_id):
                self._slots.pop(request_id).set_result(searcher_id)
            case DenySlot(request_id, error):
                self._slots.pop(request_id).set_exception(error)
            case Count(name, reason):
                self._metrics.count(name, reason)
            case TellDrain(searcher_id, draining):
                self._tell_drain(searcher_id, draining)
            case WakeAt(when):
                self._set_wake(when)

    def _settle(self, search_id: str, give: Callable[[Future[Any]], None]) -> None:
        future = self._futures.pop(search_id, None)
        if future is not None and future.set_running_or_notify_cancel():
            give(future)

    def _set_wake(self, when: float) -> None:
        if when < self._wake_at:
            self._wake_at = when
            self._timers.call_at(when, self._tell_tick)

    def _tell_tick(self) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(TickMessage())

    def _call(self, action: StartCall) -> None:
        call = SearcherCall(
            request_id=self._request_id(action.call_id),
            service=self._service,
            epoch=action.epoch,
            version=action.version,
            timeout=action.timeout,
            queries=action.queries,
        )
        self._metrics.count("searcher_calls", "search" if action.queries else "inventory")
        try:
            with self._metrics.timed("searcher_call"):
                reply = self._clients[action.searcher_id].search(call)
            result: AnsweredMessage | FailedMessage = AnsweredMessage(action.call_id, reply)
        except CallFailed as error:
            result = FailedMessage(action.call_id, error.failure, error.retry_after)
            events.SEARCHER_CALL_FAILED.log(searcher=action.searcher_id, failure=error.failure)
        except Exception as error:
            # The scheduler must hear of every call exactly once, or its slot is lost for good.
            result = FailedMessage(action.call_id, Failure.BROKEN, None)
            events.DEFECT.log(where="searcher call", error=repr(error), exc_info=True)
        if self.actor_ref.is_alive():
            self.actor_ref.tell(result)

    def _cancel(self, searcher_id: str, call_id: str) -> None:
        self._metrics.count("searcher_calls", "cancel")
        self._clients[searcher_id].cancel(self._request_id(call_id))

    def _request_id(self, call_id: str) -> str:
        return f"{self._prefix}-{call_id}"
