"""Limits the connections that all pools of a process have open together."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

C = TypeVar("C", bound=Hashable)
P = TypeVar("P", bound=Hashable)


class ConnectionBudget(Generic[C, P]):
    """Counts the connections of all pools; at the limit, idle ones make place for new ones.

    Usage:
        if not budget.open(connection, pool):
            idle = budget.take_longest_idle()
            if idle is not None:
                idle.close()

    Args:
        limit: Connections of all pools together.
    """

    __slots__ = ("_idle", "_limit", "_open", "_waiting")

    def __init__(self, limit: float = math.inf) -> None:
        self._limit = limit
        self._open: set[C] = set()
        # In the order in which they became idle, and in which the pools asked.
        self._idle: dict[C, None] = {}
        self._waiting: dict[P, None] = {}

    @property
    def is_short(self) -> bool:
        """Return whether a pool waits for a connection of another one to close."""
        return bool(self._waiting)

    def open(self, connection: C, pool: P) -> bool:
        """Count a new connection; return False if its pool has to wait."""
        if len(self._open) >= self._limit:
            self._waiting[pool] = None
            return False
        self._open.add(connection)
        return True

    def set_idle(self, connection: C) -> None:
        """Record that a connection carries no request."""
        self._idle[connection] = None

    def set_busy(self, connection: C) -> None:
        """Record that a connection carries a request."""
        self._idle.pop(connection, None)

    def take_longest_idle(self) -> C | None:
        """Return the connection that has been idle for the longest, to be closed."""
        connection = next(iter(self._idle), None)
        if connection is not None:
            del self._idle[connection]
        return connection

    def closed(self, connection: C) -> None:
        """Count a connection that was closed or not opened; may be called again for it."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def next_waiting(self) -> P | None:
        """Return the pool that may open a connection now; None if there is none."""
        if not self._waiting or len(self._open) >= self._limit:
            return None
        pool = next(iter(self._waiting))
        del self._waiting[pool]
        return pool
