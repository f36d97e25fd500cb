"""Resolves a token without its executor, by the word of every searcher that could run it."""

from collections.abc import Iterable

from limpethollow_policy.request.booking_events import LookUp, LookUpAnswered
from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingToken,
    OutcomeState,
    SearcherBookingReply,
)

_ASK_AGAIN_SECONDS = 0.5
_VOIDED = "voided"


class Resolution:
    """Voids a token at every searcher that its placement allows, and concludes from their words.

    The executor may be dead, frozen or cut off, and a frozen one may go on at any moment. It can
    dispatch the token only to these searchers. One that ran it or runs it says so, and that is the
    truth. Where all of them voided it, each refuses it from then on, so it never ran and never
    will. One that can't be asked may still get it, so without its word nothing is known.

    Args:
        token: The token.
        holders: Every searcher that the token may be dispatched to; empty where not known.
    """

    __slots__ = ("_holders", "_said", "_token")

    def __init__(self, token: BookingToken, holders: Iterable[str]) -> None:
        self._token = str(token)
        self._holders = frozenset(holders)
        self._said: dict[str, SearcherBookingReply] = {}

    def start(self) -> list[LookUp]:
        """Begin; each look-up is answered by `handle`, or never."""
        return [LookUp(searcher_id) for searcher_id in sorted(self._holders)]

    def handle(self, event: LookUpAnswered) -> None:
        """Take in one searcher's word."""
        if event.searcher_id in self._holders:
            self._said[event.searcher_id] = event.reply

    @property
    def outcome(self) -> BookingOutcome:
        """What the words so far prove."""
        for reply in self._said.values():
            if reply.state == "done":
                return self._ran(OutcomeState.BOOKED, reply)
        for reply in self._said.values():
            if reply.state == "rejected":
                return self._ran(OutcomeState.REJECTED, reply)
        if not self._holders:
            return self._without_result(OutcomeState.UNKNOWN, "searchers_not_known")
        if self._said.keys() != self._holders:
            return self._without_result(OutcomeState.UNKNOWN, "searcher_gave_no_word")
        states = {reply.state for reply in self._said.values()}
        if states == {_VOIDED}:
            return self._without_result(OutcomeState.NOT_RUN, _VOIDED)
        if "running" in states:
            return self._without_result(OutcomeState.IN_FLIGHT, "running")
        return self._without_result(OutcomeState.UNKNOWN, "searcher_does_not_know")

    def _ran(self, state: OutcomeState, reply: SearcherBookingReply) -> BookingOutcome:
        return BookingOutcome(self._token, state, reply.result, reply.visible_version)

    def _without_result(self, state: OutcomeState, reason: str) -> BookingOutcome:
        retry_after = 0.0 if state is OutcomeState.NOT_RUN else _ASK_AGAIN_SECONDS
        return BookingOutcome(self._token, state, retry_after=retry_after, reason=reason)
