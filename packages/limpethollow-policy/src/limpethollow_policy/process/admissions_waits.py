"""How long a new search would wait, from how fast waiting ones were started."""

_FIRST_INTERVAL = 0.005
_SMOOTHING = 0.1


class DrainRate:
    """Seconds from one start of a waiting search to the next, while searches wait.

    Measured at the exit of a queue, it covers whatever slows that queue: one slow searcher,
    searches that take many calls each, or other firms' turns.
    """

    __slots__ = ("_interval", "_last", "_others_waited")

    def __init__(self) -> None:
        self._interval = _FIRST_INTERVAL
        self._last = 0.0
        self._others_waited = False

    def started(self, now: float, still_waiting: int) -> None:
        """Note that a search left the queue to run.

        Args:
            now: Monotonic second.
            still_waiting: Searches left behind.
        """
        if self._others_waited:
            self._interval += _SMOOTHING * (now - self._last - self._interval)
        self._last = now
        self._others_waited = still_waiting > 0

    def refilled(self) -> None:
        """Note that a search waits where none did, so that the time without any does not count.

        A queue may empty without a start: searches expire, leave or give way.
        """
        self._others_waited = False

    def wait(self, ahead: float, now: float) -> float:
        """Return the seconds until a search with so many before it would start.

        A queue that has stood still is expected to stand as long again.
        """
        stood = now - self._last if ahead and self._others_waited else 0.0
        return max(ahead * self._interval, stood)
