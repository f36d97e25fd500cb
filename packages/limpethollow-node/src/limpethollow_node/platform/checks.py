"""Finds out within about a second that the store is away, and when it is back."""

import asyncio
from collections.abc import Callable

from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_wire.exceptions import Unavailable

# A configuration must be in force everywhere 3 s after the store has it. An outage is found after
# at most the two together, and what is left is for others to begin to watch.
CHECK_SECONDS = 0.7
# A healthy store answers in 4 ms and a slow one 60 times later.
PATIENCE_SECONDS = 0.5
# The same for an instance that knows nothing yet and refuses every caller until the store is back:
# the return is noticed within 0.25 s at 0.4 of the price of a call a second. A store that is merely
# slow still answers the lists themselves.
URGENT_CHECK_SECONDS = 0.1
URGENT_PATIENCE_SECONDS = 0.15


class StoreCheck:
    """Asks the store for a small object again and again, and tells when it is back.

    A store that goes silent takes calls and never answers them, also those that wait for changes,
    while their connections stay open. A watch that was asked for in that time shows nothing until
    its own time is over, ten seconds later, and the changes since are missing here all that time.
    Checks fail during the outage, so the first one that succeeds shows that watches are doubtful.

    Attributes:
        away: Whether the last check failed.
        answers: Whether the last check succeeded, of those made since checks began.
        urgent: Whether callers are refused until the store is back.

    Args:
        store: The store.
        kind: Kind of the object asked for.
        name: Name of the object asked for.
        on_away: Called when the store doesn't answer any more.
        on_back: Called when it answers again.
    """

    __slots__ = (
        "_active",
        "_kind",
        "_name",
        "_on_away",
        "_on_back",
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
        on_away: Callable[[], None],
        on_back: Callable[[], None],
    ) -> None:
        self._on_away = on_away
        self._store = store
        self._kind = kind
        self._name = name
        self._on_back = on_back
        self._active = asyncio.Event()
        self.answers = False
        self.away = False
        self.urgent = False

    def set_active(self, active: bool) -> None:
        """Check from now on, at once for the first time, or leave that to others."""
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
        patience = URGENT_PATIENCE_SECONDS if self.urgent else PATIENCE_SECONDS
        try:
            await self._store.check(self._kind, self._name, patience)
        except Unavailable as error:
            self.answers = False
            if not self.away:
                self.away = True
                events.PLATFORM_FAILED.log(call="check", error=str(error))
                self._on_away()
            return
        self.answers = self._active.is_set()
        if self.away:
            self.away = False
            events.PLATFORM_BACK.log()
            self._on_back()
