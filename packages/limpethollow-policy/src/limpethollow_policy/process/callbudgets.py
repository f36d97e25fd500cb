"""Rate limits for the calls of an instance to the platform."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallRate:
    """Rate limit of one kind of call.

    Attributes:
        per_second: Average number of calls per second.
        burst: Maximum number of calls at once.
    """

    per_second: float
    burst: float


# A watch that returns changes immediately is restarted immediately, hence its burst.
DEFAULT_RATES = {
    "watch": CallRate(5.0, 20.0),
    "instances": CallRate(2.0, 20.0),
    "list": CallRate(0.2, 5.0),
    "read": CallRate(20.0, 200.0),
    "write": CallRate(10.0, 50.0),
}


class CallBudget:
    """Token buckets, one for each kind of call.

    Without them, a defect or a flapping state that makes one instance call in a loop would use up
    the platform's capacity of a few hundred writes and two thousand reads a second, which all
    instances share.

    Args:
        rates: Rate limit by kind of call.
    """

    __slots__ = ("_buckets", "_rates")

    def __init__(self, rates: dict[str, CallRate]) -> None:
        self._rates = rates
        self._buckets: dict[str, tuple[float, float]] = {}

    def take(self, kind: str, now: float) -> float:
        """Take a token for one call.

        Returns:
            0 if the call may be made, else the seconds until the next one may.
        """
        rate = self._rates[kind]
        level, since = self._buckets.get(kind, (rate.burst, now))
        level = min(rate.burst, level + (now - since) * rate.per_second)
        if level < 1.0:
            self._buckets[kind] = (level, now)
            return (1.0 - level) / rate.per_second
        self._buckets[kind] = (level - 1.0, now)
        return 0.0


class RetryBudget:
    """Limits retries to a share of the successes, so that they can't amplify an outage.

    Args:
        share: Retries added by one success.
        limit: Maximum number of retries in the budget, and its initial value.
    """

    __slots__ = ("_left", "_limit", "_share")

    def __init__(self, share: float, limit: float) -> None:
        self._share = share
        self._limit = limit
        self._left = limit

    def succeeded(self) -> None:
        """Record a success, which adds a share of a retry."""
        self._left = min(self._limit, self._left + self._share)

    def take(self) -> bool:
        """Take one retry; return False if none is left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
