"""Connections to searchers: kept open between calls, never more than the searcher allows."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum

from limpethollow_node.engine.connection.clients import ClientConnection
from limpethollow_node.engine.messages import Reply

# A connect takes a round trip and a handshake of some 6 ms. A searcher that is dark never answers;
# half a second is a pause of 200 ms with room to spare.
CONNECT_TIMEOUT = 0.5
# A request that may run once is sent only on a connection that was opened or used this recently.
# An older one may be about to be closed, or its searcher may have gone dark; then nobody could say
# whether the request has run. A connect of some 2 ms shows that the searcher is there.
_RECENT_SECONDS = 0.15
# A kept connection is closed this long before the searcher would close it.
_CLOSE_EARLY_SECONDS = 1.0
# Idle connections of a searcher that names no timeout are closed after this time.
_IDLE_SECONDS = 45.0

RenderCall = Callable[[], bytes]


class ConnectionAge(Enum):
    """What a call asks of its connection.

    Attributes:
        ANY: It may have been idle for long.
        RECENT: It was opened or used just now, so that the searcher is likely to be there.
        NEW: It is opened for the call, so that the searcher is there, and carries nothing else.
    """

    ANY = "any"
    RECENT = "recent"
    NEW = "new"


class Call:
    """One request to one searcher.

    Args:
        render: Returns the request's bytes; called when they are sent, since they hold the time
            that is left.
        on_reply: Called with the whole reply.
        on_failed: Called instead with the error; `sent` then says whether bytes had gone out.
        age: What it asks of its connection.
        head: Whether the method is HEAD.
        request_id: Id that the reply echoes, the same where a request is sent again; None where
            the server echoes none.
    """

    __slots__ = (
        "_answered_on",
        "_connection",
        "_pool",
        "_request_id",
        "age",
        "head",
        "on_failed",
        "on_reply",
        "render",
        "sent",
    )

    def __init__(
        self,
        render: RenderCall,
        on_reply: Callable[[Reply], None],
        on_failed: Callable[[Exception], None],
        *,
        age: ConnectionAge = ConnectionAge.ANY,
        head: bool,
        request_id: bytes | None = None,
    ) -> None:
        self._request_id = request_id
        self.render = render
        self.on_reply = on_reply
        self.on_failed = on_failed
        self.age = age
        self.head = head
        self.sent = False
        self._pool: Pool | None = None
        self._connection: ClientConnection | None = None
        self._answered_on: ClientConnection | None = None

    def queued(self, pool: "Pool") -> None:
        """Note where the call waits for a connection."""
        self._pool = pool

    def may_use(self, connection: ClientConnection) -> bool:
        """Return whether a reply on a connection, or its end, can only be due to this call."""
        if self.age is ConnectionAge.NEW and connection.was_used:
            return False
        return self._request_id is None or self._request_id not in connection.carried

    def write_to(self, connection: ClientConnection) -> None:
        """Send the request."""
        self.sent = True
        self._connection = connection
        connection.send(self.render(), self._replied, self._broke, head=self.head)

    def cancel(self) -> None:
        """Want no reply any more; the searcher sees the connection close and stops its work.

        The connection is given up for that. Kept it would spare a connect, but the searcher works
        on: one that was paused goes through all calls that lost to their second sends before it
        takes a new one.
        """
        self.on_reply = self.on_failed = _ignore
        if not self.sent:
            self._unqueue()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def distrust(self) -> None:
        """Close the connection that brought the reply: it was to another request.

        The reply to this one may still come, where that to the next is due.
        """
        if self._answered_on is not None:
            self._answered_on.close()

    def _unqueue(self) -> None:
        if self._pool is not None:
            self._pool.withdraw(self)

    def _replied(self, reply: Reply) -> None:
        self._answered_on, self._connection = self._connection, None
        if self._request_id is not None:
            self._answered_on.carried.add(self._request_id, reply.status)
        self.on_reply(reply)

    def _broke(self, error: Exception) -> None:
        self._connection = None
        self.on_failed(error)


class Pool:
    """The connections to one searcher.

    Args:
        address: Host and port.
        share: Connections that this instance may have open. Under one, it opens one for a call and
            closes it after the reply: where more instances keep one than a searcher takes, it
            resets them, and a request that runs into a reset may not be repeated where it may run
            once only.
        on_unreachable: Called with the error when a connection can't be opened.
        on_sign: Called when the searcher took a connection or replied.
    """

    __slots__ = (
        "_closed",
        "_host",
        "_idle",
        "_loop",
        "_on_sign",
        "_on_unreachable",
        "_open",
        "_opening",
        "_port",
        "_waiting",
        "share",
    )

    def __init__(
        self,
        address: str,
        share: float,
        on_unreachable: Callable[[Exception], None],
        on_sign: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_sign = on_sign
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.share = share
        self._on_unreachable = on_unreachable
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._open: set[ClientConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._waiting: deque[Call] = deque()
        self._closed = False

    @property
    def limit(self) -> int:
        """Return how many connections may be open."""
        return max(1, int(self.share))

    @property
    def keeps_idle(self) -> bool:
        """Return whether connections stay open between calls."""
        return self.share >= 1

    def send(self, call: Call) -> None:
        """Send a call on an idle connection, or as soon as one is open or idle."""
        connection = self._take_idle(call)
        if connection is not None:
            call.write_to(connection)
            return
        call.queued(self)
        self._waiting.append(call)
        if len(self._open) + len(self._opening) >= self.limit and self._idle:
            # All the connections that may be open are idle, and none is good for this call.
            self._idle.pop(0).close()
        if len(self._open) + len(self._opening) < self.limit:
            self._start_connect()

    def warm(self) -> None:
        """Open a first connection before a call needs it."""
        if not self._open:
            self.probe()

    def probe(self) -> None:
        """Open a connection to see whether the searcher answers."""
        if not self._opening and not self._closed:
            self._start_connect()

    def withdraw(self, call: Call) -> None:
        """Forget a call that was not sent yet."""
        if call in self._waiting:
            self._waiting.remove(call)

    def refuse_waiting(self) -> None:
        """Fail the calls that have not been sent; their requests go elsewhere."""
        self._fail_waiting(ConnectionError("The searcher gets no new calls."))

    def sweep(self, now: float) -> None:
        """Close connections that were idle for too long, or all where none may be kept."""
        for connection in [c for c in self._idle if not self.keeps_idle or _is_stale(c, now)]:
            self._idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Close all connections once the calls on them have ended; the searcher is gone."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        self._fail_waiting(ConnectionError("The searcher is gone."))

    def _start_connect(self) -> None:
        task = self._loop.create_task(self._connect())
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(self._became_idle, self._was_closed),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError) as error:
            self._on_unreachable(error)
            self._fail_waiting(error)
            return
        self._on_sign()
        self._open.add(connection)
        if connection.usable:
            self._became_idle(connection)
        else:
            # It was reset before it was used, as by a searcher with too many connections.
            self._open.discard(connection)
            error = ConnectionResetError("The searcher closed a new connection at once.")
            self._on_unreachable(error)
            self._fail_waiting(error)

    def _became_idle(self, connection: ClientConnection) -> None:
        if self._closed:
            connection.close()
            return
        # Every whole reply ends here, or with a connection that the searcher closes.
        self._on_sign()
        call = self._next_for(connection)
        if call is not None:
            call.write_to(connection)
            return
        if self._waiting or not self.keeps_idle or connection.carried.is_full:
            connection.close()
            return
        connection.idle_since = self._loop.time()
        self._idle.append(connection)

    def _was_closed(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and not self._closed and len(self._open) + len(self._opening) < self.limit:
            self.send(self._waiting.popleft())

    def _next_for(self, connection: ClientConnection) -> Call | None:
        """Take the first waiting call that may use a connection."""
        call = next((call for call in self._waiting if call.may_use(connection)), None)
        if call is not None:
            self._waiting.remove(call)
        return call

    def _take_idle(self, call: Call) -> ClientConnection | None:
        """Take the connection that was used last and is good for a call."""
        if call.age is ConnectionAge.NEW:
            return None
        now = self._loop.time()
        for connection in reversed(tuple(self._idle)):
            age = now - connection.idle_since
            if call.age is ConnectionAge.RECENT and age > _RECENT_SECONDS:
                return None
            if not call.may_use(connection):
                continue
            self._idle.remove(connection)
            if connection.usable and not _is_stale(connection, now):
                return connection
            connection.close()
        return None

    def _fail_waiting(self, error: Exception) -> None:
        waiting, self._waiting = self._waiting, deque()
        for call in waiting:
            call.on_failed(error)


def _is_stale(connection: ClientConnection, now: float) -> bool:
    allowed = _IDLE_SECONDS
    if connection.idle_timeout is not None:
        allowed = max(connection.idle_timeout - _CLOSE_EARLY_SECONDS, connection.idle_timeout / 2)
    return now - connection.idle_since > allowed


def _ignore(_: object) -> None:
    """Take no notice of the outcome of a call that nobody waits for."""
