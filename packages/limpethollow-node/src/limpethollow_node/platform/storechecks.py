"""Detects within about a second that the store is unavailable, and when it answers again."""

import asyncio
from collections.abc import Callable

from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_wire.exceptions import LimpethollowError

# A configuration must be in force on every instance within 3 s of its write to the store. An outage
# is detected after at most the interval plus the timeout below; the remaining time is needed for
# other instances to start watching.
CHECK_SECONDS = 0.7
# A healthy store answers in 4 ms; a slow one takes 60 times as long.
CHECK_TIMEOUT_SECONDS = 0.5
# Interval and timeout for an instance that has no state yet and refuses every caller until the
# store is back: the recovery is detected within 0.25 s, at 0.4 of the cost of one call per second.
# The timeout may be short because a store that is merely slow still answers the list calls.
URGENT_CHECK_SECONDS = 0.1
URGENT_CHECK_TIMEOUT_SECONDS = 0.15


class StoreCheck:
    """Polls the store with a cheap read and reports when it stops answering and when it recovers.

    A store that stops responding accepts calls, including watches, and never answers them, while
    their connections stay open. A watch that is sent during the outage returns nothing until it
    times out ten seconds later, and this instance misses all changes until then. Checks fail
    during the outage, so the first one that succeeds shows that pending watches may be dead.

    Attributes:
        away: Whether the last check failed.
        answers: Whether the last check since checks were activated succeeded.
        urgent: Whether this instance refuses callers until the store is back.

    Args:
        store: The store.
        kind: Kind of the object to read.
        name: Name of the object to read.
        on_unavailable: Called when the store stops answering.
        on_available: Called when it answers again.
    """

    __slots__ = (
        "_active",
        "_kind",
        "_name",
        "_on_unavailable",
        "_on_available",
        "_store",
        "answers",
        "away",
        "urgent",
    )

    def __init__(
        self,
        store: Store,
        kind: str,
        name: str,
        on_unavailable: Callable[[], None],
        on_available: Callable[[], None],
    ) -> None:
        self._on_unavailable = on_unavailable
        self._store = store
        self._kind = kind
        self._name = name
        self._on_available = on_available
        self._active = asyncio.Event()
        self.answers = False
        self.away = False
        self.urgent = False

    def set_active(self, active: bool) -> None:
        """Start checking, with the first check at once, or stop."""
        if active:
            self._active.set()
        else:
            self._active.clear()
            self.answers = False

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self._active.wait()
            await self._check()
            await asyncio.sleep(URGENT_CHECK_SECONDS if self.urgent else CHECK_SECONDS)

    async def _check(self) -> None:
        timeout = URGENT_CHECK_TIMEOUT_SECONDS if self.urgent else CHECK_TIMEOUT_SECONDS
        try:
            await self._store.check(self._kind, self._name, timeout)
        except Exception as error:
            # If this task ended, the instance would never again notice that the store is away.
            if not isinstance(error, LimpethollowError):
                events.UNEXPECTED_ERROR.log(where="store check", error=repr(error), exc_info=True)
            self.answers = False
            if not self.away:
                self.away = True
                events.PLATFORM_FAILED.log(call="check", error=str(error))
                self._on_unavailable()
            return
        self.answers = self._active.is_set()
        if self.away:
            self.away = False
            events.PLATFORM_RECOVERED.log()
            self._on_available()
