"""Rate limits for log lines."""

from collections import Counter

# Average lines per second of one event, and maximum burst. An instance serves some 30 requests a
# second on a busy day; ten times as many log lines still cost less than 2 % of a core.
LINES_PER_SECOND = 300.0
LINES_AT_ONCE = 600.0


class LogBudget:
    """Limits the rate of log lines by event and counts the suppressed ones.

    During a flood of refusals or failures, logging would cost more than the requests. The first
    lines of each event show what happens, and the count of the others shows how often.

    Args:
        rate: Lines per second of each event.
        burst: Maximum number of lines of each event at once.
    """

    __slots__ = ("_burst", "_tokens", "_rate", "_refilled_at", "_suppressed")

    def __init__(self, rate: float = LINES_PER_SECOND, burst: float = LINES_AT_ONCE) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens: dict[int, float] = {}
        self._refilled_at: dict[int, float] = {}
        self._suppressed: Counter[int] = Counter()

    def allow(self, event: int, now: float) -> bool:
        """Return whether a line of an event may be written now; count it if not."""
        elapsed = now - self._refilled_at.get(event, now)
        tokens = min(self._burst, self._tokens.get(event, self._burst) + elapsed * self._rate)
        self._refilled_at[event] = now
        if tokens < 1.0:
            self._tokens[event] = tokens
            self._suppressed[event] += 1
            return False
        self._tokens[event] = tokens - 1.0
        return True

    def take_suppressed(self) -> dict[int, int]:
        """Return and reset the number of suppressed lines by event."""
        suppressed = dict(self._suppressed)
        self._suppressed.clear()
        return suppressed
