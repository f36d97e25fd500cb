"""How many connections and slots of a searcher one owner instance may use, and which to reuse."""

from dataclasses import dataclass
from enum import StrEnum

from limpethollow_wire.services import SearcherSpec

DISAGREEING_OWNERS = 4
IDLE_SECONDS = 15.0
CLOSING_SECONDS = 0.25


def connections_per_searcher(searcher: SearcherSpec) -> int:
    """Return the connections that one instance may open to a searcher.

    Instances that see different lists may own the same group at once. With a quarter of the limit
    each, four of them still fit.
    """
    return max(1, searcher.connections // DISAGREEING_OWNERS)


def slots_per_owner(searcher: SearcherSpec, owners: int) -> int:
    """Return the calls that one active owner may have on their way to a searcher.

    One connection of the budget is left for inventory and cancel calls, which take no slot.
    """
    share = max(1, searcher.slots // owners)
    return max(1, min(share, connections_per_searcher(searcher) - 1))


class ConnectionState(StrEnum):
    """What is known of one connection.

    Attributes:
        BUSY: A call is on it, or it is being opened for one.
        IDLE: Its last call got its whole reply.
        CLOSING: It was closed here, but the searcher may still count it.
    """

    BUSY = "busy"
    IDLE = "idle"
    CLOSING = "closing"


@dataclass(slots=True, frozen=True)
class Reuse:
    """Send the call on a connection that is open."""

    number: int


@dataclass(slots=True, frozen=True)
class Open:
    """Open a connection under this number."""

    number: int


@dataclass(slots=True, frozen=True)
class Full:
    """Wait for a connection to come back, or for this second; then ask again."""

    until: float


@dataclass(slots=True)
class _Connection:
    state: ConnectionState
    control: bool
    last_good: float
    counted_until: float = 0.0


class ConnectionBook:
    """Decides which connection to one searcher a call gets, and which are closed.

    Never more than `limit` connections count at the searcher: one that was closed here goes on
    counting for `CLOSING_SECONDS`, since the searcher hears of it later. Without that, a burst of
    timeouts opens new connections while the old ones still count, and the searcher refuses all
    instances.

    Args:
        limit: Connections allowed at once.
        idle_seconds: Seconds after which an unused connection is closed.
    """

    __slots__ = ("_connections", "_idle_seconds", "_next", "limit")

    def __init__(self, limit: int, idle_seconds: float = IDLE_SECONDS) -> None:
        self.limit = limit
        self._idle_seconds = idle_seconds
        self._connections: dict[int, _Connection] = {}
        self._next = 0

    def __len__(self) -> int:
        return len(self._connections)

    def take(self, now: float, *, control: bool = False) -> Reuse | Open | Full:
        """Decide which connection a call gets.

        Args:
            now: Monotonic second.
            control: Whether the call is a cancel, an inventory or a look-up. One connection is
                kept for those, or a cancel would wait for the very call that it shall end.
        """
        self._forget_closed(now)
        if not control and self._work() >= max(self.limit - 1, 1):
            return Full(self._room_at(now))
        idle = [(c.last_good, n) for n, c in self._connections.items() if _is_idle(c)]
        if idle:
            number = max(idle)[1]
            self._connections[number].state = ConnectionState.BUSY
            self._connections[number].control = control
            return Reuse(number)
        if len(self._connections) >= self.limit:
            return Full(self._room_at(now))
        self._next += 1
        self._connections[self._next] = _Connection(ConnectionState.BUSY, control, now)
        return Open(self._next)

    def returned(self, number: int, now: float) -> None:
        """Take a connection back whose call got its whole reply."""
        connection = self._connections[number]
        connection.state = ConnectionState.IDLE
        connection.control = False
        connection.last_good = now

    def not_opened(self, number: int) -> None:
        """Forget a connection that the searcher never accepted."""
        del self._connections[number]

    def closed(self, number: int, now: float) -> None:
        """Note that a connection was closed here or by the searcher."""
        connection = self._connections[number]
        connection.state = ConnectionState.CLOSING
        connection.counted_until = now + CLOSING_SECONDS

    def condemned(self, number: int, started: float, now: float) -> tuple[int, ...]:
        """Note that a call got no whole reply on a connection, which is closed.

        What made it silent may have lost track of its siblings too. Those that were good since the
        call began are proved to work; the others are closed as well, so that one fault costs one
        call and not one for each kept connection.

        Returns:
            The idle siblings to close.
        """
        self.closed(number, now)
        doubtful = tuple(
            n for n, c in self._connections.items() if _is_idle(c) and c.last_good <= started
        )
        for sibling in doubtful:
            self.closed(sibling, now)
        return doubtful

    def expired(self, now: float) -> tuple[int, ...]:
        """Return the connections that were idle for too long; they count as closed."""
        self._forget_closed(now)
        old = tuple(
            n
            for n, c in self._connections.items()
            if _is_idle(c) and now >= c.last_good + self._idle_seconds
        )
        for number in old:
            self.closed(number, now)
        return old

    def next_expiry(self) -> float | None:
        """Return when `expired` has something to do, None where nothing is kept."""
        times = [
            c.last_good + self._idle_seconds for c in self._connections.values() if _is_idle(c)
        ]
        times += [c.counted_until for c in self._connections.values() if _is_closing(c)]
        return min(times, default=None)

    def _work(self) -> int:
        busy = (c for c in self._connections.values() if c.state is ConnectionState.BUSY)
        return sum(not c.control for c in busy)

    def _room_at(self, now: float) -> float:
        times = [c.counted_until for c in self._connections.values() if _is_closing(c)]
        return min(times, default=now + CLOSING_SECONDS)

    def _forget_closed(self, now: float) -> None:
        gone = [
            n for n, c in self._connections.items() if _is_closing(c) and now >= c.counted_until
        ]
        for number in gone:
            del self._connections[number]


def _is_idle(connection: _Connection) -> bool:
    return connection.state is ConnectionState.IDLE


def _is_closing(connection: _Connection) -> bool:
    return connection.state is ConnectionState.CLOSING
