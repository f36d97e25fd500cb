"""How long something without an entry in the platform's store is still used."""

# Whoever wrote an entry that the store lost with its return writes it again within two seconds.
RETURN_SECONDS = 3.0


class RemovalDelay:
    """Delays the removal of what has no entry any more.

    While the store is away, the entries of living searchers may lapse, all at the same moment. They
    are back with the next heartbeats, within about two seconds of the store's return. An instance
    that believed the empty list at once would refuse everything for that time.

    Args:
        seconds: Length of the delay. For searchers it must be shorter than the time within which a
            leaving one must get no more requests, since it may lose its entry in the same way.
    """

    __slots__ = ("_due", "seconds")

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._due: dict[str, float] = {}

    def add(self, name: str, now: float) -> None:
        """Note that an entry is gone; one that was gone already keeps its time."""
        self._due.setdefault(name, now + self.seconds)

    def cancel(self, name: str) -> None:
        """Note that an entry is there."""
        self._due.pop(name, None)

    def due(self, now: float) -> list[str]:
        """Return, and forget, the names whose time is over."""
        over = [name for name, at in self._due.items() if at <= now]
        for name in over:
            del self._due[name]
        return over
