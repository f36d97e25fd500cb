"""The HTTP server library, made to answer its own refusals with typed JSON errors."""

import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

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

_SOCKET_TIMEOUT = 5
_BACKLOG = 128
_REFUSALS: dict[str, type[LimpethollowError]] = {
    "408": SlowSender,
    "413": TooLarge,
    "414": TooLarge,
    "500": InternalError,
    "503": InstanceBusy,
}

CallLater = Callable[[float, Callable[[], None]], None]
Refused = Callable[[LimpethollowError], None]


class ReadGuard:
    """Ends the reading of one request's bytes after a bound.

    A sender that drips a byte every few seconds never meets the socket's own timeout, which starts
    anew with every byte, and so holds a thread for as long as it likes; a few dozen of them stop
    the instance. The guard shuts the reading side of the socket down, so that the blocked read
    returns at once whatever the sender does.

    Args:
        sock: The connection's socket.
        seconds: The bound.
        call_later: Runs a callback at a monotonic second.
    """

    __slots__ = ("_lock", "_reading", "_socket", "expired")

    def __init__(self, sock: socket.socket, seconds: float, call_later: CallLater) -> None:
        self._socket = sock
        self._lock = threading.Lock()
        self._reading = True
        self.expired = False
        call_later(time.monotonic() + seconds, self._expire)

    def __enter__(self) -> "ReadGuard":
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._reading = False

    def _expire(self) -> None:
        with self._lock:
            if not self._reading:
                return
            self.expired = True
            try:
                self._socket.shutdown(socket.SHUT_RD)
            except OSError:
                return


class TypedRequest(HTTPRequest):
    """Parses a request under a time bound and refuses with a typed JSON error."""

    _guard: ReadGuard | None = None

    def parse_request(self) -> None:
        """Read the request line and the headers."""
        with self.server.guard(self.conn.socket) as self._guard:
            super().parse_request()
        if self._guard.expired and not self.ready:
            self.simple_response("408 Request Timeout")

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Write a refusal of the library's own as a typed JSON error, and close.

        A request cut off by the guard looks malformed to the parser; its real fault is named.
        """
        if self._guard is not None and self._guard.expired:
            status, msg = "408 Request Timeout", ""
        if self.sent_headers:
            return
        self.sent_headers = True
        self.close_connection = True
        error = _error_for(str(status), str(msg))
        self.server.refused(error)
        body = json.dumps(error.to_body()).encode()
        head = (
            f"{self.server.protocol} {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            return


class TypedConnection(HTTPConnection):
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
        read_seconds: Bound on the reading of one request's headers, and of its body.
        call_later: Runs a callback at a monotonic second.
        refused: Told of every refusal that the library itself makes.
        log: Told of messages of the library.
    """

    ConnectionClass = TypedConnection

    def __init__(
        self,
        bind: tuple[str, int],
        application: Any,
        threads: int,
        read_seconds: float,
        call_later: CallLater,
        refused: Refused,
        log: Callable[..., None],
    ) -> None:
        super().__init__(
            bind,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=_BACKLOG,
            timeout=_SOCKET_TIMEOUT,
        )
        self.gateway = TypedGateway
        self.max_request_header_size = MAX_HEADER_BYTES
        self.error_log = log
        self.refused = refused
        self._read_seconds = read_seconds
        self._call_later = call_later

    def guard(self, sock: socket.socket) -> ReadGuard:
        """Return a guard for reading from a connection."""
        return ReadGuard(sock, self._read_seconds, self._call_later)


def _error_for(status: str, message: str) -> LimpethollowError:
    kind = _REFUSALS.get(status[:3], BadRequest)
    return kind(f"{message.rstrip('.') or status[4:]}.")
