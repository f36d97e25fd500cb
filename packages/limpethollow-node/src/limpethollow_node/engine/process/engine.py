"""Entry point of the request path: handles callers' requests, each with exactly one response."""

from collections.abc import Callable, Sequence

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Request
from limpethollow_node.engine.process.access import AccessControl
from limpethollow_node.engine.process.admissioncontrol import AdmissionControl
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.quotas import QuotaControl
from limpethollow_node.engine.request.batches import BatchManager
from limpethollow_node.engine.request.forwards import Forward
from limpethollow_node.engine.request.outcomes import Outcome, OutcomeLog
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.searches import RETRY_ELSEWHERE, STOPPING, Search
from limpethollow_node.process import events
from limpethollow_policy.process.stops import Stop
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import (
    CurrentVersion,
    Route,
    RoutingVersion,
    WeightedRoundRobin,
)
from limpethollow_wire.exceptions import (
    InternalError,
    LimpethollowError,
    NoHome,
    NoRoute,
    Unavailable,
)

# A version that was last confirmed to be the newest longer ago than this, in seconds, may lack a
# route that other instances serve, so a missing route must not be reported as nonexistent.
VERSION_STALE_SECONDS = 13.0
_RETRY_WITHOUT_VERSION = 0.5
_ISOLATED = "This instance can reach no peer and no searcher; retry on another instance."
# A new searcher registers within about a heartbeat.
_RETRY_WITHOUT_HOME = 0.5


