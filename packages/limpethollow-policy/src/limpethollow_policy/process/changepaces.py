"""Delay between two reads of changes by a follower of the store."""

# Changes that arrive within this time are read with one call to the store. A searcher whose entry
# is removed stays in use as a last choice for a while, and all calls to it must end before the time
# that it was given to leave is over.
INITIAL_PAUSE_SECONDS = 0.25
# Upper bound of the pause, which doubles while changes continue at the first start of the system.
MAX_PAUSE_SECONDS = 1.0


class ChangePace:
    """Chooses short pauses between reads, and growing ones during the first start of the system.

    Searchers that start together register one by one: with a fixed pause of a quarter of a second,
    six followers made some 110 calls in five seconds to read the entries of 186 searchers. With
    doubling pauses they made 45.

    Args:
        slow_until: Monotonic time until which no requests are expected, in seconds. After it, a
            searcher that leaves would get requests after its end if its change were read a second
            late.
    """

    __slots__ = ("_changed_at", "_pause", "_slow_until")

    def __init__(self, slow_until: float) -> None:
        self._slow_until = slow_until
        self._changed_at = float("-inf")
        self._pause = INITIAL_PAUSE_SECONDS

    def changed(self, now: float) -> float:
        """Record that changes were read; return the seconds to wait before the next call."""
        if now >= self._slow_until or now - self._changed_at > 2 * self._pause:
            self._pause = INITIAL_PAUSE_SECONDS
        else:
            self._pause = min(2 * self._pause, MAX_PAUSE_SECONDS)
        self._changed_at = now
        return self._pause
