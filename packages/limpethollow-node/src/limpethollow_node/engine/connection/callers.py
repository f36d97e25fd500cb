"""HTTP server side: reads complete requests from callers and writes complete replies, in order."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import msgspec

from limpethollow_node.engine.connection.callerresources import CallerResources
from limpethollow_node.engine.connection.listeners import BACKLOG, RECEIVE_BUFFER_BYTES
from limpethollow_node.engine.connection.requestreader import RequestReader
from limpethollow_node.engine.connection.sockets import enable_keepalive, round_trip
from limpethollow_node.engine.messages import REASON_PHRASES, Headers, Reply, Request
from limpethollow_policy.process.callerbounds import (
    OWN_BYTES,
    ListenerKind,
    Standing,
    connections_to_close,
)
from limpethollow_policy.version.routes import CallerLimits
from limpethollow_wire.exceptions import InstanceBusy, LimpethollowError, SlowSender

# Pipelined requests that may be queued on one connection before reading from it is paused.
_MAX_PIPELINED = 8
# Requests of one connection that are parsed before others get their turn.
_REQUESTS_PER_TURN = 8
# A longer body is written apart from its head, since joining them would copy it.
_MAX_JOINED_BYTES = 16 * 1024
# `Retry-After` in seconds of a request that was refused because too many were being received.
_RETRY_SECONDS = 1.0

Handler = Callable[["Exchange"], None]


class Exchange:
    """One request of a caller, until it is answered or the caller disconnects."""

    __slots__ = ("_connection", "arrived_at", "on_disconnect", "request")

    def __init__(self, connection: "CallerConnection", request: Request, arrived_at: float) -> None:
        self._connection = connection
        self.request = request
        self.arrived_at = arrived_at
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def round_trip(self) -> float | None:
        """Return the round-trip time to the caller in seconds; None if it is unknown."""
        return self._connection.round_trip

    @property
    def caller_host(self) -> str | None:
        """Return the caller's IP address; None if the connection was already closed."""
        return self._connection.peer_host

    @property
    def is_first(self) -> bool:
        """Return whether the connection was opened for this request."""
        return self._connection.requests == 1

    def respond(self, reply: Reply) -> None:
        """Send the reply."""
        self.on_disconnect = None
        self._connection.finish(self, reply)


