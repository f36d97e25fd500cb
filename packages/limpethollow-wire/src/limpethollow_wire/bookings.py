"""Messages of a booking: token, request, outcome."""

from enum import StrEnum
from hashlib import blake2b
from typing import Any

import msgspec

from limpethollow_wire.exceptions import BadRequest, NotRun, OutcomeUnknown
from limpethollow_wire.limits import MAX_TOKEN_LENGTH

_SEPARATOR = "."
_RUN_SEPARATOR = "-"
_PARTS = 4
_RUN_PARTS = 3
_DIGEST_BYTES = 16
_REMEDY = "Take 'token_prefix' from a route answer and add '.<shard>.<nonce>' to it."


class BookingToken(msgspec.Struct, frozen=True):
    """Names one booking, the only process that may dispatch it, and where it may be dispatched.

    The text form is `instance.incarnation-period-placement.shard.nonce`. A route answer gives the
    first two parts as a whole; the caller adds the shard and a nonce.

    Attributes:
        instance: Id of the executing instance.
        incarnation: The one run of that instance that may dispatch.
        period: Issue period of that run; unseen tokens of old periods are never dispatched.
        placement: Digest of the service's searchers; only these may ever get the token.
        shard: Shard that holds what is booked.
        nonce: Chosen by the caller, unique for each booking.
    """

    instance: str
    incarnation: str
    period: int
    placement: str
    shard: int
    nonce: str

    def __str__(self) -> str:
        return _SEPARATOR.join((self.prefix, str(self.shard), self.nonce))

    @property
    def prefix(self) -> str:
        """The parts that a route answer gives."""
        return token_prefix(self.instance, self.incarnation, self.period, self.placement)

    @classmethod
    def parse(cls, text: str) -> "BookingToken":
        """Read the text form.

        Raises:
            BadRequest: The text is not a token.
        """
        parts = text.split(_SEPARATOR)
        if len(text) > MAX_TOKEN_LENGTH or len(parts) != _PARTS or not all(parts):
            raise _not_a_token()
        instance, run, shard, nonce = parts
        run_parts = run.split(_RUN_SEPARATOR)
        if len(run_parts) != _RUN_PARTS or not all(run_parts):
            raise _not_a_token()
        incarnation, period, placement = run_parts
        if not (_is_number(period) and _is_number(shard)):
            raise _not_a_token()
        return cls(instance, incarnation, int(period), placement, int(shard), nonce)


def token_prefix(instance: str, incarnation: str, period: int, placement: str) -> str:
    """Return the first two parts of the tokens that one run issues now for one service."""
    run = _RUN_SEPARATOR.join((incarnation, str(period), placement))
    return f"{instance}{_SEPARATOR}{run}"


def _is_number(text: str) -> bool:
    """Return whether the text is a number in its only form, so that a token has one spelling."""
    return text.isascii() and text.isdigit() and str(int(text)) == text


def _not_a_token() -> BadRequest:
    form = "instance.incarnation-period-placement.shard.nonce"
    return BadRequest(f"The booking token is not of the form {form}.", remedy=_REMEDY)


class OutcomeState(StrEnum):
    """What is known of a booking.

    Attributes:
        BOOKED: It ran, once. Final.
        REJECTED: The searcher ran it and turned it down. Final.
        NOT_RUN: Proof exists that it did not run and never will under its token. Final.
        IN_FLIGHT: Its dispatch is not over yet.
        UNKNOWN: It may or may not have run, or may yet run.
    """

    BOOKED = "booked"
    REJECTED = "rejected"
    NOT_RUN = "not_run"
    IN_FLIGHT = "in_flight"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the answer never changes any more."""
        return self not in (OutcomeState.IN_FLIGHT, OutcomeState.UNKNOWN)


class BookingRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's booking.

    Attributes:
        token: Text form of the booking's token.
        shard: Shard that holds what is booked.
        booking: Handed to the searcher unread.
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
        retry_after: Seconds after which to ask again, or to book anew with a new token.
        reason: Why it was not run or is not known, empty where it ran.
    """

    token: str
    state: OutcomeState
    result: dict[str, Any] = {}
    visible_version: int = 0
    retry_after: float | None = None
    reason: str = ""

    def require_run(self) -> "BookingOutcome":
        """Return the outcome of a booking that the searcher ran.

        Raises:
            NotRun: It was not run and never will be under this token.
            OutcomeUnknown: It may have run, or may yet run.
        """
        details = {"token": self.token, "state": self.state.value, "reason": self.reason}
        if self.state is OutcomeState.NOT_RUN:
            message = f"The booking was not run ({self.reason or 'no reason given'})."
            raise NotRun(message, retry_after=self.retry_after, details=details)
        if not self.state.is_final:
            message = f"The booking may have run ({self.reason or self.state.value})."
            raise OutcomeUnknown(message, retry_after=self.retry_after, details=details)
        return self


class ForwardedBooking(msgspec.Struct, frozen=True):
    """A booking on its way to the instance that its token names."""

    service: str
    firm: str
    request: BookingRequest
    budget: float

    @property
    def fingerprint(self) -> bytes:
        """Digest of everything that a second booking under the same token must share."""
        request = self.request
        content = (self.service, self.firm, request.shard, request.booking)
        data = msgspec.json.encode(content, order="sorted")
        return blake2b(data, digest_size=_DIGEST_BYTES).digest()

    @property
    def owner(self) -> bytes:
        """Digest of the service and the firm, which a look-up must share."""
        return owner_digest(self.service, self.firm)


class OutcomeQuestion(msgspec.Struct, frozen=True):
    """Asks the instance that a token names what became of the booking."""

    service: str
    firm: str
    token: str

    @property
    def owner(self) -> bytes:
        """Digest of the service and the firm, which the booking must share."""
        return owner_digest(self.service, self.firm)


def owner_digest(service: str, firm: str) -> bytes:
    """Return the digest of a service and a firm."""
    data = msgspec.json.encode((service, firm))
    return blake2b(data, digest_size=_DIGEST_BYTES).digest()


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
