"""A caller's connection: reads whole requests and writes whole replies, one after the other."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import httptools
import msgspec

from limpethollow_node.engine.connection.listeners import BACKLOG
from limpethollow_node.engine.connection.sockets import round_trip, set_probes
from limpethollow_node.engine.messages import REASONS, Headers, Reply, Request
from limpethollow_policy.version.routes import CallerLimits
from limpethollow_wire.exceptions import (
    BadRequest,
    HeadersTooLarge,
    LimpethollowError,
    SlowSender,
    TooLarge,
)

# Requests that a caller may send ahead on one connection before it is read no further.
_MAX_AHEAD = 8
# A caller that doesn't read its answers is cut off once this much waits for it.
_MAX_UNREAD_BYTES = 4 * 1024 * 1024

Handler = Callable[["Exchange"], None]


class Exchange:
    """One request of a caller, until it is answered or the caller is gone."""

    __slots__ = ("_connection", "arrived_at", "on_gone", "request")

    def __init__(self, connection: "CallerConnection", request: Request, arrived_at: float) -> None:
        self._connection = connection
        self.request = request
        self.arrived_at = arrived_at
        self.on_gone: Callable[[], None] | None = None

    @property
    def round_trip(self) -> float | None:
        """Return the seconds from here to the caller and back; None where they aren't known."""
        return self._connection.round_trip

    @property
    def caller_host(self) -> str | None:
        """Return the caller's IP address; None where the connection is gone."""
        return self._connection.peer_host

    @property
    def is_first(self) -> bool:
        """Return whether the connection was opened for this request."""
        return self._connection.requests == 1

    def respond(self, reply: Reply) -> None:
        """Send the answer."""
        self.on_gone = None
        self._connection.finish(self, reply)


class CallerConnection(asyncio.Protocol):
    """Parses requests and keeps a caller to its limits.

    Args:
        server: What all connections of one listener share.
    """

    __slots__ = (
        "_ahead",
        "_body",
        "_body_bytes",
        "_current",
        "_failed",
        "_head_bytes",
        "_headers",
        "_in_head",
        "_loop",
        "_parser",
        "_refusal",
        "_server",
        "_target",
        "_transport",
        "idle_since",
        "message_since",
        "peer_host",
        "requests",
        "round_trip",
    )

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._ahead: deque[Request] = deque()
        self._current: Exchange | None = None
        self._refusal: LimpethollowError | None = None
        self._failed = False
        self._in_head = False
        self._head_bytes = 0
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.idle_since = self._loop.time()
        self.message_since: float | None = None
        self.requests = 0
        self.round_trip: float | None = None
        self.peer_host: str | None = None

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self._current is not None or self.message_since is not None or bool(self._ahead)

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of an answer still waits for the caller to read."""
        return self._transport.get_write_buffer_size() > 0

    def finish(self, exchange: Exchange, reply: Reply) -> None:
        """Write the answer to the current request and take up the next one."""
        if exchange is not self._current:
            return
        self._current = None
        last = not exchange.request.keep_alive or self._server.leaving and not self._ahead
        self._write(reply, close=last, head=exchange.request.method == b"HEAD")
        self.idle_since = self._loop.time()
        if not last:
            self._next()

    def close_idle(self) -> None:
        """Close a connection on which nothing is under way."""
        if not self.busy:
            self._transport.close()

    def check_time(self, now: float) -> None:
        """Enforce the time limits; called about once a second."""
        limits = self._server.limits
        if self._transport.get_write_buffer_size() > _MAX_UNREAD_BYTES:
            self._transport.abort()
        elif self.message_since is not None and now > self.message_since + limits.header_timeout:
            self._refuse(SlowSender("The request took too long to arrive."))
        elif not self.busy and now > self.idle_since + limits.idle_timeout:
            self._transport.close()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        set_probes(sock)
        self.round_trip = round_trip(sock)
        self.peer_host = (transport.get_extra_info("peername") or (None,))[0]
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Read a piece of a request."""
        if self._failed:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(BadRequest("Upgrades are not offered."))
        except httptools.HttpParserError as error:
            if not self._failed:
                self._refuse(BadRequest(f"The bytes are no HTTP request ({error})."))
        if self._in_head:
            self._head_bytes += len(data)
        if self._in_head and self._head_bytes > self._server.limits.header_bytes:
            self._refuse(HeadersTooLarge("The headers are too long."))

    def eof_received(self) -> bool:
        """Treat a caller that stops sending as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for a caller that is gone."""
        self._server.connections.discard(self)
        exchange, self._current = self._current, None
        self._ahead.clear()
        if exchange is not None and exchange.on_gone is not None:
            exchange.on_gone()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._in_head = True
        self._head_bytes = 0
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self.message_since = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Keep a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the headers; ask for the body where the caller waits to be asked."""
        self._in_head = False
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._target) > self._server.limits.header_bytes:
            self._refuse(HeadersTooLarge("The headers are too long."))
            return
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length" and int(value or 0) > self._server.limits.body_bytes:
                self._refuse(TooLarge("The body is too long."))
            elif lower == b"expect" and self._current is None and not self._ahead:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(TooLarge("The body is too long."))
        elif not self._failed:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Take up a whole request, or let it wait for the ones before it."""
        self.message_since = None
        if self._failed:
            return
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        self._ahead.append(request)
        if len(self._ahead) > _MAX_AHEAD:
            self._transport.pause_reading()
        if self._current is None:
            self._next()

    def _next(self) -> None:
        if not self._ahead:
            if self._refusal is not None:
                self._send_refusal()
            return
        request = self._ahead.popleft()
        if len(self._ahead) <= _MAX_AHEAD and not self._transport.is_closing():
            self._transport.resume_reading()
        self.requests += 1
        self._current = Exchange(self, request, self._loop.time())
        self._server.handler(self._current)

    def _refuse(self, error: LimpethollowError) -> None:
        """Answer with an error, after the requests before it, and read nothing more."""
        if self._failed:
            return
        self._failed = True
        self.message_since = None
        self._refusal = error
        self._server.refused(error)
        if self._current is None and not self._ahead:
            self._send_refusal()

    def _send_refusal(self) -> None:
        error, self._refusal = self._refusal, None
        self._write(error_reply(error), close=True)

    def _write(self, reply: Reply, *, close: bool, head: bool = False) -> None:
        if self._transport.is_closing():
            return
        reason = REASONS.get(reply.status, b"")
        lines = [b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)]
        lines += [b"%b: %b\r\n" % header for header in reply.headers]
        if reply.status not in (204, 304):
            lines.append(b"Content-Length: %d\r\n" % len(reply.body))
        lines.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        if not head:
            lines.append(reply.body)
        self._transport.write(b"".join(lines))
        if close:
            self._transport.close()


