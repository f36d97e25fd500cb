"""Jittered back-off for calls that fail again and again."""

from random import Random


class Backoff:
    """Doubles the pause after each failure, with full jitter.

    Without jitter, all instances that lost the platform at the same moment come back to it at the
    same moment, and it goes down again under their calls.

    Args:
        first: Upper bound of the first pause in seconds.
        longest: Upper bound of any pause in seconds.
        rng: Source for jitter.
    """

    __slots__ = ("_bound", "_first", "_longest", "_rng")

    def __init__(self, first: float, longest: float, rng: Random) -> None:
        self._first = first
        self._longest = longest
        self._rng = rng
        self._bound = first

    def failed(self) -> float:
        """Count a failure and return the seconds to pause."""
        pause = self._bound * (0.5 + self._rng.random() / 2)
        self._bound = min(self._bound * 2, self._longest)
        return pause

    def succeeded(self) -> None:
        """Start over."""
        self._bound = self._first
