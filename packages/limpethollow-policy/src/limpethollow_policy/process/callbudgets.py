"""How many calls of each kind an instance may make to the platform."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallRate:
    """Bound on one kind of call.

    Attributes:
        per_second: Calls a second in the long run.
        burst: Calls that may come at once.
    """

    per_second: float
    burst: float


# A watch that comes back at once with news is begun anew at once, hence its burst.
DEFAULT_RATES = {
    "watch": CallRate(5.0, 20.0),
    "instances": CallRate(2.0, 20.0),
    "list": CallRate(0.2, 5.0),
    "read": CallRate(20.0, 200.0),
    "write": CallRate(10.0, 50.0),
}


class CallBudget:
    """A token bucket for each kind of call.

    Without it, a defect or a flapping view that makes an instance call in a loop would take the
    platform's few hundred writes and two thousand reads a second from the whole fleet.

    Args:
        rates: Bound by kind of call.
    """

    __slots__ = ("_levels", "_rates")

    def __init__(self, rates: dict[str, CallRate]) -> None:
        self._rates = rates
        self._levels: dict[str, tuple[float, float]] = {}

    def take(self, kind: str, now: float) -> float:
        """Take one call.

        Returns:
            0 where it may be made, or the seconds until one may.
        """
        rate = self._rates[kind]
        level, since = self._levels.get(kind, (rate.burst, now))
        level = min(rate.burst, level + (now - since) * rate.per_second)
        if level < 1.0:
            self._levels[kind] = (level, now)
            return (1.0 - level) / rate.per_second
        self._levels[kind] = (level - 1.0, now)
        return 0.0


class RetryBudget:
    """Allows retries as a share of successes, so that retries can't multiply an outage's load.

    Args:
        share: Retries earned by one success.
        limit: Retries that may be saved up; also what a fresh instance starts with.
    """

    __slots__ = ("_left", "_limit", "_share")

    def __init__(self, share: float, limit: float) -> None:
        self._share = share
        self._limit = limit
        self._left = limit

    def succeeded(self) -> None:
        """Earn a share of a retry."""
        self._left = min(self._limit, self._left + self._share)

    def take(self) -> bool:
        """Take one retry; false where none is left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
