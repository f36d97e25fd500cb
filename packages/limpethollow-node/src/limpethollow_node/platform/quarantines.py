"""Quarantined requests in the store, where they outlast all instances."""

import asyncio
import contextlib
from collections.abc import Callable

from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.platform.codec import (
    StoredQuarantine,
    decode_quarantine,
    encode_quarantine,
)
from limpethollow_node.platform.pauses import RetryPause
from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_policy.process.crashes import CrashReport
from limpethollow_wire.exceptions import BadRequest, Conflict, LimpethollowError, NotFound

KIND = "quarantines"
# How often a relay looks whether an operator has released a request.
_LOOK_SECONDS = 60.0
_TICK_SECONDS = 0.25
# A process that has just started takes requests before it knows which are quarantined, so it looks
# as soon as it follows the store, if it does so soon.
_START_TICK_SECONDS = 0.02
_START_SECONDS = 2.0
# An instance that begins to follow the store this long after its return leaves that to the others.
_RESTORED_SECONDS = 10.0
# A release may come milliseconds after the quarantine, from another instance. Its delete must not
# reach the store before the write.
_DELETE_DELAY_SECONDS = 1.0


class QuarantineKeeper:
    """Writes what this instance puts into quarantine, and reads what others did.

    Instances tell each other on their links. The store is for a start of all, and for operators;
    only relays read it.

    Usage:
        keeper = QuarantineKeeper(store, quarantines, pause, follows, first_start=False)
        await keeper.run()

    Args:
        store: The store.
        quarantines: The evidence on requests that end searchers.
        pause: Waits between tries of a write.
        follows: Returns whether this instance follows the store now.
        first_start: Whether the whole system starts for the first time, so that there is nothing
            to read yet.
    """

    __slots__ = (
        "_follows",
        "_has_news",
        "_next_look",
        "_pause",
        "_quarantines",
        "_restored_at",
        "_starts_until",
        "_store",
        "_to_delete",
        "_to_write",
    )

    def __init__(
        self,
        store: Store,
        quarantines: Quarantines,
        pause: RetryPause,
        follows: Callable[[], bool],
        *,
        first_start: bool,
    ) -> None:
        self._store = store
        self._quarantines = quarantines
        self._pause = pause
        self._follows = follows
        now = _now()
        self._next_look = now + _LOOK_SECONDS if first_start else now
        self._starts_until = now if first_start else now + _START_SECONDS
        self._restored_at: float | None = None
        self._to_write: dict[str, CrashReport] = {}
        self._to_delete: dict[str, float] = {}
        self._has_news = asyncio.Event()
        quarantines.on_quarantined = self._quarantined
        quarantines.on_released = self._delete_later

    def store_is_back(self) -> None:
        """Try now what failed while the store was away."""
        self._pause.end()

    def store_restored(self) -> None:
        """Write again what the store may have lost, and read what it holds, if it is followed.

        The first answer of a store that was away comes before its feeds are connected again.
        """
        self._restored_at = _now()

    async def run(self) -> None:
        """Keep the store and the evidence in step until cancelled."""
        while True:
            try:
                await self._step()
            except LimpethollowError as error:
                events.PLATFORM_FAILED.log(call=KIND, error=str(error))
                await self._pause.after_failure()
            else:
                self._pause.succeeded()
                await self._wait_for_news()

    def _quarantined(self, report: CrashReport) -> None:
        self._to_write[report.fingerprint] = report
        self._has_news.set()

    def _delete_later(self, fingerprint: str) -> None:
        self._to_delete[fingerprint] = _now() + _DELETE_DELAY_SECONDS

    async def _wait_for_news(self) -> None:
        tick = _START_TICK_SECONDS if _now() < self._starts_until else _TICK_SECONDS
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._has_news.wait(), tick)
        self._has_news.clear()

    async def _step(self) -> None:
        if self._restored_at is not None and self._follows():
            self._write_again()
        await self._write_new()
        for fingerprint in self._quarantines.expire():
            self._delete_later(fingerprint)
        await self._delete_due()
        if self._follows() and _now() >= self._next_look:
            await self._look()

    def _write_again(self) -> None:
        """Have all that is quarantined written and read, unless that was up to other followers."""
        restored_at, self._restored_at = self._restored_at, None
        if _now() > restored_at + _RESTORED_SECONDS:
            return
        for report in self._quarantines.quarantined_reports():
            self._quarantined(report)
        self._next_look = _now()

    async def _write_new(self) -> None:
        for fingerprint, report in list(self._to_write.items()):
            if self._quarantines.is_quarantined(fingerprint):
                await self._write(report)
            if self._to_write[fingerprint] is report:
                del self._to_write[fingerprint]

    async def _delete_due(self) -> None:
        for fingerprint, due in list(self._to_delete.items()):
            if _now() >= due:
                await self._delete(fingerprint)
                del self._to_delete[fingerprint]

    async def _write(self, report: CrashReport) -> None:
        spec = encode_quarantine(report)
        try:
            await self._store.create(KIND, report.fingerprint, spec)
        except Conflict:
            # Another instance found the same, or it was released and has ended searchers again.
            await self._store.replace(KIND, report.fingerprint, spec)

    async def _look(self) -> None:
        listing = await self._store.list(KIND, allow_stale=True)
        self._starts_until = _now()
        self._next_look = _now() + _LOOK_SECONDS
        for stored in listing.objects:
            try:
                self._take(decode_quarantine(stored))
            except BadRequest as error:
                events.OBJECT_UNREADABLE.log(error=str(error), start=stored.name)

    def _take(self, stored: StoredQuarantine) -> None:
        report = stored.report
        self._quarantines.merge_report(report, KIND)
        if stored.released:
            self._quarantines.release(report.fingerprint, "operator")
        if self._quarantines.is_released(report):
            self._delete_later(report.fingerprint)

    async def _delete(self, fingerprint: str) -> None:
        try:
            await self._store.delete(KIND, fingerprint)
        except NotFound:
            return


def _now() -> float:
    return asyncio.get_running_loop().time()
