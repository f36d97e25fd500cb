"""Stand-in for a faulty server whose replies never end, until the caller closes the connection."""

import contextlib
import select
import socket
import threading
import time

_BLOCK_BYTES = 16 * 1024
# Seconds after which the stand-in itself gives up, so that no test hangs.
_GIVE_UP = 20.0

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What a reply starts with, and what is repeated after it.
ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header name": (_OK, b"x"),
    "header value": (_OK + b"A: ", b"x"),
    "headers": (_OK, b"A: b\r\n"),
    "chunk size": (_CHUNKED, b"0"),
    "chunk extension": (_CHUNKED + b"4;", b"x"),
    "chunk extensions": (_CHUNKED, b"1;" + b"x" * 8192 + b"\r\nb\r\n"),
    "chunks": (_CHUNKED, b"2\r\nab\r\n"),
    "large chunks": (_CHUNKED, b"1000\r\n" + b"x" * 0x1000 + b"\r\n"),
    "trailer": (_CHUNKED + b"2\r\nab\r\n0\r\nA: ", b"x"),
    "trailers": (_CHUNKED + b"2\r\nab\r\n0\r\n", b"A: b\r\n"),
    "body with a length": (_OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "body without a length": (_OK + b"\r\n", b"x"),
    "interim replies": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim headers": (b"HTTP/1.1 103 Early Hints\r\n", b"A: b\r\n"),
}


class EndlessServer:
    """Replies to each connection with one of the endless replies, on threads of its own.

    Usage:
        with EndlessServer(*ENDLESS["chunks"], pause=0.0) as server:
            connect(server.address)

    Args:
        start: First bytes of the reply.
        block: Bytes that are repeated.
        pause: Seconds between two repetitions; 0 sends as fast as the caller reads.

    Attributes:
        sent: Bytes sent to each caller.
        closed: When each caller closed its connection, by `time.monotonic`.
    """

    def __init__(self, start: bytes, block: bytes, pause: float = 0.0) -> None:
        self._start = start
        self._block = block
        self._pause = pause
        self._stopped = threading.Event()
        self.sent: list[int] = []
        self.closed: list[float] = []

    def __enter__(self) -> "EndlessServer":
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        sent = 0
        with connection, contextlib.suppress(OSError):
            connection.settimeout(_GIVE_UP)
            if connection.recv(_BLOCK_BYTES):
                sent = send_endless(connection, self._start, self._block, self._pause)
        self.sent.append(sent)
        self.closed.append(time.monotonic())


def send_endless(connection: socket.socket, start: bytes, block: bytes, pause: float) -> int:
    """Send bytes until the other side closes; return how many.

    Args:
        connection: Where to.
        start: First bytes.
        block: Bytes that are repeated.
        pause: Seconds between two repetitions; 0 sends as fast as the other side reads.
    """
    if not pause:
        block *= max(1, _BLOCK_BYTES // len(block))
    give_up = time.monotonic() + _GIVE_UP
    sent = 0
    try:
        connection.sendall(start)
        sent += len(start)
        while time.monotonic() < give_up:
            readable = pause and select.select([connection], [], [], pause)[0]
            # What is read is the rest of a request, or the end of the connection.
            if readable and not connection.recv(_BLOCK_BYTES):
                return sent
            connection.sendall(block)
            sent += len(block)
    except OSError:
        return sent
    raise TimeoutError("The caller never closed the connection.")
