"""Events and actions of a booking run."""

from dataclasses import dataclass

from limpethollow_policy.request.events import Count, Failure
from limpethollow_wire.bookings import BookingOutcome, SearcherBookingReply


@dataclass(slots=True, frozen=True)
class SlotGranted:
    """The group granted the booking a slot.

    Attributes:
        attempt: Number of the slot request that it answers.
        searcher_id: Searcher that the slot belongs to.
        placement: Digest of the searchers that the group was built from.
    """

    attempt: int
    searcher_id: str
    placement: str


@dataclass(slots=True, frozen=True)
class SlotDenied:
    """The group denied the slot request, which is no longer pending.

    Attributes:
        attempt: Number of the slot request that it answers.
        reason: Error code.
        retry_after: Seconds after which the booking may be tried again.
    """

    attempt: int
    reason: str
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class DispatchAnswered:
    """The searcher replied to a dispatch."""

    attempt: int
    reply: SearcherBookingReply


@dataclass(slots=True, frozen=True)
class DispatchFailed:
    """A dispatch produced no usable reply.

    Attributes:
        attempt: Number of the dispatch.
        failure: Kind of failure; some kinds prove that the booking was not run.
        retry_after: Seconds after which the searcher asked to be tried again.
    """

    attempt: int
    failure: Failure
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class LookUpAnswered:
    """A searcher reported the state of the token."""

    searcher_id: str
    reply: SearcherBookingReply


@dataclass(slots=True, frozen=True)
class LookUpFailed:
    """A searcher did not report the state of the token, which proves nothing."""

    searcher_id: str
    failure: Failure


@dataclass(slots=True, frozen=True)
class WakeUpDue:
    """The time requested by `WakeUp` has come."""


BookingEvent = (
    SlotGranted
    | SlotDenied
    | DispatchAnswered
    | DispatchFailed
    | LookUpAnswered
    | LookUpFailed
    | WakeUpDue
)


@dataclass(slots=True, frozen=True)
class RequestSlot:
    """Request a slot from the group; answered by `SlotGranted` or `SlotDenied`.

    Attributes:
        attempt: Number of the slot request.
        deadline: Monotonic second at which the caller stops waiting.
        exclude: Searchers proved not to have run the booking; they are tried last.
    """

    attempt: int
    deadline: float
    exclude: frozenset[str]


@dataclass(slots=True, frozen=True)
class ReleaseSlot:
    """Release the slot and report the result of its dispatch."""

    attempt: int
    failure: Failure | None = None
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Send the booking; answered by `DispatchAnswered` or `DispatchFailed`.

    The run records the dispatch before it returns this action, so before the first byte is sent.
    """

    attempt: int
    searcher_id: str
    timeout: float


@dataclass(slots=True, frozen=True)
class LookUp:
    """Ask a searcher for the state of the token; answered by `LookUpAnswered` or `LookUpFailed`.

    Attributes:
        searcher_id: Searcher to ask.
        void: Whether the searcher must reject the token permanently if it has not started it.
    """

    searcher_id: str
    void: bool = True


@dataclass(slots=True, frozen=True)
class WakeUp:
    """Deliver `WakeUpDue` at this monotonic second."""

    when: float


@dataclass(slots=True, frozen=True)
class Tell:
    """Notify all waiting callers of the current outcome; the run may continue."""

    outcome: BookingOutcome


@dataclass(slots=True, frozen=True)
class DiscardRun:
    """Discard the run with its outcome unknown; from now on only the searchers are asked for it."""


BookingAction = RequestSlot | ReleaseSlot | Dispatch | LookUp | WakeUp | Tell | DiscardRun | Count
