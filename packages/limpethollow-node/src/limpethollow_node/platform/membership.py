"""Registers this instance in the store and removes instances that are permanently gone."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from limpethollow_node.platform.pauses import RetryPause
from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.revisions import UNKNOWN_ERA
from limpethollow_wire.exceptions import Conflict, LimpethollowError, NotFound

KIND = "instances"
# The list may lack this instance's object for this long after the write, as updates take time to
# arrive.
LISTING_DELAY_SECONDS = 3.0
# When the store has lost objects, instances spread their rewrites over this time.
_REWRITE_SPREAD_SECONDS = 1.0


class Membership:
    """Writes this instance's object at its start, and again only if the object was removed.

    A process that shuts down keeps its object: most restart within seconds, and peers are
    notified of the shutdown directly.

    Args:
        store: The store.
        own: This instance.
        rng: Source for jitter.
        first_start: Whether the whole system starts for the first time, so that the store has no
            object of this name yet.
        store_is_away: Returns whether the store currently fails its checks.
    """

    def __init__(
        self,
        store: Store,
        own: Instance,
        rng: Random,
        *,
        first_start: bool,
        store_is_away: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._own_instance = own
        self._expects_object = not first_start
        self._retry_pause = RetryPause(rng, store_is_away)
        self._rng = rng
        self._joining = False
        self._joined = False
        self._era = UNKNOWN_ERA
        self._rewrite_delay = 0.0
        self._missing_since: float | None = None

    def look(self, listed: bool, era: int, now: float) -> bool:
        """Return whether to write this instance's object because it is missing from the store.

        It was never written, the store was restored from a copy without it, or another instance
        removed it after a long silence just as this one came back. Until its next start, no peer
        would then link to this instance and no caller would get its address.

        Args:
            listed: Whether this instance's object is in the newest list.
            era: The store's era of that list.
            now: Monotonic time in seconds.
        """
        if era > self._era > UNKNOWN_ERA:
            self._joined = listed
            self._rewrite_delay = _REWRITE_SPREAD_SECONDS * self._rng.random()
        self._era = max(self._era, era)
        if listed or self._joining:
            self._joined = self._joined or listed
            self._missing_since = None
            return False
        if not self._joined:
            return True
        if self._missing_since is None:
            self._missing_since = now
        gone = now - self._missing_since > LISTING_DELAY_SECONDS
        if gone:
            events.OWN_OBJECT_REMOVED.log()
        return gone

    def on_store_back(self) -> None:
        """Retry a failed write at once."""
        self._retry_pause.end()

    async def join(self) -> None:
        """Write this instance's object, and retry until that succeeds."""
        self._joining = self._joined = True
        delay, self._rewrite_delay = self._rewrite_delay, 0.0
        await asyncio.sleep(delay)
        while True:
            try:
                await self._write()
                self._joining = False
                return
            except LimpethollowError as error:
                events.PLATFORM_FAILED.log(call="join", error=str(error))
                await self._retry_pause.after_failure()

    async def remove(self, name: str) -> None:
        """Remove the object of an instance that is permanently gone."""
        try:
            await self._store.delete(KIND, name)
            events.MEMBER_REMOVED.log(member=name)
        except LimpethollowError as error:
            events.PLATFORM_FAILED.log(call="remove", error=str(error))

    async def _write(self) -> None:
        """Write the object, with one call if `_expects_object` is right about its existence."""
        spec = msgspec.to_builtins(self._own_instance)
        while True:
            try:
                if self._expects_object:
                    await self._store.replace(KIND, self._own_instance.name, spec)
                else:
                    await self._store.create(KIND, self._own_instance.name, spec)
                return
            except NotFound:
                self._expects_object = False
            except Conflict:
                self._expects_object = True
