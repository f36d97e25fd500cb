"""Reads the configuration object to confirm that the version in force is the newest."""

import asyncio
from collections.abc import Callable

from limpethollow_node.engine.frames import Frame, VersionUpdate
from limpethollow_node.engine.process.access import AccessControl
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_node.engine.process.leasing import LeaseKeeper
from limpethollow_node.platform.codec import decode_version
from limpethollow_node.platform.sinks import CONFIGURATION_NAME, STORE
from limpethollow_node.platform.store import Store
from limpethollow_node.process import events
from limpethollow_wire.exceptions import BadRequest, LimpethollowError, NotFound

_KIND = "config"
_INTERVAL_SECONDS = 1.0
_RETRY_SECONDS = 0.25
# While this instance does not read, it checks this often whether it should: after a start, requests
# with keys are refused until the first read.
_IDLE_SECONDS = 0.1
# A slow store answers in 0.25 s.
_TIMEOUT_SECONDS = 0.5


class LeaseReads:
    """Reads the configuration once a second while this instance watches the store.

    Args:
        store: The store.
        catalog: Receives a newer version.
        access: Has the lease.
        keeper: Says whether this instance reads the store.
        tell: Sends a frame to the peers.
    """

    __slots__ = ("_access", "_catalog", "_failed", "_keeper", "_store", "_tell")

    def __init__(
        self,
        store: Store,
        catalog: Catalog,
        access: AccessControl,
        keeper: LeaseKeeper,
        tell: Callable[[Frame], None],
    ) -> None:
        self._store = store
        self._catalog = catalog
        self._access = access
        self._keeper = keeper
        self._tell = tell
        self._failed = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self._keeper.reads_store:
                await asyncio.sleep(_IDLE_SECONDS)
                continue
            confirmed = False
            try:
                confirmed = await self._read()
            except LimpethollowError as error:
                self._note_failure(str(error))
            except Exception as error:
                events.UNEXPECTED_ERROR.log(where="lease read", error=repr(error), exc_info=True)
            await asyncio.sleep(_INTERVAL_SECONDS if confirmed else _RETRY_SECONDS)

    async def _read(self) -> bool:
        """Read the configuration once; return whether it confirms the version in force.

        Raises:
            Unavailable: The store gave no usable answer.
        """
        started_at = self._access.uptime()
        try:
            stored = await self._store.read(_KIND, CONFIGURATION_NAME, _TIMEOUT_SECONDS)
        except NotFound:
            # A deletion leaves the version in force.
            stored = None
        if stored is not None:
            try:
                version = decode_version(stored)
            except BadRequest as error:
                # It may remove a key, so it confirms nothing, and the lease ends.
                self._note_failure(str(error))
                return False
            if self._catalog.offer_version(version, STORE):
                self._tell(VersionUpdate(version))
        self._access.lease.store_answered(started_at)
        self._catalog.confirm_version(self._access.uptime() - started_at)
        if self._failed:
            self._failed = False
            events.LEASE_READ_RECOVERED.log()
        return True

    def _note_failure(self, error: str) -> None:
        if not self._failed:
            self._failed = True
            events.LEASE_READ_FAILED.log(error=error)
