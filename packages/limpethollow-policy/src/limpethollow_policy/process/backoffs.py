"""Exponential back-off with jitter for repeated failures."""

from random import Random


class Backoff:
    """Doubles the upper bound of the pause after each failure, with jitter.

    Without jitter, all instances that lost the platform at the same moment would reconnect at the
    same moment and overload it again.

    Args:
        first: Upper bound of the first pause in seconds.
        longest: Upper bound of any pause in seconds.
        rng: Random generator for the jitter.
    """

    __slots__ = ("_bound", "_first", "_longest", "_rng")

    def __init__(self, first: float, longest: float, rng: Random) -> None:
        self._first = first
        self._longest = longest
        self._rng = rng
        self._bound = first

    def failed(self) -> float:
        """Record a failure and return the pause in seconds."""
        pause = self._bound * (0.5 + self._rng.random() / 2)
        self._bound = min(self._bound * 2, self._longest)
        return pause

    def succeeded(self) -> None:
        """Reset the pause to the first one."""
        self._bound = self._first
