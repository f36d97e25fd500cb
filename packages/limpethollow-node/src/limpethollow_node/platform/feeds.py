"""Follows kinds of objects in the store and hands each change to the product."""

import asyncio
from random import Random

from limpethollow_node.platform.codec import StoredObject
from limpethollow_node.platform.store import Changes, HistoryGone, Listing, Store
from limpethollow_node.process import events
from limpethollow_policy.process.backoffs import Backoff
from limpethollow_wire.exceptions import LimpethollowError

# How long a watch waits for a change before it is asked for again. What may go wrong meanwhile is
# found sooner: a silent connection by its keep-alive probes, a silent store by `StoreCheck`.
WATCH_SECONDS = 10.0
# Pauses after calls that failed: first and longest. The longest leaves a second of the three within
# which a change must be in force after an outage.
_FIRST_PAUSE, _LONGEST_PAUSE = 0.2, 1.0


class Sink:
    """Takes what a feed reads; a subclass for each kind."""

    def listed(self, objects: list[StoredObject]) -> None:
        """Take all objects of the kind; what is not among them is gone."""
        raise NotImplementedError

    def changed(self, stored: StoredObject, *, deleted: bool) -> None:
        """Take one change."""
        raise NotImplementedError

    def confirmed(self) -> None:
        """Note that all changes up to now are known."""


class Feed:
    """Lists a kind once and watches it from then on.

    Args:
        store: The store.
        kind: The kind.
        sink: Gets what is read.
        rng: Source for jitter.
        gather: Seconds to wait between two watches, so that changes in a row cost one call.
    """

    __slots__ = (
        "_backoff",
        "_gather",
        "_kind",
        "_rng",
        "_sink",
        "_store",
        "_watch",
        "connected",
        "revision",
    )

    def __init__(
        self, store: Store, kind: str, sink: Sink, rng: Random, *, gather: float = 0.0
    ) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._rng = rng
        self._gather = gather
        self._backoff = Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, rng)
        self._watch: asyncio.Future[Changes] | None = None
        self.connected = False
        self.revision: int | None = None

    def restart(self) -> None:
        """Watch anew from the same revision: the store may have forgotten the watch."""
        if self._watch is not None:
            self._watch.cancel()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGone:
                self.revision = None
                await asyncio.sleep(self._rng.random() * _FIRST_PAUSE)
            except LimpethollowError as error:
                self._lost(error)
                await asyncio.sleep(self._backoff.failed())
            except Exception as error:
                # A feed that ended would leave this instance with old beliefs and no sign of it.
                events.DEFECT.log(where=f"feed {self._kind}", error=repr(error), exc_info=True)
                await asyncio.sleep(self._backoff.failed())

    async def _step(self) -> None:
        if self.revision is None:
            listing = await self._store.list(self._kind)
            self._found()
            self._take(listing)
            return
        changes = await self._changes(self.revision)
        if changes is None:
            return
        self._found()
        for change in changes.events:
            self._sink.changed(change.object, deleted=change.deleted)
        self.revision = changes.revision
        self._sink.confirmed()
        if changes.events and self._gather:
            await asyncio.sleep(self._gather)

    async def _changes(self, revision: int) -> Changes | None:
        self._watch = asyncio.ensure_future(self._store.watch(self._kind, revision, WATCH_SECONDS))
        try:
            await asyncio.wait({self._watch})
        finally:
            watch, self._watch = self._watch, None
            watch.cancel()
        return None if watch.cancelled() else watch.result()

    def _take(self, listing: Listing) -> None:
        self._sink.listed(listing.objects)
        self.revision = listing.revision
        self._sink.confirmed()

    def _found(self) -> None:
        self._backoff.succeeded()
        if not self.connected:
            self.connected = True
            events.FEED_BACK.log(kind=self._kind, revision=self.revision)

    def _lost(self, error: LimpethollowError) -> None:
        if self.connected:
            events.FEED_LOST.log(kind=self._kind, revision=self.revision, error=str(error))
        self.connected = False
