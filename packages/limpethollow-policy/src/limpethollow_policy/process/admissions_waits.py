"""Estimates the wait of a new search from the rate at which queued searches are started."""

_INITIAL_INTERVAL = 0.005
_SMOOTHING = 0.1


class DrainRate:
    """Moving average of the interval between two starts of queued searches.

    It is measured where searches leave the queue, so it includes everything that slows the queue
    down: a slow searcher, searches that need many calls each, or the turns of other firms.
    """

    __slots__ = ("_interval", "_last_start", "_had_backlog")

    def __init__(self) -> None:
        self._interval = _INITIAL_INTERVAL
        self._last_start = 0.0
        self._had_backlog = False

    def started(self, now: float, still_waiting: int) -> None:
        """Record that a search left the queue to run.

        Args:
            now: Monotonic time in seconds.
            still_waiting: Searches that remain in the queue.
        """
        if self._had_backlog:
            self._interval += _SMOOTHING * (now - self._last_start - self._interval)
        self._last_start = now
        self._had_backlog = still_waiting > 0

    def refilled(self) -> None:
        """Record that a search was added to an empty queue; the idle time before does not count.

        A queue can become empty without a start: searches expire, are cancelled or are evicted.
        """
        self._had_backlog = False

    def wait(self, ahead: float, now: float) -> float:
        """Return the expected seconds until a search with `ahead` searches before it starts.

        A queue that has not moved for some time is expected to stay blocked for as long again.
        """
        blocked = now - self._last_start if ahead and self._had_backlog else 0.0
        return max(ahead * self._interval, blocked)
