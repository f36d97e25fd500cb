"""Bounded pools of kept HTTP connections to searchers.

`urllib3`'s own pool can't express what is needed here: it closes no idle connection, reuses
siblings of a connection that went silent, counts a closed connection as free at once, and after
`close()` refuses every later call. So its connections are used, and its pool is not.
"""

import socket
import threading
import time
from types import TracebackType

from urllib3.connection import HTTPConnection

from limpethollow_node.connection.reply_bytes import ReplyBytes
from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_policy.connection.connection_limits import (
    IDLE_SECONDS,
    ConnectionTracker,
    ReuseConnection,
    WaitForConnection,
    connections_per_searcher,
)
from limpethollow_wire.limits import MAX_REPLY_BYTES
from limpethollow_wire.responses import StrictResponse
from limpethollow_wire.services import SearcherSpec

_COUNTER = "searcher_connections"
_OWN_REPLY_BYTES = 1024 * 1024
_SHARED_REPLY_BYTES = 32 * 1024 * 1024


class NoConnection(Exception):
    """No connection was free in time; nothing was sent."""


class _Connection(HTTPConnection):
    response_class = StrictResponse


class Lease:
    """One call's use of one connection.

    Usage:
        with pool.lease(deadline, control=False) as lease:
            ...
            lease.completed()

    A lease that ends without `completed()` condemns its connection: a reply may still come on it
    and would be taken for the answer to the next call.

    Args:
        pool: Where the connection belongs.
        number: Its number there.
        connection: The connection.
        is_new: Whether it must be opened first.
    """

    __slots__ = ("_completed", "_pool", "aborted", "connection", "is_open", "number", "started")

    def __init__(
        self, pool: "ConnectionPool", number: int, connection: HTTPConnection, is_new: bool
    ) -> None:
        self._pool = pool
        self._completed = False
        self.number = number
        self.connection = connection
        self.is_open = not is_new
        self.aborted = False
        self.started = time.monotonic()

    def __enter__(self) -> "Lease":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._completed and not self.aborted:
            self._pool.give_back(self)
        else:
            self._pool.condemn(self)

    def open(self, timeout: float) -> None:
        """Open the connection where it is new.

        Raises:
            OSError, HTTPError: The searcher did not accept it; nothing was sent.
        """
        if self.is_open:
            return
        self.connection.timeout = timeout
        self.connection.connect()
        self.is_open = True

    def completed(self) -> None:
        """Note that the whole reply to this call was read."""
        self._completed = True

    def abort(self) -> None:
        """End the call from another thread; it fails at once."""
        self._pool.abort(self)


