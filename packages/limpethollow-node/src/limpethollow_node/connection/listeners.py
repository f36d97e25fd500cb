"""HTTP listeners: bounds on requests, typed errors, replies."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from limpethollow_node.connection.routes import HttpReply, HttpRequest, Routes
from limpethollow_node.connection.servers import REQUEST_KEY, TypedServer
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.connection.listener_limits import ListenerLimits
from limpethollow_wire.codecs import to_json
from limpethollow_wire.exceptions import (
    BadFraming,
    BadRequest,
    InstanceBusy,
    InternalError,
    LimpethollowError,
    TooLarge,
)
from limpethollow_wire.limits import MAX_BODY_BYTES

Environ = dict[str, Any]

_SPARE_THREADS = 4
_RETRY_AFTER = 0.1
_CLOSING_CODES = frozenset({"too_large", "slow_sender", "bad_framing"})
_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Gate(Protocol):
    """Tells whether replies should ask callers to close their connection."""

    @property
    def closing(self) -> bool:
        """Whether the listener is about to close."""

    @property
    def refusing(self) -> bool:
        """Whether too little time is left for further requests."""


class Listener:
    """One HTTP listener with its routes.

    A thread gets a request once it has arrived in full, and never waits for a slow reader. A few
    threads more than `threads` read requests. What arrives while `threads` requests are being
    handled is refused at once by a spare one, instead of waiting unseen in the server's queue
    until its caller has given up.

    Args:
        host: IP number to bind.
        port: Port, 0 for a free one.
        threads: Requests handled at once.
        routes: The handlers.
        context: Handed to every handler.
        gate: What the process's shutdown asks for.
        limits: What the clients may hold.
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
        limits: ListenerLimits,
        metrics: Metrics,
    ) -> None:
        self._routes = routes
        self._context = context
        self._gate = gate
        self._metrics = metrics
        self._threads = threads
        self._open = 0
        self._handling = 0
        self._last_arrival = 0.0
        self._lock = threading.Lock()
        self._server = TypedServer(
            (host, port),
            self._serve,
            threads + _SPARE_THREADS,
            limits,
            self._count_refusal,
            lambda reason: metrics.count("connections_evicted", reason),
            _log_server_message,
        )
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
        """Requests without a whole answer, those waiting for a thread included."""
        return self._open + self._server.requests.qsize + self._server.unsent_replies

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
            *self._retry_headers(reply),
        ]
        if self._must_close(reply):
            headers.append(("Connection", "close"))
            environ[REQUEST_KEY].close_connection = True
        start_response(f"{reply.status} {_REASONS.get(reply.status, 'Status')}", headers)
        return [body]

    def _retry_headers(self, reply: HttpReply) -> list[tuple[str, str]]:
        error = reply.body if isinstance(reply.body, dict) else {}
        if error.get("retry_after") is None:
            return []
        return [("Retry-After", f"{error['retry_after']:.3f}")]

    def _must_close(self, reply: HttpReply) -> bool:
        """Return whether the connection can't be used again.

        After a body that was not read in full, the rest of it would be taken for the next request.
        """
        error = reply.body if isinstance(reply.body, dict) else {}
        if self._gate.closing or self._gate.refusing:
            return True
        return error.get("code") in _CLOSING_CODES

    def _reply(self, environ: Environ) -> HttpReply:
        try:
            request = self._read(environ)
            handler, request.names = self._routes.find(request.method, request.path)
            if self._gate.refusing and request.method != "GET":
                raise InstanceBusy("The instance is shutting down.", retry_after=_RETRY_AFTER)
            return self._handle(handler, request)
        except LimpethollowError as error:
            self._count_refusal(error, environ.get("PATH_INFO", ""))
            return HttpReply(error.to_body(), error.status)
        except Exception as error:
            self._metrics.count("requests_refused", InternalError.code)
            events.UNEXPECTED_ERROR.log(where="listener", error=repr(error), exc_info=True)
            return HttpReply(InternalError("The instance has a defect.").to_body(), 500)

    def _handle(self, handler: Any, request: HttpRequest) -> HttpReply:
        with self._lock:
            if self._handling >= self._threads:
                raise InstanceBusy("The instance has no thread free.", retry_after=_RETRY_AFTER)
            self._handling += 1
        try:
            return handler(self._context, request)
        finally:
            with self._lock:
                self._handling -= 1

    def _read(self, environ: Environ) -> HttpRequest:
        length = _body_length(environ)
        if length > MAX_BODY_BYTES:
            raise TooLarge(f"The body has {length} bytes; {MAX_BODY_BYTES} are allowed.")
        body = self._read_body(environ, length) if length else b""
        return HttpRequest(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            authorization=environ.get("HTTP_AUTHORIZATION"),
            body=body,
            connection=environ[REQUEST_KEY].conn.socket,
        )

    def _read_body(self, environ: Environ, length: int) -> bytes:
        body = environ["wsgi.input"].read(length)
        if len(body) != length:
            environ[REQUEST_KEY].close_connection = True
            raise BadRequest("The body is shorter than its Content-Length.")
        return body

    def _count_refusal(self, error: LimpethollowError, path: str = "") -> None:
        self._metrics.count("requests_refused", error.code)
        events.REQUEST_REFUSED.log(code=error.code, path=path)


def _body_length(environ: Environ) -> int:
    """Return the body's length as its header states it.

    Raises:
        BadFraming: The header is not a number, or the body is chunked.
    """
    if environ.get("HTTP_TRANSFER_ENCODING"):
        raise BadFraming("The body is chunked.", remedy="Send it with a Content-Length.")
    length = environ.get("CONTENT_LENGTH") or "0"
    if not (length.isascii() and length.isdigit()):
        raise BadFraming("The Content-Length header is not a number.")
    return int(length)


def _log_server_message(message: str = "", level: int = 20, traceback: bool = False) -> None:
    events.HTTP_LIBRARY_MESSAGE.log(text=message, exc_info=traceback)
