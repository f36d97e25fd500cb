"""When an instance may use its part of the slack that all instances share."""

# Others take an instance off the list after 30 s of silence, and use its part a window later. One
# that hears nobody gives its part up before that.
UNHEARD_SECONDS = 20.0


class SlackClaim:
    """Says whether this instance has a part of the slack.

    The parts add up to the whole only while each instance counts all others, and a process can't
    know what the one before it has spent. So an instance has no part until it has been on the list
    for a window, nor while others may have taken it off.

    Args:
        window: Length of the budget's sliding window in seconds.
        first_start: Whether no process has spent anything before this one.
    """

    __slots__ = ("_alone_since", "_holds_from", "_is_listed", "_wait", "_window")

    def __init__(self, window: float, *, first_start: bool) -> None:
        self._window = window
        self._wait = 0.0 if first_start else window
        self._is_listed = False
        self._alone_since: float | None = None
        self._holds_from: float | None = None

    def holds(self, now: float) -> bool:
        """Return whether the part may be used now."""
        return self._holds_from is not None and now >= self._holds_from

    def listed(self, is_listed: bool, now: float) -> None:
        """Take in whether this instance is on the list of instances that it knows."""
        self._is_listed = is_listed
        self._update(now)

    def heard(self, others: int, heard: int, now: float) -> None:
        """Take in how many others are on the list, and how many of them are heard."""
        if heard or not others:
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
        self._update(now)

    def use_window(self, window: float, now: float) -> None:
        """Take over another length of the window; what was spent in the old one is not known."""
        self._window = window
        self._lose()
        self._update(now)

    def _update(self, now: float) -> None:
        alone = self._alone_since is not None and now - self._alone_since >= UNHEARD_SECONDS
        if alone or not self._is_listed:
            self._lose()
        elif self._holds_from is None:
            self._holds_from = now + self._wait

    def _lose(self) -> None:
        if self._holds_from is not None:
            self._holds_from = None
            self._wait = self._window
