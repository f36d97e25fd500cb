"""One connection to a server, on which one request at a time is sent."""

import asyncio
from collections.abc import Callable
from functools import lru_cache

import httptools

from limpethollow_node.engine.connection.carried import CarriedRequests
from limpethollow_node.engine.connection.sockets import set_probes
from limpethollow_node.engine.messages import Headers, Reply

# A reply larger than this is given up on, so that one server can't fill the instance's memory.
MAX_REPLY_BYTES = 16 * 1024 * 1024
_NO_BODY = frozenset({204, 304})
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
# Different values of a header that servers send with each reply.
_KNOWN_TIMEOUTS = 64

OnReply = Callable[[Reply], None]
OnBroken = Callable[[Exception], None]


class BrokenConnection(ConnectionError):
    """The connection ended, or what came was no reply, before a whole reply was read."""


class LostConnection(BrokenConnection):
    """The connection ended before any byte of the reply to its request came."""


class ClientConnection(asyncio.Protocol):
    """Sends a request, reads the whole reply, and tells whether the connection may be kept.

    Args:
        on_idle: Called with this connection when it can take another request.
        on_closed: Called with this connection once it is closed.

    Attributes:
        idle_since: Monotonic second since which no request is under way.
        idle_timeout: Seconds after which the server closes it when idle; None where it didn't say.
        carried: The requests that it has carried.
        was_used: Whether a request was ever sent on it.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_broken",
        "_headers",
        "_is_head",
        "_on_broken",
        "_on_closed",
        "_on_idle",
        "_on_reply",
        "_parser",
        "_reply_begun",
        "_transport",
        "_until_close",
        "carried",
        "idle_since",
        "idle_timeout",
        "was_used",
    )

    def __init__(
        self,
        on_idle: Callable[["ClientConnection"], None],
        on_closed: Callable[["ClientConnection"], None],
    ) -> None:
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._on_reply: OnReply | None = None
        self._on_broken: OnBroken | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_head = False
        self._until_close = False
        self._broken = False
        self._reply_begun = False
        self.idle_since = 0.0
        self.idle_timeout: float | None = None
        self.carried = CarriedRequests()
        self.was_used = False

    @property
    def usable(self) -> bool:
        """Return whether a request can be sent now."""
        transport = self._transport
        return (
            self._on_reply is None
            and not self._broken
            and transport is not None
            and not transport.is_closing()
        )

    def send(self, data: bytes, on_reply: OnReply, on_broken: OnBroken, *, head: bool) -> None:
        """Send a whole request.

        Args:
            data: Request line, headers and body.
            on_reply: Called with the whole reply.
            on_broken: Called instead where no whole reply will come.
            head: Whether the method is HEAD, whose replies have no body.
        """
        self._on_reply = on_reply
        self._on_broken = on_broken
        self._is_head = head
        self._reply_begun = False
        self.was_used = True
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection; a request on it gets no callback any more."""
        self._on_reply = self._on_broken = None
        self._broken = True
        if self._transport is not None:
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set the probes that find a silent peer."""
        self._transport = transport
        set_probes(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Read a piece of a reply."""
        if self._on_reply is None:
            # Nothing is asked for: a second reply, or bytes after a whole one. What comes next on
            # this connection can't be told from an answer, so it is not used again.
            self._end(BrokenConnection("The server sent bytes that nobody asked for."))
            return
        self._reply_begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._end(BrokenConnection(f"The server's bytes are no HTTP reply ({error})."))

    def eof_received(self) -> bool:
        """End a reply without a length; its end is the end of the connection."""
        if self._until_close and self._on_reply is not None:
            self._broken = True
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the request under way, if any, that its reply won't come."""
        if self._reply_begun:
            self._end(BrokenConnection(f"The connection ended within a reply ({exc})."))
        else:
            self._end(LostConnection(f"The connection ended without a reply ({exc})."))
        self._on_closed(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a reply; a second one in the same bytes condemns the connection."""
        if self._on_reply is None:
            self._broken = True
            return
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._until_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out where the reply will end."""
        status = self._parser.get_status_code()
        if status < 200 or self._on_reply is None:
            return
        if self._is_head:
            # The parser waits for a body that never comes, so this connection ends here.
            self._broken = True
            self._deliver()
            return
        framed = any(name.lower() in _FRAMING for name, _ in self._headers)
        self._until_close = not framed and status not in _NO_BODY

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > MAX_REPLY_BYTES:
            self._end(BrokenConnection("The reply is too large."))

    def on_message_complete(self) -> None:
        """Hand over a whole reply; an interim one (1xx) is skipped."""
        if self._on_reply is None or self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._broken = True
        self._deliver()

    def _deliver(self) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body))
        on_reply, self._on_reply, self._on_broken = self._on_reply, None, None
        self._body = []
        self.idle_timeout = _keep_alive_timeout(reply.header(b"keep-alive"))
        if self._transport.get_write_buffer_size():
            # The server answered before it had read the whole request; the rest of the body would
            # stand where it expects the next request.
            self._broken = True
        # After the parser has returned: bytes behind the reply are seen before the connection is
        # offered for another request.
        asyncio.get_running_loop().call_soon(self._settle)
        on_reply(reply)

    def _settle(self) -> None:
        if self._broken:
            self._transport.abort()
        elif not self._transport.is_closing():
            self._on_idle(self)

    def _end(self, error: BrokenConnection) -> None:
        self._broken = True
        on_broken, self._on_reply, self._on_broken = self._on_broken, None, None
        if self._transport is not None:
            self._transport.abort()
        if on_broken is not None:
            on_broken(error)


@lru_cache(_KNOWN_TIMEOUTS)
def _keep_alive_timeout(value: bytes | None) -> float | None:
    """Return after how many idle seconds the server will close, None where it doesn't say."""
    if value is None:
        return None
    for field in value.split(b","):
        name, _, number = field.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