class Engine:
    """Routes requests by the active version and starts a search or a forward for each.

    Args:
        dispatch: State shared by all requests of the process.
        versions: Holds the active version.

    Attributes:
        access: Checks the keys of requests.
        desk: Sends batches of calls to instances near the searchers; set before the first request.
        quotas: Applies the teams' quotas.
        refuses: Whether all new requests are rejected because the process is about to exit.
        stop: The graceful stop that was requested; None if none was.
    """

    __slots__ = (
        "_dispatch",
        "_admission_control",
        "_running",
        "_turns",
        "access",
        "_waiting",
        "desk",
        "quotas",
        "refuses",
        "stop",
        "versions",
    )

    def __init__(self, dispatch: Dispatch, versions: CurrentVersion) -> None:
        self._dispatch = dispatch
        self.access = AccessControl(versions, dispatch.names, dispatch.loop.time, dispatch.metrics)
        dispatch.delegated_permit = self.access.delegated
        self.quotas = QuotaControl(dispatch)
        self._waiting: dict[Exchange, tuple[Route, Callable[[], None]]] = {}
        self._admission_control = AdmissionControl(dispatch)
        self._turns = WeightedRoundRobin()
        self.desk: BatchManager | None = None
        self._running: set[Search | Forward] = set()
        self.refuses = False
        self.stop: Stop | None = None
        self.versions = versions

    def use_version(self, version: RoutingVersion) -> bool:
        """Activate a version if it is newer; return whether it was."""
        if not self.versions.offer(version):
            return False
        self._turns.forget()
        self._dispatch.use_version(version)
        self._admission_control.use_version(version)
        # The end of a request may start the next one on its connection, which needs the new quotas.
        self.quotas.use_version(version)
        self.end_forbidden()
        return True

    @property
    def admitted_rate(self) -> float:
        """Return the lowest admission rate, in requests per second; infinite without any limit.

        Each set of shards and each service has its own rate.
        """
        return self._admission_control.lowest_rate

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress or waits for its quota."""
        return bool(self._running or self._waiting)

    def now(self) -> float:
        """Return the monotonic time, in seconds, from which ages are computed."""
        return self._dispatch.loop.time()

    def handle(self, exchange: Exchange) -> None:
        """Handle a caller's request: it gets one response, or a log line if the caller has gone."""
        route = None
        try:
            route = self._find_route(exchange.request)
            permit = self.access.admit(exchange.request, route)
        except LimpethollowError as error:
            self.access.hide_key(exchange.request)
            self._refuse(exchange, route, error)
            return
        cancel = self.quotas.acquire(
            permit,
            route,
            lambda: self._start_admitted(exchange, route, permit),
            lambda error: self._refuse(exchange, route, error),
        )
        if cancel is not None:
            self._waiting[exchange] = route, cancel
            exchange.on_disconnect = lambda: self._on_disconnect(exchange)

    def _start_admitted(self, exchange: Exchange, route: Route, permit: Permit) -> None:
        self._waiting.pop(exchange, None)
        exchange.on_disconnect = None
        try:
            self._start(exchange, route, permit)
        except LimpethollowError as error:
            self.quotas.give_back(permit)
            self._refuse(exchange, route, error)
        except Exception as error:
            # Other requests may wait for their quota in the same call, and must not fail with it.
            events.UNEXPECTED_ERROR.log(where="start", error=repr(error), exc_info=True)
            self.quotas.give_back(permit)
            self._refuse(exchange, route, InternalError("The request could not be started."))

    def _on_disconnect(self, exchange: Exchange) -> None:
        """Give up the place of a request that waits for its quota."""
        route, cancel = self._waiting.pop(exchange)
        cancel()
        self._logger(exchange, route)(Outcome(0, "caller_gone"))

    def _refuse_waiting(self, error: LimpethollowError) -> None:
        """Refuse all requests that wait for their quotas."""
        waiting, self._waiting = self._waiting, {}
        for exchange, (route, cancel) in waiting.items():
            cancel()
            self._refuse(exchange, route, error)

    def _refuse(self, exchange: Exchange, route: Route | None, error: LimpethollowError) -> None:
        self._waiting.pop(exchange, None)
        exchange.respond(error_reply(error))
        self._logger(exchange, route)(Outcome(error.status, error.code))

    def _find_route(self, request: Request) -> Route:
        """Return the route of a request.

        Raises:
            Unavailable: This instance is stopping, is isolated, or may lack the route.
            NoRoute: No route matches the request.
        """
        if self.refuses or self.stop is not None and self.stop.refuses_all(self.access.uptime()):
            raise Unavailable(STOPPING, retry_after=RETRY_ELSEWHERE)
        if self._dispatch.isolation.is_isolated:
            raise Unavailable(_ISOLATED, retry_after=RETRY_ELSEWHERE)
        if self.versions.current is None:
            raise Unavailable(
                "No configuration has been loaded yet.", retry_after=_RETRY_WITHOUT_VERSION
            )
        host = (request.header(b"host") or b"").decode("latin-1")
        route = self.versions.find(host, request.path)
        if route is not None:
            return route
        if self.versions.age(self._dispatch.loop.time()) > VERSION_STALE_SECONDS:
            raise Unavailable(
                "No route matches this host and path, but the configuration may be out of date.",
                retry_after=_RETRY_WITHOUT_VERSION,
            )
        raise NoRoute("No route matches this host and path.")

    def _start(self, exchange: Exchange, route: Route, permit: Permit) -> None:
        """Start a search or a forward.

        Raises:
            BadRequest: The request's headers are invalid.
            Quarantined: Earlier attempts of the request crashed searchers.
            NoHome: Too few of the route's services have a searcher where the request may run.
            Overloaded: The route's searchers can't answer the request in time.
            Unavailable: This instance stops before the request would end.
        """
        self._check_stop(route)
        outgoing = Outgoing.of(exchange, route, self._dispatch, permit)
        log = self._logger(exchange, route)
        running: Search | Forward

        def on_ended(outcome: Outcome) -> None:
            self._running.discard(running)
            self._dispatch.quarantines.ended(outgoing.guard)
            if permit.quota_until and not running.may_have_run:
                self.quotas.give_back(permit)
            log(outcome)

        if route.shards:
            if outgoing.domains is not None:
                self._check_homes(outgoing, route.shards, route.min_parts)
            search = self._admission_control.admit_search(outgoing)
            running = Search(self._dispatch, exchange, outgoing, self.desk, search, on_ended)
        else:
            service = self._turns.next(route)
            if outgoing.domains is not None:
                self._check_homes(outgoing, (service,), 1)
            single = self._admission_control.admit_single(outgoing, service)
            running = Forward(self._dispatch, exchange, outgoing, service, single, on_ended)
        self._running.add(running)
        running.start()

    def _check_stop(self, route: Route) -> None:
        """Check that a request on a route would end before this instance stops.

        Raises:
            Unavailable: It would be cut off.
        """
        if self.stop is None:
            return
        expected = self._dispatch.timings(route).expected(repeatable=route.idempotent)
        if not self.stop.may_start(expected, self.access.uptime()):
            raise Unavailable(STOPPING, retry_after=RETRY_ELSEWHERE)

    def end_forbidden(self) -> None:
        """Answer all requests that are no longer allowed and that no searcher may have run."""
        for running in list(self._running):
            running.end_if_forbidden()

    def _check_homes(self, outgoing: Outgoing, services: Sequence[str], needed: int) -> None:
        """Check that enough services have a searcher in service where a request may run.

        Searchers that are unreachable or at capacity count: whether the request can run there is
        decided later, with the same errors as for requests without homes.

        Args:
            outgoing: The request.
            services: Services that it calls.
            needed: How many of them must have a searcher.

        Raises:
            NoHome: Fewer of them have one.
        """
        has_searcher, allowed = self._dispatch.fleet.has_searcher, outgoing.domains
        served = sum(has_searcher(service, allowed) for service in services)
        if served >= needed:
            return
        self._dispatch.metrics.count("requests_without_home", outgoing.route.name)
        events.NO_SEARCHER_IN_HOMES.log(
            request=outgoing.id_text,
            route=outgoing.route.name,
            homes=sorted(outgoing.permit.homes),
            services=len(services),
            served=served,
            needed=needed,
        )
        raise NoHome(
            "No region that may process this request has searchers in service for it: "
            f"{served} of {len(services)} services have one, and {needed} are needed.",
            retry_after=_RETRY_WITHOUT_HOME,
        )

    def end_retryable(self) -> None:
        """Answer all requests that callers may retry elsewhere; this instance is isolated."""
        self._refuse_waiting(Unavailable(_ISOLATED, retry_after=RETRY_ELSEWHERE))
        for running in list(self._running):
            running.cut_off()

    def end_all(self) -> None:
        """Answer all requests in progress; this instance is stopping."""
        self._refuse_waiting(Unavailable(STOPPING, retry_after=RETRY_ELSEWHERE))
        for running in list(self._running):
            running.finish_for_shutdown()

    def _logger(self, exchange: Exchange, route: Route | None) -> OutcomeLog:
        request_id = exchange.request.header(self._dispatch.names.request_id)
        current = self.versions.current

        def log(outcome: Outcome) -> None:
            now = self._dispatch.loop.time()
            seconds = now - exchange.arrived_at
            metrics = self._dispatch.metrics
            metrics.count("requests", str(outcome.status))
            if outcome.status != 200:
                metrics.count("unserved", outcome.reason[:40])
                if route is not None:
                    metrics.count("route_unserved", f"{route.name}/{outcome.status}")
            metrics.observe("request", seconds)
            if outcome.lost:
                self._log_lost(exchange, outcome)
            events.REQUEST_ENDED.log(
                request=_decode(request_id),
                fingerprint=exchange.request.fingerprint,
                route=route.name if route else None,
                version=current.number if current else None,
                version_age_s=round(self.versions.age(now), 2) if current else None,
                status=outcome.status,
                reason=outcome.reason,
                ms=round(seconds * 1000, 1),
                time_left=_decode(exchange.request.header(self._dispatch.names.time_left)),
                first_on_connection=exchange.is_first,
                round_trip_ms=_to_milliseconds(exchange.round_trip),
                parts=outcome.parts,
                missing=outcome.missing,
                searchers=outcome.searchers,
                hedges=outcome.hedges,
            )

        return log

    def _log_lost(self, exchange: Exchange, outcome: Outcome) -> None:
        """Log the details of a request that may have crashed searchers."""
        request = exchange.request
        events.SEARCHERS_LOST.log(
            request=_decode(request.header(self._dispatch.names.request_id)),
            fingerprint=request.fingerprint,
            method=_decode(request.method),
            host=_decode(request.header(b"host")),
            target=_decode(request.target),
            caller=exchange.caller_host,
            searchers=outcome.lost,
            parts=outcome.parts,
            status=outcome.status,
        )


def _decode(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _to_milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
