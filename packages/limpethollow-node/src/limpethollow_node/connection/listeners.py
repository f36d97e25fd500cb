"""HTTP listeners: routing, bounds on bodies, typed errors."""

import re
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

from cheroot import wsgi

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.codecs import from_json, to_json
from limpethollow_wire.exceptions import (
    BadRequest,
    InternalError,
    LimpethollowError,
    NotFound,
    TooLarge,
)
from limpethollow_wire.limits import MAX_BODY_BYTES, MAX_HEADER_BYTES

T = TypeVar("T")
Environ = dict[str, Any]

_SOCKET_TIMEOUT = 10
_BACKLOG = 128


@dataclass(slots=True)
class HttpRequest:
    """One request as handlers see it.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        names: Parts of the path that the route names.
        authorization: Authorization header, None where there is none.
        body: The body, read in full.
    """

    method: str
    path: str
    authorization: str | None = None
    body: bytes = b""
    names: dict[str, str] = field(default_factory=dict)

    def message(self, kind: type[T]) -> T:
        """Decode the body as JSON into a typed message.

        Raises:
            BadRequest: The body is not such a message.
        """
        return from_json(self.body, kind)


@dataclass(slots=True)
class HttpReply:
    """One reply.

    Attributes:
        body: A message, or text.
        status: HTTP status.
    """

    body: Any
    status: int = 200


Handler = Callable[[Any, HttpRequest], HttpReply]


class Routes:
    """Registry of handlers by method and path pattern.

    Usage:
        ROUTES = Routes()

        @ROUTES.add("GET", "/v1/services/{service}/route")
        def route(context, request): ...
    """

    def __init__(self) -> None:
        self._handlers: list[tuple[str, re.Pattern[str], Handler]] = []

    def add(self, method: str, pattern: str) -> Callable[[Handler], Handler]:
        """Register a handler; `{name}` in the pattern matches one path segment."""
        expression = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern))

        def register(handler: Handler) -> Handler:
            self._handlers.append((method, expression, handler))
            return handler

        return register

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]]:
        """Return the handler of a path and the parts of the path it names.

        Raises:
            NotFound: No route matches.
        """
        for known_method, expression, handler in self._handlers:
            match = expression.fullmatch(path)
            if match and known_method == method:
                return handler, match.groupdict()
        raise NotFound(f"There is no {method} {path[:100]} here.", remedy="Check the path.")


class Gate(Protocol):
    """Tells whether replies should ask callers to close their connection."""

    @property
    def closing(self) -> bool:
        """Whether the listener is about to close."""


class Listener:
    """One HTTP listener with its routes.

    Args:
        host: IP number to bind.
        port: Port, 0 for a free one.
        threads: Requests handled at once.
        routes: The handlers.
        context: Handed to every handler.
        gate: Whether connections should close.
        metrics: Where refusals are counted.
    """

    def __init__(
        self,
        host: str,
        port: int,
        threads: int,
        routes: Routes,
        context: Any,
        gate: Gate,
        metrics: Metrics,
    ) -> None:
        self._routes = routes
        self._context = context
        self._gate = gate
        self._metrics = metrics
        self._open = 0
        self._last_arrival = 0.0
        self._lock = threading.Lock()
        self._server = wsgi.Server(
            (host, port),
            self._serve,
            numthreads=threads,
            max=threads,
            request_queue_size=_BACKLOG,
            timeout=_SOCKET_TIMEOUT,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.error_log = _log_server_error
        self._thread = threading.Thread(target=self._server.serve, name="listener", daemon=True)

    def __enter__(self) -> "Listener":
        self._server.prepare()
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._server.stop()

    @property
    def address(self) -> str:
        """`host:port` that was bound."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    @property
    def open_requests(self) -> int:
        """Requests that have no answer yet, those waiting for a thread included."""
        return self._open + self._server.requests.qsize

    @property
    def last_arrival(self) -> float:
        """Monotonic second of the last request that is not safe to repeat blindly."""
        return self._last_arrival

    def _serve(self, environ: Environ, start_response: Callable[..., Any]) -> Iterable[bytes]:
        with self._lock:
            self._open += 1
            if environ["REQUEST_METHOD"] != "GET":
                self._last_arrival = time.monotonic()
        try:
            reply = self._reply(environ)
        finally:
            with self._lock:
                self._open -= 1
        is_text = isinstance(reply.body, str)
        body = reply.body.encode() if is_text else to_json(reply.body)
        headers = [
            ("Content-Type", "text/plain" if is_text else "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if isinstance(reply.body, dict) and reply.body.get("retry_after") is not None:
            headers.append(("Retry-After", f"{reply.body['retry_after']:.3f}"))
        if self._gate.closing or reply.status == 413:
            headers.append(("Connection", "close"))
        start_response(f"{reply.status} {_REASONS.get(reply.status, 'Status')}", headers)
        return [body]

    def _reply(self, environ: Environ) -> HttpReply:
        try:
            request = _read_request(environ)
            handler, request.names = self._routes.find(request.method, request.path)
            return handler(self._context, request)
        except LimpethollowError as error:
            self._metrics.count("requests_refused", error.code)
            events.REQUEST_REFUSED.log(code=error.code, path=environ.get("PATH_INFO", ""))
            return HttpReply(error.to_body(), error.status)
        except Exception as error:
            self._metrics.count("requests_refused", "internal")
            events.DEFECT.log(where="listener", error=repr(error), exc_info=True)
            return HttpReply(InternalError("The instance has a defect.").to_body(), 500)


_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def _read_request(environ: Environ) -> HttpRequest:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit():
        raise BadRequest("The Content-Length header is not a number.")
    if int(length) > MAX_BODY_BYTES:
        raise TooLarge(f"The body has {length} bytes; {MAX_BODY_BYTES} are allowed.")
    try:
        body = environ["wsgi.input"].read(int(length)) if int(length) else b""
    except OSError:
        raise BadRequest("The body did not arrive in time.") from None
    if len(body) != int(length):
        raise BadRequest("The body is shorter than its Content-Length.")
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        authorization=environ.get("HTTP_AUTHORIZATION"),
        body=body,
    )


def _log_server_error(message: str = "", level: int = 20, traceback: bool = False) -> None:
    events.REQUEST_REFUSED.log(code="connection", message=message)
