"""What all callers' connections of a process use together."""

import asyncio
from typing import Protocol

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.callerbounds import OWN_BYTES, CallerBounds, ListenerKind
from limpethollow_policy.process.memorypools import MemoryPool
from limpethollow_policy.version.routes import CallerLimits


class Holder(Protocol):
    """A caller's connection."""

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of replies that are buffered."""

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, and release its memory."""

    def abort(self) -> None:
        """Close the connection at once, and release the replies that are buffered."""


class CallerResources:
    """Accounts for callers' requests and unread replies, and enforces the bounds on them.

    Usage:
        resources.hold_received(connection, 40_000, kept=1_000)
        resources.release(connection)

    Args:
        bounds: The bounds of the process.
        metrics: The process's metrics.
    """

    __slots__ = ("_loop", "_metrics", "_received", "_unread", "_unsent", "bounds")

    def __init__(self, bounds: CallerBounds, metrics: Metrics) -> None:
        self._loop = asyncio.get_running_loop()
        self._metrics = metrics
        self._received: MemoryPool[Holder] = MemoryPool(bounds.received_bytes, OWN_BYTES)
        self._unsent: MemoryPool[Holder] = MemoryPool(bounds.unsent_bytes, OWN_BYTES)
        # Connections that count in the pool of unsent replies.
        self._unread: set[Holder] = set()
        self.bounds = bounds
        metrics.gauge("callers_received_bytes", lambda: self._received.used)
        metrics.gauge("callers_unsent_bytes", lambda: self._unsent.used)

    def set_limits(self, limits: CallerLimits) -> None:
        """Make room for a request of the largest allowed size."""
        self._received.set_limit(self.bounds.received_for(limits))

    def hold_received(self, holder: Holder, size: int, kept: int) -> None:
        """Account for a connection's requests; refuse incomplete ones if there are too many.

        Args:
            holder: The connection.
            size: Memory of all its requests.
            kept: Memory of the complete ones among them.
        """
        for evicted in self._received.resize(holder, size, self._loop.time(), kept=kept):
            self._report("received", self._received.used)
            evicted.refuse_incomplete()

    def hold_unsent(self, holder: Holder, size: int) -> bool:
        """Account for a connection's unread replies; abort connections if there are too many.

        Args:
            holder: The connection.
            size: Bytes that are buffered, including those to be written now.

        Returns:
            Whether the reply may be written.
        """
        if size <= OWN_BYTES and holder not in self._unread:
            return True
        if self._unsent.used + size > self._unsent.limit:
            self.refresh_unsent()
        evicted = self._unsent.resize(holder, size, self._loop.time())
        if size > OWN_BYTES:
            self._unread.add(holder)
        else:
            self._unread.discard(holder)
        for each in evicted:
            self._unread.discard(each)
            self._report("unsent", self._unsent.used)
            each.abort()
        return holder not in evicted

    def refresh_unsent(self) -> None:
        """Account for what callers have read meanwhile, of which the transports don't tell."""
        now = self._loop.time()
        for holder in tuple(self._unread):
            size = holder.unsent_bytes
            self._unsent.resize(holder, size, now)
            if size <= OWN_BYTES:
                self._unread.discard(holder)

    def release(self, holder: Holder) -> None:
        """Release all memory of a connection that is closed."""
        self._received.release(holder)
        self._unsent.release(holder)
        self._unread.discard(holder)

    def report_connections(self, kind: ListenerKind, open_now: int) -> None:
        """Log and count a connection that was closed, or refused, for the limit of its listener."""
        self._report(f"{kind.label}_connections", open_now)

    def _report(self, limit: str, used: int) -> None:
        self._metrics.count("callers_limited", limit)
        events.CALLER_LIMIT_REACHED.log(limit=limit, used=used)
