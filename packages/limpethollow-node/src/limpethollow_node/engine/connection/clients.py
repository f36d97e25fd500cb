"""HTTP client connection without pipelining: one request at a time."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import lru_cache

import httptools

from limpethollow_node.engine.connection.carried import CarriedRequests
from limpethollow_node.engine.connection.replylimits import (
    HEADER_BYTES,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    PIECE_BYTES,
    SEARCHER_LIMITS,
    ReplyLimit,
    ReplyLimits,
)
from limpethollow_node.engine.connection.sockets import enable_keepalive
from limpethollow_node.engine.messages import Headers, Reply
from limpethollow_policy.request.permits import always

# No request asks for another protocol, so 101 is neither.
_INTERIM_STATUSES = frozenset({100, *range(102, 200)})
_FINAL_STATUSES = range(200, 600)
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Number of distinct `Keep-Alive` values whose parsed timeout is cached.
_TIMEOUT_CACHE_SIZE = 64

# A request up to this size fits into the socket's send buffer, which is empty before each request.
# Of a longer one, the end is held back until the rest has left this process.
_HELD_BACK_ABOVE = 8 * 1024
_HELD_BACK_BYTES = 64
# A long request is handed to the transport in pieces of this size, each once the one before has
# left this process: the transports of asyncio copy what the socket doesn't take, up to Python 3.11.
_SEND_BYTES = 64 * 1024

OnReply = Callable[[Reply], None]
OnBroken = Callable[[Exception], None]


class BrokenConnection(ConnectionError):
    """The connection closed, or invalid data arrived, before a complete reply was read."""


class LostConnection(BrokenConnection):
    """The connection closed before the first byte of the reply arrived."""


class ReplyCutOff(BrokenConnection):
    """The reply exceeded a limit and the connection was closed.

    Attributes:
        limit: The limit.
    """

    def __init__(self, limit: ReplyLimit) -> None:
        super().__init__(f"The reply exceeded the limit on its {limit.value}.")
        self.limit = limit


class ClientConnection(asyncio.Protocol):
    """Sends a request, reads the complete reply, and reports whether the connection is reusable.

    Args:
        on_idle: Called with this connection when it is ready for another request.
        on_closed: Called with this connection once it is closed.
        limits: Limits on replies; on exceeding one, the connection is closed.

    Attributes:
        idle_since: Monotonic time in seconds since which no request is in flight.
        idle_timeout: Idle seconds after which the server closes it; None if it didn't say.
        carried: The requests already answered on it.
        reply_started: Whether a byte of the reply to the last request has arrived.
        was_used: Whether a request was ever sent on it.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_broken",
        "_headers",
        "_in_head",
        "_is_head",
        "_limits",
        "_on_broken",
        "_on_closed",
        "_on_idle",
        "_on_reply",
        "_parser",
        "_transport",
        "_unsent",
        "_unsent_bytes",
        "_ends_with_connection",
        "_is_pooled",
        "_may_send",
        "_shared_bytes",
        "_wire_bytes",
        "carried",
        "idle_since",
        "idle_timeout",
        "reply_started",
        "was_used",
    )

    def __init__(
        self,
        on_idle: Callable[["ClientConnection"], None],
        on_closed: Callable[["ClientConnection"], None],
        limits: ReplyLimits = SEARCHER_LIMITS,
    ) -> None:
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._limits = limits
        self._transport: asyncio.Transport | None = None
        self._on_reply: OnReply | None = None
        self._on_broken: OnBroken | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        # A list of the pieces would take 50 bytes of memory for a chunk of two bytes.
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._shared_bytes = 0
        self._is_pooled = False
        self._in_head = True
        self._wire_bytes = 0
        self._is_head = False
        self._ends_with_connection = False
        self._broken = False
        self._unsent: deque[memoryview] = deque()
        self._unsent_bytes = 0
        self._may_send = always
        self.reply_started = False
        self.idle_since = 0.0
        self.idle_timeout: float | None = None
        self.carried = CarriedRequests()
        self.was_used = False

    @property
    def usable(self) -> bool:
        """Return whether the connection is open, idle and reusable."""
        transport = self._transport
        return (
            self._on_reply is None
            and not self._broken
            and transport is not None
            and not transport.is_closing()
        )

    def send(
        self,
        data: bytes,
        on_reply: OnReply,
        on_broken: OnBroken,
        *,
        head: bool,
        body: bytes = b"",
        may_send: Callable[[], bool] = always,
    ) -> None:
        """Send a complete request.

        Args:
            data: Request line and headers.
            on_reply: Called with the complete reply.
            on_broken: Called with the error if no complete reply arrives.
            head: Whether the method is HEAD; replies to it have no body.
            body: The body. A long one is not copied, since a search sends it to all its shards.
            may_send: Returns whether the request is still allowed. It is asked again before the end
                of a long request is written, which may be after a suspension of the machine.
        """
        self._on_reply = on_reply
        self._on_broken = on_broken
        self._is_head = head
        self._in_head = True
        self._wire_bytes = 0
        self.reply_started = False
        self.was_used = True
        size = len(data) + len(body)
        if size <= _HELD_BACK_ABOVE:
            self._transport.write(data + body)
            return
        self._may_send = may_send
        self._unsent.extend((memoryview(data), memoryview(body)))
        self._unsent_bytes = size
        self._transport.set_write_buffer_limits(high=0)
        if self._write_pieces():
            # Later, so that the caller of this method has returned if the request fails.
            asyncio.get_running_loop().call_soon(self.resume_writing)

    def close(self) -> None:
        """Close the connection without calling back for the current request."""
        self._on_reply = self._on_broken = None
        self._broken = True
        self._release_memory()
        if self._transport is not None:
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keep-alive probes."""
        self._transport = transport
        enable_keepalive(transport.get_extra_info("socket"))

    def resume_writing(self) -> None:
        """Go on with a long request once the written part of it has left this process."""
        if self._unsent_bytes and not self._broken and self._write_pieces():
            self._write_end()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if len(data) <= PIECE_BYTES:
            self._receive(data)
            return
        for start in range(0, len(data), PIECE_BYTES):
            if self._broken:
                return
            self._receive(data[start : start + PIECE_BYTES])

    def _receive(self, data: bytes) -> None:
        if self._on_reply is None:
            # No request is in flight: this is a duplicate reply, or bytes after a complete one.
            # Later data could be mistaken for a reply, so the connection is not reused.
            self._fail(BrokenConnection("The server sent data without a request in flight."))
            return
        self.reply_started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(BrokenConnection(f"The server sent an invalid HTTP reply ({error})."))
            return
        if self._on_reply is not None:
            self._wire_bytes += len(data)
            self._check_limits()

    def _check_limits(self) -> None:
        """Check an incomplete reply after a piece of it.

        The parser reports a header or a chunk line once it is complete, so bytes are counted as
        they arrive.
        """
        if self._in_head:
            if self._wire_bytes > MAX_HEAD_BYTES or len(self._headers) > MAX_HEADERS:
                self._fail(ReplyCutOff(ReplyLimit.HEAD))
                return
        elif (
            self._wire_bytes - self._body_bytes > MAX_FRAMING_BYTES
            or len(self._headers) > MAX_HEADERS
        ):
            self._fail(ReplyCutOff(ReplyLimit.FRAMING))
            return
        held = self._wire_bytes + HEADER_BYTES * len(self._headers)
        if held > self._limits.memory.own_bytes:
            self._take_memory(held)

    def eof_received(self) -> bool:
        """Complete a reply that is delimited by the end of the connection."""
        if self._ends_with_connection and self._on_reply is not None:
            self._broken = True
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight, if any."""
        if self.reply_started:
            self._fail(BrokenConnection(f"The connection closed in the middle of a reply ({exc})."))
        else:
            self._fail(LostConnection(f"The connection closed before a reply ({exc})."))
        self._on_closed(self)
        # The parser refers to this object; without it, the memory is released immediately.
        self._parser = None

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a reply; an unexpected second one makes the connection unusable."""
        if self._on_reply is None:
            self._broken = True
            return
        self._headers = []
        self._body = b""
        self._body_bytes = 0
        self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the reply's body is delimited."""
        if self._on_reply is None:
            return
        status = self._parser.get_status_code()
        if status in _INTERIM_STATUSES:
            return
        if status not in _FINAL_STATUSES:
            self._fail(BrokenConnection(f"The server sent the invalid status {status:03}."))
            return
        self._in_head = False
        if self._is_head:
            # The parser would wait for a body that is never sent, so the connection is not reused.
            self._broken = True
            self._deliver()
            return
        if status in _STATUSES_WITHOUT_BODY:
            return
        self._ends_with_connection = True
        for name, value in self._headers:
            lower = name.lower()
            if lower in _FRAMING_HEADERS:
                self._ends_with_connection = False
                if lower == b"content-length" and int(value or 0) > self._limits.body_bytes:
                    self._fail(ReplyCutOff(ReplyLimit.BODY))
                    return

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        if self._on_reply is None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.own_bytes and not self._take_shared():
            self._fail(ReplyCutOff(ReplyLimit.BODY))
        elif not self._body:
            self._body = body
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body

    def on_message_complete(self) -> None:
        """Deliver a complete reply; interim ones are skipped."""
        if self._on_reply is None or self._parser.get_status_code() in _INTERIM_STATUSES:
            return
        if not self._parser.should_keep_alive():
            self._broken = True
        self._deliver()

    def _write_pieces(self) -> bool:
        """Write as much as the socket takes; return whether all but the end has left."""
        while not self._transport.get_write_buffer_size():
            left = self._unsent_bytes - _HELD_BACK_BYTES
            if left <= 0 or self._transport.is_closing():
                return left <= 0
            for piece in self._take_unsent(min(left, _SEND_BYTES)):
                self._transport.write(piece)
        return False

    def _take_unsent(self, count: int) -> list[memoryview]:
        """Remove and return bytes from the start of what is not yet written."""
        self._unsent_bytes -= count
        taken: list[memoryview] = []
        while count:
            first = self._unsent.popleft()
            if len(first) > count:
                self._unsent.appendleft(first[count:])
            taken.append(first[:count])
            count -= len(taken[-1])
        return taken

    def _write_end(self) -> None:
        if self._may_send():
            self._transport.write(b"".join(self._take_unsent(self._unsent_bytes)))
        else:
            self._fail(BrokenConnection("The request was no longer allowed while it was sent."))

    def _deliver(self) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, bytes(self._body))
        on_reply, self._on_reply, self._on_broken = self._on_reply, None, None
        if self._unsent_bytes or self._transport.get_write_buffer_size():
            # The server replied before it had read the whole request, so it would parse the rest of
            # the body as the next request.
            self._broken = True
        self._release_memory()
        self.idle_timeout = _keep_alive_timeout(reply.header(b"keep-alive"))
        # Deferred until the parser has returned, so that bytes after the reply are detected before
        # the connection is offered for another request.
        asyncio.get_running_loop().call_soon(self._release)
        on_reply(reply)

    def _release(self) -> None:
        if self._broken:
            self._transport.abort()
        elif not self._transport.is_closing():
            self._on_idle(self)

    def _fail(self, error: BrokenConnection) -> None:
        self._broken = True
        on_broken, self._on_reply, self._on_broken = self._on_broken, None, None
        self._release_memory()
        if self._transport is not None:
            self._transport.abort()
        if on_broken is not None:
            on_broken(error)

    def _take_shared(self) -> bool:
        """Take memory for the body beyond the reply's own part; return whether there is enough."""
        needed = self._body_bytes - self._limits.own_bytes - self._shared_bytes
        if self._body_bytes > self._limits.body_bytes or not self._limits.shared.take(needed):
            return False
        self._shared_bytes += needed
        return True

    def _take_memory(self, held: int) -> None:
        """Take memory for the reply from the pool, for which replies may have to be cut off."""
        self._is_pooled = True
        now = asyncio.get_running_loop().time()
        for evicted in self._limits.memory.resize(self, held, now):
            evicted._fail(ReplyCutOff(ReplyLimit.MEMORY))

    def _release_memory(self) -> None:
        if self._is_pooled:
            self._limits.memory.release(self)
            self._is_pooled = False
        self._limits.shared.free(self._shared_bytes)
        self._shared_bytes = 0
        self._headers = []
        self._body = b""
        if self._unsent:
            self._unsent.clear()
            self._unsent_bytes = 0


@lru_cache(_TIMEOUT_CACHE_SIZE)
def _keep_alive_timeout(value: bytes | None) -> float | None:
    """Return the idle timeout in seconds from a `Keep-Alive` value; None if it has none."""
    if value is None:
        return None
    for field in value.split(b","):
        name, _, number = field.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
