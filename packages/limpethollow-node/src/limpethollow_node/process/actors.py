"""Actor that runs the scheduler of one group."""

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
    """Starts a search; the future receives its result."""

    search: Search
    future: Future[Any]


@dataclass(slots=True, frozen=True)
class AbandonMessage:
    """Abandons a search whose caller disconnected."""

    search_id: str


@dataclass(slots=True, frozen=True)
class RequestSlotMessage:
    """Requests a slot for a booking; the future receives the searcher's id."""

    request: SlotRequest
    future: Future[str]


@dataclass(slots=True, frozen=True)
class ReleaseSlotMessage:
    """Releases the slot of a booking and reports how its dispatch ended."""

    request_id: str
    failure: Failure | None
    retry_after: float | None


@dataclass(slots=True, frozen=True)
class CallRepliedMessage:
    """Reports the reply of a searcher to a call."""

    call_id: str
    reply: SearcherReply


@dataclass(slots=True, frozen=True)
class CallFailedMessage:
    """Reports that a call to a searcher failed."""

    call_id: str
    failure: Failure
    retry_after: float | None


@dataclass(slots=True, frozen=True)
class DrainMessage:
    """Reports that a searcher is draining or in service again.

    The report comes from another instance or, where `listed` is set, from the platform's list.
    """

    searcher_id: str
    draining: bool
    reported_at: float
    listed: bool


@dataclass(slots=True, frozen=True)
class TickMessage:
    """Signals that the time of the wake-up requested by the scheduler has come."""


@dataclass(slots=True, frozen=True)
class ReconfigureMessage:
    """Switches the group to a newer version of its service."""

    spec: ServiceSpec
    group: Group
    clients: dict[str, SearcherClient]


@dataclass(slots=True, frozen=True)
class RetireMessage:
    """Stops the actor once it has no open work."""


class Mailbox:
    """Sends messages to an actor and rejects new requests once the actor is being retired.

    An actor that stops discards the messages left in its inbox, and a discarded search would hang
    until its deadline. A lock therefore serializes `ask` and `close`: requests sent before the
    close precede the final message in the inbox, and later ones are rejected here.

    Args:
        ref: Reference to the actor.
    """

    def __init__(self, ref: pykka.ActorRef[Any]) -> None:
        self._ref = ref
        self._lock = threading.Lock()
        self._closed = False

    @property
    def is_open(self) -> bool:
        """Whether the actor accepts requests."""
        return not self._closed and self._ref.is_alive()

    def ask(self, message: Any) -> bool:
        """Send a request; return False if the actor no longer accepts requests."""
        with self._lock:
            return not self._closed and self._send(message)

    def tell(self, message: Any) -> None:
        """Send a message about open work, which keeps the actor alive until it has completed."""
        self._send(message)

    def close(self, final_message: Any) -> None:
        """Send the final message and reject all later requests."""
        with self._lock:
            self._closed = True
            self._send(final_message)

    def _send(self, message: Any) -> bool:
        try:
            self._ref.tell(message)
        except pykka.ActorDeadError:
            return False
        return True


