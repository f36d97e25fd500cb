"""Decides when an instance may use its part of the slack that all instances share."""

# Other instances remove an instance from the list after 30 s of silence, and use its part one
# window later. An instance that receives nothing from any other gives up its part before that.
SLACK_RELEASE_SECONDS = 20.0


class SlackClaim:
    """Tracks whether this instance has a part of the slack.

    The parts add up to the whole slack only while every instance counts all others, and a process
    can't know what its predecessor has spent. So an instance has no part until it has been listed
    for the length of a window, nor while others may have removed it from the list.

    Args:
        window: Length of the budget's sliding window in seconds.
        first_start: Whether no earlier process of this instance can have spent anything.
    """

    __slots__ = ("_isolated_since", "_holds_from", "_is_listed", "_wait", "_window")

    def __init__(self, window: float, *, first_start: bool) -> None:
        self._window = window
        self._wait = 0.0 if first_start else window
        self._is_listed = False
        self._isolated_since: float | None = None
        self._holds_from: float | None = None

    def holds(self, now: float) -> bool:
        """Return whether the part may be used now."""
        return self._holds_from is not None and now >= self._holds_from

    def listed(self, is_listed: bool, now: float) -> None:
        """Update whether this instance is on its own list of known instances."""
        self._is_listed = is_listed
        self._update(now)

    def heard(self, others: int, heard: int, now: float) -> None:
        """Update how many others are on the list, and how many of them send messages."""
        if heard or not others:
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now
        self._update(now)

    def set_window(self, window: float, now: float) -> None:
        """Change the length of the window, and wait for one, since earlier spending is unknown."""
        self._window = window
        self._lose()
        self._update(now)

    def _update(self, now: float) -> None:
        alone = (
            self._isolated_since is not None and now - self._isolated_since >= SLACK_RELEASE_SECONDS
        )
        if alone or not self._is_listed:
            self._lose()
        elif self._holds_from is None:
            self._holds_from = now + self._wait

    def _lose(self) -> None:
        if self._holds_from is not None:
            self._holds_from = None
            self._wait = self._window
