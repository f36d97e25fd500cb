"""Persists quarantined requests in the store, so that they outlive all instances."""

import asyncio
import contextlib
from collections.abc import Callable

from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.platform.codec import (
    StoredObject,
    StoredQuarantine,
    decode_quarantine,
    encode_quarantine,
)
from limpethollow_node.platform.pauses import RetryPause
from limpethollow_node.platform.store import LOGGED_NAME_CHARACTERS, Store
from limpethollow_node.process import events
from limpethollow_policy.process.crashes import CrashReport
from limpethollow_wire.exceptions import BadRequest, Conflict, LimpethollowError, NotFound

KIND = "quarantines"
# How often a relay reads the store to see whether an operator has released a request.
_READ_INTERVAL_SECONDS = 60.0
_TICK_SECONDS = 0.25
# A process that has just started accepts requests before it knows which are quarantined. For this
# time after its start it ticks faster, so that it reads them as soon as it follows the store.
_STARTUP_TICK_SECONDS = 0.02
_STARTUP_SECONDS = 2.0
# An instance that starts to follow the store later than this after a restore leaves the rewrite to
# the others.
_REWRITE_WINDOW_SECONDS = 10.0
# Another instance may release a request milliseconds after its quarantine. The delete must not
# reach the store before the write.
_DELETE_DELAY_SECONDS = 1.0


class QuarantineSync:
    """Writes the requests that this instance quarantines, and reads those of others.

    Instances inform each other over their links. The store serves a restart of all instances, and
    operators; only relays read it.

    Usage:
        keeper = QuarantineSync(store, quarantines, pause, follows, first_start=False)
        await keeper.run()

    Args:
        store: The store.
        quarantines: The evidence about requests that crash searchers.
        pause: Waits between attempts after a failed call.
        follows: Returns whether this instance currently follows the store.
        first_start: Whether the whole system starts for the first time, so that there is nothing
            to read yet.
    """

    __slots__ = (
        "_follows",
        "_has_pending_writes",
        "_next_read_at",
        "_pause",
        "_quarantines",
        "_restored_at",
        "_startup_until",
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
        self._next_read_at = now + _READ_INTERVAL_SECONDS if first_start else now
        self._startup_until = now if first_start else now + _STARTUP_SECONDS
        self._restored_at: float | None = None
        self._to_write: dict[str, CrashReport] = {}
        self._to_delete: dict[str, float] = {}
        self._has_pending_writes = asyncio.Event()
        quarantines.on_quarantined = self._schedule_write
        quarantines.on_released = self._schedule_delete

    def on_store_back(self) -> None:
        """Retry failed calls at once."""
        self._pause.end()

    def on_store_restored(self) -> None:
        """Schedule a rewrite of what the store may have lost, and a read of what it has.

        Both wait until this instance follows the store: the first answer after a restore arrives
        before the feeds are connected again.
        """
        self._restored_at = _now()

    async def run(self) -> None:
        """Synchronize the store and the evidence until cancelled."""
        while True:
            try:
                await self._step()
            except LimpethollowError as error:
                events.PLATFORM_FAILED.log(call=KIND, error=str(error))
                await self._pause.after_failure()
            except Exception as error:
                # If this task ended, operators could no longer release requests.
                events.UNEXPECTED_ERROR.log(where=KIND, error=repr(error), exc_info=True)
                await self._pause.after_failure()
            else:
                self._pause.succeeded()
                await self._wait_for_changes()

    def _schedule_write(self, report: CrashReport) -> None:
        self._to_write[report.fingerprint] = report
        self._has_pending_writes.set()

    def _schedule_delete(self, fingerprint: str) -> None:
        self._to_delete[fingerprint] = _now() + _DELETE_DELAY_SECONDS

    async def _wait_for_changes(self) -> None:
        tick = _STARTUP_TICK_SECONDS if _now() < self._startup_until else _TICK_SECONDS
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._has_pending_writes.wait(), tick)
        self._has_pending_writes.clear()

    async def _step(self) -> None:
        if self._restored_at is not None and self._follows():
            self._schedule_rewrite()
        await self._write_new()
        for fingerprint in self._quarantines.expire():
            self._schedule_delete(fingerprint)
        await self._delete_due()
        if self._follows() and _now() >= self._next_read_at:
            await self._read_all()

    def _schedule_rewrite(self) -> None:
        """Schedule a write and read of all quarantined requests if the restore was recent."""
        restored_at, self._restored_at = self._restored_at, None
        if _now() > restored_at + _REWRITE_WINDOW_SECONDS:
            return
        for report in self._quarantines.quarantined_reports():
            self._schedule_write(report)
        self._next_read_at = _now()

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
            # Another instance has quarantined the request too, or the request was released and has
            # crashed searchers again.
            await self._store.replace(KIND, report.fingerprint, spec)

    async def _read_all(self) -> None:
        listing = await self._store.list(KIND, _read_quarantine, allow_stale=True)
        self._startup_until = _now()
        self._next_read_at = _now() + _READ_INTERVAL_SECONDS
        for stored in listing.items.values():
            self._apply(stored)

    def _apply(self, stored: StoredQuarantine) -> None:
        report = stored.report
        self._quarantines.merge_report(report, KIND)
        if stored.released:
            self._quarantines.release(report.fingerprint, "operator")
        if self._quarantines.is_released(report):
            self._schedule_delete(report.fingerprint)

    async def _delete(self, fingerprint: str) -> None:
        try:
            await self._store.delete(KIND, fingerprint)
        except NotFound:
            return


def _read_quarantine(stored: StoredObject) -> StoredQuarantine | None:
    """Return the decoded request; None if it is invalid, which is logged."""
    try:
        return decode_quarantine(stored)
    except BadRequest as error:
        events.OBJECT_UNREADABLE.log(error=str(error), start=stored.name[:LOGGED_NAME_CHARACTERS])
        return None


def _now() -> float:
    return asyncio.get_running_loop().time()
