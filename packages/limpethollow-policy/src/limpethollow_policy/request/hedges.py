"""Latency quantiles and budgets for hedges and retries."""

from bisect import bisect_left, insort
from collections import deque

_WINDOW = 256
_MIN_SAMPLES = 20


class LatencyWindow:
    """Quantiles of the most recent call latencies.

    Args:
        size: Number of latencies kept.
    """

    __slots__ = ("_by_arrival", "_size", "_sorted")

    def __init__(self, size: int = _WINDOW) -> None:
        self._size = size
        self._by_arrival: deque[float] = deque()
        self._sorted: list[float] = []

    @property
    def slowest(self) -> float:
        """The highest latency in the window, 0 if it is empty."""
        return self._sorted[-1] if self._sorted else 0.0

    def add(self, latency: float) -> None:
        """Add the latency of one call in seconds."""
        if len(self._by_arrival) == self._size:
            oldest = self._by_arrival.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._by_arrival.append(latency)
        insort(self._sorted, latency)

    def quantile(self, share: float) -> float | None:
        """Return a quantile in seconds, None if there are too few samples for an estimate."""
        if len(self._sorted) < _MIN_SAMPLES:
            return None
        index = min(int(share * len(self._sorted)), len(self._sorted) - 1)
        return self._sorted[index]


class RatioBudget:
    """Token bucket that limits an action to a share of the calls made, plus a small reserve.

    Without a budget, hedges and retries increase with failures and add load when searchers have the
    least spare capacity, which turns a brown-out into an outage. Tying them to the number of
    regular calls limits the extra load to `share`, whatever fails.

    Args:
        share: Actions allowed per call, 0 to 1.
        reserve: Maximum number of saved actions, and the number available at the start.
    """

    __slots__ = ("_reserve", "_share", "_tokens")

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve if share > 0 else 0.0

    @property
    def share(self) -> float:
        """Actions allowed per call."""
        return self._share

    @property
    def available(self) -> bool:
        """Whether an action is allowed now."""
        return self._tokens >= 1.0

    def earn(self, weight: float = 1.0) -> None:
        """Count one call.

        Args:
            weight: Weight of the call, 0 to 1; lower if there is less capacity for extra calls.
        """
        self._tokens = min(self._tokens + self._share * weight, self._reserve)

    def change_share(self, share: float) -> None:
        """Change the share for future calls; a share of 0 also discards the saved actions."""
        self._share = share
        self._tokens = self._tokens if share > 0 else 0.0

    def spend(self) -> bool:
        """Take one action out of the budget; return False if it is empty."""
        if not self.available:
            return False
        self._tokens -= 1.0
        return True
