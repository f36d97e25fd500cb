"""Entry point of the request path: handles callers' requests, each with exactly one response."""

from collections.abc import Sequence

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
from limpethollow_policy.request.permits import Permit
from limpethollow_policy.version.routes import (
    CurrentVersion,
    Route,
    RoutingVersion,
    WeightedRoundRobin,
)
from limpethollow_wire.exceptions import LimpethollowError, NoHome, NoRoute, Unavailable

# A version that was last confirmed to be the newest longer ago than this, in seconds, may lack a
# route that other instances serve, so a missing route must not be reported as nonexistent.
VERSION_STALE_SECONDS = 13.0
_RETRY_WITHOUT_VERSION = 0.5
# A new searcher registers within about a heartbeat.
_RETRY_WITHOUT_HOME = 0.5


class Engine:
    """Routes requests by the active version and starts a search or a forward for each.

    Args:
        dispatch: State shared by all requests of the process.
        versions: Holds the active version.

    Attributes:
        desk: Sends batches of calls to instances near the searchers; set before the first request.
        refuses: Whether new requests are rejected because they might not finish before shutdown.
    """

    __slots__ = (
        "_access",
        "_dispatch",
        "_admission_control",
        "_quotas",
        "_running",
        "_turns",
        "desk",
        "refuses",
        "versions",
    )

    def __init__(self, dispatch: Dispatch, versions: CurrentVersion) -> None:
        self._dispatch = dispatch
        self._access = AccessControl(versions)
        self._quotas = QuotaControl()
        self._admission_control = AdmissionControl(dispatch)
        self._turns = WeightedRoundRobin()
        self.desk: BatchManager | None = None
        self._running: set[Search | Forward] = set()
        self.refuses = False
        self.versions = versions

    def use_version(self, version: RoutingVersion) -> bool:
        """Activate a version if it is newer; return whether it was."""
        if not self.versions.offer(version):
            return False
        self._turns.forget()
        self._dispatch.use_version(version)
        self._admission_control.use_version(version)
        return True

    @property
    def admitted_rate(self) -> float:
        """Return the lowest admission rate, in requests per second; infinite without any limit.

        Each set of shards and each service has its own rate.
        """
        return self._admission_control.lowest_rate

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress."""
        return bool(self._running)

    def now(self) -> float:
        """Return the monotonic time, in seconds, from which ages are computed."""
        return self._dispatch.loop.time()

    def handle(self, exchange: Exchange) -> None:
        """Handle a caller's request: it gets one response, or a log line if the caller has gone."""
        route = None
        try:
            route = self._find_route(exchange.request)
            permit = self._access.admit(exchange.request, route)
        except LimpethollowError as error:
            self._refuse(exchange, route, error)
            return
        self._quotas.acquire(
            permit,
            route,
            lambda: self._start_admitted(exchange, route, permit),
            lambda error: self._refuse(exchange, route, error),
        )

    def _start_admitted(self, exchange: Exchange, route: Route, permit: Permit) -> None:
        try:
            self._start(exchange, route, permit)
        except LimpethollowError as error:
            self._quotas.give_back(permit)
            self._refuse(exchange, route, error)

    def _refuse(self, exchange: Exchange, route: Route | None, error: LimpethollowError) -> None:
        exchange.respond(error_reply(error))
        self._logger(exchange, route)(Outcome(error.status, error.code))

    def _find_route(self, request: Request) -> Route:
        """Return the route of a request.

        Raises:
            Unavailable: This instance is stopping, is isolated, or may lack the route.
            NoRoute: No route matches the request.
        """
        if self.refuses:
            raise Unavailable(STOPPING, retry_after=RETRY_ELSEWHERE)
        if self._dispatch.isolation.is_isolated:
            raise Unavailable(
                "This instance can reach no peer and no searcher; retry on another instance.",
                retry_after=RETRY_ELSEWHERE,
            )
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
        """
        outgoing = Outgoing.of(exchange, route, self._dispatch, permit)
        log = self._logger(exchange, route)
        running: Search | Forward

        def on_ended(outcome: Outcome) -> None:
            self._running.discard(running)
            self._dispatch.quarantines.ended(outgoing.guard)
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
        for running in list(self._running):
            running.cut_off()

    def end_all(self) -> None:
        """Answer all requests in progress; this instance is stopping."""
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