class CallerConnection(asyncio.Protocol):
    """Reads a caller's requests, has them handled in order, and writes the replies.

    Args:
        server: State shared by all connections of one listener.
    """

    __slots__ = (
        "_current",
        "_failed",
        "_loop",
        "_memory_of_current",
        "_memory_of_requests",
        "_pending_error",
        "_pipelined",
        "_reader",
        "_resume_scheduled",
        "_server",
        "_transport",
        "_unparsed",
        "_unread",
        "_used",
        "idle_since",
        "message_started_at",
        "peer_host",
        "requests",
        "round_trip",
    )

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader()
        self._pipelined: deque[tuple[Request, int]] = deque()
        self._current: Exchange | None = None
        self._memory_of_current = 0
        self._memory_of_requests = 0
        self._used = 0
        self._unparsed = b""
        self._resume_scheduled = False
        # Whether the caller has not read most of its replies.
        self._unread = False
        self._pending_error: LimpethollowError | None = None
        self._failed = False
        self.idle_since = self._loop.time()
        self.message_started_at: float | None = None
        self.requests = 0
        self.round_trip: float | None = None
        self.peer_host: str | None = None

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return (
            self._current is not None
            or self.message_started_at is not None
            or bool(self._pipelined)
            or bool(self._unparsed)
        )

    @property
    def has_unsent(self) -> bool:
        """Return whether reply bytes are still buffered because the caller hasn't read them."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Return the reply bytes that are still buffered."""
        return self._transport.get_write_buffer_size()

    @property
    def is_closing(self) -> bool:
        """Return whether the connection closes once all replies are read."""
        return self._transport.is_closing()

    @property
    def standing(self) -> Standing:
        """Return what the connection does, which decides whether it may be closed for others."""
        if self._current is not None:
            return Standing.AT_WORK
        if self.has_unsent:
            return Standing.UNREAD
        return Standing.RECEIVING if self.busy else Standing.IDLE

    @property
    def standing_since(self) -> float:
        """Return the monotonic time in seconds at which the standing began."""
        return self.idle_since if self.message_started_at is None else self.message_started_at

    def finish(self, exchange: Exchange, reply: Reply) -> None:
        """Write the reply to the current request and start to handle the next one."""
        if exchange is not self._current:
            return
        self._current = None
        self._memory_of_requests -= self._memory_of_current
        last = not exchange.request.keep_alive or (
            self._server.leaving and not self._pipelined and not self._unparsed
        )
        self._write(reply, close=last, head=exchange.request.method == b"HEAD")
        self.idle_since = self._loop.time()
        if not last:
            self._handle_next()
        self._account()

    def close_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self.busy:
            self._transport.close()

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, and those sent behind it."""
        self._reject(
            InstanceBusy("Too many requests are being received.", retry_after=_RETRY_SECONDS)
        )

    def abort(self) -> None:
        """Close the connection at once, and release the replies that are buffered."""
        self._transport.abort()

    def close_for_others(self) -> None:
        """Close a connection that has no request at work."""
        if self.has_unsent:
            self.abort()
        elif self.busy:
            self.refuse_incomplete()
        else:
            self._transport.close()

    def enforce_time_limits(self, now: float) -> None:
        """Enforce the time limits; called about once per second."""
        limits = self._server.limits
        if (
            self.message_started_at is not None
            and now > self.message_started_at + limits.header_timeout
        ):
            self._reject(SlowSender("The request was not received within the time limit."))
        elif not self.busy and now > self.idle_since + limits.idle_timeout:
            self._transport.close()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and read the caller's address and round-trip time."""
        self._transport = transport
        # Above this, replies count in the memory that all callers share, and no further request of
        # this caller is handled: a connection that may be aborted has none at work.
        transport.set_write_buffer_limits(high=OWN_BYTES)
        sock = transport.get_extra_info("socket")
        enable_keepalive(sock)
        self.round_trip = round_trip(sock)
        self.peer_host = (transport.get_extra_info("peername") or (None,))[0]
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them until there is room for further requests."""
        if self._failed:
            return
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)
        self._account()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Handle no further request until the caller has read its replies."""
        self._unread = True

    def resume_writing(self) -> None:
        """Handle the next request, since the caller has read its replies."""
        self._unread = False
        self._server.resources.hold_unsent(self, self.unsent_bytes)
        if self._current is None and not self._transport.is_closing():
            self._handle_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request of a caller that disconnected."""
        self._server.connections.discard(self)
        self._server.resources.release(self)
        exchange, self._current = self._current, None
        self._pipelined.clear()
        self._unparsed = b""
        self._reader.close()
        if exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()

    @property
    def _may_parse(self) -> bool:
        return len(self._pipelined) < _MAX_PIPELINED and not self._unread

    def _parse(self, data: bytes) -> None:
        """Parse data until it ends or no further request may be queued; keep the rest."""
        position, completed = 0, 0
        while position < len(data) and not self._failed and not self._transport.is_closing():
            if not self._may_parse or completed >= _REQUESTS_PER_TURN:
                self._keep_unparsed(data[position:])
                return
            error: LimpethollowError | None = None
            try:
                position += self._reader.read(data, position, self._server.limits)
            except LimpethollowError as raised:
                error = raised
            for request, memory in self._reader.take():
                completed += 1
                self.message_started_at = None
                self._enqueue(request, memory)
            if error is not None:
                self._reject(error)
                return
            self._note_progress()
            if position < len(data):
                self._account()

    def _note_progress(self) -> None:
        """Note the start of a request; answer `Expect` with `100 Continue`."""
        if not self._reader.is_reading or self._failed:
            return
        if self.message_started_at is None:
            self.message_started_at = self._loop.time()
        if self._reader.expects_continue:
            self._reader.expects_continue = False
            if self._current is None and not self._pipelined:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _keep_unparsed(self, data: bytes) -> None:
        if not self._unparsed:
            self._transport.pause_reading()
        self._unparsed = data
        if self._may_parse:
            self._schedule_parsing()

    def _schedule_parsing(self) -> None:
        """Parse what was left in a later turn of the event loop, so that others get theirs."""
        if self._unparsed and not self._resume_scheduled:
            self._resume_scheduled = True
            self._loop.call_soon(self._parse_rest)

    def _parse_rest(self) -> None:
        self._resume_scheduled = False
        if not self._unparsed or not self._may_parse or self._transport.is_closing():
            return
        data, self._unparsed = self._unparsed, b""
        self._transport.resume_reading()
        self._parse(data)
        self._account()

    def _account(self) -> None:
        """Account for the memory of all received bytes of this connection."""
        size = self._memory_of_requests + self._reader.memory
        if self._unparsed:
            size += len(self._unparsed) + RECEIVE_BUFFER_BYTES
        if size > OWN_BYTES or self._used > OWN_BYTES:
            self._used = size
            self._server.resources.hold_received(self, size, self._memory_of_requests)

    def _enqueue(self, request: Request, memory: int) -> None:
        """Handle a complete request, or queue it behind earlier ones."""
        self._memory_of_requests += memory
        self._pipelined.append((request, memory))
        if self._current is None:
            self._handle_next()

    def _handle_next(self) -> None:
        if self._unread or self._transport.is_closing():
            return
        self._schedule_parsing()
        if not self._pipelined:
            if self._pending_error is not None:
                self._send_pending_error()
            return
        request, self._memory_of_current = self._pipelined.popleft()
        self.requests += 1
        self._current = Exchange(self, request, self._loop.time())
        self._server.handler(self._current)

    def _reject(self, error: LimpethollowError) -> None:
        """Reply with an error once earlier requests are answered, and stop parsing."""
        if self._failed:
            return
        self._failed = True
        self.message_started_at = None
        self._reader.close()
        if self._unparsed:
            self._unparsed = b""
            if not self._transport.is_closing():
                # What still comes is discarded.
                self._transport.resume_reading()
        self._account()
        self._pending_error = error
        self._server.refused(error)
        if self._current is None and not self._pipelined:
            self._send_pending_error()

    def _send_pending_error(self) -> None:
        error, self._pending_error = self._pending_error, None
        self._write(error_reply(error), close=True)

    def _write(self, reply: Reply, *, close: bool, head: bool = False) -> None:
        if self._transport.is_closing():
            return
        reason = REASON_PHRASES.get(reply.status, b"")
        lines = [b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)]
        lines += [b"%b: %b\r\n" % header for header in reply.headers]
        if reply.status not in (204, 304):
            lines.append(b"Content-Length: %d\r\n" % len(reply.body))
        lines.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        body = b"" if head else reply.body
        if len(body) <= _MAX_JOINED_BYTES:
            lines.append(body)
            body = b""
        start = b"".join(lines)
        size = self.unsent_bytes + len(start) + len(body)
        if not self._server.resources.hold_unsent(self, size):
            return
        self._transport.write(start)
        if body:
            self._transport.write(body)
        if close:
            self._transport.close()


class CallerServer:
    """A listener and the connections accepted on it.

    Args:
        handler: Called with each request.
        refused: Called with each error that is sent before a request was complete.
        resources: What all callers' connections of the process use.
        kind: What the listener serves.
    """

    __slots__ = (
        "_kind",
        "_limits",
        "_listener",
        "connections",
        "handler",
        "leaving",
        "refused",
        "resources",
    )

    # Interval at which time limits are checked; the limits themselves are several seconds long.
    SWEEP_SECONDS = 1.0

    def __init__(
        self,
        handler: Handler,
        refused: Callable[[LimpethollowError], None],
        resources: CallerResources,
        kind: ListenerKind = ListenerKind.INTERNAL,
    ) -> None:
        self.handler = handler
        self.refused = refused
        self.resources = resources
        self._kind = kind
        self._limits = CallerLimits()
        self.leaving = False
        self.connections: set[CallerConnection] = set()
        self._listener: asyncio.Server | None = None

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        return self._limits

    @limits.setter
    def limits(self, limits: CallerLimits) -> None:
        self._limits = limits
        self.resources.set_limits(limits)

    @property
    def has_unsent(self) -> bool:
        """Return whether reply bytes are still buffered on any connection."""
        return any(connection.has_unsent for connection in self.connections)

    @property
    def all_idle(self) -> bool:
        """Return whether no connection is reading, answering or sending anything."""
        return not self.has_unsent and not any(c.busy for c in self.connections)

    async def serve(self, listener: socket.socket) -> None:
        """Start to accept connections, including those in the listener's backlog."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: CallerConnection(self), sock=listener, backlog=BACKLOG
        )

    def add(self, connection: CallerConnection) -> None:
        """Add a new connection; over the limit, close others or, if all are at work, this one."""
        limit = self.resources.bounds.connections(self._kind)
        if len(self.connections) >= limit:
            others = [
                (other, other.standing, other.standing_since)
                for other in self.connections
                if other.has_unsent or not other.is_closing
            ]
            closed = connections_to_close(others, limit)
            for other in closed or [connection]:
                self.resources.report_connections(self._kind, len(self.connections))
                other.close_for_others()
        self.connections.add(connection)

    def sweep(self, now: float) -> None:
        """Enforce the time limits on all connections."""
        for connection in tuple(self.connections):
            connection.enforce_time_limits(now)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in tuple(self.connections):
            connection.close_idle()


def error_reply(error: LimpethollowError, headers: Headers | None = None) -> Reply:
    """Return the reply that reports an error to a caller."""
    found = [(b"Content-Type", b"application/json"), *(headers or [])]
    if error.retry_after is not None:
        found.append((b"Retry-After", b"%.3f" % error.retry_after))
    return Reply(error.status, found, msgspec.json.encode(error.to_body()))
