"""Whether this instance is cut off from everything that it needs to serve callers."""

# Calls to searchers without any answer for this long are no coincidence: pauses are 0.2 s at most,
# and single searchers that hang don't silence the others.
STALLED_SECONDS = 0.6


class Isolation:
    """Watches for the moment at which neither a peer nor a searcher answers any more.

    Callers may still reach an instance whose network to the rest is cut. Requests that it took
    would hang until their deadlines, and a booking sent into the cut can't be called back; a
    refusal at once sends its callers to the other instances.

    Both signs are needed. Searchers alone may all be slow; peers alone may all be gone.
    """

    __slots__ = ("_called_at", "is_isolated")

    def __init__(self) -> None:
        self._called_at: float | None = None
        self.is_isolated = False

    def called(self, now: float) -> None:
        """Note that a call goes to a searcher."""
        if self._called_at is None:
            self._called_at = now

    def answered(self) -> None:
        """Note that a searcher answered, or took a connection."""
        self._called_at = None
        self.is_isolated = False

    def look(self, others: int, heard: int, now: float) -> bool:
        """Decide anew; called a few times a second.

        Args:
            others: Other instances that are known.
            heard: How many of them are heard.
            now: Monotonic second.

        Returns:
            Whether the instance became isolated with this look.
        """
        if heard or not others:
            self.is_isolated = False
            return False
        stalled = self._called_at is not None and now - self._called_at > STALLED_SECONDS
        became = stalled and not self.is_isolated
        self.is_isolated = self.is_isolated or stalled
        return became
