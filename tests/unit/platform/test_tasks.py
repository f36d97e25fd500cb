"""Background tasks for the store go on after an error that nothing expected."""

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from limpethollow_node.engine.connection.peergate import PeerGate
from limpethollow_node.engine.process.dialling import Dialler
from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.platform import quarantines, storechecks
from limpethollow_node.platform.pauses import RetryPause
from limpethollow_node.platform.quarantines import QuarantineSync
from limpethollow_node.platform.store import HistoryGone
from limpethollow_node.platform.storechecks import StoreCheck
from limpethollow_node.process.metrics import Metrics
from limpethollow_wire.exceptions import Conflict

ERRORS = [Conflict("other"), HistoryGone("gone"), RecursionError("deep"), ValueError("odd")]


class FailingStore:
    """Raises an error in the first call, and then counts."""

    def __init__(self, error: Exception) -> None:
        self.error = error
        self.calls = 0

    async def check(self, kind: str, name: str, timeout: float) -> None:
        self._call()

    async def list(self, kind: str, decode: Callable, *, allow_stale: bool) -> None:
        self._call()
        raise self.error

    def _call(self) -> None:
        self.calls += 1
        if self.calls == 1:
            raise self.error


async def until_called_again(store: FailingStore, job) -> None:
    task = asyncio.create_task(job)
    try:
        async with asyncio.timeout(5.0):
            while store.calls < 2:
                await asyncio.sleep(0.01)
    finally:
        task.cancel()


@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
class TestErrors:
    def test_the_store_is_still_checked(self, monkeypatch, error):
        """Guards against an instance that no longer notices that the store is away."""
        monkeypatch.setattr(storechecks, "CHECK_SECONDS", 0.01)
        told: list[str] = []

        async def play() -> None:
            store = FailingStore(error)
            check = StoreCheck(
                store, "kind", "name", lambda: told.append("away"), lambda: told.append("back")
            )
            check.set_active(True)
            await until_called_again(store, check.run())

        asyncio.run(play())
        assert told == ["away", "back"]

    def test_quarantines_are_still_read(self, monkeypatch, error):
        """Guards against an instance that never learns which requests were released."""
        monkeypatch.setattr(quarantines, "_TICK_SECONDS", 0.01)

        async def play() -> None:
            store = FailingStore(error)
            known = Quarantines(Metrics(), asyncio.get_running_loop().time)
            pause = RetryPause(Random(1), lambda: False)
            sync = QuarantineSync(store, known, pause, lambda: True, first_start=False)
            await until_called_again(store, sync.run())

        asyncio.run(play())


class TestDialling:
    @pytest.mark.parametrize(
        "address", ["h:99999", "h:x", "[:1", "a..b:80", "h" * 70 + ":80", " :"]
    )
    def test_an_address_that_can_not_be_dialled_is_tried_with_pauses(self, address):
        """Guards against attempts without end to reach the odd address of one instance."""

        async def play() -> bool:
            dialler = Dialler(Random(1), lambda socket: asyncio.sleep(0), PeerGate(Metrics()))
            dialler.dial(address)
            await asyncio.sleep(0.1)
            return address in dialler._tasks

        assert asyncio.run(play())
