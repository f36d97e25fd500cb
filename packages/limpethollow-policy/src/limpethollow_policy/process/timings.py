"""How long calls usually take, learnt from the calls themselves."""

# Step of the estimate as a share of itself. A hundred calls move it by a factor of about two.
_STEP = 0.05


class RunningQuantile:
    """Estimates one quantile of a stream in constant space.

    Each value above the estimate raises it by a step, each one below lowers it by a smaller step;
    the two balance where the share of values below is the wanted one.

    Args:
        share: The quantile, 0 to 1.
        start: First estimate, in the unit of the values.
    """

    __slots__ = ("_share", "value")

    def __init__(self, share: float, start: float) -> None:
        self._share = share
        self.value = start

    def add(self, value: float) -> None:
        """Take in one value."""
        if value > self.value:
            self.value += self.value * _STEP * self._share
        else:
            self.value -= self.value * _STEP * (1.0 - self._share)


class RouteTimings:
    """Times of one route's calls to searchers.

    Args:
        objective: The route's objective in seconds, from which the first estimates come.
    """

    __slots__ = ("_late", "_objective", "_usual")

    # First estimates as shares of the objective, from the users' sheets: mean work is 0.1 to 0.25
    # of the objective.
    _USUAL_START = 0.15
    _LATE_START = 0.3
    # A hedge before this share of the objective meets calls that are merely a little slow, and
    # one after the latest share comes too late to be answered within the objective.
    _EARLIEST_HEDGE = 0.18
    _LATEST_HEDGE = 0.45
    _LATE_QUANTILE = 0.92

    def __init__(self, objective: float) -> None:
        self._objective = objective
        self._usual = RunningQuantile(0.5, objective * self._USUAL_START)
        self._late = RunningQuantile(self._LATE_QUANTILE, objective * self._LATE_START)

    @property
    def usual(self) -> float:
        """Return the median time of a call in seconds."""
        return self._usual.value

    @property
    def hedge_delay(self) -> float:
        """Return after how many seconds a call counts as late enough for a second one."""
        earliest = self._EARLIEST_HEDGE * self._objective
        latest = self._LATEST_HEDGE * self._objective
        return min(max(self._late.value, earliest), latest)

    def add(self, seconds: float) -> None:
        """Take in the time of a call that was answered."""
        self._usual.add(seconds)
        self._late.add(seconds)
