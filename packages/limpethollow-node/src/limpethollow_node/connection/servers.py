"""The HTTP server library, made to answer its own refusals with typed JSON errors."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from cheroot import wsgi
from cheroot.server import HeaderReader, HTTPRequest

from limpethollow_node.connection.connection_loops import (
    IDLE_SECONDS,
    ConnectionLoop,
    Evicted,
    LoopConnection,
    send_all,
)
from limpethollow_policy.connection.listener_limits import ListenerLimits
from limpethollow_wire.exceptions import (
    BadRequest,
    InstanceBusy,
    InternalError,
    LimpethollowError,
    SlowSender,
    TooLarge,
)
from limpethollow_wire.limits import MAX_HEADER_BYTES

REQUEST_KEY = "limpethollow.request"

# Connections over the limit wait here in turn; where this queue overflows, it is luck who gets in.
_BACKLOG = 1024
_PARSING_THREADS = 2
_LAST_SEND_SECONDS = 0.5
_REFUSALS: dict[str, type[LimpethollowError]] = {
    "408": SlowSender,
    "413": TooLarge,
    "414": TooLarge,
    "500": InternalError,
    "503": InstanceBusy,
}

Refused = Callable[[LimpethollowError], None]


class _HeadersWithoutExpect(HeaderReader):
    """Reads the headers of a request whose `Expect` header was answered already."""

    def _allow_header(self, key_name: bytes) -> bool:
        return key_name != b"Expect"


class TypedRequest(HTTPRequest):
    """Parses a request and refuses with a typed JSON error."""

    def parse_request(self) -> None:
        """Read the request line and the headers."""
        if self.conn.is_late:
            self.simple_response("408 Request Timeout")
            return
        if self.conn.is_told_to_continue:
            self.header_reader = _HeadersWithoutExpect()
        with self.server.parsing:
            super().parse_request()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Write a refusal of the library's own as a typed JSON error, and close."""
        if self.sent_headers:
            return
        self.sent_headers = True
        self.close_connection = True
        error = _error_for(str(status), str(msg))
        self.server.refused(error)
        try:
            self.conn.wfile.write(_refusal(str(status), error))
        except OSError:
            return


class TypedConnection(LoopConnection):
    """A connection whose requests are typed."""

    RequestHandlerClass = TypedRequest


class TypedGateway(wsgi.Gateway_10):
    """Hands the library's request to the application, which bounds its reading and may close it."""

    def get_environ(self) -> dict[str, Any]:
        """Return the request's environment."""
        environ = super().get_environ()
        environ[REQUEST_KEY] = self.req
        return environ


class TypedServer(wsgi.Server):
    """A WSGI server with bounds and typed refusals.

    Args:
        bind: Host and port.
        application: The WSGI application.
        threads: Requests read and handled at once.
        limits: What the clients may hold.
        refused: Told of every refusal that the library itself makes.
        evicted: Told why a connection was closed to make room.
        log: Told of messages of the library.
    """

    ConnectionClass = TypedConnection

    def __init__(
        self,
        bind: tuple[str, int],
        application: Any,
        threads: int,
        limits: ListenerLimits,
        refused: Refused,
        evicted: Evicted,
        log: Callable[..., None],
    ) -> None:
        super().__init__(
            bind,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=_BACKLOG,
            timeout=IDLE_SECONDS,
        )
        self.gateway = TypedGateway
        self.max_request_header_size = MAX_HEADER_BYTES
        self.error_log = log
        self.refused = refused
        # Parsing never waits, so more threads at it would only keep those that drive searches from
        # the interpreter.
        self.parsing = threading.BoundedSemaphore(_PARSING_THREADS)
        self._limits = limits
        self._evicted = evicted
        self._bind_error: OSError | None = None

    @property
    def unsent_replies(self) -> int:
        """Replies that their callers have not taken in full."""
        return self._connections.unsent_replies

    def prepare(self) -> None:
        """Bind the socket and start the worker threads.

        Raises:
            OSError: The socket can't be bound.
        """
        try:
            super().prepare()
        except OSError as error:
            # The library's own error has only a text.
            raise self._bind_error or error from None
        self._connections._selector.close()
        error = InstanceBusy("The instance is shutting down.")
        refusal = _refusal("503 Service Unavailable", error)
        self._connections = ConnectionLoop(self, self._limits, self._evicted, refusal)

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:
        """Bind the socket, and keep the error if that fails."""
        try:
            return super().bind(family, type, proto)
        except OSError as error:
            self._bind_error = error
            raise

    def put_conn(self, conn: TypedConnection) -> None:
        """Take a connection back from a worker thread; while stopping, send its reply and close."""
        if self.ready:
            self._connections.put(conn)
            return
        with contextlib.suppress(OSError):
            send_all(conn, time.monotonic() + _LAST_SEND_SECONDS)
        conn.close()


def _refusal(status: str, error: LimpethollowError) -> bytes:
    body = json.dumps(error.to_body()).encode()
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode("latin-1") + body


def _error_for(status: str, message: str) -> LimpethollowError:
    kind = _REFUSALS.get(status[:3], BadRequest)
    return kind(f"{message.rstrip('.') or status[4:]}.")
