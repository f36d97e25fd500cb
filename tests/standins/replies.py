"""Stand-in for a server that sends given bytes as its reply and may close the connection."""

import contextlib
import socket
import threading


class ByteServer:
    """Answers each request with the same bytes, on threads of its own.

    Usage:
        with ByteServer(reply, closes=True) as server:
            connect(server.address)

    Args:
        reply: The bytes.
        closes: Whether the connection is closed after them.
    """

    def __init__(self, reply: bytes, *, closes: bool) -> None:
        self._reply = reply
        self._closes = closes
        self._connections: list[socket.socket] = []

    def __enter__(self) -> "ByteServer":
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        for each in (self._listener, *self._connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

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
            self._connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            # A request and its body arrive at once or shortly after each other.
            while connection.recv(65536):
                connection.sendall(self._reply)
                if self._closes:
                    connection.shutdown(socket.SHUT_WR)
                    return
