"""Pauses between attempts of a call to the store."""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from limpethollow_policy.process.backoffs import Backoff

# First and longest pause after failed calls, in seconds. The store's recovery ends a pause early;
# the longest applies when the store answers checks but fails other calls.
FIRST_PAUSE, LONGEST_PAUSE = 0.2, 2.0


class RetryPause:
    """Exponential backoff between attempts; ends early when the store is back.

    Args:
        rng: Source for jitter.
        store_is_away: Returns whether the store currently fails its checks; the pause is then the
            longest.
    """

    __slots__ = ("_backoff", "_ended", "_store_is_away")

    def __init__(self, rng: Random, store_is_away: Callable[[], bool]) -> None:
        self._backoff = Backoff(FIRST_PAUSE, LONGEST_PAUSE, rng)
        self._store_is_away = store_is_away
        self._ended = asyncio.Event()

    def succeeded(self) -> None:
        """Reset the backoff to the first pause."""
        self._backoff.succeeded()

    def end(self) -> None:
        """End the current pause."""
        self._ended.set()

    def next_seconds(self) -> float:
        """Return the next pause in seconds; pauses grow with each failure."""
        return self._backoff.failed()

    async def after_failure(self) -> None:
        """Wait before the next attempt."""
        seconds = self.next_seconds()
        if self._store_is_away():
            seconds = LONGEST_PAUSE
        self._ended.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._ended.wait(), seconds)
