"""Ledger of the booking tokens that one process of an instance may dispatch."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from limpethollow_policy.request.booking_periods import (
    PERIOD_SECONDS,
    period_at,
    seconds_to_next_period,
)
from limpethollow_policy.request.booking_runs import BookingRun
from limpethollow_wire.bookings import BookingOutcome, BookingToken, OutcomeState
from limpethollow_wire.exceptions import BadRequest, TokenReused

ENTRY_BYTES = 1_600
MAX_RESULT_BYTES = 4_096
MAX_LEDGER_BYTES = 16 * 1024 * 1024
ACCEPTED_PERIODS = 2
KEPT_PERIODS = 4


class Verdict(StrEnum):
    """How to handle an incoming token.

    Attributes:
        FORWARD: The token names another instance.
        OLD_RUN: The token names an earlier process of this instance, which may have dispatched it.
        FORGOTTEN: Its entry may have been dropped; only the searchers know its outcome.
        DISPATCH: The token is new here; this instance may dispatch it.
        KNOWN: The token was seen before; answer with the known outcome.
        EXPIRED: It was never seen, and its issue period is closed: it will never be run.
        FULL: The ledger is full; the token will never be run.
        LEAVING: The instance is shutting down and takes no new token; it will never be run.
        VOIDED: It was never seen, and a look-up voided it: it will never be run.
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
    """Ledger entry of one token.

    Attributes:
        owner: Digest of the service and the firm.
        fingerprint: Digest of the whole booking, empty if only a look-up was seen.
        run: The run, None once it is settled, or if a look-up voided the token.
        outcome: The outcome, valid if there is no run.
        bytes: Memory accounted for the entry.
    """

    owner: bytes
    fingerprint: bytes
    run: BookingRun | None
    outcome: BookingOutcome
    bytes: int = ENTRY_BYTES

    @property
    def known(self) -> BookingOutcome:
        """The current outcome."""
        return self.run.outcome if self.run else self.outcome


class BookingLedger:
    """Starts at most one run for each token, and keeps its entry for as long as one could start.

    Tokens carry the period in which they were issued. Unseen tokens are accepted only in the
    current and the previous period; entries are kept for longer. If an entry were dropped while its
    token is still accepted, a repeated request would run a second time. When memory is full, all
    periods up to the current one are closed: a rejected token is never accepted later, so its
    caller may safely book again with a new token.

    Args:
        instance: Id of this instance.
        incarnation: Id of this process of the instance.
        started: Monotonic second at which this process started.
        max_bytes: Maximum memory for entries.
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
        """Memory accounted for all entries."""
        return self._bytes

    def leave(self) -> None:
        """Permanently stop accepting unseen tokens."""
        self._leaving = True

    def offer(
        self,
        token: BookingToken,
        owner: bytes,
        fingerprint: bytes,
        deadline: float,
        now: float,
    ) -> Verdict:
        """Decide how to handle a booking; `DISPATCH` is returned at most once for each token.

        Raises:
            TokenReused: The token was used for another booking.
            BadRequest: The token's issue period has not started yet.
        """
        verdict = self._decide(token, owner, now)
        entry = self.entry(token)
        if entry is not None and entry.fingerprint not in (b"", fingerprint):
            raise TokenReused("The token was used for another booking; this request was not run.")
        if verdict is not Verdict.DISPATCH:
            return verdict
        if not self._make_room(token, now):
            return Verdict.FULL
        until = now + self.seconds_kept(token, now)
        run = BookingRun(token, deadline, until)
        self._add(token, LedgerEntry(owner, fingerprint, run, run.outcome))
        return Verdict.DISPATCH

    def look_up(self, token: BookingToken, owner: bytes, now: float) -> Verdict:
        """Decide how to answer a caller's look-up of a token.

        An unseen token is voided, so that the answer is final: the booking request may still be in
        transit, and must not run after its caller was told that it did not run.

        Raises:
            TokenReused: The token was used for another booking.
            BadRequest: The token's issue period has not started yet.
        """
        verdict = self._decide(token, owner, now)
        if verdict is not Verdict.DISPATCH:
            return verdict
        if not self._make_room(token, now):
            return Verdict.FULL
        outcome = not_run_outcome(token, Verdict.VOIDED)
        self._add(token, LedgerEntry(owner, b"", None, outcome))
        return Verdict.VOIDED

    def entry(self, token: BookingToken) -> LedgerEntry | None:
        """Return the entry of a token, None if there is none."""
        if (token.instance, token.incarnation) != (self._instance, self._incarnation):
            return None
        return self._periods.get(token.period, {}).get(str(token))

    def settle(self, token: BookingToken) -> None:
        """Replace the run of a token by its outcome, if that is final."""
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
        """Return the seconds until the next period, whose tokens may be accepted again."""
        return seconds_to_next_period(now - self._started)

    def seconds_kept(self, token: BookingToken, now: float) -> float:
        """Return for how many more seconds the entry of this token is kept.

        It may be dropped earlier if memory runs short.
        """
        periods = token.period + KEPT_PERIODS - period_at(now - self._started)
        return max(0.0, self.retry_after(now) + (periods - 1) * PERIOD_SECONDS)

    def _decide(self, token: BookingToken, owner: bytes, now: float) -> Verdict:
        if token.instance != self._instance:
            return Verdict.FORWARD
        if token.incarnation != self._incarnation:
            return Verdict.OLD_RUN
        self._expire_periods(now)
        entry = self.entry(token)
        if entry is not None and entry.owner != owner:
            raise TokenReused("The token was used for a booking of another service or firm.")
        if entry is not None:
            return Verdict.KNOWN
        return self._decide_unseen(token, now)

    def _decide_unseen(self, token: BookingToken, now: float) -> Verdict:
        current = period_at(now - self._started)
        if token.period < self._complete_from:
            return Verdict.FORGOTTEN
        if token.period > current + 1:
            raise BadRequest("The issue period of the booking token has not started yet.")
        if token.period < self._first_open:
            return Verdict.EXPIRED
        return Verdict.LEAVING if self._leaving else Verdict.DISPATCH

    def _expire_periods(self, now: float) -> None:
        """Close expired periods, and drop the entries older than `KEPT_PERIODS`."""
        current = period_at(now - self._started)
        self._first_open = max(self._first_open, current - ACCEPTED_PERIODS + 1)
        for period in sorted(self._periods):
            if period <= current - KEPT_PERIODS:
                self._drop_period(period)

    def _make_room(self, token: BookingToken, now: float) -> bool:
        """Drop closed periods, oldest first, until an entry fits; close all periods if none does.

        Entries of closed periods may be dropped since the searchers can still be asked.
        """
        while self._bytes + ENTRY_BYTES > self._max_bytes:
            closed = [period for period in self._periods if period < self._first_open]
            if not closed:
                current = period_at(now - self._started)
                self._first_open = max(current, token.period) + 1
                return False
            self._drop_period(min(closed))
        return True

    def _drop_period(self, period: int) -> None:
        dropped = self._periods.pop(period)
        self._bytes -= sum(entry.bytes for entry in dropped.values())
        self._complete_from = max(self._complete_from, period + 1)

    def _add(self, token: BookingToken, entry: LedgerEntry) -> None:
        self._periods.setdefault(token.period, {})[str(token)] = entry
        self._bytes += entry.bytes


def not_run_outcome(token: BookingToken, verdict: Verdict) -> BookingOutcome:
    """Return the outcome of a token that has not been run and never will be."""
    return BookingOutcome(str(token), OutcomeState.NOT_RUN, retry_after=0.0, reason=verdict)
