"""Follows one kind of stored objects by list and watch, and passes changes to a sink."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, TypeVar

from limpethollow_node.platform.pauses import FIRST_PAUSE, RetryPause
from limpethollow_node.platform.sinks import Sink
from limpethollow_node.platform.store import ChangesTooLarge, HistoryGone, Store
from limpethollow_node.process import events
from limpethollow_policy.process.changepaces import ChangePace
from limpethollow_policy.process.revisions import NOTHING_KNOWN, Revision
from limpethollow_wire.exceptions import LimpethollowError

# How long a watch waits for a change before it is sent again. Failures are detected sooner: a dead
# connection by its keep-alive probes, an unresponsive store by `StoreCheck`.
WATCH_SECONDS = 10.0
# A list call that has been pending this long when the store comes back is assumed lost. A slow
# store takes 60 times its usual 4 ms to answer one.
_LIST_LOST_SECONDS = 0.3
# A store that rejects a watch does so at once. A watch that has been pending this long counts as
# accepted; its first answer may take another ten seconds.
_WATCH_ACCEPTED_SECONDS = 0.3

T = TypeVar("T")


class Feed:
    """Lists a kind once, then watches it for changes while active.

    Usage:
        feed = Feed(store, "servers", sink, rng, lambda: feed.set_active(False))
        feed.set_active(True)
        await feed.run()

    Args:
        store: The store.
        kind: The kind.
        sink: Receives the objects and changes.
        rng: Source for jitter.
        on_listed: Called after each list, before the first watch, so that it can deactivate the
            feed: most instances leave watching to others. 18 instances that started together sent
            51 watches before they knew.
        pace: Determines the pause after changes; without it the next watch follows at once.
        store_is_away: Returns whether the store currently fails its checks; retries then wait.
    """

    __slots__ = (
        "_active",
        "_call_started_at",
        "_call_started_while_away",
        "_call",
        "_call_is_list",
        "_failed",
        "_kind",
        "_must_list",
        "_on_listed",
        "_pace",
        "_retry_pause",
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
        self._retry_pause = RetryPause(rng, store_is_away)
        self._call: asyncio.Future | None = None
        self._call_is_list = False
        self._call_started_at = 0.0
        self._call_started_while_away = False
        self._must_list = False
        self._active = asyncio.Event()
        self._failed = True

    @property
    def connected(self) -> bool:
        """Return whether the store answers this feed or has accepted its watch.

        A pending watch counts because its first answer may take ten seconds: when an instance
        reported until then that it didn't follow the store, 65 others watched in its place all
        that time, with 25 calls each.
        """
        if not self._active.is_set():
            return False
        watch_pending = self._call is not None and not self._call_is_list
        return not self._failed or (
            watch_pending and self._call_seconds() > _WATCH_ACCEPTED_SECONDS
        )

    @property
    def listed(self) -> bool:
        """Return whether the kind has been read at least once, here or by a peer."""
        return self._sink.known

    def set_active(self, active: bool) -> None:
        """Start watching, or stop and rely on updates from peers."""
        if active:
            self._active.set()
        elif self._active.is_set():
            self._active.clear()
            self._cancel_call()

    def restart(self) -> None:
        """Repeat the pending call unless it is a recent list: the store may have lost the call."""
        if (
            self._call is None
            or not self._call_is_list
            or self._call_started_while_away
            or self._call_seconds() > _LIST_LOST_SECONDS
        ):
            self._cancel_call()

    def _cancel_call(self) -> None:
        """Cancel the pending call, or end the pause before the next one."""
        if self._call is None:
            self._retry_pause.end()
        else:
            self._call.cancel()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            await self._active.wait()
            try:
                await self._step()
            except (HistoryGone, ChangesTooLarge):
                self._must_list = True
                await asyncio.sleep(self._rng.random() * FIRST_PAUSE)
            except LimpethollowError as error:
                self._mark_failed(error)
                await self._retry_pause.after_failure()
            except Exception as error:
                # If this task ended, the instance would keep stale state without any sign of it.
                events.UNEXPECTED_ERROR.log(
                    where=f"feed {self._kind}", error=repr(error), exc_info=True
                )
                await asyncio.sleep(self._retry_pause.next_seconds())

    @property
    def _needs_list(self) -> bool:
        revision = self._sink.revision
        return self._must_list or revision is None or revision.era < self._store.era

    async def _step(self) -> None:
        if self._needs_list:
            await self._list()
        else:
            await self._watch(self._sink.revision)

    async def _list(self) -> None:
        self._call_is_list = True
        listing = await self._await_call(self._store.list(self._kind, self._sink.read))
        if listing is None:
            return
        self._mark_connected()
        self._sink.listed(listing.items, self._with_known_era(listing.revision))
        self._must_list = False
        self._on_listed()

    async def _watch(self, revision: Revision) -> None:
        self._call_is_list = False
        changes = await self._await_call(
            self._store.watch(self._kind, revision.number, WATCH_SECONDS)
        )
        if changes is None:
            return
        reached = self._with_known_era(changes.revision)
        if reached.era != revision.era:
            raise HistoryGone("The store was restored from an older copy.")
        self._mark_connected()
        self._sink.changed(changes.events, reached)
        if changes.events and self._pace is not None:
            await asyncio.sleep(self._pace.changed(asyncio.get_running_loop().time()))

    def _with_known_era(self, revision: Revision) -> Revision:
        """Return the revision, with the newest known era if the store's answer had none."""
        if revision.era:
            return revision
        known = self._sink.revision or NOTHING_KNOWN
        return Revision(max(self._store.era, known.era), revision.number)

    async def _await_call(self, call: Coroutine[Any, Any, T]) -> T | None:
        """Return the store's answer; None if the call was cancelled, as by `restart`."""
        self._call_started_at = asyncio.get_running_loop().time()
        self._call_started_while_away = self._store_is_away()
        self._call = asyncio.ensure_future(call)
        try:
            await asyncio.wait({self._call})
        finally:
            finished, self._call = self._call, None
            finished.cancel()
        return None if finished.cancelled() else finished.result()

    def _call_seconds(self) -> float:
        """Return for how many seconds the current call has been pending."""
        return asyncio.get_running_loop().time() - self._call_started_at

    def _mark_connected(self) -> None:
        self._retry_pause.succeeded()
        if self._failed:
            self._failed = False
            events.WATCH_RECOVERED.log(kind=self._kind, **self._revision_fields())

    def _mark_failed(self, error: LimpethollowError) -> None:
        if not self._failed:
            events.WATCH_FAILED.log(kind=self._kind, **self._revision_fields(), error=str(error))
        self._failed = True

    def _revision_fields(self) -> dict[str, int]:
        """Return the last known revision of the kind as fields of a log line."""
        era, number = self._sink.revision or NOTHING_KNOWN
        return {"era": era, "revision": number}
