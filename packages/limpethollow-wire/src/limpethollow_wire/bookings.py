"""Booking messages: tokens, requests and outcomes."""

from enum import StrEnum
from hashlib import blake2b
from typing import Any

import msgspec

from limpethollow_wire.exceptions import BadRequest, NotRun, OutcomeUnknown
from limpethollow_wire.limits import MAX_TOKEN_LENGTH

_SEPARATOR = "."
_RUN_SEPARATOR = "-"
_TOKEN_PARTS = 4
_RUN_PARTS = 3
_DIGEST_BYTES = 16
_REMEDY = "Append '.<shard>.<nonce>' to the 'token_prefix' of a route answer."


class BookingToken(msgspec.Struct, frozen=True):
    """Identifies a booking, the only process that may dispatch it, and its allowed searchers.

    The text form is `instance.incarnation-period-placement.shard.nonce`. A route answer
    contains the first two parts as one prefix; the caller appends the shard and a nonce.

    Attributes:
        instance: Id of the instance that executes the booking.
        incarnation: The only run of that instance that may dispatch the booking.
        period: Issue period within that run; new tokens of expired periods are never dispatched.
        placement: Digest of the set of searchers to which the token may be sent.
        shard: Shard that holds the booked item.
        nonce: Chosen by the caller, unique per booking.
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
        """The part of the token that a route answer contains."""
        return token_prefix(self.instance, self.incarnation, self.period, self.placement)

    @classmethod
    def parse(cls, text: str) -> "BookingToken":
        """Parse the text form.

        Raises:
            BadRequest: The text is not a valid token.
        """
        parts = text.split(_SEPARATOR)
        if len(text) > MAX_TOKEN_LENGTH or len(parts) != _TOKEN_PARTS or not all(parts):
            raise _malformed_token_error()
        instance, run, shard, nonce = parts
        run_parts = run.split(_RUN_SEPARATOR)
        if len(run_parts) != _RUN_PARTS or not all(run_parts):
            raise _malformed_token_error()
        incarnation, period, placement = run_parts
        if not (_is_number(period) and _is_number(shard)):
            raise _malformed_token_error()
        return cls(instance, incarnation, int(period), placement, int(shard), nonce)


def token_prefix(instance: str, incarnation: str, period: int, placement: str) -> str:
    """Return the prefix of the tokens that a run currently issues for a service."""
    run = _RUN_SEPARATOR.join((incarnation, str(period), placement))
    return f"{instance}{_SEPARATOR}{run}"


def _is_number(text: str) -> bool:
    """Return whether the text is a number in canonical form, so that token spelling is unique."""
    return text.isascii() and text.isdigit() and str(int(text)) == text


def _malformed_token_error() -> BadRequest:
    form = "instance.incarnation-period-placement.shard.nonce"
    return BadRequest(f"The booking token does not have the form {form}.", remedy=_REMEDY)


class OutcomeState(StrEnum):
    """State of a booking.

    Attributes:
        BOOKED: It was run exactly once. Final.
        REJECTED: The searcher ran and rejected it. Final.
        NOT_RUN: It provably was not run and never will be under its token. Final.
        IN_FLIGHT: Its dispatch has not finished.
        UNKNOWN: It may have been run, or may still be run.
    """

    BOOKED = "booked"
    REJECTED = "rejected"
    NOT_RUN = "not_run"
    IN_FLIGHT = "in_flight"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (OutcomeState.IN_FLIGHT, OutcomeState.UNKNOWN)


class BookingRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A booking request from a caller.

    Attributes:
        token: Text form of the booking's token.
        shard: Shard that holds the booked item.
        booking: Opaque payload, passed to the searcher unchanged.
        deadline: Seconds that the caller waits; None uses the service's default.
    """

    token: str
    shard: int
    booking: dict[str, Any]
    deadline: float | None = None


class BookingOutcome(msgspec.Struct, frozen=True):
    """The known outcome of a booking, correct at the time it is reported.

    Attributes:
        token: Text form of the booking's token.
        state: State of the booking.
        result: Result from the searcher if it was run.
        visible_version: First index version in which searches see it, 0 if unknown.
        retry_after: Seconds after which to look it up again, or to book with a new token.
        reason: Why it was not run or is unknown; empty if it was run.
    """

    token: str
    state: OutcomeState
    result: dict[str, Any] = {}
    visible_version: int = 0
    retry_after: float | None = None
    reason: str = ""

    def require_run(self) -> "BookingOutcome":
        """Return this outcome if the searcher ran the booking, and raise otherwise.

        Raises:
            NotRun: It was not run and never will be under this token.
            OutcomeUnknown: It may have been run, or may still be run.
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
    """A booking that is forwarded to the instance named by its token."""

    service: str
    firm: str
    request: BookingRequest
    budget: float

    @property
    def fingerprint(self) -> bytes:
        """Digest of everything that must be equal in repeated requests with the same token."""
        request = self.request
        content = (self.service, self.firm, request.shard, request.booking)
        data = msgspec.json.encode(content, order="sorted")
        return blake2b(data, digest_size=_DIGEST_BYTES).digest()

    @property
    def owner(self) -> bytes:
        """Digest of the service and firm, which must match for a look-up."""
        return owner_digest(self.service, self.firm)


class OutcomeRequest(msgspec.Struct, frozen=True):
    """Requests a booking's outcome from the instance named by its token."""

    service: str
    firm: str
    token: str

    @property
    def owner(self) -> bytes:
        """Digest of the service and firm, which must match those of the booking."""
        return owner_digest(self.service, self.firm)


def owner_digest(service: str, firm: str) -> bytes:
    """Return the digest of a service and a firm."""
    data = msgspec.json.encode((service, firm))
    return blake2b(data, digest_size=_DIGEST_BYTES).digest()


class SearcherBooking(msgspec.Struct, frozen=True):
    """Request body of a booking sent to a searcher."""

    token: str
    service: str
    shard: int
    booking: dict[str, Any]
    timeout: float


class SearcherBookingReply(msgspec.Struct, frozen=True):
    """A searcher's reply to a booking or a look-up.

    Attributes:
        token: Token of the request.
        state: `done`, `rejected`, `running`, `voided` (never started and never will be)
            or `unknown` (no record, which is no proof that it was not run).
        result: The booking's result if it was run.
        visible_version: First index version in which searches see it.
    """

    token: str
    state: str
    result: dict[str, Any] = {}
    visible_version: int = 0
