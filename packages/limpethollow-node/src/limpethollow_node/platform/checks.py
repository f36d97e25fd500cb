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


class StoreCheck:
    """Asks the store for a small object again and again, and tells when it is back.

    A store that goes silent takes calls and never answers them, also those that wait for changes,
    while their connections stay open. A watch that was asked for in that time shows nothing until
    its own time is over, ten seconds later, and the changes since are missing here all that time.
    Checks fail during the outage, so the first one that succeeds shows that watches are doubtful.

    Args:
        store: The store.
        kind: Kind of the object asked for.
        name: Name of the object asked for.
        on_away: Called when the store doesn't answer any more.
        on_back: Called when it answers again.
    """

    __slots__ = ("_kind", "_name", "_on_away", "_on_back", "_store", "active", "away")

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
        self.active = True
        self.away = False

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self.active:
                await self._check()

    async def _check(self) -> None:
        try:
            await self._store.check(self._kind, self._name, PATIENCE_SECONDS)
        except Unavailable as error:
            if not self.away:
                self.away = True
                events.PLATFORM_FAILED.log(call="check", error=str(error))
                self._on_away()
            return
        if self.away:
            self.away = False
            events.PLATFORM_BACK.log()
            self._on_back()
