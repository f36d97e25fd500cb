"""The event loop of an HTTP listener: accepts, reads requests, sends replies and closes."""

import contextlib
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable, Iterator
from enum import Enum, auto
from typing import Any

from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection

from limpethollow_node.connection.buffers import ReplyBuffer, RequestBuffer
from limpethollow_node.process import events
from limpethollow_policy.connection.listener_limits import ListenerLimits, longest_waiting

IDLE_SECONDS = 5.0

_READ_SECONDS = 5.0
_STALL_SECONDS = 5.0
_SEND_SECONDS = 60.0
_LINGER_SECONDS = 2.0
_LINGER_BYTES = 4 * 1024 * 1024
_CLOSING_SECONDS = 0.2
_PAUSE_SECONDS = 0.05
_ACCEPTS_AT_ONCE = 32
_SWEEP_SECONDS = 0.25
_WAKE_BYTES = 4096
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Evicted = Callable[[str], None]


class Phase(Enum):
    """What the listener does with a connection.

    Attributes:
        READING: It waits for a request or for the rest of one.
        HANDLING: A worker thread has it.
        SENDING: It waits for the caller to read the reply.
        LINGERING: Everything was sent; what still arrives is dropped, because a connection closed
            with bytes unread is reset, and the reset can overtake the reply.
    """

    READING = auto()
    HANDLING = auto()
    SENDING = auto()
    LINGERING = auto()


class LoopConnection(HTTPConnection):
    """A connection that never blocks a thread.

    Attributes:
        phase: What the listener does with it.
        since: Monotonic second of the phase's begin or its last progress.
        until: Monotonic second at which the phase ends in any case.
        held: Bytes of its request that count against the listener's limit.
        dropped: Bytes dropped while it lingers.
        is_late: Whether the request was not complete in time.
        is_told_to_continue: Whether `100 Continue` was sent for this request.
        is_closing: Whether it ends with the reply.
    """

    def __init__(self, server: Any, sock: socket.socket, *_: Any) -> None:
        super().__init__(server, sock, _make_buffer)
        sock.setblocking(False)
        self.phase = Phase.READING
        self.since = time.monotonic()
        self.until = float("inf")
        self.held = 0
        self.dropped = 0
        self.is_late = False
        self.is_told_to_continue = False
        self.is_closing = False

    def communicate(self) -> bool:
        """Handle one request; the loop closes the connection once the reply is sent."""
        self.is_closing = not super().communicate()
        return True

    def close(self) -> None:
        """Release the buffers and the socket."""
        self.wfile.clear()
        super().close()


