"""Bounds on the connections to the peers' listener, where each takes threads of its own."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from limpethollow_policy.connection.listener_limits import longest_waiting

_BACKLOG = 1024
_PAUSE_SECONDS = 0.02


class PeerConnections:
    """Counts connections, and makes room by closing those that have not shown to be peers.

    Args:
        limit: Connections open at once; half of them may be without a peer's hello.
        evicted: Told why a connection was closed to make room.
    """

    def __init__(self, limit: int, evicted: Callable[[str], None]) -> None:
        self._limit = limit
        self._evicted = evicted
        self._lock = threading.Lock()
        self._unproven: dict[socket.socket, float] = {}
        self._open: set[socket.socket] = set()

    def accepted(self, sock: socket.socket) -> None:
        """Count a connection."""
        with self._lock:
            self._open.add(sock)
            self._unproven[sock] = time.monotonic()

    def greeted(self, sock: socket.socket) -> None:
        """Note that a connection is a peer's; it is not closed to make room any more."""
        with self._lock:
            self._unproven.pop(sock, None)

    def ended(self, sock: socket.socket) -> None:
        """Count a connection no more."""
        with self._lock:
            self._open.discard(sock)
            self._unproven.pop(sock, None)

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted, and make room where it may not."""
        with self._lock:
            if len(self._open) < self._limit and len(self._unproven) < self._limit // 2:
                return True
            waiting = ((since, sock) for sock, since in self._unproven.items())
            sock = longest_waiting(waiting, time.monotonic())
            if sock is None:
                return False
            del self._unproven[sock]
            # It counts as open until the threads that use it have ended.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._evicted("connections")
        return False


class PeerServerSocket(socket.socket):
    """A listening socket that accepts while there is room.

    The websocket library ends its listener for good at the first error of `accept`, such as one for
    lack of descriptors, and starts a thread for each connection. Connections that find no room wait
    in the listener's queue.

    Args:
        host: IP number to bind.
        port: Port, 0 for a free one.
        connections: The connections accepted so far.
    """

    def __init__(self, host: str, port: int, connections: PeerConnections) -> None:
        with socket.create_server((host, port), backlog=_BACKLOG) as server:
            super().__init__(server.family, server.type, server.proto, server.detach())
        self._connections = connections

    def accept(self) -> tuple[socket.socket, Any]:
        """Wait for room and for a connection.

        Raises:
            OSError: The socket was closed.
        """
        while True:
            try:
                if self._connections.has_room():
                    sock, address = super().accept()
                    self._connections.accepted(sock)
                    return sock, address
            except OSError:
                if self.fileno() < 0:
                    raise
            if self.fileno() < 0:
                raise OSError("The listener is closed.")
            time.sleep(_PAUSE_SECONDS)
