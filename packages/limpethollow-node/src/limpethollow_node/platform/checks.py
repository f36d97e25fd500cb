"""Finds out within about two seconds that the store was away."""

import asyncio
from collections.abc import Callable

from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_wire.exceptions import Unavailable

# A configuration must be in force 3 s after the store has it. After an outage a second or less
# passes until the next check, and the rest is for the watches that are then asked for anew.
CHECK_SECONDS = 1.0


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
        on_back: Called when the store answers again.
    """

    __slots__ = ("_kind", "_name", "_on_back", "_store", "active", "away")

    def __init__(self, store: Store, kind: str, name: str, on_back: Callable[[], None]) -> None:
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
            await self._store.check(self._kind, self._name)
        except Unavailable as error:
            if not self.away:
                events.PLATFORM_FAILED.log(call="check", error=str(error))
            self.away = True
            return
        if self.away:
            self.away = False
            events.PLATFORM_BACK.log()
            self._on_back()
