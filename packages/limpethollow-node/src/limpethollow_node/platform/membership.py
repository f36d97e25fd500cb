"""This instance's own object in the store, written when it joins and removed when it leaves."""

import asyncio
from random import Random

import msgspec

from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_policy.process.backoffs import Backoff
from limpethollow_policy.process.placements import Instance
from limpethollow_wire.exceptions import Conflict, LimpethollowError, NotFound

KIND = "instances"
_FIRST_PAUSE, _LONGEST_PAUSE = 0.2, 2.0
# A process that leaves tells the store once and doesn't wait long: peers are told directly too.
_LEAVE_SECONDS = 0.5


class Membership:
    """Writes this instance's own object: when it starts and when it leaves, and never between.

    Args:
        store: The store.
        own: This instance.
        rng: Source for jitter.
    """

    def __init__(self, store: Store, own: Instance, rng: Random) -> None:
        self._store = store
        self._own = own
        self._backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, rng)

    async def join(self) -> None:
        """Write the own object, however long that takes."""
        while True:
            try:
                await self._put()
                return
            except LimpethollowError as error:
                events.PLATFORM_FAILED.log(call="join", error=str(error))
                await asyncio.sleep(self._backoff.failed())

    async def leave(self) -> None:
        """Remove the own object, if the store answers soon."""
        try:
            async with asyncio.timeout(_LEAVE_SECONDS):
                await self._store.delete(KIND, self._own.name)
        except (LimpethollowError, TimeoutError) as error:
            events.PLATFORM_FAILED.log(call="leave", error=repr(error))

    async def _put(self) -> None:
        spec = msgspec.to_builtins(self._own)
        try:
            await self._store.create(KIND, self._own.name, spec)
        except Conflict:
            try:
                await self._store.replace(KIND, self._own.name, spec)
            except NotFound:
                # Removed between the two calls, as by the last start of this instance on leaving.
                await self._store.create(KIND, self._own.name, spec)
