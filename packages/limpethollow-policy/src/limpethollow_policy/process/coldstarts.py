"""How fast searchers that have just started may be sent calls."""

from dataclasses import dataclass

# A cold searcher that is out of reach stays so for an unknown time, and is cold when it returns.
_UNTIL_IT_ANSWERS = float("inf")


@dataclass(slots=True)
class ColdStartLimits:
    """What the searchers of one service stand while they are cold, as this instance applies it.

    Attributes:
        seconds: How long a searcher is cold after its start.
        interval: Least seconds between two calls from this instance to one cold searcher; 0 where
            cold searchers stand any number.
    """

    seconds: float = 0.0
    interval: float = 0.0


class ColdStart:
    """Paces this instance's calls to one searcher while it is cold.

    A cold searcher stands a number of calls a second from all instances together, and no instance
    sees that sum. Each keeps an interval between its own calls, so that the parts of all add up.

    Args:
        limits: The limits of the searcher's service, shared by all its searchers.
    """

    __slots__ = ("_limits", "_next_at", "_until")

    def __init__(self, limits: ColdStartLimits) -> None:
        self._limits = limits
        self._next_at = 0.0
        self._until = 0.0

    def is_cold(self, now: float) -> bool:
        """Return whether the searcher is cold, as far as is known."""
        return now < self._until

    def begin(self, seconds: float, phase: float, now: float) -> None:
        """Take in that the searcher is cold from now on.

        Args:
            seconds: How much longer it is cold.
            phase: Drawn at random from 0 to 1: where in its interval this instance begins. All
                instances hear of it together, and would make their first calls together.
            now: Monotonic second.
        """
        if now >= self._until:
            self._next_at = now + phase * self._limits.interval
        elif self._until == _UNTIL_IT_ANSWERS:
            self._until = 0.0
        self._until = max(self._until, now + seconds)

    def lost(self, phase: float, now: float) -> None:
        """Take in that the searcher can't be reached: it may be starting anew.

        Args:
            phase: As for `begin`.
            now: Monotonic second.
        """
        if self._limits.interval > 0 and self._limits.seconds > 0:
            self.begin(_UNTIL_IT_ANSWERS, phase, now)

    def answered(self, now: float) -> None:
        """Take in an answer: a searcher that was out of reach is back, and cold from now on."""
        if self._until == _UNTIL_IT_ANSWERS:
            self._until = now + self._limits.seconds

    def is_open(self, now: float) -> bool:
        """Return whether it may get a call now."""
        return now >= self._next_at or now >= self._until

    def wait(self, now: float) -> float:
        """Return in how many seconds it may get a call; 0 where that is now."""
        return max(0.0, min(self._next_at, self._until) - now)

    def sent(self, now: float) -> None:
        """Note that a call is sent."""
        if now < self._until:
            self._next_at = now + self._limits.interval
