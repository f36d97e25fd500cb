"""Divides memory among the connections of a process, and decides which of them to close."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

H = TypeVar("H", bound=Hashable)


@dataclass(slots=True)
class _Holding:
    """What one holder has beyond its own part.

    Attributes:
        excess: Bytes beyond the part of its own.
        kept: How many of these an eviction leaves to it.
        since: Monotonic time in seconds since which it has had any.
    """

    excess: int
    kept: int
    since: float


class MemoryPool(Generic[H]):
    """Limits the bytes of all holders together; each also has a part of its own.

    Holders that stay within their own part are never refused, so the bound on the memory of all is
    `limit` plus `own_bytes` for each of them. Beyond it, the holder with the most byte-seconds is
    evicted: clients that keep much for long make place for those that need little or end soon.

    Usage:
        for evicted in pool.resize(connection, 40_000, now):
            evicted.close()

    Args:
        limit: Bytes for all holders together, beyond the parts of their own.
        own_bytes: Bytes that each holder gets in any case.
    """

    __slots__ = ("_holdings", "_limit", "_own_bytes", "_used")

    def __init__(self, limit: int, own_bytes: int) -> None:
        self._limit = limit
        self._own_bytes = own_bytes
        self._used = 0
        self._holdings: dict[H, _Holding] = {}

    @property
    def limit(self) -> int:
        """Return the bytes for all holders together."""
        return self._limit

    @property
    def own_bytes(self) -> int:
        """Return the bytes that each holder gets in any case."""
        return self._own_bytes

    @property
    def used(self) -> int:
        """Return the bytes in use beyond the holders' own parts."""
        return self._used

    def set_limit(self, limit: int) -> None:
        """Change the limit; a lower one takes effect at the next call of `resize`."""
        self._limit = limit

    def resize(
        self, holder: H, size: int, now: float, *, evictable: bool = True, kept: int = 0
    ) -> list[H]:
        """Change the number of bytes of a holder.

        Args:
            holder: The holder.
            size: All its bytes from now on.
            now: Monotonic time in seconds.
            evictable: Whether it may be evicted later, as a complete request may not.
            kept: Bytes that an eviction leaves to it, such as those of its complete requests. They
                were part of its size before.

        Returns:
            The holders to evict, of which only the bytes that are left to them still count. If
            `holder` is among them, it gets no more memory than that.
        """
        since = self._remove(holder)
        excess = size - self._own_bytes
        if excess <= 0:
            return []
        holding = _Holding(
            excess, max(0, min(kept, size) - self._own_bytes), now if since is None else since
        )
        self._holdings[holder] = holding
        self._used += excess
        evicted = self._evict(now)
        if not evictable:
            holding.kept = holding.excess
        return evicted

    def release(self, holder: H) -> None:
        """Return all bytes of a holder."""
        self._remove(holder)

    def _evict(self, now: float) -> list[H]:
        evicted: list[H] = []
        while self._used > self._limit:
            candidates = [h for h, held in self._holdings.items() if held.excess > held.kept]
            if not candidates:
                break
            costliest = max(candidates, key=lambda h: self._byte_seconds(h, now))
            self._shrink(costliest)
            evicted.append(costliest)
        return evicted

    def _byte_seconds(self, holder: H, now: float) -> tuple[float, int]:
        held = self._holdings[holder]
        excess = held.excess - held.kept
        return excess * (now - held.since), excess

    def _shrink(self, holder: H) -> None:
        """Leave to a holder only what it keeps."""
        held = self._holdings[holder]
        self._used -= held.excess - held.kept
        held.excess = held.kept
        if not held.kept:
            del self._holdings[holder]

    def _remove(self, holder: H) -> float | None:
        """Remove a holder; return since when it held more than its own part, None if it didn't."""
        held = self._holdings.pop(holder, None)
        if held is None:
            return None
        self._used -= held.excess
        return held.since
