"""How long something without an entry in the platform's store is still used."""

from collections.abc import Callable

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


class LossDelay:
    """Removes objects that went; those that the store's older copy lacks, only after a while.

    Args:
        remove: Called with the name of each object to remove.
    """

    __slots__ = ("_delay", "_remove")

    def __init__(self, remove: Callable[[str], None]) -> None:
        self._remove = remove
        self._delay = RemovalDelay(RETURN_SECONDS)

    def came(self, name: str) -> None:
        """Note that an object is there."""
        self._delay.cancel(name)

    def went(self, name: str, now: float, *, lost: bool) -> None:
        """Take in that an object is not there any more.

        Args:
            name: Its name.
            now: Monotonic second.
            lost: Whether the store's older copy lacks it, so that it may be written again.
        """
        if lost:
            self._delay.add(name, now)
        else:
            self._remove(name)

    def tick(self, now: float) -> None:
        """Remove what was not written again."""
        for name in self._delay.due(now):
            self._remove(name)
