"""Follows kinds of objects in the store and hands each change to the product."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, TypeVar

from limpethollow_node.platform.pauses import FIRST_PAUSE, RetryPause
from limpethollow_node.platform.sinks import Sink
from limpethollow_node.platform.store import HistoryGone, Store
from limpethollow_node.process import events
from limpethollow_policy.process.changepaces import ChangePace
from limpethollow_policy.process.revisions import NOTHING_KNOWN, Revision
from limpethollow_wire.exceptions import LimpethollowError

# How long a watch waits for a change before it is asked for again. What may go wrong meanwhile is
# found sooner: a silent connection by its keep-alive probes, a silent store by `StoreCheck`.
WATCH_SECONDS = 10.0
# A list that was under way this long when the store came back is taken for forgotten. A slow store
# answers one 60 times later than in its usual 4 ms.
_LIST_SECONDS = 0.3
# A store that refuses a watch does so at once. One that has kept it this long has taken it, and its
# first answer may be ten seconds away.
_TAKEN_SECONDS = 0.3

T = TypeVar("T")


class Feed:
    """Lists a kind once, and watches it from then on while it is told to.

    Usage:
        feed = Feed(store, "servers", sink, rng, lambda: feed.set_active(False))
        feed.set_active(True)
        await feed.run()

    Args:
        store: The store.
        kind: The kind.
        sink: Gets what is read.
        rng: Source for jitter.
        on_listed: Called after each list, and before the first watch: most instances leave that
            to others. 18 that started together made 51 watches in the moment until they knew.
        pace: Says how long to wait after changes; without one the next watch follows at once.
        store_is_away: Returns whether the store doesn't answer checks now; calls wait meanwhile.
    """

    __slots__ = (
        "_active",
        "_begun",
        "_begun_while_away",
        "_call",
        "_call_lists",
        "_failed",
        "_kind",
        "_must_list",
        "_on_listed",
        "_pace",
        "_pause",
        "_rng",
        "_sink",
        "_store",
        "_store_is_away",
    )

    def __init__(
        self,
        store: Store,
        kind: str,
        sink: Sink,
        rng: Random,
        on_listed: Callable[[], None] = lambda: None,
        pace: ChangePace | None = None,
        store_is_away: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._rng = rng
        self._on_listed = on_listed
        self._pace = pace
        self._store_is_away = store_is_away
        self._pause = RetryPause(rng, store_is_away)
        self._call: asyncio.Future | None = None
        self._call_lists = False
        self._begun = 0.0
        self._begun_while_away = False
        self._must_list = False
        self._active = asyncio.Event()
        self._failed = True

    @property
    def connected(self) -> bool:
        """Return whether the store answers this feed, or has taken its watch.

        An instance that began to watch said for up to ten seconds, until the first answer, that it
        didn't follow the store; 65 instances stood in for it all that time, with 25 calls each.
        """
        if not self._active.is_set():
            return False
        waits = self._call is not None and not self._call_lists
        return not self._failed or (waits and self._passed() > _TAKEN_SECONDS)

    @property
    def listed(self) -> bool:
        """Return whether the kind was read once, here or by a peer."""
        return self._sink.known

    def set_active(self, active: bool) -> None:
        """Watch from now on, or leave that to others whose news come by links."""
        if active:
            self._active.set()
        elif self._active.is_set():
            self._active.clear()
            self._give_up()

    def restart(self) -> None:
        """Ask anew: the store may have forgotten the watch, or the list, that is under way."""
        if (
            self._call is None
            or not self._call_lists
            or self._begun_while_away
            or self._passed() > _LIST_SECONDS
        ):
            self._give_up()

    def _give_up(self) -> None:
        """End the call that is under way, or the pause before the next one."""
        if self._call is None:
            self._pause.end()
        else:
            self._call.cancel()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            await self._active.wait()
            try:
                await self._step()
            except HistoryGone:
                self._must_list = True
                await asyncio.sleep(self._rng.random() * FIRST_PAUSE)
            except LimpethollowError as error:
                self._lost(error)
                await self._pause.after_failure()
            except Exception as error:
                # A feed that ended would leave this instance with old beliefs and no sign of it.
                events.DEFECT.log(where=f"feed {self._kind}", error=repr(error), exc_info=True)
                await asyncio.sleep(self._pause.next_seconds())

    @property
    def _lists(self) -> bool:
        revision = self._sink.revision
        return self._must_list or revision is None or revision.era < self._store.era

    async def _step(self) -> None:
        if self._lists:
            await self._list()
        else:
            await self._watch(self._sink.revision)

    async def _list(self) -> None:
        self._call_lists = True
        listing = await self._ask(self._store.list(self._kind))
        if listing is None:
            return
        self._found()
        self._sink.listed(listing.objects, self._in_era(listing.revision))
        self._must_list = False
        self._on_listed()

    async def _watch(self, revision: Revision) -> None:
        self._call_lists = False
        changes = await self._ask(self._store.watch(self._kind, revision.number, WATCH_SECONDS))
        if changes is None:
            return
        reached = self._in_era(changes.revision)
        if reached.era != revision.era:
            raise HistoryGone("The store came back from an older copy.")
        self._found()
        self._sink.changed(changes.events, reached)
        if changes.events and self._pace is not None:
            await asyncio.sleep(self._pace.changed(asyncio.get_running_loop().time()))

    def _in_era(self, revision: Revision) -> Revision:
        """Return a revision in the newest era known where the store's answer didn't tell one."""
        if revision.era:
            return revision
        known = self._sink.revision or NOTHING_KNOWN
        return Revision(max(self._store.era, known.era), revision.number)

    async def _ask(self, call: Coroutine[Any, Any, T]) -> T | None:
        """Return the store's answer; None where the call was given up by `restart`."""
        self._begun = asyncio.get_running_loop().time()
        self._begun_while_away = self._store_is_away()
        self._call = asyncio.ensure_future(call)
        try:
            await asyncio.wait({self._call})
        finally:
            asked, self._call = self._call, None
            asked.cancel()
        return None if asked.cancelled() else asked.result()

    def _passed(self) -> float:
        """Return how long the call under way has lasted."""
        return asyncio.get_running_loop().time() - self._begun

    def _found(self) -> None:
        self._pause.succeeded()
        if self._failed:
            self._failed = False
            events.FEED_BACK.log(kind=self._kind, **self._position())

    def _lost(self, error: LimpethollowError) -> None:
        if not self._failed:
            events.FEED_LOST.log(kind=self._kind, **self._position(), error=str(error))
        self._failed = True

    def _position(self) -> dict[str, int]:
        """Return up to where the kind is known, as fields of a log line."""
        era, number = self._sink.revision or NOTHING_KNOWN
        return {"era": era, "revision": number}
