"""What was read from and is to be written to one connection, without blocking."""

import re
import socket
from collections import deque

from limpethollow_wire.limits import MAX_BODY_BYTES, MAX_HEADER_BYTES

_RECEIVE_BYTES = 64 * 1024
_SEND_BYTES = 256 * 1024
_MAX_DIGITS = 10
_HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"^content-length[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE | re.MULTILINE)
_ENCODING = re.compile(rb"^transfer-encoding[ \t]*:", re.IGNORECASE | re.MULTILINE)
_EXPECT = re.compile(rb"^expect[ \t]*:[ \t]*100-continue[ \t]*\r$", re.IGNORECASE | re.MULTILINE)


class RequestBuffer:
    """Bytes received on a connection, as the file that the HTTP library parses.

    A worker thread gets a connection only once its request is complete or can be refused, so that
    no slow sender holds a thread. Reading never waits: where the buffer ends, so does the file.

    Args:
        sock: The connection's socket, non-blocking.

    Attributes:
        bytes_read: Bytes read from the buffer.
        closed: Whether the connection is closed.
        ended: Whether the sender closed its side.
        expects_continue: Whether the sender waits for `100 Continue` before it sends the body.
        has_head: Whether the request's head is complete.
    """

    __slots__ = (
        "_data",
        "_length",
        "_searched",
        "_socket",
        "bytes_read",
        "closed",
        "ended",
        "expects_continue",
        "has_head",
    )

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._data = bytearray()
        self.bytes_read = 0
        self.closed = False
        self.ended = False
        self._begin()

    def __len__(self) -> int:
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Whether a worker can answer without waiting for further bytes."""
        if self.ended:
            return bool(self._data)
        if not self.has_head:
            self._find_head()
        return self.has_head and len(self._data) >= self._length

    def receive(self) -> int:
        """Read what has arrived, up to a bound; return the number of bytes.

        Raises:
            OSError: The connection is broken.
        """
        try:
            data = self._socket.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return 0
        self._data += data
        self.ended = not data
        return len(data)

    def next_request(self) -> None:
        """Begin to look for the end of the next request."""
        self._begin()

    def has_data(self) -> bool:
        """Return whether bytes are left to read."""
        return bool(self._data)

    def read(self, size: int | None = None) -> bytes:
        """Return and remove bytes, fewer than `size` where the buffer ends."""
        return self._take(len(self._data) if size is None else size)

    def readline(self, size: int | None = None) -> bytes:
        """Return and remove a line, without its end where the buffer or `size` ends first."""
        limit = len(self._data) if size is None else size
        return self._take(self._data.find(b"\n", 0, limit) + 1 or limit)

    def close(self) -> None:
        """Release the bytes."""
        self.closed = True
        self._data = bytearray()

    def _begin(self) -> None:
        self._length = 0
        self._searched = 0
        self.has_head = False
        self.expects_continue = False

    def _take(self, size: int) -> bytes:
        data = bytes(self._data[:size])
        del self._data[:size]
        self.bytes_read += len(data)
        return data

    def _find_head(self) -> None:
        """Look for the head's end, and take a head that will be refused as complete."""
        end = self._data.find(_HEAD_END, max(self._searched - len(_HEAD_END), 0))
        line_end = self._data.find(b"\n")
        self._searched = len(self._data)
        if end < 0:
            is_malformed = line_end >= 0 and self._data[line_end - 1 : line_end] != b"\r"
            self.has_head = is_malformed or len(self._data) > MAX_HEADER_BYTES
            return
        self.has_head = True
        self._measure(bytes(self._data[: end + 2]))
        self._length += end + len(_HEAD_END) if self._length else 0

    def _measure(self, head: bytes) -> None:
        """Find the length of a body that will be read; others are refused without it."""
        lengths = _LENGTH.findall(head)
        length = lengths[-1].strip() if lengths else b""
        if _ENCODING.search(head) or not length.isdigit() or len(length) > _MAX_DIGITS:
            return
        if int(length) <= MAX_BODY_BYTES:
            self._length = int(length)
            self.expects_continue = bool(self._length and _EXPECT.search(head))


class ReplyBuffer:
    """Bytes to be sent on a connection, as the file that the HTTP library writes.

    Writing never waits. What the other side does not take at once is kept, and sent as it takes it,
    so that no slow reader holds a thread.

    Args:
        sock: The connection's socket, non-blocking.

    Attributes:
        bytes_written: Bytes written to the buffer.
    """

    __slots__ = ("_pending", "_size", "_socket", "bytes_written")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._pending: deque[memoryview] = deque()
        self._size = 0
        self.bytes_written = 0

    def __len__(self) -> int:
        return self._size

    def write(self, data: bytes) -> int:
        """Send bytes, and keep those that can't be sent yet.

        Raises:
            OSError: The connection is broken.
        """
        self._pending.append(memoryview(bytes(data)))
        self._size += len(data)
        self.bytes_written += len(data)
        self.send()
        return len(data)

    def send(self) -> int:
        """Send what the other side takes now; return the number of bytes.

        Raises:
            OSError: The connection is broken.
        """
        sent = 0
        while self._pending:
            piece = self._pending.popleft()
            count = self._send_piece(piece[:_SEND_BYTES])
            sent += count
            if count < len(piece):
                self._pending.appendleft(piece[count:])
                if count < min(len(piece), _SEND_BYTES):
                    break
        self._size -= sent
        return sent

    def clear(self) -> None:
        """Release the bytes."""
        self._pending.clear()
        self._size = 0

    def _send_piece(self, piece: memoryview) -> int:
        if not piece:
            return 0
        try:
            return self._socket.send(piece)
        except BlockingIOError:
            return 0
