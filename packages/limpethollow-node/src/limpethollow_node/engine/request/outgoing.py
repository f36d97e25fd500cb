"""A caller's request as it is sent on to searchers."""

from dataclasses import dataclass

from limpethollow_node.engine.messages import Request, end_to_end, find_header, render_headers
from limpethollow_node.engine.process.dispatch import Dispatch
from limpethollow_policy.process.timings import RouteTimings
from limpethollow_policy.version.routes import Route


@dataclass(slots=True)
class Outgoing:
    """What the sends of one caller's request have in common.

    Attributes:
        head: Request line and headers, without those that differ between sends.
        body: The request's body.
        request_id: The caller's id for the request; None where it sent none.
        deadline: Monotonic second after which nobody waits for an answer.
        spent: Seconds that the caller had waited when it sent the request.
        route: The route.
        timings: The route's timings.
        is_head: Whether the method is HEAD.
    """

    head: bytes
    body: bytes
    request_id: bytes | None
    deadline: float
    spent: float
    route: Route
    timings: RouteTimings
    is_head: bool

    @classmethod
    def of(cls, request: Request, route: Route, deadline: float, dispatch: Dispatch) -> "Outgoing":
        """Prepare a caller's request to be sent on."""
        names = dispatch.names
        timings = dispatch.timings(route)
        stated = request.header(names.time_left)
        own = frozenset({names.time_left, names.expected_searcher})
        headers = end_to_end(request.headers, own)
        if request.body or find_header(request.headers, b"content-length") is not None:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        return cls(
            b"%b %b HTTP/1.1\r\n%b" % (request.method, request.target, render_headers(headers)),
            request.body,
            request.header(names.request_id),
            deadline,
            0.0 if stated is None else timings.patience.spent(int(stated) / 1000),
            route,
            timings,
            request.method == b"HEAD",
        )

    @property
    def id_text(self) -> str | None:
        """Return the caller's id for the request as logs show it."""
        return None if self.request_id is None else self.request_id.decode("latin-1")
