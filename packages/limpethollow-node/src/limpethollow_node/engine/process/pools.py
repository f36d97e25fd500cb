"""Pools of persistent connections to searchers, within the limit that each searcher allows."""

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from enum import Enum

from limpethollow_node.engine.connection.clients import ClientConnection
from limpethollow_node.engine.connection.replylimits import SEARCHER_LIMITS, ReplyLimits
from limpethollow_node.engine.messages import Reply
from limpethollow_policy.process.connectionbudgets import ConnectionBudget
from limpethollow_policy.request.permits import always

# A connect takes a round trip and a handshake of about 6 ms. An unreachable searcher never answers;
# half a second covers the usual connect and a searcher's pause of 200 ms with a margin.
CONNECT_TIMEOUT = 0.5
# A request that must not run twice is sent only on a connection opened or used this recently. An
# older one may be about to be closed, or its searcher may have become unreachable; then it would be
# unknown whether the request has run. A connect of about 2 ms shows that the searcher is reachable.
_RECENT_SECONDS = 0.15
# An idle connection is closed this long before the searcher would close it.
_CLOSE_EARLY_SECONDS = 1.0
# Idle connections to a searcher that announces no idle timeout are closed after this time.
_IDLE_SECONDS = 45.0

# Errors of a connect that are due to this process or machine, whatever the searcher does.
_OWN_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)

RenderCall = Callable[[], bytes]


class SendWithheld(ConnectionError):
    """The request was no longer allowed when its bytes were to be sent; none was."""


class ConnectionAge(Enum):
    """How recently a call's connection must have been opened or used.

    Attributes:
        ANY: The connection may have been idle for long.
        RECENT: It was opened or used recently, so the searcher is likely to be reachable.
        NEW: It is opened for the call, so the searcher is reachable, and carries no other call.
    """

    ANY = "any"
    RECENT = "recent"
    NEW = "new"


class Call:
    """One request to one searcher.

    Args:
        render: Returns the request line and headers; called when they are sent, since they contain
            the remaining time.
        on_reply: Called with the complete reply.
        on_failed: Called with the error instead; `sent` then tells whether bytes had been sent.
        age: How recently the connection must have been opened or used.
        head: Whether the method is HEAD.
        body: The request's body, to which calls to several searchers refer.
        request_id: Id that the reply echoes, unchanged when a request is sent again; None if the
            server echoes none.
        may_send: Returns whether the request is still allowed; asked when its bytes are sent, which
            may be long after the call was made.
    """

    __slots__ = (
        "_reply_connection",
        "_connection",
        "_pool",
        "_request_id",
        "age",
        "body",
        "head",
        "may_send",
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
        body: bytes = b"",
        request_id: bytes | None = None,
        may_send: Callable[[], bool] = always,
    ) -> None:
        self._request_id = request_id
        self.may_send = may_send
        self.render = render
        self.on_reply = on_reply
        self.on_failed = on_failed
        self.age = age
        self.body = body
        self.head = head
        self.sent = False
        self._pool: Pool | None = None
        self._connection: ClientConnection | None = None
        self._reply_connection: ClientConnection | None = None

    @property
    def is_in_reply(self) -> bool:
        """Return whether a part of the reply has arrived, but not all of it."""
        return self._connection is not None and self._connection.reply_started

    def set_pool(self, pool: "Pool") -> None:
        """Record the pool in which the call waits for a connection."""
        self._pool = pool

    def may_use(self, connection: ClientConnection) -> bool:
        """Return whether a reply or close on a connection can only be due to this call."""
        if self.age is ConnectionAge.NEW and connection.was_used:
            return False
        return self._request_id is None or self._request_id not in connection.carried

    def write_to(self, connection: ClientConnection) -> None:
        """Send the request."""
        self.sent = True
        self._connection = connection
        connection.send(
            self.render(),
            self._on_reply,
            self._on_error,
            head=self.head,
            body=self.body,
            may_send=self.may_send,
        )

    def withhold(self) -> None:
        """Fail the call, of which no byte was sent, because it is no longer allowed."""
        self.on_failed(SendWithheld("The request is no longer allowed."))

    def cancel(self) -> None:
        """Discard the reply, and close the connection so that the searcher stops its work.

        Keeping the connection would save a connect, but the searcher would work on: one that was
        paused would process all calls whose hedges had already won before it accepts a new one.
        """
        self.on_reply = self.on_failed = _discard
        if not self.sent:
            self._leave_queue()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def close_reply_connection(self) -> None:
        """Close the connection of the reply, which belonged to another request.

        The reply to this call may still arrive there, in place of the reply to the next one.
        """
        if self._reply_connection is not None:
            self._reply_connection.close()

    def _leave_queue(self) -> None:
        if self._pool is not None:
            self._pool.dequeue(self)

    def _on_reply(self, reply: Reply) -> None:
        self._reply_connection, self._connection = self._connection, None
        if self._request_id is not None:
            self._reply_connection.carried.add(self._request_id, reply.status)
        self.on_reply(reply)

    def _on_error(self, error: Exception) -> None:
        self._connection = None
        self.on_failed(error)


