"""What the run of a booking is told and what it asks to be done."""

from dataclasses import dataclass

from limpethollow_policy.request.events import Count, Failure
from limpethollow_wire.bookings import BookingOutcome, SearcherBookingReply


@dataclass(slots=True, frozen=True)
class SlotGranted:
    """The group gave the booking a slot.

    Attributes:
        attempt: Which wish it answers.
        searcher_id: The searcher.
        placement: Digest of the searchers that the group was made from.
    """

    attempt: int
    searcher_id: str
    placement: str


@dataclass(slots=True, frozen=True)
class SlotDenied:
    """The group gave no slot; the wish is withdrawn.

    Attributes:
        attempt: Which wish it answers.
        reason: Code of the error.
        retry_after: Seconds after which another booking makes sense.
    """

    attempt: int
    reason: str
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class DispatchAnswered:
    """The searcher replied to the dispatch."""

    attempt: int
    reply: SearcherBookingReply


@dataclass(slots=True, frozen=True)
class DispatchFailed:
    """The dispatch gave no reply that can be used.

    Attributes:
        attempt: Which dispatch.
        failure: How it failed; a few kinds prove that it was not run.
        retry_after: Seconds after which the searcher wants to be tried again.
    """

    attempt: int
    failure: Failure
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class LookUpAnswered:
    """A searcher said what it knows of the token."""

    searcher_id: str
    reply: SearcherBookingReply


@dataclass(slots=True, frozen=True)
class LookUpFailed:
    """A searcher gave no word on the token, which proves nothing."""

    searcher_id: str
    failure: Failure


@dataclass(slots=True, frozen=True)
class Woken:
    """The second that the run asked to be woken at has come."""


BookingEvent = (
    SlotGranted
    | SlotDenied
    | DispatchAnswered
    | DispatchFailed
    | LookUpAnswered
    | LookUpFailed
    | Woken
)


@dataclass(slots=True, frozen=True)
class TakeSlot:
    """Ask the group for a slot; answered by `SlotGranted` or `SlotDenied`.

    Attributes:
        attempt: Number of the wish.
        deadline: Monotonic second at which the caller stops waiting.
        exclude: Searchers that are proved not to have run it, tried last.
    """

    attempt: int
    deadline: float
    exclude: frozenset[str]


@dataclass(slots=True, frozen=True)
class ReleaseSlot:
    """Give the slot back and say how its dispatch ended."""

    attempt: int
    failure: Failure | None = None
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Send the booking; answered by `DispatchAnswered` or `DispatchFailed`.

    The run has marked the dispatch before it asks for it, so the mark stands before the first byte.
    """

    attempt: int
    searcher_id: str
    timeout: float


@dataclass(slots=True, frozen=True)
class LookUp:
    """Ask a searcher for its word; answered by `LookUpAnswered` or `LookUpFailed`.

    Attributes:
        searcher_id: Whom to ask.
        void: Whether the searcher shall refuse the token for ever if it never started it.
    """

    searcher_id: str
    void: bool = True


@dataclass(slots=True, frozen=True)
class WakeUp:
    """Send `Woken` at this monotonic second."""

    when: float


@dataclass(slots=True, frozen=True)
class Tell:
    """Tell all who wait what is known now; the run may go on."""

    outcome: BookingOutcome


@dataclass(slots=True, frozen=True)
class Stop:
    """Drop the run: its outcome stays lost, and is asked of the searchers from now on."""


BookingAction = TakeSlot | ReleaseSlot | Dispatch | LookUp | WakeUp | Tell | Stop | Count
