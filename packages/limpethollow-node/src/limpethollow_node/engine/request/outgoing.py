"""A caller's request as it is sent on to searchers."""

from dataclasses import dataclass

from limpethollow_node.engine.connection.callers import Exchange
from limpethollow_node.engine.messages import (
    HeaderNames,
    Request,
    end_to_end,
    find_header,
    render_headers,
)
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_policy.process.timings import RouteTimings
from limpethollow_policy.request.crashguards import CrashGuard
from limpethollow_policy.version.routes import Route
from limpethollow_wire.exceptions import BadRequest

# Taken for the round trip to a caller where the system measures none: two ways of 3 ms, as on the
# users' sheets.
_USUAL_ROUND_TRIP = 0.006


@dataclass(slots=True)
class Outgoing:
    """What the sends of one caller's request have in common.

    Attributes:
        head: Request line and headers, without those that differ between sends.
        body: The request's body.
        request_id: The caller's id for the request.
        deadline: Monotonic second at which the last answer must leave to find its caller waiting.
        answer_by: Monotonic second at which an answer must leave to come within the objective.
        in_time: Whether a usual call fits into the time until then.
        route: The route.
        timings: The route's timings.
        is_head: Whether the method is HEAD.
        guard: Keeps the request from ending one searcher after the other.
    """

    head: bytes
    body: bytes
    request_id: bytes
    deadline: float
    answer_by: float
    in_time: bool
    route: Route
    timings: RouteTimings
    is_head: bool
    guard: CrashGuard

    @classmethod
    def of(cls, exchange: Exchange, route: Route, dispatch: Dispatch) -> "Outgoing":
        """Prepare a caller's request to be sent on.

        Args:
            exchange: The request.
            route: Its route.
            dispatch: What the process shares.

        Raises:
            BadRequest: There is no id, or the time that the caller has left is no number.
            Quarantined: Searchers ended under earlier tries of the request.
        """
        names = dispatch.names
        request, arrived = exchange.request, exchange.arrived_at
        request_id = _request_id(request, names)
        guard = dispatch.quarantines.guard(request.fingerprint)
        timings = dispatch.timings(route)
        left = _time_left(request, names)
        way = exchange.round_trip or _USUAL_ROUND_TRIP
        connect = way if exchange.is_first else 0.0
        spent = timings.patience.spent(left, connect, route.timeout, way)
        way += dispatch.own_delay.allowance
        seconds = route.timeout if left is None else min(route.timeout, left)
        own = frozenset({names.time_left, names.expected_searcher})
        headers = end_to_end(request.headers, own)
        if request.body or find_header(request.headers, b"content-length") is not None:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        return cls(
            b"%b %b HTTP/1.1\r\n%b" % (request.method, request.target, render_headers(headers)),
            request.body,
            request_id,
            arrived + max(seconds - way, seconds / 2),
            arrived + timings.patience_for(spent + way),
            timings.fits(spent + way),
            route,
            timings,
            request.method == b"HEAD",
            guard,
        )

    @property
    def id_text(self) -> str:
        """Return the caller's id for the request as logs show it."""
        return self.request_id.decode("latin-1")


def _request_id(request: Request, names: HeaderNames) -> bytes:
    """Return the caller's id for a request; without one, nothing tells its replies apart."""
    request_id = request.header(names.request_id)
    if not request_id:
        raise BadRequest(
            f"The request has no id. Give each attempt its own in {names.request_id.decode()}."
        )
    return request_id


def _time_left(request: Request, names: HeaderNames) -> float | None:
    """Return the seconds that the caller will still wait; None where it doesn't say."""
    stated = request.header(names.time_left)
    if stated is None:
        return None
    if not stated.isdigit():
        raise BadRequest("The time left is no whole number of milliseconds.")
    return int(stated) / 1000
