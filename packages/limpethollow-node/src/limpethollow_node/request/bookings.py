"""Takes bookings and look-ups in, and leads each to the run of the instance its token names."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from limpethollow_node.connection.peers import PeerLost, PeerUnreachable, require_time
from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigManager
from limpethollow_node.process.groups import LocalGroup, LocalGroups
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_node.request.booking_drivers import BookingDriver, DriverContext
from limpethollow_node.request.booking_resolvers import BookingResolver
from limpethollow_policy.request.booking_periods import period_at
from limpethollow_policy.request.booking_placements import PlacementHistory
from limpethollow_policy.request.bookings import NEVER_RUN, BookingLedger, Verdict, not_run_outcome
from limpethollow_policy.version.groups import partition_service
from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingRequest,
    BookingToken,
    ForwardedBooking,
    OutcomeRequest,
    token_prefix,
)
from limpethollow_wire.exceptions import BadRequest, Overloaded, TokenReused
from limpethollow_wire.limits import MAX_DEADLINE_SECONDS
from limpethollow_wire.services import ServiceRecord

_GRACE_SECONDS = 0.1
_LOOK_UP_TIMEOUT = 1.0
_BACKGROUND_WORKERS = 16


class BookingExecutor:
    """Runs the bookings whose tokens name this run of this instance; forwards the others.

    Args:
        own_id: Id of this instance.
        incarnation: This run of it.
        configs: The configuration in force.
        links: Links to the other instances.
        groups: The groups served here.
        metrics: Where counters are kept.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: str,
        configs: ConfigManager,
        links: PeerLinks,
        groups: LocalGroups,
        metrics: Metrics,
    ) -> None:
        self._own_id = own_id
        self._configs = configs
        self._links = links
        self._groups = groups
        self._metrics = metrics
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self._ledger = BookingLedger(own_id, incarnation, self._started)
        self._drivers: dict[str, BookingDriver] = {}
        self._placements = PlacementHistory()
        self._timers = Timers()
        self._resolver = BookingResolver(groups.client, metrics)
        self._background = ThreadPoolExecutor(
            _BACKGROUND_WORKERS, thread_name_prefix="booking-background"
        )
        self._context = DriverContext(
            self._group, self._resolver, self._later, self._settled, self._stopped, metrics
        )
        self._stack = ExitStack()
        configs.listen(self._records_applied)

    def __enter__(self) -> "BookingExecutor":
        self._stack.enter_context(self._resolver)
        self._stack.enter_context(self._timers)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()
        self._background.shutdown(wait=False, cancel_futures=True)

    @property
    def age(self) -> float:
        """Seconds since this run began, by which issue periods are counted."""
        return time.monotonic() - self._started

    def leave(self) -> None:
        """Take no unseen token from now on; each is told that it was not run and never will be."""
        with self._lock:
            self._ledger.leave()

    def give_up(self) -> None:
        """Tell all callers now what is known, because the process is about to exit."""
        with self._lock:
            drivers = tuple(self._drivers.values())
        for driver in drivers:
            driver.give_up()

    def token_prefix(
        self, record: ServiceRecord, instance_id: str, incarnation: str, age: float
    ) -> str:
        """Return the first parts of the tokens that an instance executes now for a service."""
        with self._lock:
            placement = self._placements.placement(record)
        return token_prefix(instance_id, incarnation, period_at(age), placement)

    def book(self, service: str, firm: str, request: BookingRequest) -> BookingOutcome:
        """Run a caller's booking, here or at the instance that its token names.

        Raises:
            NotRun: It was not run and never will be under this token.
            OutcomeUnknown: It may have run, or may yet run.
            TokenReused: The token belongs to another booking.
            Overloaded: This instance can remember no more tokens; it was not run.
        """
        spec = self._configs.require(service).spec
        assert spec is not None
        budget = spec.objective.deadline if request.deadline is None else request.deadline
        if not 0 <= request.shard < spec.shards:
            raise BadRequest(f"'shard' must be 0 to {spec.shards - 1}.")
        if budget > MAX_DEADLINE_SECONDS:
            raise BadRequest(f"'deadline' must be at most {MAX_DEADLINE_SECONDS:g} seconds.")
        require_time(budget)
        forwarded = ForwardedBooking(service, firm, request, budget)
        with self._metrics.timed("booking"):
            outcome = self._route(forwarded)
        self._metrics.count("booking_answers", outcome.state)
        return outcome.require_run()

    def run_forwarded(self, forwarded: ForwardedBooking) -> BookingOutcome:
        """Run a booking whose token names this instance.

        Raises:
            TokenReused: The token belongs to another booking.
            Overloaded: This instance can remember no more tokens; it was not run.
        """
        require_time(forwarded.budget)
        token = _token_of(forwarded)
        now = time.monotonic()
        deadline = now + forwarded.budget
        with self._lock:
            verdict = self._ledger.offer(
                token, forwarded.owner, forwarded.fingerprint, deadline, now
            )
            if verdict is Verdict.DISPATCH:
                driver = self._add_driver(token, forwarded)
        self._metrics.count("bookings", verdict)
        if verdict is Verdict.DISPATCH:
            driver.start()
            driver.wait(deadline - time.monotonic())
            return driver.outcome
        return self._without_dispatch(verdict, token, forwarded.service, deadline)

    def look_up(self, question: OutcomeRequest) -> BookingOutcome:
        """Say what became of a booking: by its executor, or by the searchers where it is gone.

        Raises:
            TokenReused: The token belongs to a booking of another service or firm.
        """
        token = BookingToken.parse(question.token)
        if token.instance == self._own_id:
            return self.look_up_here(question)
        try:
            return self._links.request(
                token.instance, "booking.look_up", question, BookingOutcome, _LOOK_UP_TIMEOUT
            )
        except (PeerUnreachable, PeerLost):
            return self._resolve(question.service, token)

    def look_up_here(self, question: OutcomeRequest) -> BookingOutcome:
        """Say what this instance knows of a token that names it."""
        token = BookingToken.parse(question.token)
        now = time.monotonic()
        with self._lock:
            verdict = self._ledger.look_up(token, question.owner, now)
        self._metrics.count("booking_look_ups", verdict)
        return self._without_dispatch(verdict, token, question.service, now)

    def _route(self, forwarded: ForwardedBooking) -> BookingOutcome:
        token = _token_of(forwarded)
        if token.instance == self._own_id:
            return self.run_forwarded(forwarded)
        deadline = time.monotonic() + forwarded.budget
        timeout = forwarded.budget + _GRACE_SECONDS
        try:
            return self._links.request(
                token.instance, "booking.run", forwarded, BookingOutcome, timeout
            )
        except (PeerUnreachable, PeerLost) as error:
            # Some other instance may have forwarded the same token before, so even a link that
            # never opened does not prove that the booking was not run.
            reason = type(error).__name__
            self._metrics.count("booking_forward_failures", reason)
            events.BOOKING_UNKNOWN.log(token=str(token), reason=reason)
        if time.monotonic() < deadline:
            question = OutcomeRequest(forwarded.service, forwarded.firm, str(token))
            return self.look_up(question)
        return self._resolve(forwarded.service, token)

    def _without_dispatch(
        self, verdict: Verdict, token: BookingToken, service: str, deadline: float
    ) -> BookingOutcome:
        if verdict is Verdict.KNOWN:
            return self._known(token, service, deadline)
        if verdict is Verdict.FULL:
            with self._lock:
                retry_after = self._ledger.retry_after(time.monotonic())
            events.LEDGER_FULL.log(token=str(token), retry_after=retry_after)
            raise Overloaded(
                "The ledger of bookings is full; the token will not be run.",
                remedy="Book again with a new token after retry_after seconds.",
                retry_after=retry_after,
                details={"token": str(token)},
            )
        if verdict in NEVER_RUN:
            return not_run_outcome(token, verdict)
        return self._resolve(service, token)

    def _known(self, token: BookingToken, service: str, deadline: float) -> BookingOutcome:
        with self._lock:
            driver = self._drivers.get(str(token))
            entry = self._ledger.entry(token)
        if driver is not None:
            driver.wait(deadline - time.monotonic())
            driver.ask()
            return driver.outcome
        if entry is not None and entry.known.state.is_final:
            return entry.known
        return self._resolve(service, token)

    def _resolve(self, service: str, token: BookingToken) -> BookingOutcome:
        with self._lock:
            holders = self._placements.holders(service, token.placement, token.shard)
        return self._resolver.resolve(token, holders)

    def _add_driver(self, token: BookingToken, forwarded: ForwardedBooking) -> BookingDriver:
        entry = self._ledger.entry(token)
        assert entry is not None and entry.run is not None
        holders = self._placements.holders(forwarded.service, token.placement, token.shard)
        driver = BookingDriver(forwarded, entry.run, holders, self._context)
        self._drivers[str(token)] = driver
        return driver

    def _settled(self, forwarded: ForwardedBooking) -> None:
        with self._lock:
            self._ledger.settle(BookingToken.parse(forwarded.request.token))
            self._drivers.pop(forwarded.request.token, None)

    def _stopped(self, forwarded: ForwardedBooking) -> None:
        with self._lock:
            self._drivers.pop(forwarded.request.token, None)

    def _group(self, service: str, shard: int) -> tuple[LocalGroup, str]:
        record = self._configs.require(service)
        group = self._groups.get(record, _group_of(record, shard))
        with self._lock:
            placement = self._placements.placement(record)
        return group, placement if group.version == record.version else ""

    def _records_applied(self, records: tuple[ServiceRecord, ...]) -> None:
        with self._lock:
            self._placements.applied(records)

    def _later(self, when: float, work: Callable[[], None]) -> None:
        self._timers.call_at(when, lambda: self._submit(work))

    def _submit(self, work: Callable[[], None]) -> None:
        try:
            self._background.submit(work)
        except RuntimeError:
            # The instance is closing; others resolve the token at the searchers.
            return


def _token_of(forwarded: ForwardedBooking) -> BookingToken:
    """Return the token of a booking, checked against its shard.

    Raises:
        TokenReused: The token was made for another shard.
    """
    token = BookingToken.parse(forwarded.request.token)
    if token.shard != forwarded.request.shard:
        raise TokenReused("The token was made for another shard; this booking was not run.")
    return token


def _group_of(record: ServiceRecord, shard: int) -> int:
    assert record.spec is not None
    return next(group.index for group in partition_service(record.spec) if shard in group.shards)
