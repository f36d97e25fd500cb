"""Limits on one instance's connections and slots at each searcher, and connection reuse."""

from dataclasses import dataclass
from enum import StrEnum

from limpethollow_wire.services import SearcherSpec

MAX_CONCURRENT_OWNERS = 4
IDLE_SECONDS = 15.0
CLOSING_SECONDS = 0.25


def connections_per_searcher(searcher: SearcherSpec) -> int:
    """Return the number of connections that one instance may open to a searcher.

    Instances with different member lists may own the same group at the same time. Each may use a
    quarter of the searcher's limit, so four such owners stay within it.
    """
    return max(1, searcher.connections // MAX_CONCURRENT_OWNERS)


def slots_per_owner(searcher: SearcherSpec, owners: int) -> int:
    """Return the number of calls that one active owner may have in flight to a searcher.

    One connection is reserved for inventory and cancel calls, which take no slot.
    """
    share = max(1, searcher.slots // owners)
    return max(1, min(share, connections_per_searcher(searcher) - 1))


class ConnectionState(StrEnum):
    """State of one connection.

    Attributes:
        BUSY: It carries a call, or is being opened for one.
        IDLE: Its last call received a complete reply.
        CLOSING: It was closed locally, but the searcher may still count it.
    """

    BUSY = "busy"
    IDLE = "idle"
    CLOSING = "closing"


@dataclass(slots=True, frozen=True)
class ReuseConnection:
    """Send the call on an open connection."""

    number: int


@dataclass(slots=True, frozen=True)
class OpenConnection:
    """Open a new connection, identified by this number."""

    number: int


@dataclass(slots=True, frozen=True)
class WaitForConnection:
    """Wait until a connection is returned or until this monotonic second, then ask again."""

    until: float


@dataclass(slots=True)
class _Connection:
    state: ConnectionState
    control: bool
    last_success: float
    counted_until: float = 0.0


class ConnectionTracker:
    """Assigns connections to the calls to one searcher, and decides which to close.

    The searcher never counts more than `limit` connections: one that was closed locally remains
    counted for `CLOSING_SECONDS`, because the searcher notices the close later. Otherwise a burst
    of timeouts would open new connections while the searcher still counts the old ones, and it
    would refuse the connections of all instances.

    Args:
        limit: Maximum number of simultaneous connections.
        idle_seconds: Seconds after which an idle connection is closed.
    """

    __slots__ = ("_connections", "_idle_seconds", "_next", "limit")

    def __init__(self, limit: int, idle_seconds: float = IDLE_SECONDS) -> None:
        self.limit = limit
        self._idle_seconds = idle_seconds
        self._connections: dict[int, _Connection] = {}
        self._next = 0

    def __len__(self) -> int:
        return len(self._connections)

    def take(
        self, now: float, *, control: bool = False
    ) -> ReuseConnection | OpenConnection | WaitForConnection:
        """Choose a connection for a call.

        Args:
            now: Monotonic second.
            control: Whether the call is a cancel, an inventory or a look-up. One connection is
                reserved for those; otherwise a cancel would wait for the call that it cancels.
        """
        self._remove_closed(now)
        if not control and self._busy_call_connections() >= max(self.limit - 1, 1):
            return WaitForConnection(self._next_release(now))
        idle = [(c.last_success, n) for n, c in self._connections.items() if _is_idle(c)]
        if idle:
            number = max(idle)[1]
            self._connections[number].state = ConnectionState.BUSY
            self._connections[number].control = control
            return ReuseConnection(number)
        if len(self._connections) >= self.limit:
            return WaitForConnection(self._next_release(now))
        self._next += 1
        self._connections[self._next] = _Connection(ConnectionState.BUSY, control, now)
        return OpenConnection(self._next)

    def returned(self, number: int, now: float) -> None:
        """Mark a connection idle after its call received a complete reply."""
        connection = self._connections[number]
        connection.state = ConnectionState.IDLE
        connection.control = False
        connection.last_success = now

    def connect_failed(self, number: int) -> None:
        """Remove a connection that could not be established."""
        del self._connections[number]

    def closed(self, number: int, now: float) -> None:
        """Record that a connection was closed, locally or by the searcher."""
        connection = self._connections[number]
        connection.state = ConnectionState.CLOSING
        connection.counted_until = now + CLOSING_SECONDS

    def condemned(self, number: int, started: float, now: float) -> tuple[int, ...]:
        """Close a connection whose call received no complete reply.

        The same fault may have broken other idle connections to this searcher unnoticed. Those that
        completed a call since this call started are known to work; the others are closed too, so
        that one fault costs one call rather than one call for each idle connection.

        Returns:
            The other idle connections to close.
        """
        self.closed(number, now)
        unproven = tuple(
            n for n, c in self._connections.items() if _is_idle(c) and c.last_success <= started
        )
        for sibling in unproven:
            self.closed(sibling, now)
        return unproven

    def expired(self, now: float) -> tuple[int, ...]:
        """Mark the connections that were idle for too long as closed, and return them."""
        self._remove_closed(now)
        idle_too_long = tuple(
            n
            for n, c in self._connections.items()
            if _is_idle(c) and now >= c.last_success + self._idle_seconds
        )
        for number in idle_too_long:
            self.closed(number, now)
        return idle_too_long

    def next_expiry(self) -> float | None:
        """Return when `expired` must be called next, None if there is no such time."""
        times = [
            c.last_success + self._idle_seconds for c in self._connections.values() if _is_idle(c)
        ]
        times += [c.counted_until for c in self._connections.values() if _is_closing(c)]
        return min(times, default=None)

    def _busy_call_connections(self) -> int:
        busy = (c for c in self._connections.values() if c.state is ConnectionState.BUSY)
        return sum(not c.control for c in busy)

    def _next_release(self, now: float) -> float:
        times = [c.counted_until for c in self._connections.values() if _is_closing(c)]
        return min(times, default=now + CLOSING_SECONDS)

    def _remove_closed(self, now: float) -> None:
        released = [
            n for n, c in self._connections.items() if _is_closing(c) and now >= c.counted_until
        ]
        for number in released:
            del self._connections[number]


def _is_idle(connection: _Connection) -> bool:
    return connection.state is ConnectionState.IDLE


def _is_closing(connection: _Connection) -> bool:
    return connection.state is ConnectionState.CLOSING
