"""Pauses between tries of a call to the store."""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from limpethollow_policy.process.backoffs import Backoff

# Pauses after calls that failed, in seconds: first and longest. The store's return ends them; the
# longest counts where the store answers checks and fails other calls.
FIRST_PAUSE, LONGEST_PAUSE = 0.2, 2.0


class RetryPause:
    """Waits longer after each failure; while the store is away, until it is back.

    Args:
        rng: Source for jitter.
        store_is_away: Returns whether the store doesn't answer checks now.
    """

    __slots__ = ("_backoff", "_over", "_store_is_away")

    def __init__(self, rng: Random, store_is_away: Callable[[], bool]) -> None:
        self._backoff = Backoff(FIRST_PAUSE, LONGEST_PAUSE, rng)
        self._store_is_away = store_is_away
        self._over = asyncio.Event()

    def succeeded(self) -> None:
        """Begin anew with the first pause."""
        self._backoff.succeeded()

    def end(self) -> None:
        """End the pause that is under way."""
        self._over.set()

    def next_seconds(self) -> float:
        """Return the next pause; each one is longer than the one before."""
        return self._backoff.failed()

    async def after_failure(self) -> None:
        """Wait before another try."""
        seconds = self.next_seconds()
        if self._store_is_away():
            seconds = LONGEST_PAUSE
        self._over.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._over.wait(), seconds)
