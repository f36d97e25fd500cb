"""A world of executors and searchers around the decisions, in which anything may be late.

Nothing happens here by itself: each request, reply, slot and wake-up lies in a list until a test
picks it, or loses it. A frozen process is one whose items are not picked for long.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from limpethollow_policy.request.booking_events import (
    BookingEvent,
    Dispatch,
    DispatchAnswered,
    DispatchFailed,
    LookUp,
    LookUpAnswered,
    LookUpFailed,
    RequestSlot,
    SlotDenied,
    SlotGranted,
    Tell,
    WakeUp,
    WakeUpDue,
)
from limpethollow_policy.request.booking_periods import period_at
from limpethollow_policy.request.booking_resolutions import Resolution
from limpethollow_policy.request.booking_runs import BookingRun
from limpethollow_policy.request.bookings import NEVER_RUN, BookingLedger, Verdict, not_run_outcome
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingToken,
    OutcomeState,
    SearcherBookingReply,
)
from limpethollow_wire.exceptions import BadRequest

OWNER = b"service and firm"
BOOKING = b"booking"
INSTANCE = "n0"
PLACEMENTS = {"p1": ("s0", "s1"), "p2": ("s0", "s1", "s2")}
DEADLINE = 1.0


@dataclass(eq=False)
class Executor:
    """One run of the instance."""

    ledger: BookingLedger
    incarnation: str
    started: float
    alive: bool = True
    runs: dict[str, BookingRun] = field(default_factory=dict)


@dataclass(eq=False)
class Wish:
    """A run's wish for a slot."""

    executor: Executor
    token: BookingToken
    attempt: int


@dataclass(eq=False)
class Wake:
    """A run's wake-up."""

    executor: Executor
    token: BookingToken
    when: float


@dataclass(eq=False)
class Call:
    """A request to a searcher; `reply` is there once the searcher gave one."""

    token: BookingToken
    searcher: str
    executor: Executor | None = None
    resolution: Resolution | None = None
    attempt: int = 0
    void: bool = True
    sent: bool = False
    reply: SearcherBookingReply | None = None

    @property
    def is_dispatch(self) -> bool:
        return self.attempt > 0


