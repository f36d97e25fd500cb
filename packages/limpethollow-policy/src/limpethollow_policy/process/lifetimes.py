"""How long callers may keep the list of instances that they were told."""

from collections.abc import Collection

# Right after a change, callers ask again after this long: an instance that was just lost may be
# back, and the next one of a series of restarts follows within a second or two.
_SHORTEST = 1.0


class ListLifetime:
    """Lets callers keep a list for as long as it has held so far.

    A look-up costs a caller a connect and a request, 14 ms where callers are 3 ms away, before it
    sends the request that it is for: a quarter of a quick route's objective, once a second for
    each caller. An instance that is lost fails each caller once at most, whatever it was told.

    Args:
        longest: Most seconds that callers keep a list anyway.
    """

    __slots__ = ("_changed_at", "_names", "longest")

    def __init__(self, longest: float) -> None:
        self.longest = longest
        self._names: frozenset[str] = frozenset()
        self._changed_at = float("-inf")

    def seconds(self, names: Collection[str], now: float) -> float:
        """Return how many seconds a list holds that is told now.

        Args:
            names: The instances that callers may use.
            now: Monotonic second.
        """
        current = frozenset(names)
        if current != self._names:
            self._names = current
            self._changed_at = now
        return max(_SHORTEST, min(now - self._changed_at, self.longest))
