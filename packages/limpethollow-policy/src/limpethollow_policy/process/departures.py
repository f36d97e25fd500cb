"""Searchers that left recently, in case the store is restored from a copy without that change."""

from dataclasses import dataclass

from limpethollow_policy.process.searchers import Searcher

# Longer than an outage of the store plus the age of the copy from which it is restored.
_KEPT_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class _Departure:
    """A searcher as it was when it left, and the monotonic time in seconds when it left."""

    searcher: Searcher
    at: float


class Departures:
    """Records which searcher processes were draining or had their entry removed recently."""

    __slots__ = ("_departures",)

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}

    def add(self, searcher: Searcher, now: float) -> None:
        """Record that a searcher is draining or that its entry was removed."""
        self._departures[searcher.id] = _Departure(searcher, now)

    def discard(self, searcher: Searcher) -> None:
        """Record that the store lists a searcher as ready and has lost no writes before that."""
        self._departures.pop(searcher.id, None)

    def has(self, searcher: Searcher) -> bool:
        """Return whether this process of a searcher left recently."""
        departure = self._departures.get(searcher.id)
        return departure is not None and departure.searcher.incarnation == searcher.incarnation

    def has_drained(self, searcher: Searcher) -> bool:
        """Return whether this process of a searcher recently reported that it is draining."""
        return self.has(searcher) and self._departures[searcher.id].searcher.draining

    def expire(self, now: float) -> None:
        """Drop departures that are too old."""
        for searcher_id, departure in list(self._departures.items()):
            if now - departure.at > _KEPT_SECONDS:
                del self._departures[searcher_id]