class World:
    """Everything that is on its way, what the searchers ran, and what callers were told."""

    def __init__(self, max_bytes: int) -> None:
        self.now = 0.0
        self.max_bytes = max_bytes
        self.placement = "p1"
        self.records: dict[str, dict[str, str]] = defaultdict(dict)
        self.executions: Counter[str] = Counter()
        self.told: dict[str, list[BookingOutcome]] = defaultdict(list)
        self.tokens: list[BookingToken] = []
        self.pending: list[Wish | Wake | Call] = []
        self.running: list[Call] = []
        self.resolutions: list[tuple[BookingToken, Resolution]] = []
        self.restarts = 0
        self.executor = self._new_executor()

    # What callers do

    def new_token(self) -> BookingToken:
        period = period_at(self.now - self.executor.started)
        nonce = str(len(self.tokens))
        token = BookingToken(INSTANCE, self.executor.incarnation, period, self.placement, 0, nonce)
        self.tokens.append(token)
        return token

    def send(self, token: BookingToken) -> None:
        """Send a booking to the instance, for the first time or again."""
        executor = self.executor
        try:
            verdict = executor.ledger.offer(token, OWNER, BOOKING, self.now + DEADLINE, self.now)
        except BadRequest:
            return
        if verdict is Verdict.DISPATCH:
            entry = executor.ledger.entry(token)
            executor.runs[str(token)] = entry.run
            self._carry_out(executor, token, entry.run.start(self.now))
        else:
            self._answer(verdict, token)

    def look_up(self, token: BookingToken) -> None:
        try:
            verdict = self.executor.ledger.look_up(token, OWNER, self.now)
        except BadRequest:
            return
        self._answer(verdict, token)

    def resolve(self, token: BookingToken) -> None:
        """Let another instance ask all searchers of the token's placement."""
        resolution = Resolution(token, PLACEMENTS[token.placement])
        self.resolutions.append((token, resolution))
        for look_up in resolution.start():
            call = Call(token, look_up.searcher_id, resolution=resolution, void=look_up.void)
            self.pending.append(call)

    def conclude(self, token: BookingToken, resolution: Resolution) -> None:
        self.told[str(token)].append(resolution.outcome)

    # What befalls processes

    def restart(self) -> None:
        """Kill the executor; what it has sent stays in the searchers' sockets."""
        self.executor.alive = False
        self.restarts += 1
        self.executor = self._new_executor()

    def pick(self, item: Wish | Wake | Call, choice: int) -> None:
        """Let one pending thing go on by a step."""
        match item:
            case Wish():
                self.pending.remove(item)
                self._answer_wish(item, choice)
            case Wake():
                self.pending.remove(item)
                self.now = max(self.now, item.when)
                self._feed(item.executor, item.token, WakeUpDue())
            case Call():
                self._advance(item)

    def fail(self, call: Call, failure: Failure) -> None:
        """End a call at its sender; a request that was sent stays in the searcher's socket."""
        if call in self.pending and not call.sent:
            self.pending.remove(call)
        executor, call.executor = call.executor, None
        call.resolution = None
        if executor is None:
            return
        if call.is_dispatch:
            self._feed(executor, call.token, DispatchFailed(call.attempt, failure))
        else:
            self._feed(executor, call.token, LookUpFailed(call.searcher, failure))

    def vanish(self, call: Call) -> None:
        """Lose a request before the searcher has read it."""
        self.pending.remove(call)
        self.fail(call, Failure.BROKEN)

    def shed(self, call: Call) -> None:
        self.pending.remove(call)
        self.fail(call, Failure.SHED)

    # What follows by itself

    def _new_executor(self) -> Executor:
        incarnation = f"run{self.restarts}"
        ledger = BookingLedger(INSTANCE, incarnation, self.now, self.max_bytes)
        return Executor(ledger, incarnation, self.now)

    def _answer(self, verdict: Verdict, token: BookingToken) -> None:
        if verdict in NEVER_RUN:
            self.told[str(token)].append(not_run_outcome(token, verdict))
        elif verdict is Verdict.KNOWN:
            entry = self.executor.ledger.entry(token)
            self.told[str(token)].append(entry.known)
            if entry.run is not None:
                self._carry_out(self.executor, token, entry.run.asked())
        else:
            self.resolve(token)

    def _answer_wish(self, wish: Wish, choice: int) -> None:
        """Grant any searcher of the placement in force now, or deny."""
        searchers = PLACEMENTS[self.placement]
        if choice % (len(searchers) + 1) == len(searchers):
            event: BookingEvent = SlotDenied(wish.attempt, "overloaded")
        else:
            searcher = searchers[choice % (len(searchers) + 1)]
            event = SlotGranted(wish.attempt, searcher, self.placement)
        self._feed(wish.executor, wish.token, event)

    def _advance(self, call: Call) -> None:
        """Send a request, have the searcher take it, or hand its reply over."""
        if not call.sent:
            call.sent = True
            if call.executor is not None and not call.executor.alive:
                self.pending.remove(call)
        elif call.reply is None and call.is_dispatch:
            self._take_booking(call)
        elif call.reply is None:
            call.reply = self._say(call)
        else:
            self.pending.remove(call)
            self._deliver(call)

    def _take_booking(self, call: Call) -> None:
        """Run a booking in two steps, so that look-ups may come between; no deduplication."""
        records = self.records[call.searcher]
        token = str(call.token)
        if records.get(token) == "voided":
            call.reply = SearcherBookingReply(token, "voided")
        elif call not in self.running:
            records[token] = "running"
            self.running.append(call)
        else:
            self.running.remove(call)
            self.executions[token] += 1
            records[token] = "done"
            call.reply = SearcherBookingReply(token, "done")

    def _say(self, call: Call) -> SearcherBookingReply:
        records = self.records[call.searcher]
        token = str(call.token)
        if call.void:
            records.setdefault(token, "voided")
        return SearcherBookingReply(token, records.get(token, "unknown"))

    def _deliver(self, call: Call) -> None:
        assert call.reply is not None
        answered = LookUpAnswered(call.searcher, call.reply)
        if call.resolution is not None:
            call.resolution.handle(answered)
        elif call.executor is not None and call.is_dispatch:
            event = DispatchAnswered(call.attempt, call.reply)
            self._feed(call.executor, call.token, event)
        elif call.executor is not None:
            self._feed(call.executor, call.token, answered)

    def _feed(self, executor: Executor, token: BookingToken, event: BookingEvent) -> None:
        run = executor.runs.get(str(token))
        if executor.alive and run is not None:
            self._carry_out(executor, token, run.handle(event, self.now))

    def _carry_out(self, executor: Executor, token: BookingToken, actions: list) -> None:
        for action in actions:
            match action:
                case RequestSlot(attempt):
                    self.pending.append(Wish(executor, token, attempt))
                case Dispatch(attempt, searcher):
                    self.pending.append(Call(token, searcher, executor, attempt=attempt))
                case LookUp(searcher, void):
                    self.pending.append(Call(token, searcher, executor, void=void))
                case WakeUp(when):
                    self.pending.append(Wake(executor, token, when))
                case Tell(outcome):
                    self.told[str(token)].append(outcome)
                    executor.ledger.settle(token)


def final_states(outcomes: list[BookingOutcome]) -> set[OutcomeState]:
    """Return the final states among what a caller was told."""
    return {outcome.state for outcome in outcomes if outcome.state.is_final}
