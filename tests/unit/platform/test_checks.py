"""The check that finds out that the store is away."""

import asyncio

from limpethollow_node.platform.storechecks import (
    CHECK_SECONDS,
    CHECK_TIMEOUT_SECONDS,
    URGENT_CHECK_SECONDS,
    URGENT_CHECK_TIMEOUT_SECONDS,
    StoreCheck,
)
from limpethollow_wire.exceptions import Unavailable


class FakeStore:
    def __init__(self) -> None:
        self.away = False
        self.patience: list[float] = []

    async def check(self, kind: str, name: str, patience: float) -> None:
        self.patience.append(patience)
        if self.away:
            raise Unavailable("away")


class TestStoreCheck:
    def test_it_tells_once_that_the_store_is_away_and_once_that_it_is_back(self):
        asyncio.run(self.play())

    async def play(self) -> None:
        store, told = FakeStore(), []
        check = StoreCheck(
            store, "kind", "name", lambda: told.append("away"), lambda: told.append("back")
        )
        for away in (False, True, True, False, False):
            store.away = away
            await check._check()
        assert told == ["away", "back"]
        assert not check.away

    def test_it_answers_only_by_a_check_made_since_checks_began(self):
        """An instance that stands in for lost relays asks the store the cheap way first.

        What a check said minutes ago, when it stood in before, says nothing of the store now.
        """
        assert asyncio.run(self.answers()) == [False, True, False, False, True]

    async def answers(self) -> list[bool]:
        store = FakeStore()
        check = StoreCheck(store, "kind", "name", lambda: None, lambda: None)
        found = [check.answers]
        check.set_active(True)
        await check._check()
        found.append(check.answers)
        check.set_active(False)
        found.append(check.answers)
        store.away = True
        check.set_active(True)
        await check._check()
        found.append(check.answers)
        store.away = False
        await check._check()
        return [*found, check.answers]

    def test_an_outage_is_found_with_time_left_for_others_to_watch(self):
        """The bound is 3 s; others need a heartbeat's way, their jitter of 0.3 s and a tick."""
        assert CHECK_SECONDS + CHECK_TIMEOUT_SECONDS <= 1.5

    def test_an_instance_that_refuses_all_callers_looks_more_often(self):
        """It started without the store; callers that it refuses have a second or so left."""
        assert URGENT_CHECK_SECONDS + URGENT_CHECK_TIMEOUT_SECONDS <= 0.25
        assert asyncio.run(self.patience(urgent=True)) == URGENT_CHECK_TIMEOUT_SECONDS
        assert asyncio.run(self.patience(urgent=False)) == CHECK_TIMEOUT_SECONDS

    async def patience(self, *, urgent: bool) -> float:
        store = FakeStore()
        check = StoreCheck(store, "kind", "name", lambda: None, lambda: None)
        check.urgent = urgent
        await check._check()
        return store.patience[0]
