"""Drives the run of one booking: carries its actions out and its events in."""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import CancelledError, Future
from dataclasses import dataclass

from limpethollow_node.connection.searchers import CallFailed
from limpethollow_node.process import events
from limpethollow_node.process.groups import LocalGroup
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.request.booking_resolvers import BookingResolver
from limpethollow_policy.request.booking_events import (
    BookingAction,
    BookingEvent,
    DiscardRun,
    Dispatch,
    DispatchAnswered,
    DispatchFailed,
    LookUp,
    ReleaseSlot,
    RequestSlot,
    SlotDenied,
    SlotGranted,
    Tell,
    WakeUp,
    WakeUpDue,
)
from limpethollow_policy.request.booking_runs import BookingRun
from limpethollow_policy.request.events import Count, Failure, SlotRequest
from limpethollow_wire.bookings import BookingOutcome, ForwardedBooking, SearcherBooking
from limpethollow_wire.exceptions import LimpethollowError
from limpethollow_wire.services import SearcherSpec

_SLOT_GRACE_SECONDS = 0.25


@dataclass(slots=True, frozen=True)
class DriverContext:
    """What all runs of an instance share.

    Attributes:
        group: Returns the group of a service's shard with the placement that it was made from.
        resolver: Asks searchers for their word.
        later: Calls a function in the background, at a monotonic second.
        settled: Told when a run's outcome is final.
        stopped: Told when a run ends without one.
        metrics: Where counters are kept.
    """

    group: Callable[[str, int], tuple[LocalGroup, str]]
    resolver: BookingResolver
    later: Callable[[float, Callable[[], None]], None]
    settled: Callable[[ForwardedBooking], None]
    stopped: Callable[[ForwardedBooking], None]
    metrics: Metrics


class BookingDriver:
    """One run with the threads that wait for it; every decision is the run's.

    Args:
        forwarded: The booking.
        run: Its run.
        holders: The searchers that its token may be dispatched to.
        context: What all runs share.
    """

    def __init__(
        self,
        forwarded: ForwardedBooking,
        run: BookingRun,
        holders: tuple[SearcherSpec, ...],
        context: DriverContext,
    ) -> None:
        self._forwarded = forwarded
        self._token = forwarded.request.token
        self._run = run
        self._holders = {searcher.id: searcher for searcher in holders}
        self._context = context
        self._lock = threading.Lock()
        self._told = threading.Event()
        self._slots: dict[int, LocalGroup] = {}

    @property
    def outcome(self) -> BookingOutcome:
        """What is known now."""
        with self._lock:
            return self._run.outcome

    def start(self) -> None:
        """Run the booking until its caller can be told something."""
        with self._lock:
            actions = self._run.start(time.monotonic())
        self._drive(actions, may_look_up=False)

    def wait(self, seconds: float) -> None:
        """Wait until something can be told, at most so long."""
        self._told.wait(seconds)

    def give_up(self) -> None:
        """Let all that wait go on with what is known, because the process is about to exit."""
        self._told.set()

    def ask(self) -> None:
        """Look for a lost outcome at once."""
        with self._lock:
            actions = self._run.asked()
        self._drive(actions)

    def _wake(self) -> None:
        self._drive(self._handle(WakeUpDue()))

    def _handle(self, event: BookingEvent) -> list[BookingAction]:
        with self._lock:
            return self._run.handle(event, time.monotonic())

    def _drive(self, actions: Iterable[BookingAction], may_look_up: bool = True) -> None:
        queue = deque(actions)
        while queue:
            if isinstance(queue[0], LookUp) and not may_look_up:
                # A look-up at a frozen searcher would hold the caller's thread past its deadline.
                self._context.later(time.monotonic(), lambda: self._drive(queue))
                return
            event = self._carry_out(queue.popleft())
            if event is not None:
                queue.extend(self._handle(event))

    def _carry_out(self, action: BookingAction) -> BookingEvent | None:
        match action:
            case RequestSlot():
                return self._take_slot(action)
            case ReleaseSlot(attempt, failure, retry_after):
                group = self._slots.pop(attempt)
                group.release_slot(self._request_id(attempt), failure, retry_after)
            case Dispatch():
                return self._dispatch(action)
            case LookUp():
                return self._look_up(action)
            case WakeUp(when):
                self._context.later(when, self._wake)
            case Tell(outcome):
                self._tell(outcome)
            case DiscardRun():
                self._context.stopped(self._forwarded)
            case Count(name, reason):
                self._context.metrics.count(name, reason)
        return None

    def _take_slot(self, action: RequestSlot) -> BookingEvent:
        request = self._forwarded.request
        try:
            group, placement = self._context.group(self._forwarded.service, request.shard)
            wish = SlotRequest(
                self._request_id(action.attempt), request.shard, action.deadline, action.exclude
            )
            future = group.take_slot(wish)
            seconds = max(0.0, action.deadline - time.monotonic()) + _SLOT_GRACE_SECONDS
            searcher_id = future.result(seconds)
        except LimpethollowError as error:
            return SlotDenied(action.attempt, error.code, error.retry_after)
        except CancelledError:
            # The instance exits and cancels what waits; nothing was sent and nothing will be.
            return SlotDenied(action.attempt, "leaving")
        except TimeoutError:
            future.add_done_callback(lambda late: _give_back(group, wish.id, late))
            return SlotDenied(action.attempt, "no_slot_in_time")
        self._slots[action.attempt] = group
        return SlotGranted(action.attempt, searcher_id, placement)

    def _dispatch(self, action: Dispatch) -> BookingEvent:
        request = self._forwarded.request
        booking = SearcherBooking(
            token=self._token,
            service=self._forwarded.service,
            shard=request.shard,
            booking=request.booking,
            timeout=action.timeout,
        )
        self._context.metrics.count("searcher_calls", "booking")
        try:
            reply = self._slots[action.attempt].client(action.searcher_id).book(booking)
        except CallFailed as error:
            return DispatchFailed(action.attempt, error.failure, error.retry_after)
        except Exception as error:
            # A defect proves nothing about what was sent, so it counts as a lost reply.
            events.UNEXPECTED_ERROR.log(where="booking", error=repr(error), exc_info=True)
            return DispatchFailed(action.attempt, Failure.BROKEN)
        return DispatchAnswered(action.attempt, reply)

    def _look_up(self, action: LookUp) -> BookingEvent:
        searcher = self._holders[action.searcher_id]
        return self._context.resolver.ask(searcher, action, self._token)

    def _tell(self, outcome: BookingOutcome) -> None:
        if outcome.state.is_final:
            self._context.settled(self._forwarded)
        else:
            events.BOOKING_UNKNOWN.log(token=self._token, reason=outcome.reason)
        self._told.set()

    def _request_id(self, attempt: int) -> str:
        return f"{self._token}#{attempt}"


def _give_back(group: LocalGroup, request_id: str, late: Future[str]) -> None:
    """Give back a slot that was granted after its booking had stopped waiting."""
    if not late.cancelled() and late.exception() is None:
        group.release_slot(request_id)
