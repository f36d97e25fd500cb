"""Resolves a token without its executor, from the replies of the searchers that could run it."""

from collections.abc import Iterable

from limpethollow_policy.request.booking_events import LookUp, LookUpAnswered
from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingToken,
    OutcomeState,
    SearcherBookingReply,
)

_RETRY_AFTER_SECONDS = 0.5
_VOIDED = "voided"


class Resolution:
    """Voids a token at every searcher of its placement, and derives the outcome from the replies.

    The executor may be dead, frozen or partitioned, and a frozen one may resume at any moment. It
    can dispatch the token only to these searchers. The reply of a searcher that ran the token or is
    running it is authoritative. If all of them voided it, each rejects it from then on, so it never
    ran and never will. A searcher that can't be reached may still receive the token, so without its
    reply the outcome is unknown.

    Args:
        token: The token.
        holders: Every searcher that the token may be dispatched to; empty if unknown.
    """

    __slots__ = ("_holders", "_replies", "_token")

    def __init__(self, token: BookingToken, holders: Iterable[str]) -> None:
        self._token = str(token)
        self._holders = frozenset(holders)
        self._replies: dict[str, SearcherBookingReply] = {}

    def start(self) -> list[LookUp]:
        """Return the look-ups to send; their replies are passed to `handle`."""
        return [LookUp(searcher_id) for searcher_id in sorted(self._holders)]

    def handle(self, event: LookUpAnswered) -> None:
        """Process the reply of one searcher."""
        if event.searcher_id in self._holders:
            self._replies[event.searcher_id] = event.reply

    @property
    def outcome(self) -> BookingOutcome:
        """Outcome that the replies so far prove."""
        for reply in self._replies.values():
            if reply.state == "done":
                return self._with_result(OutcomeState.BOOKED, reply)
        for reply in self._replies.values():
            if reply.state == "rejected":
                return self._with_result(OutcomeState.REJECTED, reply)
        if not self._holders:
            return self._without_result(OutcomeState.UNKNOWN, "searchers_not_known")
        if self._replies.keys() != self._holders:
            return self._without_result(OutcomeState.UNKNOWN, "searcher_gave_no_word")
        states = {reply.state for reply in self._replies.values()}
        if states == {_VOIDED}:
            return self._without_result(OutcomeState.NOT_RUN, _VOIDED)
        if "running" in states:
            return self._without_result(OutcomeState.IN_FLIGHT, "running")
        return self._without_result(OutcomeState.UNKNOWN, "searcher_does_not_know")

    def _with_result(self, state: OutcomeState, reply: SearcherBookingReply) -> BookingOutcome:
        return BookingOutcome(self._token, state, reply.result, reply.visible_version)

    def _without_result(self, state: OutcomeState, reason: str) -> BookingOutcome:
        retry_after = 0.0 if state is OutcomeState.NOT_RUN else _RETRY_AFTER_SECONDS
        return BookingOutcome(self._token, state, retry_after=retry_after, reason=reason)
