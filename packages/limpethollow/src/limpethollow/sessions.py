"""A session: keeps route answers, and decides when the next address may be tried."""

import secrets
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from limpethollow.adapters import Adapter, HttpAdapter
from limpethollow.exceptions import InstanceBusy, NoReply, NotConnected
from limpethollow_wire.bookings import BookingOutcome, BookingRequest, BookingToken
from limpethollow_wire.exceptions import LimpethollowError, Unavailable
from limpethollow_wire.instances import Route
from limpethollow_wire.searches import SearchAnswer, SearchRequest

T = TypeVar("T")

_ROUTE_TIMEOUT = 2.0
_DEFAULT_WAIT = 5.0
_GRACE_SECONDS = 0.5
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
    """

    def __init__(
        self,
        addresses: str | Sequence[str],
        key: str,
        *,
        adapter: Adapter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._seeds = [addresses] if isinstance(addresses, str) else list(addresses)
        self._key = key
        self._adapter = adapter or HttpAdapter()
        self._clock = clock
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
        timeout = (deadline or _DEFAULT_WAIT) + _GRACE_SECONDS
        return self._try_each(
            service, path, request, SearchAnswer, timeout, (NotConnected, NoReply)
        )

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

        The next address is tried only where the request was not run, under the same token.
        Where no reply came, the outcome is unknown: keep the token and ask `look_up`.

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
            What is known, with the token; `unknown` is a possible state.
        """
        token = token or self.new_token(service)
        request = BookingRequest(token, shard, booking, deadline)
        path = f"/v1/services/{service}/bookings"
        timeout = (deadline or _DEFAULT_WAIT) + _GRACE_SECONDS
        try:
            return self._try_each(service, path, request, BookingOutcome, timeout, _NOT_RUN)
        except NoReply:
            return self.look_up(service, token)

    def look_up(self, service: str, token: str) -> BookingOutcome:
        """Ask what became of a booking."""
        path = f"/v1/services/{service}/bookings/{token}"
        return self._try_each(service, path, None, BookingOutcome, _DEFAULT_WAIT, _REPEATABLE)

    def new_token(self, service: str) -> str:
        """Make a token for one booking; keep it to ask for the outcome later."""
        for instance in self.route(service).instances:
            if instance.incarnation:
                nonce = secrets.token_hex(8)
                return str(BookingToken(instance.id, instance.incarnation, nonce))
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
        """Ask for the route anew before the next request."""
        with self._lock:
            self._routes.pop(service, None)

    def close(self) -> None:
        """Close all connections."""
        self._adapter.close()

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
        self,
        service: str,
        path: str,
        body: Any,
        reply: type[T],
        timeout: float,
        safe: tuple[type[LimpethollowError], ...],
    ) -> T:
        """Try the route's addresses in order, going on only after failures that are safe."""
        method = "GET" if body is None else "POST"
        error: LimpethollowError = Unavailable(f"No instance serves '{service}'.", retry_after=1.0)
        for instance in self.route(service).instances:
            try:
                return self._adapter.send(
                    instance.address, method, path, self._key, reply, body, timeout
                )
            except safe as failure:
                error = failure
                self.forget(service)
        raise error
