"""The ledger of bookings that one run of an instance may dispatch."""

from dataclasses import dataclass, field
from enum import StrEnum

from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingToken,
    OutcomeState,
    SearcherBookingReply,
)

_ASK_AGAIN_SECONDS = 0.5
_MAX_ENTRIES = 100_000


class Verdict(StrEnum):
    """What to do with a booking that arrives.

    Attributes:
        FORWARD: The token names another instance.
        OLD_RUN: The token names an earlier run of this instance, which may have dispatched it.
        DISPATCH: The token is new here; this instance may dispatch it.
        KNOWN: The token was seen before; answer with what is known.
        FULL: The ledger has no room; nothing was run.
        LEAVING: The instance is leaving and takes no new token; nothing was run.
    """

    FORWARD = "forward"
    OLD_RUN = "old_run"
    DISPATCH = "dispatch"
    KNOWN = "known"
    FULL = "full"
    LEAVING = "leaving"


@dataclass(slots=True)
class LedgerEntry:
    """One token's history in this run.

    Attributes:
        token: Text form.
        outcome: What is known.
        searcher_id: Where it was dispatched to last, empty before the first dispatch.
        tried: Searchers that proved that they did not run it.
    """

    token: str
    outcome: BookingOutcome
    searcher_id: str = ""
    tried: set[str] = field(default_factory=set)


class BookingLedger:
    """Lets every token be dispatched at most once, and says truly what became of it.

    A second dispatch would put two trucks at one bay. It is allowed only on proof that the first
    one did not run: no connection, an explicit shed, or the searcher's word that it voided the
    token. A timeout or a cut proves nothing, since the request may lie in a paused searcher's
    socket and run when it resumes; such a booking becomes `unknown` and stays so until the
    searcher itself says more.

    Args:
        instance: Id of this instance.
        incarnation: This run of it.
    """

    __slots__ = ("_entries", "_incarnation", "_instance", "leaving")

    def __init__(self, instance: str, incarnation: str) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._entries: dict[str, LedgerEntry] = {}
        self.leaving = False

    def offer(self, token: BookingToken) -> Verdict:
        """Decide what to do with a booking; a `DISPATCH` verdict is given once for a token."""
        if token.instance != self._instance:
            return Verdict.FORWARD
        if token.incarnation != self._incarnation:
            return Verdict.OLD_RUN
        if str(token) in self._entries:
            return Verdict.KNOWN
        if self.leaving:
            return Verdict.LEAVING
        if len(self._entries) >= _MAX_ENTRIES:
            return Verdict.FULL
        in_flight = BookingOutcome(
            str(token), OutcomeState.IN_FLIGHT, retry_after=_ASK_AGAIN_SECONDS
        )
        self._entries[str(token)] = LedgerEntry(str(token), in_flight)
        return Verdict.DISPATCH

    def outcome(self, token: str) -> BookingOutcome | None:
        """Return what is known of a token, None where this run never saw it."""
        entry = self._entries.get(token)
        return entry.outcome if entry else None

    def dispatched(self, token: str, searcher_id: str) -> None:
        """Mark a dispatch; must be called before the first byte leaves."""
        self._entries[token].searcher_id = searcher_id

    def not_run_there(self, token: str) -> frozenset[str]:
        """Note proof that the last dispatch did not run.

        Returns:
            All searchers that are proved not to have run it.
        """
        entry = self._entries[token]
        entry.tried.add(entry.searcher_id)
        entry.searcher_id = ""
        return frozenset(entry.tried)

    def gave_up(self, token: str) -> BookingOutcome:
        """End a booking that is not on its way to any searcher: it was not run."""
        return self._settle(token, BookingOutcome(token, OutcomeState.NOT_RUN))

    def lost(self, token: str) -> BookingOutcome:
        """Note that a dispatch ended without proof either way."""
        outcome = BookingOutcome(token, OutcomeState.UNKNOWN, retry_after=_ASK_AGAIN_SECONDS)
        return self._settle(token, outcome)

    def searcher_said(self, reply: SearcherBookingReply) -> BookingOutcome:
        """Take in a searcher's word on a token that was dispatched to it."""
        states = {
            "done": OutcomeState.BOOKED,
            "rejected": OutcomeState.REJECTED,
            "voided": OutcomeState.NOT_RUN,
        }
        state = states.get(reply.state)
        if state is None:
            return self.lost(reply.token)
        outcome = BookingOutcome(reply.token, state, reply.result, reply.visible_version)
        return self._settle(reply.token, outcome)

    def _settle(self, token: str, outcome: BookingOutcome) -> BookingOutcome:
        self._entries[token].outcome = outcome
        return outcome
