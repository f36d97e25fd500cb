"""Reads callers' requests from received bytes, within limits on each part of a request."""

import httptools

from limpethollow_node.engine.messages import Headers, Request
from limpethollow_policy.process.callerbounds import BODY_COPIES, HEADER_BYTES, REQUEST_BYTES
from limpethollow_policy.version.routes import CallerLimits
from limpethollow_wire.exceptions import BadRequest, HeadersTooLarge, LimpethollowError, TooLarge

# Received data is parsed in pieces of at most this size, between which the limits are checked.
_PIECE_BYTES = 16 * 1024
# Ends a head, and the trailers of a chunked body.
_EMPTY_LINE = b"\r\n\r\n"
# What the parser accepts before and between the parts of a head that `header_bytes` counts: empty
# lines, the method and the HTTP version.
_HEAD_SLACK_BYTES = 64
# Bytes of chunk lines for each byte of a chunked body. A chunk of one byte has five; senders that
# write the size with leading zeros have up to 12.
_FRAMING_PER_BODY_BYTE = 16


class RequestReader:
    """Parses one caller's requests, one after the other.

    Usage:
        position += reader.read(data, position, limits)
        for request, memory in reader.take():
            handle(request)
    """

    __slots__ = (
        "_body",
        "_chunked",
        "_complete",
        "_content_length",
        "_error",
        "_head_bytes",
        "_headers",
        "_in_head",
        "_is_reading",
        "_limits",
        "_parser",
        "_target",
        "_wire_bytes",
        "expects_continue",
    )

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._limits = CallerLimits()
        self._complete: list[tuple[Request, int]] = []
        self._error: LimpethollowError | None = None
        self._reset()

    @property
    def is_reading(self) -> bool:
        """Return whether a request has begun and is incomplete."""
        return self._is_reading

    @property
    def memory(self) -> int:
        """Return about how many bytes of memory the incomplete request takes."""
        if not self._is_reading:
            return 0
        return (
            REQUEST_BYTES
            + (self._wire_bytes if self._in_head else self._head_bytes)
            + HEADER_BYTES * len(self._headers)
            + BODY_COPIES * len(self._body)
        )

    def read(self, data: bytes, position: int, limits: CallerLimits) -> int:
        """Parse a piece of received data.

        Args:
            data: The data.
            position: Where the piece begins.
            limits: Limits on the request.

        Returns:
            How many bytes were parsed.

        Raises:
            HeadersTooLarge: The head, the trailers or the lines between chunks are too long.
            TooLarge: The body is too large.
            BadRequest: The data is no valid HTTP request.
        """
        self._limits = limits
        end = self._end_of_piece(data, position)
        was_in_head = self._in_head
        try:
            self._parser.feed_data(data[position:end])
        except httptools.HttpParserUpgrade:
            raise BadRequest("Protocol upgrades are not supported.") from None
        except httptools.HttpParserError as error:
            if self._error is None:
                self._error = BadRequest(f"The data is not a valid HTTP request ({error}).")
        if self._error is not None:
            raise self._error
        if self._is_reading:
            self._wire_bytes += end - position
            if was_in_head and not self._in_head:
                self._head_bytes = self._wire_bytes
            self._check_framing()
        return end - position

    def take(self) -> list[tuple[Request, int]]:
        """Return the requests that the last piece completed, and the memory that each takes.

        There are two only where the end of the first one was split between two pieces.
        """
        complete, self._complete = self._complete, []
        return complete

    def close(self) -> None:
        """Release the memory of an incomplete request; nothing can be read afterwards."""
        # The parser refers to this object; without it, the memory is released immediately.
        self._parser = None
        self._complete = []
        self._reset()

    def _reset(self) -> None:
        self._is_reading = False
        self._in_head = True
        self._wire_bytes = 0
        self._head_bytes = 0
        self._target = b""
        self._headers: Headers = []
        # A list of the pieces would take 50 bytes of memory for a chunk of two bytes.
        self._body = bytearray()
        self._chunked = False
        self._content_length = 0
        self.expects_continue = False

    def _end_of_piece(self, data: bytes, position: int) -> int:
        """Return where a piece ends: with the head or the request, or at the largest size.

        The parser can't be paused. With pieces that end where a request does, the position at
        which the next one begins is known, and requests may be left unparsed.
        """
        limit = min(len(data), position + _PIECE_BYTES)
        body_left = self._content_length - len(self._body)
        if self._is_reading and not self._in_head and not self._chunked and body_left > 0:
            return min(limit, position + body_left)
        found = data.find(_EMPTY_LINE, position, limit)
        return limit if found < 0 else found + len(_EMPTY_LINE)

    def _check_framing(self) -> None:
        """Check the bytes that the parser has not reported, such as a header without an end."""
        limit = self._limits.header_bytes
        if self._in_head:
            if self._wire_bytes > limit + _HEAD_SLACK_BYTES:
                raise HeadersTooLarge("The headers are too long.")
        elif self._wire_bytes - self._head_bytes - len(
            self._body
        ) > limit + _FRAMING_PER_BODY_BYTE * len(self._body):
            raise HeadersTooLarge("The trailers or the lines between chunks are too long.")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Note that a request has begun."""
        self._is_reading = True

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; discard a trailer, which may not be merged into the headers."""
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the header limits."""
        self._in_head = False
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._target) > self._limits.header_bytes:
            self._fail(HeadersTooLarge("The headers are too long."))
            return
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length":
                self._content_length = int(value or 0)
                if self._content_length > self._limits.body_bytes:
                    self._fail(TooLarge("The body is too large."))
            elif lower == b"transfer-encoding":
                self._chunked = True
            elif lower == b"expect":
                self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        if len(self._body) + len(body) > self._limits.body_bytes:
            self._fail(TooLarge("The body is too large."))
        elif self._error is None:
            self._body += body

    def on_message_complete(self) -> None:
        """Keep the complete request until it is taken, and reset the state."""
        if self._error is None:
            request = Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
            self._complete.append((request, self.memory))
        self._reset()

    def _fail(self, error: LimpethollowError) -> None:
        if self._error is None:
            self._error = error
