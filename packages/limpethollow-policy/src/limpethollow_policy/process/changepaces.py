"""How long a follower of the store waits after changes before it reads the next ones."""

# Changes that come within this time cost one call to the store. A searcher whose entry has gone
# stays a last choice for a while, and all must end before the time that it was given to leave.
FIRST_SECONDS = 0.25
# When the whole system starts for the first time, the pause doubles up to this while changes go on.
LONGEST_SECONDS = 1.0


class ChangePace:
    """Reads changes soon, but those of a first start less and less often.

    Searchers that start together register one by one: six followers made some 110 calls in five
    seconds to hear of 186 of them, each a quarter of a second after the one before. With pauses
    that double they made 45.

    Args:
        slow_until: Monotonic second until which nobody calls yet. After it a searcher that leaves
            would get requests past its time if its news were a second late.
    """

    __slots__ = ("_changed_at", "_pause", "_slow_until")

    def __init__(self, slow_until: float) -> None:
        self._slow_until = slow_until
        self._changed_at = float("-inf")
        self._pause = FIRST_SECONDS

    def changed(self, now: float) -> float:
        """Take in that changes were read; return how many seconds to wait before the next call."""
        if now >= self._slow_until or now - self._changed_at > 2 * self._pause:
            self._pause = FIRST_SECONDS
        else:
            self._pause = min(2 * self._pause, LONGEST_SECONDS)
        self._changed_at = now
        return self._pause
