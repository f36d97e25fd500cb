"""How many log lines of each kind may be written."""

from collections import Counter

# Lines a second of one event, averaged, and how many may come at once. An instance serves some 30
# requests a second on a heavy day; ten times that still costs under 2 % of a core.
LINES_PER_SECOND = 300.0
LINES_AT_ONCE = 600.0


class LogBudget:
    """Lets each kind of line through up to a rate, and counts the rest.

    Under a flood of refusals or failures the lines would cost more than the requests; the first
    ones of each kind tell what happens, and a count of the others how much.

    Args:
        rate: Lines a second of each event.
        burst: Lines of each event that may come at once.
    """

    __slots__ = ("_burst", "_left", "_rate", "_refilled", "_suppressed")

    def __init__(self, rate: float = LINES_PER_SECOND, burst: float = LINES_AT_ONCE) -> None:
        self._rate = rate
        self._burst = burst
        self._left: dict[int, float] = {}
        self._refilled: dict[int, float] = {}
        self._suppressed: Counter[int] = Counter()

    def allow(self, event: int, now: float) -> bool:
        """Return whether a line of an event may be written now; count it otherwise."""
        passed = now - self._refilled.get(event, now)
        left = min(self._burst, self._left.get(event, self._burst) + passed * self._rate)
        self._refilled[event] = now
        if left < 1.0:
            self._left[event] = left
            self._suppressed[event] += 1
            return False
        self._left[event] = left - 1.0
        return True

    def take_suppressed(self) -> dict[int, int]:
        """Return, and forget, how many lines of each event were not written."""
        suppressed = dict(self._suppressed)
        self._suppressed.clear()
        return suppressed
