"""Detects that this instance is cut off from its peers and all searchers."""

# Calls to searchers without any answer for this long indicate a network failure: pauses last 0.2 s
# at most, and a single searcher that hangs doesn't keep the others from answering.
STALLED_SECONDS = 0.6


class Isolation:
    """Detects when neither peers nor searchers answer any more.

    Callers may still reach an instance that is cut off from the rest of the network. Requests that
    it accepted would hang until their deadlines, and a booking sent on a broken connection can't be
    recalled; an immediate refusal makes its callers use the other instances.

    Both conditions are required: without answers from searchers only, all of them may be slow;
    without peers only, all of them may have ended.
    """

    __slots__ = ("_unanswered_since", "is_isolated")

    def __init__(self) -> None:
        self._unanswered_since: float | None = None
        self.is_isolated = False

    def called(self, now: float) -> None:
        """Record that a call is sent to a searcher."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def answered(self) -> None:
        """Record that a searcher answered or accepted a connection."""
        self._unanswered_since = None
        self.is_isolated = False

    def look(self, others: int, heard: int, now: float) -> bool:
        """Update the state; called a few times a second.

        Args:
            others: Number of other known instances.
            heard: Number of them that are heard.
            now: Monotonic time in seconds.

        Returns:
            Whether the instance became isolated with this update.
        """
        if heard or not others:
            self.is_isolated = False
            return False
        stalled = (
            self._unanswered_since is not None and now - self._unanswered_since > STALLED_SECONDS
        )
        became = stalled and not self.is_isolated
        self.is_isolated = self.is_isolated or stalled
        return became