class ConnectionPool:
    """All connections of this instance to one searcher, whatever group or version uses them.

    Args:
        address: `host:port` of the searcher.
        limit: Connections allowed at once.
        timers: Where the closing of idle connections is set.
        metrics: Where openings, reuses and closings are counted.
        idle_seconds: Seconds after which an unused connection is closed.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        timers: Timers,
        metrics: Metrics,
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._timers = timers
        self._metrics = metrics
        self._book = ConnectionTracker(limit, idle_seconds)
        self._changed = threading.Condition()
        self._open: dict[int, HTTPConnection] = {}
        self._leases: set[Lease] = set()
        self._sweep_at = float("inf")
        self._closed = False
        self.users = 0

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open or still counts."""
        with self._changed:
            return not len(self._book)

    def set_limit(self, limit: int) -> None:
        """Change the bound; connections over it are closed as they become idle for long."""
        with self._changed:
            self._book.limit = limit
            self._changed.notify_all()

    def lease(self, deadline: float, *, control: bool) -> Lease:
        """Return a connection for one call, waiting for one until the deadline.

        Raises:
            NoConnection: None was free in time, or the pool is closed.
        """
        with self._changed:
            while not self._closed:
                lease = self._try_lease(control)
                if isinstance(lease, Lease):
                    return lease
                now = time.monotonic()
                if now >= deadline:
                    self._metrics.count(_COUNTER, "none_free")
                    raise NoConnection
                self._changed.wait(max(min(lease.until, deadline) - now, 0.001))
        raise NoConnection

    def give_back(self, lease: Lease) -> None:
        """Keep a connection whose call got its whole reply, unless the searcher closed it."""
        with self._changed:
            self._leases.discard(lease)
            if self._closed or lease.connection.is_closed:
                self._close(lease.number)
            else:
                self._book.returned(lease.number, time.monotonic())
            self._set_sweep()
            self._changed.notify()

    def condemn(self, lease: Lease) -> None:
        """Close a connection whose call got no whole reply, and its doubtful siblings."""
        now = time.monotonic()
        with self._changed:
            self._leases.discard(lease)
            if not lease.is_open:
                self._book.connect_failed(lease.number)
                self._open.pop(lease.number)
            else:
                self._metrics.count(_COUNTER, "condemned")
                siblings = self._book.condemned(lease.number, lease.started, now)
                for number in (lease.number, *siblings):
                    self._open.pop(number).close()
                if siblings:
                    self._metrics.count(_COUNTER, "condemned_sibling", len(siblings))
                events.CONNECTION_CLOSED.log(port=self._port, siblings=len(siblings))
            self._set_sweep()
            self._changed.notify_all()

    def abort(self, lease: Lease) -> None:
        """Shut the connection of a call down, unless the call is over.

        The check and the shutdown are one step: the connection of a call that ended meanwhile may
        carry another call already, which would be lost.
        """
        with self._changed:
            if lease not in self._leases:
                return
            lease.aborted = True
            if lease.connection.sock is None:
                return
            try:
                # A mere close would leave the other thread in its receive until the timeout.
                lease.connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

    def close(self) -> None:
        """Close everything; calls that are on their way fail at once."""
        with self._changed:
            self._closed = True
            leases = tuple(self._leases)
            for number in set(self._open) - {lease.number for lease in leases}:
                self._close(number)
            self._changed.notify_all()
        for lease in leases:
            lease.abort()

    def _try_lease(self, control: bool) -> Lease | WaitForConnection:
        while True:
            choice = self._book.take(time.monotonic(), control=control)
            if isinstance(choice, WaitForConnection):
                return choice
            number = choice.number
            is_new = not isinstance(choice, ReuseConnection)
            if is_new:
                self._open[number] = _Connection(self._host, self._port)
            elif not self._open[number].is_connected:
                # The searcher closed it while it was idle, or a reply came that nobody waits for.
                self._metrics.count(_COUNTER, "closed_by_searcher")
                self._close(number)
                continue
            self._metrics.count(_COUNTER, "opened" if is_new else "reused")
            lease = Lease(self, number, self._open[number], is_new)
            self._leases.add(lease)
            return lease

    def _close(self, number: int) -> None:
        self._open.pop(number).close()
        self._book.closed(number, time.monotonic())

    def _set_sweep(self) -> None:
        """Have idle connections closed in time; where none is kept, nothing is set."""
        when = self._book.next_expiry()
        if when is not None and when < self._sweep_at:
            self._sweep_at = when
            self._timers.call_at(when, self._sweep)

    def _sweep(self) -> None:
        with self._changed:
            self._sweep_at = float("inf")
            expired = self._book.expired(time.monotonic())
            for number in expired:
                self._open.pop(number).close()
            if expired:
                self._metrics.count(_COUNTER, "idle_closed", len(expired))
            self._set_sweep()
            self._changed.notify_all()


class ConnectionPools:
    """The pools of all searchers, shared by address.

    A new version of a service starts new groups while the old ones finish their requests. If each
    had a pool of its own, both together would be over the searcher's budget, and every confirm
    would pay for new connections.

    Args:
        timers: Where the closing of idle connections is set.
        metrics: Where connections are counted.
        idle_seconds: Seconds after which an unused connection is closed.

    Attributes:
        reply_bytes: Memory for the replies of all searchers.
    """

    def __init__(
        self, timers: Timers, metrics: Metrics, idle_seconds: float = IDLE_SECONDS
    ) -> None:
        self._timers = timers
        self._metrics = metrics
        self._idle_seconds = idle_seconds
        self.reply_bytes = ReplyBytes(MAX_REPLY_BYTES, _OWN_REPLY_BYTES, _SHARED_REPLY_BYTES)
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}

    def __enter__(self) -> "ConnectionPools":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def acquire(self, searcher: SearcherSpec) -> ConnectionPool:
        """Return the pool of a searcher; each use must be released once."""
        limit = connections_per_searcher(searcher)
        with self._lock:
            self._drop_unused()
            pool = self._pools.get(searcher.address)
            if pool is None:
                pool = ConnectionPool(
                    searcher.address, limit, self._timers, self._metrics, self._idle_seconds
                )
                self._pools[searcher.address] = pool
            pool.users += 1
            pool.set_limit(limit)
            return pool

    def release(self, pool: ConnectionPool) -> None:
        """Give a pool back; its connections stay warm for the next user until they are idle."""
        with self._lock:
            pool.users -= 1
            self._drop_unused()

    def close(self) -> None:
        """Close all pools; calls that are on their way fail at once."""
        with self._lock:
            pools = tuple(self._pools.values())
        for pool in pools:
            pool.close()

    def _drop_unused(self) -> None:
        unused = [key for key, pool in self._pools.items() if not pool.users and pool.is_empty]
        for address in unused:
            del self._pools[address]
