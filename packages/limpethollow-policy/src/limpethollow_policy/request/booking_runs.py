"""The run of one booking at its executor, from the first slot to the final outcome."""

from limpethollow_policy.request.booking_events import (
    BookingAction,
    BookingEvent,
    Dispatch,
    DispatchAnswered,
    DispatchFailed,
    LookUp,
    LookUpAnswered,
    LookUpFailed,
    ReleaseSlot,
    SlotDenied,
    SlotGranted,
    Stop,
    TakeSlot,
    Tell,
    WakeUp,
    Woken,
)
from limpethollow_policy.request.events import Count, Failure
from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingToken,
    OutcomeState,
    SearcherBookingReply,
)

PROOF_OF_NOT_RUN = frozenset({Failure.REFUSED, Failure.SHED})
MAX_DISPATCHES = 8

_FIRST_PAUSE = 0.05
_LONGEST_PAUSE = 5.0
_ASK_AGAIN_SECONDS = 0.5
_FINAL_STATES = {
    "done": OutcomeState.BOOKED,
    "rejected": OutcomeState.REJECTED,
}


class BookingRun:
    """Dispatches one token at most once at a time, and again only on proof.

    A second dispatch would put two trucks at one bay. It is allowed only where the searcher of the
    dispatch before is proved not to have run the token and never to run it later: no connection,
    an explicit shed, or its own word that it voided the token. A timeout or a cut proves nothing,
    since the request may lie in a paused searcher's socket and run when it resumes.

    Args:
        token: The booking's token.
        deadline: Monotonic second at which the caller stops waiting.
        until: Monotonic second at which the search for a lost outcome ends.
    """

    __slots__ = (
        "_attempt",
        "_deadline",
        "_dispatched_to",
        "_lost",
        "_outcome",
        "_pause",
        "_proved",
        "_told",
        "_token",
        "_until",
        "_waking",
    )

    def __init__(self, token: BookingToken, deadline: float, until: float) -> None:
        self._token = token
        self._deadline = deadline
        self._until = until
        self._attempt = 0
        self._dispatched_to = ""
        self._proved: frozenset[str] = frozenset()
        self._lost = False
        self._told = False
        self._pause = _FIRST_PAUSE
        self._waking = False
        self._outcome = BookingOutcome(
            str(token), OutcomeState.IN_FLIGHT, retry_after=_ASK_AGAIN_SECONDS
        )

    @property
    def outcome(self) -> BookingOutcome:
        """What is known now."""
        return self._outcome

    @property
    def lost_at(self) -> str:
        """Searcher that has the only dispatch whose outcome is lost, empty where there is none."""
        return self._dispatched_to if self._lost else ""

    def start(self, now: float) -> list[BookingAction]:
        """Begin."""
        return self._take_slot(now)

    def handle(self, event: BookingEvent, now: float) -> list[BookingAction]:
        """Take in one event; an event that is late or twice changes nothing."""
        match event:
            case SlotGranted():
                return self._granted(event, now)
            case SlotDenied(attempt, reason, retry_after):
                if self._is_current(attempt) and not self._dispatched_to:
                    return self._finish_not_run(reason, retry_after)
            case DispatchAnswered(attempt, reply):
                if self._is_dispatched(attempt):
                    return [ReleaseSlot(attempt), *self._searcher_said(reply, now)]
            case DispatchFailed():
                if self._is_dispatched(event.attempt):
                    return self._dispatch_failed(event, now)
            case LookUpAnswered(searcher_id, reply):
                if searcher_id == self.lost_at and not self._is_final:
                    return self._searcher_said(reply, now)
            case LookUpFailed(searcher_id, failure):
                if searcher_id == self.lost_at and not self._is_final:
                    return [Count("booking_look_up_failures", failure), *self._ask_later(now)]
            case Woken():
                return self._woken(now)
        return []

    def asked(self) -> list[BookingAction]:
        """Look for a lost outcome at once, because a caller asks for it."""
        return [LookUp(self.lost_at)] if self.lost_at and not self._is_final else []

    @property
    def _is_final(self) -> bool:
        return self._outcome.state.is_final

    def _is_current(self, attempt: int) -> bool:
        return attempt == self._attempt and not self._is_final

    def _is_dispatched(self, attempt: int) -> bool:
        return self._is_current(attempt) and bool(self._dispatched_to) and not self._lost

    def _take_slot(self, now: float) -> list[BookingAction]:
        if now >= self._deadline:
            return self._finish_not_run("deadline_passed", None)
        if self._attempt >= MAX_DISPATCHES:
            return self._finish_not_run("dispatches_failed", _ASK_AGAIN_SECONDS)
        self._attempt += 1
        return [TakeSlot(self._attempt, self._deadline, self._proved)]

    def _granted(self, event: SlotGranted, now: float) -> list[BookingAction]:
        if not self._is_current(event.attempt) or self._dispatched_to:
            return [ReleaseSlot(event.attempt)]
        if event.placement != self._token.placement:
            # Whoever voids this token asks the searchers of its own placement only. A searcher
            # that joined later was not asked, and would run a token that was called not run.
            return [
                ReleaseSlot(event.attempt),
                *self._finish_not_run("searchers_changed", 0.0),
            ]
        if now >= self._deadline:
            return [ReleaseSlot(event.attempt), *self._finish_not_run("deadline_passed", None)]
        # The mark: from here on nothing but proof leads to another dispatch, whatever happens to
        # the thread that sends the request.
        self._dispatched_to = event.searcher_id
        return [Dispatch(self._attempt, event.searcher_id, self._deadline - now)]

    def _dispatch_failed(self, event: DispatchFailed, now: float) -> list[BookingAction]:
        actions: list[BookingAction] = [
            ReleaseSlot(event.attempt, event.failure, event.retry_after),
            Count("booking_dispatch_failures", event.failure),
        ]
        if event.failure in PROOF_OF_NOT_RUN:
            return actions + self._proved_not_run(now)
        self._lost = True
        self._set(OutcomeState.UNKNOWN, reason=event.failure)
        if now >= self._deadline:
            actions += self._tell()
        return [*actions, LookUp(self._dispatched_to)]

    def _searcher_said(self, reply: SearcherBookingReply, now: float) -> list[BookingAction]:
        state = _FINAL_STATES.get(reply.state)
        if state is not None:
            self._outcome = BookingOutcome(
                str(self._token), state, reply.result, reply.visible_version
            )
            return self._tell()
        if reply.state == "voided" and self._lost:
            return self._proved_not_run(now)
        if reply.state == "voided":
            # A dispatch that meets a voided token was beaten by somebody who resolves the token,
            # and may have told its caller already that it was not run.
            return self._finish_not_run("voided", 0.0)
        self._lost = True
        self._set(OutcomeState.UNKNOWN, reason=f"searcher_{reply.state}")
        return self._ask_later(now)

    def _proved_not_run(self, now: float) -> list[BookingAction]:
        """Go on after proof that the only open dispatch did not run and never will."""
        self._proved |= {self._dispatched_to}
        self._dispatched_to = ""
        self._lost = False
        if self._told:
            return self._finish_not_run("voided", 0.0)
        return self._take_slot(now)

    def _ask_later(self, now: float) -> list[BookingAction]:
        actions: list[BookingAction] = []
        if now >= self._deadline and not self._told:
            actions += self._tell()
        if now >= self._until:
            return [*actions, Stop()]
        if self._waking:
            return actions
        self._waking = True
        pause = self._pause
        self._pause = min(self._pause * 2, _LONGEST_PAUSE)
        when = now + pause
        if now < self._deadline < when:
            when = self._deadline
        return [*actions, WakeUp(when)]

    def _woken(self, now: float) -> list[BookingAction]:
        self._waking = False
        if not self.lost_at or self._is_final:
            return []
        actions: list[BookingAction] = []
        if now >= self._deadline and not self._told:
            actions += self._tell()
        return [*actions, LookUp(self.lost_at)]

    def _finish_not_run(self, reason: str, retry_after: float | None) -> list[BookingAction]:
        self._set(OutcomeState.NOT_RUN, reason, retry_after)
        return [Count("bookings_not_run", reason), *self._tell()]

    def _set(
        self, state: OutcomeState, reason: str, retry_after: float | None = _ASK_AGAIN_SECONDS
    ) -> None:
        self._outcome = BookingOutcome(
            str(self._token), state, retry_after=retry_after, reason=str(reason)
        )

    def _tell(self) -> list[BookingAction]:
        self._told = True
        return [Tell(self._outcome)]
