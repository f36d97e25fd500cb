"""Messages of a booking: token, request, outcome."""

from enum import StrEnum
from typing import Any

import msgspec

from limpethollow_wire.exceptions import BadRequest
from limpethollow_wire.limits import MAX_TOKEN_LENGTH

_TOKEN_PARTS = 3
_TOKEN_SEPARATOR = "."


class BookingToken(msgspec.Struct, frozen=True):
    """Names one booking and the only process that may dispatch it.

    The text form is `instance.incarnation.nonce`.

    Attributes:
        instance: Id of the executing instance.
        incarnation: The one run of that instance that may dispatch.
        nonce: Chosen by the caller, unique for each booking.
    """

    instance: str
    incarnation: str
    nonce: str

    def __str__(self) -> str:
        return _TOKEN_SEPARATOR.join((self.instance, self.incarnation, self.nonce))

    @classmethod
    def parse(cls, text: str) -> "BookingToken":
        """Read the text form.

        Raises:
            BadRequest: The text is not a token.
        """
        parts = text.split(_TOKEN_SEPARATOR)
        if len(text) > MAX_TOKEN_LENGTH or len(parts) != _TOKEN_PARTS or not all(parts):
            raise BadRequest(
                "The booking token is not of the form instance.incarnation.nonce.",
                remedy="Take the first two parts from a route answer and add a nonce.",
            )
        return cls(*parts)


class OutcomeState(StrEnum):
    """What is known of a booking."""

    BOOKED = "booked"
    REJECTED = "rejected"
    NOT_RUN = "not_run"
    IN_FLIGHT = "in_flight"
    UNKNOWN = "unknown"


class BookingRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's booking.

    Attributes:
        token: Text form of a `BookingToken`.
        shard: Shard that holds what is booked.
        booking: What to book; handed to the searcher unread.
        deadline: Seconds the caller waits, None for the service's own.
    """

    token: str
    shard: int
    booking: dict[str, Any]
    deadline: float | None = None


class BookingOutcome(msgspec.Struct, frozen=True):
    """What is known of a booking, true whenever it is said.

    Attributes:
        token: Text form of the booking's token.
        state: What is known.
        result: The searcher's word where it ran.
        visible_version: Index version in which searches see it, 0 where not known.
        retry_after: Seconds after which to ask again, None where the state is final.
    """

    token: str
    state: OutcomeState
    result: dict[str, Any] = {}
    visible_version: int = 0
    retry_after: float | None = None


class ForwardedBooking(msgspec.Struct, frozen=True):
    """A booking on its way to the instance that its token names."""

    service: str
    firm: str
    request: BookingRequest
    budget: float


class OutcomeQuestion(msgspec.Struct, frozen=True):
    """Asks the instance that a token names what became of the booking."""

    service: str
    firm: str
    token: str


class SearcherBooking(msgspec.Struct, frozen=True):
    """The body of a booking sent to a searcher."""

    token: str
    service: str
    shard: int
    booking: dict[str, Any]
    timeout: float


class SearcherBookingReply(msgspec.Struct, frozen=True):
    """A searcher's word on a booking.

    Attributes:
        token: Echo of the token.
        state: `done`, `rejected`, `running`, `voided` (never started, and never will be)
            or `unknown` (no record, which proves nothing).
        result: The booking's result where it ran.
        visible_version: Index version in which searches see it.
    """

    token: str
    state: str
    result: dict[str, Any] = {}
    visible_version: int = 0
