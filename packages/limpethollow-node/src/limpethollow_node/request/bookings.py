"""Runs bookings: at most once each, and with a true word on what became of them."""

import threading
import time

from limpethollow_node.connection.peers import PeerLost, PeerUnreachable, require_time
from limpethollow_node.connection.searchers import CallFailed
from limpethollow_node.process import events
from limpethollow_node.process.configs import ConfigKeeper
from limpethollow_node.process.groups import LocalGroup, LocalGroups
from limpethollow_node.process.links import PeerLinks
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.request.bookings import BookingLedger, Verdict
from limpethollow_policy.request.events import Failure, SlotRequest
from limpethollow_policy.version.groups import cut_groups
from limpethollow_wire.bookings import (
    BookingOutcome,
    BookingRequest,
    BookingToken,
    ForwardedBooking,
    OutcomeQuestion,
    OutcomeState,
    SearcherBooking,
)
from limpethollow_wire.exceptions import (
    BadRequest,
    LimpethollowError,
    Overloaded,
)
from limpethollow_wire.services import ServiceRecord

_GRACE_SECONDS = 0.25
_RETRY_AFTER = 0.5
_PROOF_OF_NOT_RUN = frozenset({Failure.REFUSED, Failure.SHED})


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
        configs: ConfigKeeper,
        links: PeerLinks,
        groups: LocalGroups,
        metrics: Metrics,
    ) -> None:
        self._own_id = own_id
        self._configs = configs
        self._links = links
        self._groups = groups
        self._metrics = metrics
        self._lock = threading.Lock()
        self._ledger = BookingLedger(own_id, incarnation)

    def leave(self) -> None:
        """Take no new token from now on."""
        with self._lock:
            self._ledger.leaving = True

    def book(self, service: str, firm: str, request: BookingRequest) -> BookingOutcome:
        """Run a caller's booking, here or at the instance that its token names."""
        spec = self._configs.require(service).spec
        assert spec is not None
        budget = spec.objective.deadline if request.deadline is None else request.deadline
        if not 0 <= request.shard < spec.shards:
            raise BadRequest(f"'shard' must be 0 to {spec.shards - 1}.")
        forwarded = ForwardedBooking(service, firm, request, budget)
        with self._metrics.timed("booking"):
            return self._route(forwarded)

    def run_forwarded(self, forwarded: ForwardedBooking) -> BookingOutcome:
        """Run a booking that another instance sent here."""
        require_time(forwarded.budget)
        token = BookingToken.parse(forwarded.request.token)
        with self._lock:
            verdict = self._ledger.offer(token)
        self._metrics.count("bookings", verdict)
        if verdict is Verdict.DISPATCH:
            return self._dispatch(forwarded)
        return self._without_dispatch(verdict, str(token))

    def look_up(self, question: OutcomeQuestion) -> BookingOutcome:
        """Say what became of a booking, asking the instance that its token names."""
        token = BookingToken.parse(question.token)
        if token.instance == self._own_id:
            return self.look_up_here(question)
        try:
            return self._links.request(
                token.instance, "booking.look_up", question, BookingOutcome, _RETRY_AFTER
            )
        except (PeerUnreachable, PeerLost):
            return _unknown(question.token)

    def look_up_here(self, question: OutcomeQuestion) -> BookingOutcome:
        """Say what this instance knows of a token that names it."""
        with self._lock:
            outcome = self._ledger.outcome(question.token)
        return outcome or _unknown(question.token)

    def _route(self, forwarded: ForwardedBooking) -> BookingOutcome:
        token = BookingToken.parse(forwarded.request.token)
        require_time(forwarded.budget)
        if token.instance == self._own_id:
            return self.run_forwarded(forwarded)
        timeout = forwarded.budget + _GRACE_SECONDS
        try:
            return self._links.request(
                token.instance, "booking.run", forwarded, BookingOutcome, timeout
            )
        except (PeerUnreachable, PeerLost):
            # Some other instance may have forwarded the same token before, so even a link that
            # never opened does not prove that the booking was not run.
            events.BOOKING_UNKNOWN.log(token=str(token), reason="executor_unreachable")
            return _unknown(str(token))

    def _without_dispatch(self, verdict: Verdict, token: str) -> BookingOutcome:
        if verdict is Verdict.KNOWN:
            with self._lock:
                return self._ledger.outcome(token) or _unknown(token)
        if verdict is Verdict.FULL:
            raise Overloaded("The ledger of bookings is full.", retry_after=_RETRY_AFTER)
        if verdict is Verdict.LEAVING:
            return BookingOutcome(token, OutcomeState.NOT_RUN, retry_after=0.0)
        return _unknown(token)

    def _dispatch(self, forwarded: ForwardedBooking) -> BookingOutcome:
        record = self._configs.require(forwarded.service)
        group = self._groups.get(record, _group_of(record, forwarded.request.shard))
        deadline = time.monotonic() + forwarded.budget
        token = forwarded.request.token
        excluded: frozenset[str] = frozenset()
        attempt = 0
        while True:
            attempt += 1
            request_id = f"{token}#{attempt}"
            slot = SlotRequest(request_id, forwarded.request.shard, deadline, excluded)
            try:
                searcher_id = group.take_slot(slot).result(forwarded.budget + _GRACE_SECONDS)
            except (LimpethollowError, TimeoutError):
                return self._give_up(token)
            with self._lock:
                self._ledger.dispatched(token, searcher_id)
            try:
                return self._send(forwarded, group, request_id, searcher_id, deadline)
            except CallFailed as error:
                group.release_slot(request_id, error.failure, error.retry_after)
                self._metrics.count("booking_dispatch_failures", error.failure)
                if error.failure not in _PROOF_OF_NOT_RUN:
                    return self._lost(token, error.failure)
                with self._lock:
                    excluded = self._ledger.not_run_there(token)
            if time.monotonic() >= deadline:
                return self._give_up(token)

    def _send(
        self,
        forwarded: ForwardedBooking,
        group: LocalGroup,
        request_id: str,
        searcher_id: str,
        deadline: float,
    ) -> BookingOutcome:
        booking = SearcherBooking(
            token=forwarded.request.token,
            service=forwarded.service,
            shard=forwarded.request.shard,
            booking=forwarded.request.booking,
            timeout=deadline - time.monotonic(),
        )
        reply = group.client(searcher_id).book(booking)
        group.release_slot(request_id)
        with self._lock:
            return self._ledger.searcher_said(reply)

    def _give_up(self, token: str) -> BookingOutcome:
        with self._lock:
            return self._ledger.gave_up(token)

    def _lost(self, token: str, failure: Failure) -> BookingOutcome:
        events.BOOKING_UNKNOWN.log(token=token, reason=failure)
        with self._lock:
            return self._ledger.lost(token)


def _group_of(record: ServiceRecord, shard: int) -> int:
    assert record.spec is not None
    return next(group.index for group in cut_groups(record.spec) if shard in group.shards)


def _unknown(token: str) -> BookingOutcome:
    return BookingOutcome(token, OutcomeState.UNKNOWN, retry_after=_RETRY_AFTER)
