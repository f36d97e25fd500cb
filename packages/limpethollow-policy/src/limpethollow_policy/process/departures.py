"""Searchers that left of late, for when the store comes back without that news."""

from limpethollow_policy.process.fleets import Searcher

# Longer than an outage of the store and the age of the copy that it comes back from.
_KEPT_SECONDS = 60.0


class Departures:
    """Remembers which processes of searchers were seen to drain, or to lose their entry."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, tuple[Searcher, float]] = {}

    def add(self, searcher: Searcher, now: float) -> None:
        """Note that a searcher drains, or has no entry any more."""
        self._left[searcher.id] = (searcher, now)

    def discard(self, searcher: Searcher) -> None:
        """Note that the store lists a searcher as ready, with nothing lost before."""
        self._left.pop(searcher.id, None)

    def has(self, searcher: Searcher) -> bool:
        """Return whether this process of a searcher left of late."""
        left, _ = self._left.get(searcher.id, (None, 0.0))
        return left is not None and left.incarnation == searcher.incarnation

    def has_drained(self, searcher: Searcher) -> bool:
        """Return whether this process of a searcher said of late that it drains."""
        return self.has(searcher) and self._left[searcher.id][0].draining

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        for searcher_id, (_, at) in list(self._left.items()):
            if now - at > _KEPT_SECONDS:
                del self._left[searcher_id]
