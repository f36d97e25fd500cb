"""How long a follower of the store waits after changes before it reads the next ones."""

# Changes that come within this time cost one call to the store.
FIRST_SECONDS = 0.25
# While changes go on, the pause doubles up to this. Searchers that leave may be asked for 3 s more,
# and one that is gone shows by its connections, so a second later is soon enough to hear of them.
LONGEST_SECONDS = 1.0


class ChangePace:
    """Reads the first change after a quiet time soon, and those of a long row less often.

    Searchers that start together register one by one: six followers made some 110 calls in five
    seconds to hear of 186 of them, each a quarter of a second after the one before. With pauses
    that double they made 45.
    """

    __slots__ = ("_changed_at", "_pause")

    def __init__(self) -> None:
        self._changed_at = float("-inf")
        self._pause = FIRST_SECONDS

    def changed(self, now: float) -> float:
        """Take in that changes were read; return how many seconds to wait before the next call."""
        if now - self._changed_at > 2 * self._pause:
            self._pause = FIRST_SECONDS
        else:
            self._pause = min(2 * self._pause, LONGEST_SECONDS)
        self._changed_at = now
        return self._pause
