"""Ends calls whose reply goes on after their time."""

import socket
import threading
from collections.abc import Callable

CallAt = Callable[[float, Callable[[], None]], None]


class DeadlineGuard:
    """Shuts a socket down at a deadline, so that whatever waits for it returns.

    A socket's own timeout starts anew with each byte, and `http.client` reads any number of interim
    replies and trailers.

    Args:
        sock: The socket.
        deadline: Monotonic second.
        call_at: Runs a callback at a monotonic second.
    """

    __slots__ = ("_lock", "_socket")

    def __init__(self, sock: socket.socket, deadline: float, call_at: CallAt) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = sock
        call_at(deadline, self._expire)

    def __enter__(self) -> "DeadlineGuard":
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    def end(self) -> None:
        """Guard the socket no longer."""
        with self._lock:
            self._socket = None

    def _expire(self) -> None:
        with self._lock:
            if self._socket is None:
                return
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return
