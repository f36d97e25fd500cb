"""A caller's request as it is sent to searchers."""

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
from limpethollow_policy.request.crash_guards import CrashGuard
from limpethollow_policy.request.permits import UNRESTRICTED, Permit
from limpethollow_policy.version.routes import Route
from limpethollow_wire.exceptions import BadRequest

# Round-trip time to a caller in seconds if the kernel provides none: twice the one-way delay of
# 3 ms that the users specify.
_DEFAULT_ROUND_TRIP = 0.006


@dataclass(slots=True)
class Outgoing:
    """The state shared by all sends of a caller's request.

    Attributes:
        head: Request line and headers, without the headers that differ between sends.
        body: The request's body.
        request_id: The caller's id for the request.
        deadline: Monotonic time in seconds by which a reply must be sent to reach the caller before
            it stops waiting.
        reply_by: Monotonic time in seconds by which a reply must be sent to meet the objective.
        in_time: Whether a call of typical duration fits into the time until `reply_by`.
        route: The route.
        timings: Timings of the route.
        is_head: Whether the method is HEAD.
        guard: Prevents the request from crashing one searcher after another.
        permit: What the request is allowed to do.
        domains: Failure domains that may process the request; None for all.
    """

    head: bytes
    body: bytes
    request_id: bytes
    deadline: float
    reply_by: float
    in_time: bool
    route: Route
    timings: RouteTimings
    is_head: bool
    guard: CrashGuard
    permit: Permit
    domains: frozenset[str] | None = None

    @classmethod
    def of(
        cls,
        exchange: Exchange,
        route: Route,
        dispatch: Dispatch,
        permit: Permit = UNRESTRICTED,
    ) -> "Outgoing":
        """Prepare a caller's request for sending.

        Args:
            exchange: The request.
            route: Its route.
            dispatch: State shared by the process.
            permit: What the request is allowed to do.

        Raises:
            BadRequest: The id is missing, or the time left is not a number.
            Quarantined: Earlier attempts of the request crashed searchers.
        """
        names = dispatch.names
        request, arrived = exchange.request, exchange.arrived_at
        request_id = _request_id(request, names)
        guard = dispatch.quarantines.guard(request.fingerprint)
        timings = dispatch.timings(route)
        left = _time_left(request, names)
        way = exchange.round_trip or _DEFAULT_ROUND_TRIP
        connect = way if exchange.is_first else 0.0
        spent = timings.patience.spent(left, connect, route.timeout, way)
        way += dispatch.own_delay.allowance
        seconds = route.timeout if left is None else min(route.timeout, left)
        headers = end_to_end(request.headers, _dropped_headers(names, permit))
        if permit.tenant is not None:
            headers.append((names.tenant, permit.tenant.name.encode()))
        if request.body or find_header(request.headers, b"content-length") is not None:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        return cls(
            b"%b %b HTTP/1.1\r\n%b" % (request.method, request.target, render_headers(headers)),
            request.body,
            request_id,
            arrived + max(seconds - way, seconds / 2),
            arrived + timings.answer_delay_for(spent + way),
            timings.fits(spent + way),
            route,
            timings,
            request.method == b"HEAD",
            guard,
            permit,
            None if permit.homes is None else dispatch.regions.domains_in(permit.homes),
        )

    @property
    def id_text(self) -> str:
        """Return the request id as text for logs."""
        return self.request_id.decode("latin-1")


def _dropped_headers(names: HeaderNames, permit: Permit) -> frozenset[bytes]:
    """Return the names of the caller's headers that searchers must not see."""
    dropped = {names.time_left, names.expected_searcher, names.tenant}
    if permit.drops_key:
        dropped.add(names.key)
    return frozenset(dropped)


def _request_id(request: Request, names: HeaderNames) -> bytes:
    """Return the request id, which is required to match replies to requests."""
    request_id = request.header(names.request_id)
    if not request_id:
        raise BadRequest(
            f"The request has no id. Set a unique {names.request_id.decode()} for each attempt."
        )
    return request_id


def _time_left(request: Request, names: HeaderNames) -> float | None:
    """Return the seconds until the caller stops waiting; None if it doesn't say."""
    stated = request.header(names.time_left)
    if stated is None:
        return None
    if not stated.isdigit():
        raise BadRequest(f"{names.time_left.decode()} is not a whole number of milliseconds.")
    return int(stated) / 1000
