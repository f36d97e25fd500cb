"""How long a searcher without an entry in the platform's store is still a last choice."""


class RemovalDelay:
    """Delays the removal of searchers whose entries went away.

    While the store is away, the entries of living searchers may lapse, all at the same moment. They
    are back with the next heartbeats, within about two seconds of the store's return. An instance
    that believed the empty list at once would refuse everything for that time.

    Args:
        seconds: Length of the delay; must be shorter than the time within which a leaving searcher
            must get no more requests, since a leaving one may lose its entry in the same way.
    """

    __slots__ = ("_due", "seconds")

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._due: dict[str, float] = {}

    def add(self, searcher_id: str, now: float) -> None:
        """Note that an entry is gone; one that was gone already keeps its time."""
        self._due.setdefault(searcher_id, now + self.seconds)

    def cancel(self, searcher_id: str) -> None:
        """Note that an entry is there."""
        self._due.pop(searcher_id, None)

    def due(self, now: float) -> list[str]:
        """Return, and forget, the searchers to remove now."""
        over = [searcher_id for searcher_id, at in self._due.items() if at <= now]
        for searcher_id in over:
            del self._due[searcher_id]
        return over