class Pool:
    """The connections to one searcher.

    Args:
        address: Host and port.
        share: Connections that this instance may have open. Below one, it opens a connection for
            a call and closes it after the reply: if more instances kept one than a searcher
            accepts, the searcher would reset them, and a request that must not run twice could not
            be retried after a reset.
        on_unreachable: Called with the error when a connection can't be opened.
        on_alive: Called when the searcher accepted a connection or replied.
        limits: Limits on replies.
        budget: Counts the connections of all pools of the process; None for no limit.
    """

    __slots__ = (
        "_budget",
        "_closed",
        "_host",
        "_idle",
        "_limits",
        "_loop",
        "_on_alive",
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
        on_alive: Callable[[], None] = lambda: None,
        limits: ReplyLimits = SEARCHER_LIMITS,
        budget: ConnectionBudget[ClientConnection, "Pool"] | None = None,
    ) -> None:
        self._budget = budget or ConnectionBudget()
        self._limits = limits
        self._on_alive = on_alive
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
        """Return the maximum number of open connections."""
        return max(1, int(self.share))

    @property
    def keeps_idle(self) -> bool:
        """Return whether connections stay open between calls."""
        return self.share >= 1

    def send(self, call: Call) -> None:
        """Send a call on an idle connection, or as soon as one is open or idle."""
        if not call.may_send():
            # Later, so that the caller of this method has returned when the outcome is handled.
            self._loop.call_soon(call.withhold)
            return
        connection = self._take_idle(call)
        if connection is not None:
            call.write_to(connection)
            return
        call.set_pool(self)
        self._waiting.append(call)
        if len(self._open) + len(self._opening) >= self.limit and self._idle:
            # The limit is reached, and no idle connection is suitable for this call.
            self._idle.pop(0).close()
        if len(self._open) + len(self._opening) < self.limit:
            self._start_connect()

    def warm(self) -> None:
        """Open a first connection before a call needs it."""
        if not self._open:
            self.probe()

    def probe(self) -> None:
        """Open a connection to check whether the searcher is reachable."""
        if not self._opening and not self._closed:
            self._start_connect()

    def dequeue(self, call: Call) -> None:
        """Remove a call that was not sent yet."""
        if call in self._waiting:
            self._waiting.remove(call)

    def fail_unsent(self) -> None:
        """Fail the calls that were not sent yet, so that their requests are sent elsewhere."""
        self._fail_waiting(
            ConnectionError("The searcher is draining or evacuated and gets no new calls.")
        )

    def sweep(self, now: float) -> None:
        """Close connections that exceeded the idle timeout, or all if none may be kept idle."""
        for connection in [c for c in self._idle if not self.keeps_idle or _is_stale(c, now)]:
            self._idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Close all connections, those in use once their calls end; the searcher is gone."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        self._fail_waiting(ConnectionError("The searcher was removed."))

    def _start_connect(self) -> bool:
        """Open a connection; return False if another one of the process has to close first."""
        connection = ClientConnection(self._on_idle, self._on_closed, self._limits)
        if not self._budget.open(connection, self):
            idle = self._budget.take_longest_idle()
            if idle is not None:
                idle.close()
            return False
        task = self._loop.create_task(self._connect(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    def _connect_waiting(self) -> None:
        """Open connections for the waiting calls, now that others have closed."""
        for _ in range(len(self._waiting) - len(self._opening)):
            if self._closed or len(self._open) + len(self._opening) >= self.limit:
                return
            if not self._start_connect():
                return

    def _release(self, connection: ClientConnection) -> None:
        """Let other pools use the place of a closed connection."""
        self._budget.closed(connection)
        while (pool := self._budget.next_waiting()) is not None:
            pool._connect_waiting()

    async def _connect(self, connection: ClientConnection) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self._loop.create_connection(lambda: connection, self._host, self._port)
        except (OSError, TimeoutError) as error:
            self._release(connection)
            self._on_unreachable(error)
            self._fail_waiting(error)
            return
        self._on_alive()
        self._open.add(connection)
        if connection.usable:
            self._on_idle(connection)
        else:
            # It was reset before its first use, e.g. by a searcher with too many connections.
            self._open.discard(connection)
            error = ConnectionResetError("The searcher closed a new connection immediately.")
            self._on_unreachable(error)
            self._fail_waiting(error)

    def _on_idle(self, connection: ClientConnection) -> None:
        if self._closed:
            connection.close()
            return
        # Every complete reply leads here, unless the searcher closes the connection after it.
        self._on_alive()
        call = self._next_for(connection)
        if call is not None:
            call.write_to(connection)
            return
        if (
            self._waiting
            or not self.keeps_idle
            or connection.carried.is_full
            or self._budget.is_short
        ):
            connection.close()
            return
        connection.idle_since = self._loop.time()
        self._budget.set_idle(connection)
        self._idle.append(connection)

    def _on_closed(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        self._release(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        # A call that is no longer allowed needs no connection; the one behind it does.
        while self._waiting and not self._waiting[0].may_send():
            self._loop.call_soon(self._waiting.popleft().withhold)
        if self._waiting and not self._closed and len(self._open) + len(self._opening) < self.limit:
            self.send(self._waiting.popleft())

    def _next_for(self, connection: ClientConnection) -> Call | None:
        """Remove and return the first waiting call that may use a connection.

        Those before it that are no longer allowed are removed, too, and fail.
        """
        for call in tuple(self._waiting):
            if not call.may_use(connection):
                continue
            self._waiting.remove(call)
            if call.may_send():
                return call
            self._loop.call_soon(call.withhold)
        return None

    def _take_idle(self, call: Call) -> ClientConnection | None:
        """Remove and return the most recently used idle connection that suits a call."""
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
            self._budget.set_busy(connection)
            if connection.usable and not _is_stale(connection, now):
                return connection
            connection.close()
        return None

    def _fail_waiting(self, error: Exception) -> None:
        waiting, self._waiting = self._waiting, deque()
        for call in waiting:
            call.on_failed(error)


def is_own_shortage(error: Exception) -> bool:
    """Return whether a connect failed because this process or machine lacks something."""
    return isinstance(error, OSError) and error.errno in _OWN_ERRORS


def _is_stale(connection: ClientConnection, now: float) -> bool:
    max_idle = _IDLE_SECONDS
    if connection.idle_timeout is not None:
        max_idle = max(connection.idle_timeout - _CLOSE_EARLY_SECONDS, connection.idle_timeout / 2)
    return now - connection.idle_since > max_idle


def _discard(_: object) -> None:
    """Ignore the outcome of a cancelled call."""
