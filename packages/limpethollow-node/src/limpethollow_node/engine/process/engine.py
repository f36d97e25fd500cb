"""The facade of the request path: takes callers' requests and sees that each gets one answer."""

from limpethollow_node.engine.connection.callers import Exchange, error_reply
from limpethollow_node.engine.messages import Request
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_node.engine.process.intake import Intake
from limpethollow_node.engine.request.batches import BatchDesk
from limpethollow_node.engine.request.forwards import Forward
from limpethollow_node.engine.request.outcomes import Outcome, OutcomeLog
from limpethollow_node.engine.request.outgoing import Outgoing
from limpethollow_node.engine.request.searches import RETRY_ELSEWHERE, STOPPING, Search
from limpethollow_node.process import events
from limpethollow_policy.version.routes import Route, RoutingVersion, VersionBook, WeightedTurns
from limpethollow_wire.exceptions import LimpethollowError, NoRoute, Unavailable

# A version that was last known to be the newest longer ago than this may lack a route that is in
# force elsewhere; "no such route" would then be untrue.
KNOWN_FOR = 13.0
_RETRY_WITHOUT_VERSION = 0.5


class Engine:
    """Routes requests by the version in force and starts a search or a forward for each.

    Args:
        dispatch: What the process shares.
        versions: The version in force.

    Attributes:
        desk: Sends calls to instances near the searchers; set before the first request.
        refuses: Whether new requests are refused, as they could not end before this instance does.
    """

    __slots__ = ("_dispatch", "_intake", "_running", "_turns", "desk", "refuses", "versions")

    def __init__(self, dispatch: Dispatch, versions: VersionBook) -> None:
        self._dispatch = dispatch
        self._intake = Intake(dispatch)
        self._turns = WeightedTurns()
        self.desk: BatchDesk | None = None
        self._running: set[Search | Forward] = set()
        self.refuses = False
        self.versions = versions

    def use_version(self, version: RoutingVersion) -> bool:
        """Put a version in force where it is newer; return whether it was."""
        if not self.versions.offer(version):
            return False
        self._turns.forget()
        self._dispatch.use_version(version)
        self._intake.use_version(version)
        return True

    @property
    def admitted_rate(self) -> float:
        """Return the lowest rate of admitted requests of all sets of shards and services."""
        return self._intake.lowest_rate

    @property
    def is_busy(self) -> bool:
        """Return whether a request is under way."""
        return bool(self._running)

    def now(self) -> float:
        """Return the monotonic second by which ages are told."""
        return self._dispatch.loop.time()

    def handle(self, exchange: Exchange) -> None:
        """Take a caller's request; it gets one answer, or a log line that its caller is gone."""
        route = None
        try:
            route = self._find_route(exchange.request)
            self._start(exchange, route)
        except LimpethollowError as error:
            exchange.respond(error_reply(error))
            self._logger(exchange, route)(Outcome(error.status, error.code))

    def _find_route(self, request: Request) -> Route:
        """Return a request's route.

        Raises:
            Unavailable: This instance stops, is cut off, or may not know the route.
            NoRoute: No route takes the request.
        """
        if self.refuses:
            raise Unavailable(STOPPING, retry_after=RETRY_ELSEWHERE)
        if self._dispatch.isolation.is_isolated:
            raise Unavailable(
                "This instance is cut off; the others are not.", retry_after=RETRY_ELSEWHERE
            )
        if self.versions.current is None:
            raise Unavailable("No configuration is known yet.", retry_after=_RETRY_WITHOUT_VERSION)
        host = (request.header(b"host") or b"").decode("latin-1")
        route = self.versions.find(host, request.path)
        if route is not None:
            return route
        if self.versions.age(self._dispatch.loop.time()) > KNOWN_FOR:
            raise Unavailable(
                "No route is known here, and a newer configuration may have one.",
                retry_after=_RETRY_WITHOUT_VERSION,
            )
        raise NoRoute("No route takes this host and path.")

    def _start(self, exchange: Exchange, route: Route) -> None:
        """Start a search or a forward.

        Raises:
            BadRequest: The request's headers can't be understood.
            Quarantined: Searchers ended under earlier tries of the request.
            Overloaded: The route's searchers can't answer the request in time.
        """
        outgoing = Outgoing.of(exchange, route, self._dispatch)
        log = self._logger(exchange, route)
        running: Search | Forward

        def ended(outcome: Outcome) -> None:
            self._running.discard(running)
            self._dispatch.quarantines.ended(outgoing.guard)
            log(outcome)

        if route.shards:
            search = self._intake.admit_search(outgoing)
            running = Search(self._dispatch, exchange, outgoing, self.desk, search, ended)
        else:
            service = self._turns.next(route)
            single = self._intake.admit_single(outgoing, service)
            running = Forward(self._dispatch, exchange, outgoing, service, single, ended)
        self._running.add(running)
        running.start()

    def end_repeatable(self) -> None:
        """Answer all requests that their callers may repeat elsewhere; this instance is cut off."""
        for running in list(self._running):
            running.cut_off()

    def end_all(self) -> None:
        """Answer all requests under way; this instance stops."""
        for running in list(self._running):
            running.end_now()

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
                request=_text(request_id),
                fingerprint=exchange.request.fingerprint,
                route=route.name if route else None,
                version=current.number if current else None,
                version_age_s=round(self.versions.age(now), 2) if current else None,
                status=outcome.status,
                reason=outcome.reason,
                ms=round(seconds * 1000, 1),
                time_left=_text(exchange.request.header(self._dispatch.names.time_left)),
                first_on_connection=exchange.is_first,
                round_trip_ms=_milliseconds(exchange.round_trip),
                parts=outcome.parts,
                missing=outcome.missing,
                searchers=outcome.searchers,
                hedges=outcome.hedges,
            )

        return log

    def _log_lost(self, exchange: Exchange, outcome: Outcome) -> None:
        """Tell what a request asks for under which searchers may have ended."""
        request = exchange.request
        events.SEARCHERS_LOST.log(
            request=_text(request.header(self._dispatch.names.request_id)),
            fingerprint=request.fingerprint,
            method=_text(request.method),
            host=_text(request.header(b"host")),
            target=_text(request.target),
            caller=exchange.caller_host,
            searchers=outcome.lost,
            parts=outcome.parts,
            status=outcome.status,
        )


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
