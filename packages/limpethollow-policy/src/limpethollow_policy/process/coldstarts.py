"""Rate limits for calls to searchers that have just started."""

from dataclasses import dataclass

# An unreachable searcher stays so for an unknown time, and is cold when it returns.
_UNTIL_ANSWER = float("inf")


@dataclass(slots=True)
class ColdStartLimits:
    """The cold-start limits of one service's searchers, as this instance applies them.

    Attributes:
        seconds: How long a searcher is cold after its start.
        interval: Minimum seconds between two calls from this instance to one cold searcher; 0 if
            the rate is not limited.
    """

    seconds: float = 0.0
    interval: float = 0.0


class ColdStart:
    """Limits the rate of this instance's calls to one searcher while it is cold.

    A cold searcher can handle a limited number of calls per second from all instances together, and
    no instance sees that total. Each instance therefore keeps an interval between its own calls, so
    that the calls of all together stay within the limit.

    Args:
        limits: The limits of the searcher's service, shared by all its searchers.
    """

    __slots__ = ("_cold_until", "_is_stated", "_limits", "_next_call_at")

    def __init__(self, limits: ColdStartLimits) -> None:
        self._limits = limits
        self._next_call_at = 0.0
        self._cold_until = 0.0
        self._is_stated = False

    @property
    def is_stated(self) -> bool:
        """Return whether the searcher has stated in a reply for how long it stays cold."""
        return self._is_stated

    def is_cold(self, now: float) -> bool:
        """Return whether the searcher is cold as far as this instance knows."""
        return now < self._cold_until

    def begin(self, seconds: float, phase: float, now: float) -> None:
        """Record that the searcher is cold from now on.

        Args:
            seconds: How much longer it is cold.
            phase: Random number from 0 to 1: the part of the interval after which this instance
                makes its first call. All instances learn of the cold searcher at the same time, and
                would otherwise make their first calls at the same time.
            now: Monotonic time in seconds.
        """
        if now >= self._cold_until:
            self._next_call_at = now + phase * self._limits.interval
        elif self._cold_until == _UNTIL_ANSWER:
            self._cold_until = 0.0
        self._cold_until = max(self._cold_until, now + seconds)

    def state(self, seconds: float, phase: float, now: float) -> None:
        """Record the time that the searcher stated, which replaces what was known.

        Once a searcher states it in its replies, entries are recorded in this way, too. Entries
        alone never shorten the time, since they arrive late by varying amounts.

        Args:
            seconds: How much longer it stays cold; 0 if it is warm.
            phase: As for `begin`.
            now: Monotonic time in seconds.
        """
        self._is_stated = True
        if seconds > 0:
            self.begin(seconds, phase, now)
            self._cold_until = now + seconds
        else:
            self._cold_until = 0.0

    def lost(self, phase: float, now: float) -> None:
        """Record that the searcher can't be reached; it may be restarting.

        Args:
            phase: As for `begin`.
            now: Monotonic time in seconds.
        """
        if self._limits.interval > 0 and self._limits.seconds > 0:
            self.begin(_UNTIL_ANSWER, phase, now)

    def answered(self, now: float) -> None:
        """Record an answer; a searcher that was unreachable is back, and cold from now on."""
        if self._cold_until == _UNTIL_ANSWER:
            self._cold_until = now + self._limits.seconds

    def is_open(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        return now >= self._next_call_at or now >= self._cold_until

    def wait(self, now: float) -> float:
        """Return the seconds until a call may be sent; 0 if it may be sent now."""
        return max(0.0, min(self._next_call_at, self._cold_until) - now)

    def sent(self, now: float) -> None:
        """Record that a call was sent."""
        if now < self._cold_until:
            self._next_call_at = now + self._limits.interval
