"""Quarantined requests on their way to the store."""

import asyncio
from random import Random

from limpethollow_node.engine.process.quarantines import Quarantines
from limpethollow_node.platform.pauses import RetryPause
from limpethollow_node.platform.quarantines import QuarantineSync
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.crashes import CrashEvidence
from limpethollow_policy.request.crash_guards import CrashGuard


class SlowStore:
    """Takes a write when it is told to, and keeps what was written."""

    def __init__(self) -> None:
        self.go_on = asyncio.Event()
        self.written: list[dict] = []

    async def create(self, kind: str, name: str, spec: dict) -> None:
        await self.go_on.wait()
        self.written.append(spec)


def lose_on_trial(quarantines: Quarantines, *searchers: str) -> None:
    """Let searchers end under a request on trial."""
    names = frozenset(searchers)
    guard = CrashGuard("f", CrashEvidence())
    guard.evidence = CrashEvidence(names, names)
    quarantines.ended(guard)


async def write_while_evidence_comes() -> list[dict]:
    store, quarantines = SlowStore(), Quarantines(Metrics(), lambda: 0.0)
    pause = RetryPause(Random(1), lambda: False)
    keeper = QuarantineSync(store, quarantines, pause, lambda: False, first_start=True)
    task = asyncio.create_task(keeper.run())
    lose_on_trial(quarantines, "i-1", "i-2", "i-3")
    await asyncio.sleep(0.05)
    lose_on_trial(quarantines, "i-4")
    store.go_on.set()
    await asyncio.sleep(0.6)
    task.cancel()
    return store.written


class TestWrites:
    def test_evidence_that_comes_during_a_write_is_written_too(self):
        """Guards against a last trial that the store never hears of, and a start of all repeats."""
        written = asyncio.run(write_while_evidence_comes())
        assert written[-1]["onTrial"] == ["i-1", "i-2", "i-3", "i-4"]
