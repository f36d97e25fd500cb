"""The actor that drives one group's scheduler."""

import threading
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
    CompleteVersions,
    Count,
    DenySlot,
    FailSearch,
    Failure,
    GrantSlot,
    NotifyDrain,
    ScheduleTick,
    Search,
    SlotRequest,
    StartCall,
)
from limpethollow_policy.version.groups import Group
from limpethollow_wire.exceptions import Unavailable
from limpethollow_wire.searches import SearcherCall, SearcherReply
from limpethollow_wire.services import ServiceSpec

_RETRY_AFTER = 0.1


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
    reported_at: float
    listed: bool


@dataclass(slots=True, frozen=True)
class TickMessage:
    """The time the scheduler asked to be woken at has come."""


@dataclass(slots=True, frozen=True)
class ReconfigureMessage:
    """A newer version of the service came into force."""

    spec: ServiceSpec
    group: Group
    clients: dict[str, SearcherClient]


@dataclass(slots=True, frozen=True)
class RetireMessage:
    """A newer version took over; end once nothing is open."""


class Mailbox:
    """Where an actor takes messages until it is retired.

    An actor that stops drops what is left in its inbox, and a search in it would hang until its
    deadline. So closing and asking exclude each other: what was asked before is ahead of the
    retirement in the inbox, and what comes after is refused here.

    Args:
        ref: The actor.
    """

    def __init__(self, ref: pykka.ActorRef[Any]) -> None:
        self._ref = ref
        self._lock = threading.Lock()
        self._closed = False

    @property
    def is_open(self) -> bool:
        """Whether the actor takes requests."""
        return not self._closed and self._ref.is_alive()

    def ask(self, message: Any) -> bool:
        """Send a message that wants an answer; false where there will be none."""
        with self._lock:
            return not self._closed and self._send(message)

    def tell(self, message: Any) -> None:
        """Send a message that concerns something open, which keeps the actor alive."""
        self._send(message)

    def close(self, last: Any) -> None:
        """Send the last message and refuse all that want an answer."""
        with self._lock:
            self._closed = True
            self._send(last)

    def _send(self, message: Any) -> bool:
        try:
            self._ref.tell(message)
        except pykka.ActorDeadError:
            return False
        return True


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
        self._calls: dict[str, SearcherClient] = {}
        self._futures: dict[str, Future[Any]] = {}
        self._slots: dict[str, Future[str]] = {}
        self._wake_at = float("inf")
        self._retiring = False
        self._workers = self._make_workers(group)

    def on_stop(self) -> None:
        """Close all connections when the actor ends."""
        self._workers.shutdown(wait=False)
        for client in self._clients.values():
            client.__exit__()

    def on_failure(self, *details: Any) -> None:
        """Log the defect that ended the actor, and answer all that waits for it."""
        events.DEFECT.log(where="group actor", service=self._service, error=repr(details[1]))
        error = Unavailable("The group has a defect and starts anew.", retry_after=_RETRY_AFTER)
        for future in (*self._futures.values(), *self._slots.values()):
            if future.set_running_or_notify_cancel():
                future.set_exception(error)

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
                return self._scheduler.slot_requested(request, now)
            case ReleaseMessage(request_id, failure, retry_after):
                return self._scheduler.slot_released(request_id, failure, retry_after, now)
            case ReconfigureMessage(spec, group, clients):
                self._clients = clients
                self._workers.shutdown(wait=False)
                self._workers = self._make_workers(group)
                return self._scheduler.reconfigure(spec, group, now)
            case DrainMessage(searcher_id, draining, reported_at, listed):
                return self._scheduler.drain_reported(
                    searcher_id, draining, reported_at, listed, now
                )
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
                client = self._calls[action.call_id] = self._clients[action.searcher_id]
                self._workers.submit(self._call, client, action)
            case CancelCall(call_id):
                self._workers.submit(self._cancel, self._calls[call_id], call_id)
            case Complete(search_id, answer):
                self._settle(search_id, lambda future: future.set_result(answer))
            case CompleteVersions(search_id, versions):
                self._settle(search_id, lambda future: future.set_result(versions))
            case FailSearch(search_id, error):
                self._settle(search_id, lambda future: future.set_exception(error))
            case GrantSlot(request_id, searcher_id):
                self._give_slot(request_id, searcher_id)
            case DenySlot(request_id, error):
                future = self._slots.pop(request_id)
                if future.set_running_or_notify_cancel():
                    future.set_exception(error)
            case Count(name, reason):
                self._metrics.count(name, reason)
            case NotifyDrain(searcher_id, draining):
                self._tell_drain(searcher_id, draining)
            case ScheduleTick(when):
                self._set_wake(when)

    def _settle(self, search_id: str, give: Callable[[Future[Any]], None]) -> None:
        future = self._futures.pop(search_id, None)
        if future is not None and future.set_running_or_notify_cancel():
            give(future)

    def _give_slot(self, request_id: str, searcher_id: str) -> None:
        future = self._slots.pop(request_id)
        if future.set_running_or_notify_cancel():
            future.set_result(searcher_id)
        else:
            self.actor_ref.tell(ReleaseMessage(request_id, None, None))

    def _set_wake(self, when: float) -> None:
        if when < self._wake_at:
            self._wake_at = when
            self._timers.call_at(when, self._tell_tick)

    def _tell_tick(self) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(TickMessage())

    def _call(self, client: SearcherClient, action: StartCall) -> None:
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
                reply = client.search(call)
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

    def _cancel(self, client: SearcherClient, call_id: str) -> None:
        self._metrics.count("searcher_calls", "cancel")
        client.cancel(self._request_id(call_id))

    def _request_id(self, call_id: str) -> str:
        return f"{self._prefix}-{call_id}"

    def _make_workers(self, group: Group) -> ThreadPoolExecutor:
        """Return threads for every slot, for the cancels of all calls and for inventories."""
        workers = sum(2 * searcher.slots + 2 for searcher in group.searchers)
        return ThreadPoolExecutor(workers, thread_name_prefix=f"calls-{self._service}")
