"""How many repeated sends to a service this instance may make: retries and hedges together."""

from limpethollow_policy.process.slackclaims import SlackClaim

BUCKETS = 20
# Sends that are on their way when a window ends are counted in the next one at the searchers.
# Keeping a tenth back covers a window's worth of such sends at each end.
_USABLE = 0.9


class SendWindow:
    """Requests and repeated sends of one service over a sliding window.

    Args:
        seconds: Length of the window.
    """

    __slots__ = (
        "_bucket_seconds",
        "_repeats",
        "_requests",
        "_sum_repeats",
        "_sum_requests",
        "_turn",
    )

    def __init__(self, seconds: float) -> None:
        self._bucket_seconds = seconds / BUCKETS
        self._requests = [0] * (BUCKETS + 1)
        self._repeats = [0] * (BUCKETS + 1)
        self._sum_requests = 0
        self._sum_repeats = 0
        self._turn = 0

    def request(self, now: float) -> None:
        """Count a caller's request."""
        self._advance(now)
        self._requests[self._turn % (BUCKETS + 1)] += 1
        self._sum_requests += 1

    def repeat(self, now: float) -> None:
        """Count a send beyond a request's first."""
        self._advance(now)
        self._repeats[self._turn % (BUCKETS + 1)] += 1
        self._sum_repeats += 1

    def requests_until(self, now: float) -> int:
        """Return the callers' requests within the window that ends now."""
        self._advance(now)
        return self._sum_requests

    def repeats_until(self, now: float) -> int:
        """Return the sends beyond requests' first ones within the window that ends now."""
        self._advance(now)
        return self._sum_repeats

    def _advance(self, now: float) -> None:
        turn = int(now / self._bucket_seconds)
        if turn <= self._turn:
            return
        steps = min(turn - self._turn, BUCKETS + 1)
        for step in range(1, steps + 1):
            slot = (turn - steps + step) % (BUCKETS + 1)
            self._sum_requests -= self._requests[slot]
            self._sum_repeats -= self._repeats[slot]
            self._requests[slot] = self._repeats[slot] = 0
        self._turn = turn


class _SearchWindow(SendWindow):
    """Searches over one set of shards; their repeats are counted by shard.

    Args:
        seconds: Length of the window.
        shards: The services that each search asks.
    """

    __slots__ = ("shards",)

    def __init__(self, seconds: float, shards: tuple[str, ...]) -> None:
        super().__init__(seconds)
        self.shards = frozenset(shards)


class SendBudget:
    """Shares the users' bound on repeated sends among all instances without a word between them.

    The bound holds for all instances together: a ratio of the requests for a service, and a fixed
    slack. Each instance sees its own requests, so it keeps to the ratio of these, and takes its
    part of the slack. An instance that has left still has its repeats in the window, so the
    greatest number of instances within a window counts. Its claim says whether it has a part.

    Args:
        ratio: Repeats allowed for each request.
        slack: Repeats allowed besides, for all instances together.
        window: Length of the sliding window in seconds.
        claim: Says when the slack may be used; always where left out.
    """

    __slots__ = ("_claim", "_counts", "_ratio", "_searches", "_slack", "_window", "_windows")

    def __init__(
        self, ratio: float, slack: float, window: float, claim: SlackClaim | None = None
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._claim = claim
        self._counts: list[tuple[float, float]] = []
        self._windows: dict[str, SendWindow] = {}
        self._searches: dict[tuple[str, ...], _SearchWindow] = {}

    def set_bounds(self, ratio: float, slack: float, window: float, now: float) -> None:
        """Take over changed bounds; a window of another length begins empty."""
        self._ratio, self._slack = ratio, slack
        if window != self._window:
            self._window = window
            self._windows.clear()
            self._searches.clear()
            if self._claim is not None:
                self._claim.use_window(window, now)

    def share_among(self, sharers: float, now: float) -> None:
        """Set into how many parts like this instance's the slack is divided from now on."""
        over = now + self._window
        earlier = [(min(until, over), count) for until, count in self._counts if until > now]
        self._counts = [(until, count) for until, count in earlier if count > sharers]
        self._counts.append((float("inf"), sharers))

    def room(self, service: str, now: float) -> float:
        """Return how many repeats of a service are left now."""
        asked = self._of(service).requests_until(now)
        for searches in self._searches.values():
            if service in searches.shards:
                asked += searches.requests_until(now)
        allowed = _USABLE * self._ratio * asked + self._slack_part(now)
        return allowed - self._of(service).repeats_until(now)

    def _slack_part(self, now: float) -> float:
        """Return what this instance may use of the slack."""
        if self._claim is not None and not self._claim.holds(now):
            return 0.0
        return _USABLE * self._slack / self._sharing(now)

    def _sharing(self, now: float) -> float:
        return max((count for until, count in self._counts if until > now), default=1.0)

    def request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._of(service).request(now)

    def search(self, shards: tuple[str, ...], now: float) -> None:
        """Count a caller's search, which asks each of some services once.

        Counted once for all of them: service by service it takes 15 us of a core for 87 shards, and
        so less than one (`timeit`).
        """
        window = self._searches.get(shards)
        if window is None:
            self._forget_searches(now)
            window = self._searches[shards] = _SearchWindow(self._window, shards)
        window.request(now)

    def _forget_searches(self, now: float) -> None:
        """Forget the sets of shards that no search within the window has asked."""
        self._searches = {
            shards: window
            for shards, window in self._searches.items()
            if window.requests_until(now) > 0
        }

    def take(self, service: str, now: float, reserve: float = 0.0) -> bool:
        """Take one repeat from the budget; false where none is left.

        Args:
            service: The service that gets the repeat.
            now: Monotonic second.
            reserve: Share of the slack, 0 to 1, that this repeat must leave to others. Hedges
                leave some, so that a request whose only send failed can still be repeated.
        """
        if self.room(service, now) < 1 + reserve * self._slack_part(now):
            return False
        self._of(service).repeat(now)
        return True

    def _of(self, service: str) -> SendWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = SendWindow(self._window)
        return window