class CallerServer:
    """A listener and the connections that came in on it.

    Args:
        handler: Called with each request.
        refused: Called with each error that was answered before a request was whole.
    """

    __slots__ = ("_listener", "connections", "handler", "leaving", "limits", "refused")

    # How often connections are looked at for time limits; limits are seconds long.
    SWEEP_SECONDS = 1.0

    def __init__(self, handler: Handler, refused: Callable[[LimpethollowError], None]) -> None:
        self.handler = handler
        self.refused = refused
        self.limits = CallerLimits()
        self.leaving = False
        self.connections: set[CallerConnection] = set()
        self._listener: asyncio.Server | None = None

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of an answer still waits for its caller to read."""
        return any(connection.has_unsent for connection in self.connections)

    @property
    def is_quiet(self) -> bool:
        """Return whether nothing is read, answered or sent."""
        return not self.has_unsent and not any(c.busy for c in self.connections)

    async def serve(self, listener: socket.socket) -> None:
        """Start to accept connections, first those that wait in the listener's queue."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: CallerConnection(self), sock=listener, backlog=BACKLOG
        )

    def sweep(self, now: float) -> None:
        """Enforce the callers' time limits."""
        for connection in tuple(self.connections):
            connection.check_time(now)

    def stop_listening(self) -> None:
        """Accept no more connections; the open ones stay."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close all connections on which nothing is under way."""
        for connection in tuple(self.connections):
            connection.close_idle()


def error_reply(error: LimpethollowError, headers: Headers | None = None) -> Reply:
    """Return the reply that tells a caller of an error."""
    found = [(b"Content-Type", b"application/json"), *(headers or [])]
    if error.retry_after is not None:
        found.append((b"Retry-After", b"%.3f" % error.retry_after))
    return Reply(error.status, found, msgspec.json.encode(error.to_body()))