class ConnectionLoop(ConnectionManager):
    """Owns all connections of a listener but those that a worker thread has at the moment.

    Args:
        server: The HTTP server, prepared.
        limits: What its clients may hold.
        evicted: Told why a connection was closed to make room.
        last_refusal: The reply to requests that are not complete when the listener closes.
    """

    def __init__(
        self, server: Any, limits: ListenerLimits, evicted: Evicted, last_refusal: bytes
    ) -> None:
        super().__init__(server)
        # The library's own selector can't change what is waited for.
        self._selector.close()
        self._selector = selectors.DefaultSelector()
        # A connection that is gone by the time it is accepted must not block the loop.
        server.socket.setblocking(False)
        self._selector.register(server.socket, selectors.EVENT_READ, server)
        self._limits = limits
        self._evicted = evicted
        self._last_refusal = last_refusal
        self._connections: set[LoopConnection] = set()
        self._returned: deque[LoopConnection] = deque()
        self._held = 0
        self._accepts = True
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether connections may stay open after a reply: while there is room for others."""
        return self._accepts and len(self._connections) < self._limits.kept_connections

    @property
    def unsent_replies(self) -> int:
        """Connections whose caller has not taken the whole reply."""
        return sum(c.phase is Phase.SENDING for c in tuple(self._connections))

    def put(self, conn: LoopConnection) -> None:
        """Take a connection back from a worker thread."""
        self._returned.append(conn)
        self._wake()

    def stop(self) -> None:
        """End the loop, and hand over the complete requests that have arrived by then."""
        self._stop_requested = True
        self._wake()
        super().stop()
        self._take_returned()
        if self._accepts:
            self._accept()
        for conn in self._in_phase(Phase.READING):
            self._serve(conn)

    def close(self) -> None:
        """Send what callers take within a short time, and close the connections.

        A request that is not complete is refused. Connections that a worker thread has are closed
        by it.
        """
        for conn in self._returned:
            conn.phase = Phase.SENDING
        for conn in self._in_phase(Phase.READING):
            if conn.rfile:
                conn.rfile.read()
                conn.phase = Phase.SENDING
                with contextlib.suppress(OSError):
                    conn.wfile.write(self._last_refusal)
        until = time.monotonic() + _CLOSING_SECONDS
        for conn in self._in_phase(Phase.SENDING):
            with contextlib.suppress(OSError):
                send_all(conn, until)
        for conn in tuple(self._connections):
            if conn.phase is not Phase.HANDLING:
                conn.close()
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _run(self, expiration_interval: float) -> None:
        swept_at = time.monotonic()
        while not self._stop_requested:
            pause = _SWEEP_SECONDS if self._accepts else _PAUSE_SECONDS
            for key, _ in self._selector.select(pause):
                if key.data is self.server:
                    self._accept()
                elif key.data is None:
                    self._drain_wakes()
                # An event may have closed the connection of a later one.
                elif key.data in self._connections:
                    self._serve(key.data)
            self._take_returned()
            if not self._accepts:
                self._make_room()
            if time.monotonic() - swept_at >= _SWEEP_SECONDS:
                swept_at = time.monotonic()
                self._sweep(swept_at)

    def _accept(self) -> None:
        """Accept what waits in the listener's queue, a limited number of connections at a time."""
        for _ in range(_ACCEPTS_AT_ONCE):
            if len(self._connections) >= self._limits.connections and not self._evict_longest():
                self._set_accepting(False)
                return
            try:
                conn = self._from_server_socket(self.server.socket)
            except OSError:
                # No descriptor or memory is left for a connection.
                self._evict_longest()
                self._set_accepting(False)
                return
            if conn is None:
                return
            self._connections.add(conn)
            self._selector.register(conn.socket, selectors.EVENT_READ, conn)
            self._serve(conn)

    def _make_room(self) -> None:
        if len(self._connections) < self._limits.connections or self._evict_longest():
            self._set_accepting(True)

    def _set_accepting(self, accepts: bool) -> None:
        if accepts and not self._accepts:
            self._selector.register(self.server.socket, selectors.EVENT_READ, self.server)
        elif self._accepts and not accepts:
            self._selector.unregister(self.server.socket)
        self._accepts = accepts

    def _evict_longest(self) -> bool:
        """Close the connection that keeps the listener waiting longest; return whether one did."""
        waiting = ((c.since, c) for c in self._connections if c.phase is not Phase.HANDLING)
        conn = longest_waiting(waiting, time.monotonic())
        if conn is not None:
            self._evict(conn, "connections")
        return conn is not None

    def _evict(self, conn: LoopConnection, reason: str) -> None:
        self._evicted(reason)
        self._close(conn)

    def _serve(self, conn: LoopConnection) -> None:
        try:
            match conn.phase:
                case Phase.READING:
                    self._read(conn)
                case Phase.SENDING:
                    self._send(conn)
                case Phase.LINGERING:
                    self._drop_input(conn)
        except OSError:
            self._close(conn)
        except Exception as error:
            events.UNEXPECTED_ERROR.log(where="listener", error=repr(error), exc_info=True)
            self._close(conn)

    def _read(self, conn: LoopConnection) -> None:
        was_empty, had_head = not conn.rfile, conn.rfile.has_head
        received = conn.rfile.receive()
        self._hold(conn)
        if not self._limit_requests(conn):
            return
        if conn.rfile.is_complete:
            self._hand_over(conn)
        elif conn.rfile.ended:
            self._close(conn)
        elif received:
            self._await_rest(conn, was_empty, had_head)

    def _limit_requests(self, conn: LoopConnection) -> bool:
        """Close the slowest senders while requests take too much memory.

        Returns:
            Whether the given connection is still open.
        """
        while self._held > self._limits.request_bytes and conn in self._connections:
            slowest = min(self._in_phase(Phase.READING), key=lambda c: (not c.held, c.since))
            self._evict(slowest, "request_bytes")
        return conn in self._connections

    def _await_rest(self, conn: LoopConnection, was_empty: bool, had_head: bool) -> None:
        """Bound the time of the head, and then of the body, however many bytes still come."""
        if was_empty or conn.rfile.has_head != had_head:
            conn.since = time.monotonic()
            conn.until = conn.since + _READ_SECONDS
        if conn.rfile.expects_continue and not conn.is_told_to_continue:
            conn.is_told_to_continue = True
            conn.wfile.write(_CONTINUE)

    def _hand_over(self, conn: LoopConnection) -> None:
        self._selector.unregister(conn.socket)
        conn.phase = Phase.HANDLING
        self.server.process_conn(conn)

    def _hold(self, conn: LoopConnection) -> None:
        held = len(conn.rfile)
        self._held += held - conn.held
        conn.held = held

    def _take_returned(self) -> None:
        while self._returned:
            conn = self._returned.popleft()
            self._hold(conn)
            conn.rfile.next_request()
            conn.is_told_to_continue = False
            conn.since = time.monotonic()
            conn.until = conn.since + _SEND_SECONDS
            conn.phase = Phase.SENDING
            self._selector.register(conn.socket, selectors.EVENT_WRITE, conn)
            self._serve(conn)
        self._limit_replies()

    def _send(self, conn: LoopConnection) -> None:
        if conn.wfile and conn.wfile.send():
            conn.since = time.monotonic()
        if conn.wfile:
            return
        if conn.is_closing:
            self._linger(conn)
            return
        self._await_request(conn)

    def _await_request(self, conn: LoopConnection) -> None:
        conn.phase = Phase.READING
        conn.since = time.monotonic()
        conn.until = conn.since + (_READ_SECONDS if conn.rfile else IDLE_SECONDS)
        self._selector.modify(conn.socket, selectors.EVENT_READ, conn)
        if conn.rfile.is_complete:
            self._hand_over(conn)

    def _linger(self, conn: LoopConnection) -> None:
        if conn.rfile.ended:
            self._close(conn)
            return
        conn.socket.shutdown(socket.SHUT_WR)
        conn.rfile.read()
        self._hold(conn)
        conn.phase = Phase.LINGERING
        conn.since = time.monotonic()
        conn.until = conn.since + _LINGER_SECONDS
        self._selector.modify(conn.socket, selectors.EVENT_READ, conn)

    def _drop_input(self, conn: LoopConnection) -> None:
        conn.dropped += conn.rfile.receive()
        conn.rfile.read()
        if conn.rfile.ended or conn.dropped > _LINGER_BYTES:
            self._close(conn)

    def _limit_replies(self) -> None:
        """Close the connections of the slowest readers while replies take too much memory."""
        sending = sorted(self._in_phase(Phase.SENDING), key=lambda c: c.since, reverse=True)
        unsent = sum(len(conn.wfile) for conn in sending)
        # A single reply is always sent, whatever its size.
        while unsent > self._limits.reply_bytes and len(sending) > 1:
            conn = sending.pop()
            unsent -= len(conn.wfile)
            self._evict(conn, "reply_bytes")

    def _sweep(self, now: float) -> None:
        for conn in tuple(self._connections):
            if conn.phase is Phase.HANDLING:
                continue
            if conn.phase is Phase.SENDING and now >= conn.since + _STALL_SECONDS:
                self._evict(conn, "slow_reader")
            elif conn.phase is Phase.READING and not conn.rfile:
                if now >= conn.since + IDLE_SECONDS:
                    self._close(conn)
            elif now >= conn.until:
                self._end(conn)

    def _end(self, conn: LoopConnection) -> None:
        """End a phase whose time is over; a sender that was too slow is told so by a worker."""
        if conn.phase is Phase.READING:
            conn.is_late = True
            self._hand_over(conn)
        else:
            self._close(conn)

    def _close(self, conn: LoopConnection) -> None:
        self._connections.discard(conn)
        self._held -= conn.held
        conn.held = 0
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(conn.socket)
        with contextlib.suppress(OSError):
            conn.close()

    def _in_phase(self, phase: Phase) -> Iterator[LoopConnection]:
        return (conn for conn in tuple(self._connections) if conn.phase is phase)

    def _wake(self) -> None:
        # A full buffer wakes the loop too; a closed socket has no loop to wake.
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"\0")

    def _drain_wakes(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(_WAKE_BYTES)


def _make_buffer(sock: socket.socket, mode: str, _: int) -> RequestBuffer | ReplyBuffer:
    return RequestBuffer(sock) if "r" in mode else ReplyBuffer(sock)


def send_all(conn: LoopConnection, until: float) -> None:
    """Send the rest of a reply, as far as the caller takes it until a monotonic second.

    Raises:
        OSError: The connection is broken.
    """
    with selectors.DefaultSelector() as selector:
        selector.register(conn.socket, selectors.EVENT_WRITE)
        while conn.wfile and selector.select(max(until - time.monotonic(), 0.0)):
            conn.wfile.send()
