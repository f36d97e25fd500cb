"""The ledger of bookings that one run of an instance may dispatch."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from limpethollow_policy.request.booking_periods import PERIOD_SECONDS, period_at, seconds_to_next
from limpethollow_policy.request.booking_runs import BookingRun
from limpethollow_wire.bookings import BookingOutcome, BookingToken, OutcomeState
from limpethollow_wire.exceptions import BadRequest, TokenReused

ENTRY_BYTES = 1_600
MAX_RESULT_BYTES = 4_096
MAX_LEDGER_BYTES = 16 * 1024 * 1024
ACCEPTED_PERIODS = 2
KEPT_PERIODS = 4


class Verdict(StrEnum):
    """What to do with a token that arrives.

    Attributes:
        FORWARD: The token names another instance.
        OLD_RUN: The token names an earlier run of this instance, which may have dispatched it.
        FORGOTTEN: Its entry may have been dropped; only searchers can tell what became of it.
        DISPATCH: The token is new here; this instance may dispatch it.
        KNOWN: The token was seen before; answer with what is known.
        EXPIRED: It was never seen, and its issue period is over for good: never run.
        FULL: The ledger has no room; the token will never be run.
        LEAVING: The instance is leaving and takes no new token; this one will never be run.
        VOIDED: It was never seen, and a look-up closed it for good: never run.
    """

    FORWARD = "forward"
    OLD_RUN = "old_run"
    FORGOTTEN = "forgotten"
    DISPATCH = "dispatch"
    KNOWN = "known"
    EXPIRED = "expired"
    FULL = "full"
    LEAVING = "leaving"
    VOIDED = "voided"


NEVER_RUN = frozenset({Verdict.EXPIRED, Verdict.FULL, Verdict.LEAVING, Verdict.VOIDED})


@dataclass(slots=True)
class LedgerEntry:
    """What this run remembers of one token.

    Attributes:
        owner: Digest of the service and the firm.
        fingerprint: Digest of the whole booking, empty where only a look-up was seen.
        run: The run, None once it is settled, or where a look-up closed the token.
        outcome: What is known, where there is no run.
        bytes: What the entry is charged for.
    """

    owner: bytes
    fingerprint: bytes
    run: BookingRun | None
    outcome: BookingOutcome
    bytes: int = ENTRY_BYTES

    @property
    def known(self) -> BookingOutcome:
        """What is known now."""
        return self.run.outcome if self.run else self.outcome


class BookingLedger:
    """Lets every token begin at most one run, and remembers it for as long as it could begin one.

    Tokens carry the period in which they were issued. Unseen ones are accepted in the current and
    the previous period only; entries are kept for longer than that. If an entry were dropped
    while its token is accepted, a repeated request would run a second time. When memory is full,
    all periods up to now are closed: a refused token can never be accepted later, so its caller
    may safely book anew.

    Args:
        instance: Id of this instance.
        incarnation: This run of it.
        started: Monotonic second at which this run began.
        max_bytes: Bound on memory.
    """

    __slots__ = (
        "_bytes",
        "_complete_from",
        "_first_open",
        "_incarnation",
        "_instance",
        "_leaving",
        "_max_bytes",
        "_periods",
        "_started",
    )

    def __init__(
        self, instance: str, incarnation: str, started: float, max_bytes: int = MAX_LEDGER_BYTES
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._started = started
        self._max_bytes = max_bytes
        self._periods: dict[int, dict[str, LedgerEntry]] = {}
        self._bytes = 0
        self._first_open = 0
        self._complete_from = 0
        self._leaving = False

    def __len__(self) -> int:
        return sum(len(entries) for entries in self._periods.values())

    @property
    def bytes(self) -> int:
        """Memory that the entries are charged for."""
        return self._bytes

    def leave(self) -> None:
        """Take no unseen token from now on, for good."""
        self._leaving = True

    def offer(
        self,
        token: BookingToken,
        owner: bytes,
        fingerprint: bytes,
        deadline: float,
        now: float,
    ) -> Verdict:
        """Decide what to do with a booking; `DISPATCH` is given once for a token.

        Raises:
            TokenReused: The token belongs to another booking.
            BadRequest: The token is of a period that has not begun.
        """
        verdict = self._place(token, owner, now)
        entry = self.entry(token)
        if entry is not None and entry.fingerprint not in (b"", fingerprint):
            raise TokenReused("The token belongs to another booking; this one was not run.")
        if verdict is not Verdict.DISPATCH:
            return verdict
        if not self._has_room(token, now):
            return Verdict.FULL
        until = now + self.seconds_kept(token, now)
        run = BookingRun(token, deadline, until)
        self._add(token, LedgerEntry(owner, fingerprint, run, run.outcome))
        return Verdict.DISPATCH

    def look_up(self, token: BookingToken, owner: bytes, now: float) -> Verdict:
        """Decide what to say of a token that a caller asks about.

        An unseen token is closed for good, so that the answer is final: the booking may be on its
        way still, and must not run after its caller was told that it did not.

        Raises:
            TokenReused: The token belongs to another booking.
            BadRequest: The token is of a period that has not begun.
        """
        verdict = self._place(token, owner, now)
        if verdict is not Verdict.DISPATCH:
            return verdict
        if not self._has_room(token, now):
            return Verdict.FULL
        outcome = never_run(token, Verdict.VOIDED)
        self._add(token, LedgerEntry(owner, b"", None, outcome))
        return Verdict.VOIDED

    def entry(self, token: BookingToken) -> LedgerEntry | None:
        """Return what is remembered of a token."""
        if (token.instance, token.incarnation) != (self._instance, self._incarnation):
            return None
        return self._periods.get(token.period, {}).get(str(token))

    def settle(self, token: BookingToken) -> None:
        """Drop the run of a token whose outcome is final, and keep the outcome."""
        entry = self.entry(token)
        if entry is None or entry.run is None or not entry.run.outcome.state.is_final:
            return
        outcome = entry.run.outcome
        size = len(msgspec.json.encode(outcome.result))
        if size > MAX_RESULT_BYTES:
            outcome = msgspec.structs.replace(outcome, result={})
            size = 0
        entry.outcome, entry.run = outcome, None
        entry.bytes += size
        self._bytes += size

    def retry_after(self, now: float) -> float:
        """Return the seconds until a period begins whose tokens may find room."""
        return seconds_to_next(now - self._started)

    def seconds_kept(self, token: BookingToken, now: float) -> float:
        """Return the seconds for which an entry of this token is kept where memory allows."""
        periods = token.period + KEPT_PERIODS - period_at(now - self._started)
        return max(0.0, self.retry_after(now) + (periods - 1) * PERIOD_SECONDS)

    def _place(self, token: BookingToken, owner: bytes, now: float) -> Verdict:
        if token.instance != self._instance:
            return Verdict.FORWARD
        if token.incarnation != self._incarnation:
            return Verdict.OLD_RUN
        self._drop_old(now)
        entry = self.entry(token)
        if entry is not None and entry.owner != owner:
            raise TokenReused("The token belongs to a booking of another service or firm.")
        if entry is not None:
            return Verdict.KNOWN
        return self._place_unseen(token, now)

    def _place_unseen(self, token: BookingToken, now: float) -> Verdict:
        current = period_at(now - self._started)
        if token.period < self._complete_from:
            return Verdict.FORGOTTEN
        if token.period > current + 1:
            raise BadRequest("The booking token is of an issue period that has not begun.")
        if token.period < self._first_open:
            return Verdict.EXPIRED
        return Verdict.LEAVING if self._leaving else Verdict.DISPATCH

    def _drop_old(self, now: float) -> None:
        """Close the periods that are over and drop the entries of those long over."""
        current = period_at(now - self._started)
        self._first_open = max(self._first_open, current - ACCEPTED_PERIODS + 1)
        for period in sorted(self._periods):
            if period <= current - KEPT_PERIODS:
                self._drop(period)

    def _has_room(self, token: BookingToken, now: float) -> bool:
        """Make room by dropping closed periods, oldest first; close all where that is not enough.

        A closed period's entries are only a convenience: the searchers can still be asked.
        """
        while self._bytes + ENTRY_BYTES > self._max_bytes:
            closed = [period for period in self._periods if period < self._first_open]
            if not closed:
                current = period_at(now - self._started)
                self._first_open = max(current, token.period) + 1
                return False
            self._drop(min(closed))
        return True

    def _drop(self, period: int) -> None:
        dropped = self._periods.pop(period)
        self._bytes -= sum(entry.bytes for entry in dropped.values())
        self._complete_from = max(self._complete_from, period + 1)

    def _add(self, token: BookingToken, entry: LedgerEntry) -> None:
        self._periods.setdefault(token.period, {})[str(token)] = entry
        self._bytes += entry.bytes


def never_run(token: BookingToken, verdict: Verdict) -> BookingOutcome:
    """Return the outcome of a token that was never run and never will be."""
    return BookingOutcome(str(token), OutcomeState.NOT_RUN, retry_after=0.0, reason=verdict)
