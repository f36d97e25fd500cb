"""What all callers' connections of a process use together."""

import asyncio
from typing import Protocol

from limpethollow_node.process import events
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.callerbounds import OWN_BYTES, CallerBounds
from limpethollow_policy.process.memorypools import MemoryPool
from limpethollow_policy.version.routes import CallerLimits


class Holder(Protocol):
    """A caller's connection."""

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, and release its memory."""


class CallerResources:
    """Accounts for callers' requests, and enforces the bound on them.

    Usage:
        resources.hold_received(connection, 40_000, kept=1_000)
        resources.release(connection)

    Args:
        bounds: The bounds of the process.
        metrics: The process's metrics.
    """

    __slots__ = ("_loop", "_metrics", "_received", "bounds")

    def __init__(self, bounds: CallerBounds, metrics: Metrics) -> None:
        self._loop = asyncio.get_running_loop()
        self._metrics = metrics
        self._received: MemoryPool[Holder] = MemoryPool(bounds.received_bytes, OWN_BYTES)
        self.bounds = bounds
        metrics.gauge("callers_received_bytes", lambda: self._received.used)

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

    def release(self, holder: Holder) -> None:
        """Release all memory of a connection that is closed."""
        self._received.release(holder)

    def _report(self, limit: str, used: int) -> None:
        self._metrics.count("callers_limited", limit)
        events.CALLER_LIMIT_REACHED.log(limit=limit, used=used)
