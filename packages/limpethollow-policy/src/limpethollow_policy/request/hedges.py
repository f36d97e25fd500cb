"""When a call is hedged, and how many hedges are allowed."""

from bisect import bisect_left, insort
from collections import deque

_WINDOW = 256
_MIN_SAMPLES = 20


class LatencyWindow:
    """Quantiles of the most recent call latencies.

    Args:
        size: Calls remembered.
    """

    __slots__ = ("_order", "_size", "_sorted")

    def __init__(self, size: int = _WINDOW) -> None:
        self._size = size
        self._order: deque[float] = deque()
        self._sorted: list[float] = []

    @property
    def slowest(self) -> float:
        """The longest latency remembered, 0 where there is none."""
        return self._sorted[-1] if self._sorted else 0.0

    def add(self, latency: float) -> None:
        """Remember one call's latency in seconds."""
        if len(self._order) == self._size:
            oldest = self._order.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._order.append(latency)
        insort(self._sorted, latency)

    def quantile(self, share: float) -> float | None:
        """Return a quantile in seconds, None while there are too few samples to trust."""
        if len(self._sorted) < _MIN_SAMPLES:
            return None
        index = min(int(share * len(self._sorted)), len(self._sorted) - 1)
        return self._sorted[index]


class ShareBudget:
    """Allows an action as a share of the calls made, with a small reserve.

    Without a budget, hedges and retries rise with trouble and add load just when searchers have
    least room: a brown-out becomes an outage. Tying them to calls that were made anyway bounds the
    extra load at `share`, whatever fails.

    Args:
        share: Actions allowed per call, 0 to 1.
        reserve: Actions that may be saved up, and the number allowed at the start.
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
        """Whether one more action is allowed now."""
        return self._tokens >= 1.0

    def earn(self, weight: float = 1.0) -> None:
        """Count one call.

        Args:
            weight: How much the call counts, 0 to 1; less where there is less room for more calls.
        """
        self._tokens = min(self._tokens + self._share * weight, self._reserve)

    def change_share(self, share: float) -> None:
        """Allow another share from now on."""
        self._share = share
        self._tokens = self._tokens if share > 0 else 0.0

    def spend(self) -> bool:
        """Take one action out of the budget; false where it is empty."""
        if not self.available:
            return False
        self._tokens -= 1.0
        return True
