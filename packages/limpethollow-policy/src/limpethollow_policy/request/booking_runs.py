"""Execution of one booking at its executor, from the slot request to the final outcome."""

from limpethollow_policy.request.booking_events import (
    BookingAction,
    BookingEvent,
    DiscardRun,
    Dispatch,
    DispatchAnswered,
    DispatchFailed,
    LookUp,
    LookUpAnswered,
    LookUpFailed,
    ReleaseSlot,
    RequestSlot,
    SlotDenied,
    SlotGranted,
    Tell,
    WakeUp,
    WakeUpDue,
)
from limpethollow_policy.request.events import Count, Failure
from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingToken,
    OutcomeState,
    SearcherBookingReply,
)

NOT_RUN_FAILURES = frozenset({Failure.REFUSED, Failure.SHED})
MAX_DISPATCHES = 8

_INITIAL_BACKOFF = 0.05
_MAX_BACKOFF = 5.0
_RETRY_AFTER_SECONDS = 0.5
_FINAL_STATES = {
    "done": OutcomeState.BOOKED,
    "rejected": OutcomeState.REJECTED,
}


class BookingRun:
    """Dispatches a token to one searcher at a time, and again only if proved not to have run.

    A second dispatch could book twice, for example put two trucks at one bay. It is allowed only if
    the previous searcher is proved not to have run the token and never to run it later: it refused
    the connection, shed the request explicitly, or reported that it voided the token. A timeout or
    a lost connection proves nothing, since the request may be in the socket buffer of a paused
    searcher and run when it resumes.

    Args:
        token: The booking's token.
        deadline: Monotonic second at which the caller stops waiting.
        until: Monotonic second after which an unknown outcome is no longer looked up.
    """

    __slots__ = (
        "_attempt",
        "_deadline",
        "_dispatched_to",
        "_outcome_unknown",
        "_outcome",
        "_backoff",
        "_proved_searchers",
        "_callers_notified",
        "_token",
        "_look_up_until",
        "_wake_up_pending",
    )

    def __init__(self, token: BookingToken, deadline: float, until: float) -> None:
        self._token = token
        self._deadline = deadline
        self._look_up_until = until
        self._attempt = 0
        self._dispatched_to = ""
        self._proved_searchers: frozenset[str] = frozenset()
        self._outcome_unknown = False
        self._callers_notified = False
        self._backoff = _INITIAL_BACKOFF
        self._wake_up_pending = False
        self._outcome = BookingOutcome(
            str(token), OutcomeState.IN_FLIGHT, retry_after=_RETRY_AFTER_SECONDS
        )

    @property
    def outcome(self) -> BookingOutcome:
        """The current outcome."""
        return self._outcome

    @property
    def unresolved_searcher(self) -> str:
        """Searcher of the dispatch whose outcome is unknown, empty if there is none."""
        return self._dispatched_to if self._outcome_unknown else ""

    def start(self, now: float) -> list[BookingAction]:
        """Start the run and return its first actions."""
        return self._take_slot(now)

    def handle(self, event: BookingEvent, now: float) -> list[BookingAction]:
        """Process one event; late and duplicate events are ignored."""
        match event:
            case SlotGranted():
                return self._granted(event, now)
            case SlotDenied(attempt, reason, retry_after):
                if self._is_current(attempt) and not self._dispatched_to:
                    return self._finish_not_run(reason, retry_after)
            case DispatchAnswered(attempt, reply):
                if self._is_dispatched(attempt):
                    return [ReleaseSlot(attempt), *self._searcher_replied(reply, now)]
            case DispatchFailed():
                if self._is_dispatched(event.attempt):
                    return self._dispatch_failed(event, now)
            case LookUpAnswered(searcher_id, reply):
                if searcher_id == self.unresolved_searcher and not self._is_final:
                    return self._searcher_replied(reply, now)
            case LookUpFailed(searcher_id, failure):
                if searcher_id == self.unresolved_searcher and not self._is_final:
                    return [
                        Count("booking_look_up_failures", failure),
                        *self._schedule_look_up(now),
                    ]
            case WakeUpDue():
                return self._woken(now)
        return []

    def asked(self) -> list[BookingAction]:
        """Look up an unknown outcome immediately, at a caller's request."""
        return (
            [LookUp(self.unresolved_searcher)]
            if self.unresolved_searcher and not self._is_final
            else []
        )

    @property
    def _is_final(self) -> bool:
        return self._outcome.state.is_final

    def _is_current(self, attempt: int) -> bool:
        return attempt == self._attempt and not self._is_final

    def _is_dispatched(self, attempt: int) -> bool:
        return self._is_current(attempt) and bool(self._dispatched_to) and not self._outcome_unknown

    def _take_slot(self, now: float) -> list[BookingAction]:
        if now >= self._deadline:
            return self._finish_not_run("deadline_passed", None)
        if self._attempt >= MAX_DISPATCHES:
            return self._finish_not_run("dispatches_failed", _RETRY_AFTER_SECONDS)
        self._attempt += 1
        return [RequestSlot(self._attempt, self._deadline, self._proved_searchers)]

    def _granted(self, event: SlotGranted, now: float) -> list[BookingAction]:
        if not self._is_current(event.attempt) or self._dispatched_to:
            return [ReleaseSlot(event.attempt)]
        if event.placement != self._token.placement:
            # A token is voided only at the searchers of its own placement. A searcher that was
            # added later is not asked, and could run a token that was reported as not run.
            return [
                ReleaseSlot(event.attempt),
                *self._finish_not_run("searchers_changed", 0.0),
            ]
        if now >= self._deadline:
            return [ReleaseSlot(event.attempt), *self._finish_not_run("deadline_passed", None)]
        # Recorded before sending: from here on only proof allows another dispatch, whatever happens
        # to the thread that sends the request.
        self._dispatched_to = event.searcher_id
        return [Dispatch(self._attempt, event.searcher_id, self._deadline - now)]

    def _dispatch_failed(self, event: DispatchFailed, now: float) -> list[BookingAction]:
        actions: list[BookingAction] = [
            ReleaseSlot(event.attempt, event.failure, event.retry_after),
            Count("booking_dispatch_failures", event.failure),
        ]
        if event.failure in NOT_RUN_FAILURES:
            return actions + self._continue_after_not_run(now)
        self._outcome_unknown = True
        self._set_outcome(OutcomeState.UNKNOWN, reason=event.failure)
        if now >= self._deadline:
            actions += self._notify_callers()
        return [*actions, LookUp(self._dispatched_to)]

    def _searcher_replied(self, reply: SearcherBookingReply, now: float) -> list[BookingAction]:
        state = _FINAL_STATES.get(reply.state)
        if state is not None:
            self._outcome = BookingOutcome(
                str(self._token), state, reply.result, reply.visible_version
            )
            return self._notify_callers()
        if reply.state == "voided" and self._outcome_unknown:
            return self._continue_after_not_run(now)
        if reply.state == "voided":
            # Another instance is resolving the token and voided it before this dispatch arrived. It
            # may already have told its caller that the booking was not run.
            return self._finish_not_run("voided", 0.0)
        self._outcome_unknown = True
        self._set_outcome(OutcomeState.UNKNOWN, reason=f"searcher_{reply.state}")
        return self._schedule_look_up(now)

    def _continue_after_not_run(self, now: float) -> list[BookingAction]:
        """Continue after proof that the outstanding dispatch did not run and never will."""
        self._proved_searchers |= {self._dispatched_to}
        self._dispatched_to = ""
        self._outcome_unknown = False
        if self._callers_notified:
            return self._finish_not_run("voided", 0.0)
        return self._take_slot(now)

    def _schedule_look_up(self, now: float) -> list[BookingAction]:
        actions: list[BookingAction] = []
        if now >= self._deadline and not self._callers_notified:
            actions += self._notify_callers()
        if now >= self._look_up_until:
            return [*actions, DiscardRun()]
        if self._wake_up_pending:
            return actions
        self._wake_up_pending = True
        delay = self._backoff
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)
        when = now + delay
        if now < self._deadline < when:
            when = self._deadline
        return [*actions, WakeUp(when)]

    def _woken(self, now: float) -> list[BookingAction]:
        self._wake_up_pending = False
        if not self.unresolved_searcher or self._is_final:
            return []
        actions: list[BookingAction] = []
        if now >= self._deadline and not self._callers_notified:
            actions += self._notify_callers()
        return [*actions, LookUp(self.unresolved_searcher)]

    def _finish_not_run(self, reason: str, retry_after: float | None) -> list[BookingAction]:
        self._set_outcome(OutcomeState.NOT_RUN, reason, retry_after)
        return [Count("bookings_not_run", reason), *self._notify_callers()]

    def _set_outcome(
        self, state: OutcomeState, reason: str, retry_after: float | None = _RETRY_AFTER_SECONDS
    ) -> None:
        self._outcome = BookingOutcome(
            str(self._token), state, retry_after=retry_after, reason=str(reason)
        )

    def _notify_callers(self) -> list[BookingAction]:
        self._callers_notified = True
        return [Tell(self._outcome)]
