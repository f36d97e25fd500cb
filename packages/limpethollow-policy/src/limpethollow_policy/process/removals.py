"""Delays the removal of objects whose entry in the platform's store is gone."""

from collections.abc import Callable

# When the store is restored from an older copy, newer entries are missing. The processes that wrote
# them write them again within two seconds.
REWRITE_GRACE_SECONDS = 3.0


class RemovalDelay:
    """Delays the removal of objects that no longer have an entry.

    While the store is unavailable, the entries of live searchers may all expire at the same moment.
    They are written again with the next heartbeats, within about two seconds of the store's return.
    An instance that acted on the empty list at once would refuse all requests until then.

    Args:
        seconds: Length of the delay. For searchers it must be shorter than the time within which
            requests to a leaving searcher must stop, since its entry may disappear the same way.
    """

    __slots__ = ("_due_at", "seconds")

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._due_at: dict[str, float] = {}

    def add(self, name: str, now: float) -> None:
        """Schedule the removal of a name, unless it is already scheduled."""
        self._due_at.setdefault(name, now + self.seconds)

    def cancel(self, name: str) -> None:
        """Cancel the scheduled removal of a name whose entry exists."""
        self._due_at.pop(name, None)

    def due(self, now: float) -> list[str]:
        """Return the names whose delay has expired and stop tracking them."""
        expired = [name for name, at in self._due_at.items() if at <= now]
        for name in expired:
            del self._due_at[name]
        return expired


class DelayedRemover:
    """Removes deleted objects at once, and only after a delay those that the store may have lost.

    Args:
        remove: Called with the name of each object to remove.
    """

    __slots__ = ("_delay", "_remove")

    def __init__(self, remove: Callable[[str], None]) -> None:
        self._remove = remove
        self._delay = RemovalDelay(REWRITE_GRACE_SECONDS)

    def came(self, name: str) -> None:
        """Record that an object exists."""
        self._delay.cancel(name)

    def went(self, name: str, now: float, *, lost: bool) -> None:
        """Process the disappearance of an object.

        Args:
            name: Name of the object.
            now: Current monotonic time in seconds.
            lost: Whether the object is missing because the store was restored from an older copy,
                so that it may be written again.
        """
        if lost:
            self._delay.add(name, now)
        else:
            self._remove(name)

    def tick(self, now: float) -> None:
        """Remove the objects that were not written again within the delay."""
        for name in self._delay.due(now):
            self._remove(name)