class GroupActor(pykka.ThreadingActor):
    """Passes events to the scheduler of one group and executes the actions that it returns.

    Args:
        spec: Specification of the service.
        group: The group to serve.
        clients: Client for each searcher, by searcher id; closed when the actor stops.
        timers: Schedules the wake-ups of the scheduler.
        metrics: Registry for counters and timings.
        prefix: Prefix that makes call ids unique across instances and their runs.
        notify_drain: Notifies other owners of the group that a searcher is draining or in service
            again.
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
        notify_drain: Callable[[str, bool], None] = lambda searcher_id, draining: None,
    ) -> None:
        super().__init__()
        self._service = spec.name
        self._prefix = f"{prefix}-{group.index}"
        self._timers = timers
        self._metrics = metrics
        self._scheduler = GroupScheduler(spec, group, Random())
        self._clients = clients
        self._notify_drain = notify_drain
        self._calls: dict[str, SearcherClient] = {}
        self._futures: dict[str, Future[Any]] = {}
        self._slots: dict[str, Future[str]] = {}
        self._next_tick_at = float("inf")
        self._retiring = False
        self._executor = self._make_executor(group)

    def on_stop(self) -> None:
        """Stop the worker threads and close all clients when the actor stops."""
        self._executor.shutdown(wait=False)
        for client in self._clients.values():
            client.__exit__()

    def on_failure(self, *details: Any) -> None:
        """Log the unexpected error that stopped the actor and fail all pending futures."""
        events.UNEXPECTED_ERROR.log(
            where="group actor", service=self._service, error=repr(details[1])
        )
        error = Unavailable(
            "The group failed unexpectedly and is restarting.", retry_after=_RETRY_AFTER
        )
        for future in (*self._futures.values(), *self._slots.values()):
            if future.set_running_or_notify_cancel():
                future.set_exception(error)

    def on_receive(self, message: Any) -> Any:
        """Pass one event to the scheduler and execute the resulting actions."""
        now = time.monotonic()
        for action in self._handle_event(message, now):
            self._execute(action)
        if self._retiring and self._scheduler.is_idle:
            self.stop()

    def _handle_event(self, message: Any, now: float) -> list[Action]:
        match message:
            case SearchMessage(search, future):
                self._futures[search.id] = future
                return self._scheduler.search_arrived(search, now)
            case CallRepliedMessage(call_id, reply):
                self._calls.pop(call_id, None)
                return self._scheduler.call_answered(call_id, reply, now)
            case CallFailedMessage(call_id, failure, retry_after):
                self._calls.pop(call_id, None)
                return self._scheduler.call_failed(call_id, failure, retry_after, now)
            case AbandonMessage(search_id):
                self._futures.pop(search_id, None)
                return self._scheduler.search_abandoned(search_id, now)
            case RequestSlotMessage(request, future):
                self._slots[request.id] = future
                return self._scheduler.slot_requested(request, now)
            case ReleaseSlotMessage(request_id, failure, retry_after):
                return self._scheduler.slot_released(request_id, failure, retry_after, now)
            case ReconfigureMessage(spec, group, clients):
                self._clients = clients
                self._executor.shutdown(wait=False)
                self._executor = self._make_executor(group)
                return self._scheduler.reconfigure(spec, group, now)
            case DrainMessage(searcher_id, draining, reported_at, listed):
                return self._scheduler.drain_reported(
                    searcher_id, draining, reported_at, listed, now
                )
            case RetireMessage():
                self._retiring = True
                return []
            case TickMessage():
                self._next_tick_at = float("inf")
                return self._scheduler.tick(now)
        raise TypeError(f"GroupActor does not handle messages of type {type(message).__name__}.")

    def _execute(self, action: Action) -> None:
        match action:
            case StartCall():
                client = self._calls[action.call_id] = self._clients[action.searcher_id]
                self._executor.submit(self._call, client, action)
            case CancelCall(call_id):
                self._executor.submit(self._cancel, self._calls[call_id], call_id)
            case Complete(search_id, answer):
                self._complete_search(search_id, lambda future: future.set_result(answer))
            case CompleteVersions(search_id, versions):
                self._complete_search(search_id, lambda future: future.set_result(versions))
            case FailSearch(search_id, error):
                self._complete_search(search_id, lambda future: future.set_exception(error))
            case GrantSlot(request_id, searcher_id):
                self._grant_slot(request_id, searcher_id)
            case DenySlot(request_id, error):
                future = self._slots.pop(request_id)
                if future.set_running_or_notify_cancel():
                    future.set_exception(error)
            case Count(name, reason):
                self._metrics.count(name, reason)
            case NotifyDrain(searcher_id, draining):
                self._notify_drain(searcher_id, draining)
            case ScheduleTick(when):
                self._schedule_tick(when)

    def _complete_search(self, search_id: str, complete: Callable[[Future[Any]], None]) -> None:
        future = self._futures.pop(search_id, None)
        if future is not None and future.set_running_or_notify_cancel():
            complete(future)

    def _grant_slot(self, request_id: str, searcher_id: str) -> None:
        future = self._slots.pop(request_id)
        if future.set_running_or_notify_cancel():
            future.set_result(searcher_id)
        else:
            self.actor_ref.tell(ReleaseSlotMessage(request_id, None, None))

    def _schedule_tick(self, when: float) -> None:
        if when < self._next_tick_at:
            self._next_tick_at = when
            self._timers.call_at(when, self._send_tick)

    def _send_tick(self) -> None:
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
            result: CallRepliedMessage | CallFailedMessage = CallRepliedMessage(
                action.call_id, reply
            )
        except CallFailed as error:
            result = CallFailedMessage(action.call_id, error.failure, error.retry_after)
            events.SEARCHER_CALL_FAILED.log(searcher=action.searcher_id, failure=error.failure)
        except Exception as error:
            # Every call must be reported to the scheduler exactly once, or its slot is never freed.
            result = CallFailedMessage(action.call_id, Failure.BROKEN, None)
            events.UNEXPECTED_ERROR.log(where="searcher call", error=repr(error), exc_info=True)
        if self.actor_ref.is_alive():
            self.actor_ref.tell(result)

    def _cancel(self, client: SearcherClient, call_id: str) -> None:
        self._metrics.count("searcher_calls", "cancel")
        client.cancel(self._request_id(call_id))

    def _request_id(self, call_id: str) -> str:
        return f"{self._prefix}-{call_id}"

    def _make_executor(self, group: Group) -> ThreadPoolExecutor:
        """Return a thread pool that can run all calls, their cancellations and inventory calls.

        Each slot needs one thread for its call and one for the cancellation. Each searcher needs
        two more for its inventory call and the cancellation of it.
        """
        max_workers = sum(2 * searcher.slots + 2 for searcher in group.searchers)
        return ThreadPoolExecutor(max_workers, thread_name_prefix=f"calls-{self._service}")
