"""This instance's own object in the store, and the removal of those that are gone for good."""

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
# The own object may be missing from the list this long after it was written: news takes a moment.
MISSING_SECONDS = 3.0
# Instances whose objects the store has lost write them again within this time, not all at once.
_SPREAD_SECONDS = 1.0


class Membership:
    """Writes this instance's own object when it starts, and again only where it was removed.

    A process that leaves keeps its object: most are back within seconds, and its peers are told
    directly that it leaves.

    Args:
        store: The store.
        own: This instance.
        rng: Source for jitter.
        first_start: Whether the whole system starts for the first time, so that no object of
            this name is to be expected.
        store_is_away: Returns whether the store doesn't answer checks now.
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
        self._own = own
        self._expects_object = not first_start
        self._pause = RetryPause(rng, store_is_away)
        self._rng = rng
        self._joining = False
        self._joined = False
        self._era = UNKNOWN_ERA
        self._delay = 0.0
        self._missing_since: float | None = None

    def look(self, listed: bool, era: int, now: float) -> bool:
        """Return whether to join: the own object is missing though this instance runs.

        It was never written, the store came back from a copy without it, or another instance
        removed it after a long silence, which may cross a return. Nobody would then link to this
        one or name it to callers until its next start.

        Args:
            listed: Whether the own object is in the newest list.
            era: The store's era of that list.
            now: Monotonic second.
        """
        if era > self._era > UNKNOWN_ERA:
            self._joined = listed
            self._delay = _SPREAD_SECONDS * self._rng.random()
        self._era = max(self._era, era)
        if listed or self._joining:
            self._joined = self._joined or listed
            self._missing_since = None
            return False
        if not self._joined:
            return True
        if self._missing_since is None:
            self._missing_since = now
        gone = now - self._missing_since > MISSING_SECONDS
        if gone:
            events.OWN_OBJECT_GONE.log()
        return gone

    def store_is_back(self) -> None:
        """Write the object now where that failed while the store was away."""
        self._pause.end()

    async def join(self) -> None:
        """Write the own object, however long that takes."""
        self._joining = self._joined = True
        delay, self._delay = self._delay, 0.0
        await asyncio.sleep(delay)
        while True:
            try:
                await self._put()
                self._joining = False
                return
            except LimpethollowError as error:
                events.PLATFORM_FAILED.log(call="join", error=str(error))
                await self._pause.after_failure()

    async def remove(self, name: str) -> None:
        """Remove the object of an instance that is gone for good."""
        try:
            await self._store.delete(KIND, name)
            events.MEMBER_REMOVED.log(member=name)
        except LimpethollowError as error:
            events.PLATFORM_FAILED.log(call="remove", error=str(error))

    async def _put(self) -> None:
        """Write the object, in one call where the guess holds whether there is an older one."""
        spec = msgspec.to_builtins(self._own)
        while True:
            try:
                if self._expects_object:
                    await self._store.replace(KIND, self._own.name, spec)
                else:
                    await self._store.create(KIND, self._own.name, spec)
                return
            except NotFound:
                self._expects_object = False
            except Conflict:
                self._expects_object = True
