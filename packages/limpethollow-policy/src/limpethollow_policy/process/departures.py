"""Searchers that left of late, for when the store comes back without that news."""

from dataclasses import dataclass

from limpethollow_policy.process.searchers import Searcher

# Longer than an outage of the store and the age of the copy that it comes back from.
_KEPT_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class _Departure:
    """A searcher as it was when it left, and the monotonic second of that."""

    searcher: Searcher
    at: float


class Departures:
    """Remembers which processes of searchers were seen to drain, or to lose their entry."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, _Departure] = {}

    def add(self, searcher: Searcher, now: float) -> None:
        """Note that a searcher drains, or has no entry any more."""
        self._left[searcher.id] = _Departure(searcher, now)

    def discard(self, searcher: Searcher) -> None:
        """Note that the store lists a searcher as ready, with nothing lost before."""
        self._left.pop(searcher.id, None)

    def has(self, searcher: Searcher) -> bool:
        """Return whether this process of a searcher left of late."""
        left = self._left.get(searcher.id)
        return left is not None and left.searcher.incarnation == searcher.incarnation

    def has_drained(self, searcher: Searcher) -> bool:
        """Return whether this process of a searcher said of late that it drains."""
        return self.has(searcher) and self._left[searcher.id].searcher.draining

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        for searcher_id, left in list(self._left.items()):
            if now - left.at > _KEPT_SECONDS:
                del self._left[searcher_id]
