"""The budget for repeated sends to a service: retries and hedges together."""

from limpethollow_policy.process.slackclaims import SlackClaim

BUCKETS = 20
# Sends in flight at the end of a window are counted in the next window at the searchers. A reserve
# of one tenth covers such sends at both ends of a window.
_USABLE_FRACTION = 0.9


class SendWindow:
    """Counts the requests and repeated sends of one service over a sliding window.

    Args:
        seconds: Length of the window.
    """

    __slots__ = (
        "_bucket_seconds",
        "_repeats",
        "_requests",
        "_sum_repeats",
        "_sum_requests",
        "_bucket",
    )

    def __init__(self, seconds: float) -> None:
        self._bucket_seconds = seconds / BUCKETS
        self._requests = [0] * (BUCKETS + 1)
        self._repeats = [0] * (BUCKETS + 1)
        self._sum_requests = 0
        self._sum_repeats = 0
        self._bucket = 0

    def request(self, now: float) -> None:
        """Count a caller's request."""
        self._advance(now)
        self._requests[self._bucket % (BUCKETS + 1)] += 1
        self._sum_requests += 1

    def repeat(self, now: float) -> None:
        """Count a send of a request after its first one."""
        self._advance(now)
        self._repeats[self._bucket % (BUCKETS + 1)] += 1
        self._sum_repeats += 1

    def requests_in_window(self, now: float) -> int:
        """Return the number of callers' requests in the window that ends now."""
        self._advance(now)
        return self._sum_requests

    def repeats_in_window(self, now: float) -> int:
        """Return the number of repeated sends in the window that ends now."""
        self._advance(now)
        return self._sum_repeats

    def _advance(self, now: float) -> None:
        turn = int(now / self._bucket_seconds)
        if turn <= self._bucket:
            return
        steps = min(turn - self._bucket, BUCKETS + 1)
        for step in range(1, steps + 1):
            slot = (turn - steps + step) % (BUCKETS + 1)
            self._sum_requests -= self._requests[slot]
            self._sum_repeats -= self._repeats[slot]
            self._requests[slot] = self._repeats[slot] = 0
        self._bucket = turn


class _SearchWindow(SendWindow):
    """Counts the searches over one set of shards; their repeats are counted by shard.

    Args:
        seconds: Length of the window.
        shards: The services that each search calls.
    """

    __slots__ = ("shards",)

    def __init__(self, seconds: float, shards: tuple[str, ...]) -> None:
        super().__init__(seconds)
        self.shards = frozenset(shards)


class SendBudget:
    """Keeps the repeated sends of all instances within a common limit without coordination.

    The limit applies to all instances together: a ratio of the requests for a service, plus a fixed
    slack. Each instance applies the ratio to its own requests and uses its part of the slack. The
    repeats of an instance that has left still count in the window, so the slack is divided by the
    maximum number of instances within a window. The claim decides whether this instance has a part.

    Args:
        ratio: Repeats allowed per request.
        slack: Additional repeats allowed for all instances together.
        window: Length of the sliding window in seconds.
        claim: Decides when the slack may be used; without it, always.
    """

    __slots__ = (
        "_claim",
        "_sharer_counts",
        "_ratio",
        "_search_windows",
        "_slack",
        "_window",
        "_windows",
    )

    def __init__(
        self, ratio: float, slack: float, window: float, claim: SlackClaim | None = None
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._claim = claim
        self._sharer_counts: list[tuple[float, float]] = []
        self._windows: dict[str, SendWindow] = {}
        self._search_windows: dict[tuple[str, ...], _SearchWindow] = {}

    def set_limits(self, ratio: float, slack: float, window: float, now: float) -> None:
        """Apply changed limits; if the window's length changes, counting starts from zero."""
        self._ratio, self._slack = ratio, slack
        if window != self._window:
            self._window = window
            self._windows.clear()
            self._search_windows.clear()
            if self._claim is not None:
                self._claim.set_window(window, now)

    def share_among(self, share_divisor: float, now: float) -> None:
        """Set how many parts of this instance's size the slack is divided into from now on."""
        expires = now + self._window
        earlier = [
            (min(until, expires), count) for until, count in self._sharer_counts if until > now
        ]
        self._sharer_counts = [(until, count) for until, count in earlier if count > share_divisor]
        self._sharer_counts.append((float("inf"), share_divisor))

    def room(self, service: str, now: float) -> float:
        """Return the number of repeats to a service that the budget allows now."""
        requests = self._window_of(service).requests_in_window(now)
        for searches in self._search_windows.values():
            if service in searches.shards:
                requests += searches.requests_in_window(now)
        allowed = _USABLE_FRACTION * self._ratio * requests + self._slack_part(now)
        return allowed - self._window_of(service).repeats_in_window(now)

    def _slack_part(self, now: float) -> float:
        """Return the part of the slack that this instance may use."""
        if self._claim is not None and not self._claim.holds(now):
            return 0.0
        return _USABLE_FRACTION * self._slack / self._max_sharers(now)

    def _max_sharers(self, now: float) -> float:
        return max((count for until, count in self._sharer_counts if until > now), default=1.0)

    def request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._window_of(service).request(now)

    def search(self, shards: tuple[str, ...], now: float) -> None:
        """Count a caller's search, which makes one request to each of several services.

        It is counted once for all of them, which takes less than 1 us (`timeit`); counting 87
        shards one by one takes 15 us of a core.
        """
        window = self._search_windows.get(shards)
        if window is None:
            self._drop_idle_search_windows(now)
            window = self._search_windows[shards] = _SearchWindow(self._window, shards)
        window.request(now)

    def _drop_idle_search_windows(self, now: float) -> None:
        """Drop the sets of shards that no search in the window has used."""
        self._search_windows = {
            shards: window
            for shards, window in self._search_windows.items()
            if window.requests_in_window(now) > 0
        }

    def take(self, service: str, now: float, reserve: float = 0.0) -> bool:
        """Take one repeat from the budget; return False if none is left.

        Args:
            service: The service that gets the repeat.
            now: Current monotonic time in seconds.
            reserve: Fraction of the slack, 0 to 1, that this repeat must leave for others. Hedges
                leave some, so that a request whose only send failed can still be repeated.
        """
        if self.room(service, now) < 1 + reserve * self._slack_part(now):
            return False
        self._window_of(service).repeat(now)
        return True

    def _window_of(self, service: str) -> SendWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = SendWindow(self._window)
        return window
