"""A session: keeps route answers, and decides when the next address may be tried."""

import secrets
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from msgspec.structs import replace

from limpethollow.adapters import Adapter, HttpAdapter
from limpethollow.exceptions import InstanceBusy, NoReply, NotConnected
from limpethollow_wire.bookings import BookingOutcome, BookingRequest
from limpethollow_wire.exceptions import (
    InternalError,
    LimpethollowError,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    Unavailable,
)
from limpethollow_wire.instances import Route
from limpethollow_wire.searches import SearchAnswer, SearchRequest

T = TypeVar("T")

_ROUTE_TIMEOUT = 2.0
_DEFAULT_WAIT = 5.0
_GRACE_SECONDS = 0.5
_BOOKING_GRACE_SECONDS = 2.0
_ASK_AGAIN_SECONDS = 0.5
_MAX_NEW_TOKENS = 4
# What proves that an instance did not run a request, so that the next one may be tried.
_NOT_RUN = (NotConnected, InstanceBusy)
# What a request that is safe to repeat may be sent again after.
_REPEATABLE = (*_NOT_RUN, NoReply)


@dataclass(slots=True, frozen=True)
class _KeptRoute:
    route: Route
    until: float


class Session:
    """Searches and books through whichever instances the system names.

    Usage:
        >>> with Session("10.0.0.7:8080", key="...") as session:
        ...     answer = session.search("driver-finder", {"free": True})
        ...     outcome = session.book("driver-finder", shard=3, booking={"bay": 12})

    Args:
        addresses: One or more `host:port` of instances to ask for routes first.
        key: The caller's key.
        adapter: Transport; HTTP where left out.
        clock: Monotonic clock in seconds.
        sleep: Waits for some seconds.
    """

    def __init__(
        self,
        addresses: str | Sequence[str],
        key: str,
        *,
        adapter: Adapter | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._seeds = [addresses] if isinstance(addresses, str) else list(addresses)
        self._key = key
        self._adapter = adapter or HttpAdapter()
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._routes: dict[str, _KeptRoute] = {}

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def search(
        self,
        service: str,
        query: dict[str, Any],
        *,
        shards: Sequence[int] | None = None,
        deadline: float | None = None,
        min_version: int = 0,
    ) -> SearchAnswer:
        """Search a service.

        A search is safe to repeat, so the next address is tried where one gives no reply.

        Usage:
            >>> session.search("turnero", {"club": 7}, deadline=0.5).coverage.covered
            (0, 1, 2, 3)

        Args:
            service: Name of the service.
            query: What to look for.
            shards: Shards wanted, all where left out.
            deadline: Seconds to wait, the service's own where left out.
            min_version: Index version the answer must be at least as new as; the
                `visible_version` of a booking makes that booking visible.

        Raises:
            CoverageTooLow: Fewer shards answered than the service's floor allows.
            Overloaded: There is no room now; `retry_after` says when to come back.
            LimpethollowError: Any other typed reason.
        """
        wanted = None if shards is None else tuple(shards)
        request = SearchRequest(query, wanted, deadline, min_version)
        path = f"/v1/services/{service}/search"
        until = self._clock() + (_DEFAULT_WAIT if deadline is None else deadline)

        def send(address: str) -> SearchAnswer:
            left = until - self._clock()
            body = request if deadline is None else replace(request, deadline=left)
            return self._send(address, path, body, SearchAnswer, max(left, 0.0) + _GRACE_SECONDS)

        return self._try_each(service, send, _REPEATABLE)

    def book(
        self,
        service: str,
        shard: int,
        booking: dict[str, Any],
        *,
        token: str | None = None,
        deadline: float | None = None,
    ) -> BookingOutcome:
        """Book at most once.

        The same token goes to the next address only where no connection could be made. Where no
        reply came, the outcome is looked up until the deadline. A booking that is proved not to
        have run is tried again under a new token, unless the token was given.

        Usage:
            >>> outcome = session.book("turnero", shard=2, booking={"court": 4, "hour": 18})
            >>> outcome.state
            'booked'

        Args:
            service: Name of the service.
            shard: Shard that holds what is booked.
            booking: What to book.
            token: A token from `new_token`, made here where left out.
            deadline: Seconds to wait, the service's own where left out.

        Returns:
            What the searcher made of it, `booked` or `rejected`, with the token.

        Raises:
            NotRun: It was not run and never will be under its token; book again.
            OutcomeUnknown: It may have run or may yet run; `details["token"]` names the token for
                `look_up`. Don't book again before its outcome is final.
            LimpethollowError: Any other typed reason; the booking was not run.
        """
        until = self._clock() + (deadline or _DEFAULT_WAIT)
        for attempt in range(1, _MAX_NEW_TOKENS + 1):
            name = token or self.new_token(service, shard)
            request = BookingRequest(name, shard, booking, deadline)
            try:
                return self._book_once(service, request, until)
            except NotRun:
                self.forget(service)
                if token is not None or attempt == _MAX_NEW_TOKENS or self._clock() >= until:
                    raise
        raise AssertionError("The last attempt returns or raises.")

    def look_up(self, service: str, token: str) -> BookingOutcome:
        """Ask what became of a booking; any instance can say.

        A token that no instance has seen yet is closed by this: it will never be run.

        Returns:
            What is known; `unknown` and `in_flight` are possible states, with `retry_after`.
        """
        path = f"/v1/services/{service}/bookings/{token}"

        def send(address: str) -> BookingOutcome:
            return self._send(address, path, None, BookingOutcome, _DEFAULT_WAIT)

        return self._try_each(service, send, _REPEATABLE)

    def new_token(self, service: str, shard: int) -> str:
        """Make a token for one booking; keep it to ask for the outcome later."""
        for instance in self.route(service).instances:
            if instance.token_prefix:
                return f"{instance.token_prefix}.{shard}.{secrets.token_hex(8)}"
        self.forget(service)
        raise Unavailable("No instance that runs bookings is known.", retry_after=1.0)

    def route(self, service: str) -> Route:
        """Return which instances serve a service, kept for the answer's time to live."""
        with self._lock:
            kept = self._routes.get(service)
        if kept is not None and self._clock() < kept.until:
            return kept.route
        known = [i.address for i in kept.route.instances] if kept else []
        route = self._ask_route(service, [*known, *self._seeds])
        with self._lock:
            self._routes[service] = _KeptRoute(route, self._clock() + route.ttl)
        return route

    def forget(self, service: str) -> None:
        """Ask for the route anew before the next request.

        The old addresses stay known as places to ask: the first ones given may have been replaced.
        """
        with self._lock:
            kept = self._routes.get(service)
            if kept is not None:
                self._routes[service] = _KeptRoute(kept.route, until=float("-inf"))

    def close(self) -> None:
        """Close all connections."""
        self._adapter.close()

    def _book_once(self, service: str, request: BookingRequest, until: float) -> BookingOutcome:
        """Send one token and answer for it truly, whatever happens on the way."""
        path = f"/v1/services/{service}/bookings"
        timeout = (request.deadline or _DEFAULT_WAIT) + _BOOKING_GRACE_SECONDS

        def send(address: str) -> BookingOutcome:
            return self._send(address, path, request, BookingOutcome, timeout)

        try:
            return self._try_each(service, send, _NOT_RUN)
        except (NoReply, InternalError, OutcomeUnknown) as error:
            # The token went out, so nothing but its own outcome may be told from here on.
            return self._find_out(service, request.token, until, error)

    def _find_out(
        self, service: str, token: str, until: float, error: LimpethollowError
    ) -> BookingOutcome:
        """Look a token up until its outcome is final or the deadline has passed."""
        while True:
            try:
                outcome = self.look_up(service, token)
            except Overloaded:
                # Said of a token that its executor never saw and now will never run.
                raise
            except LimpethollowError:
                # A refused look-up says nothing of the booking that was sent before it.
                raise OutcomeUnknown(
                    f"The booking may have run ({error.message})",
                    retry_after=_ASK_AGAIN_SECONDS,
                    details={"token": token, "state": "unknown", "reason": "no_reply"},
                ) from error
            pause = outcome.retry_after or 0.0
            if outcome.state.is_final or self._clock() + pause >= until:
                return outcome.require_run()
            self._sleep(pause)

    def _ask_route(self, service: str, addresses: Sequence[str]) -> Route:
        error: LimpethollowError = Unavailable("No address to ask is known.")
        for address in dict.fromkeys(addresses):
            path = f"/v1/services/{service}/route"
            try:
                return self._adapter.send(
                    address, "GET", path, self._key, Route, timeout=_ROUTE_TIMEOUT
                )
            except _REPEATABLE as failure:
                error = failure
        raise error

    def _try_each(
        self, service: str, send: Callable[[str], T], safe: tuple[type[LimpethollowError], ...]
    ) -> T:
        """Try the route's addresses in order, going on only after failures that are safe."""
        error: LimpethollowError = Unavailable(f"No instance serves '{service}'.", retry_after=1.0)
        for instance in self.route(service).instances:
            try:
                return send(instance.address)
            except safe as failure:
                error = failure
                self.forget(service)
        raise error

    def _send(self, address: str, path: str, body: Any, reply: type[T], timeout: float) -> T:
        method = "GET" if body is None else "POST"
        return self._adapter.send(address, method, path, self._key, reply, body, timeout)
