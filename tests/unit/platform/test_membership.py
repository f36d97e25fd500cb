"""When an instance writes its own entry."""

import asyncio
from random import Random

import pytest

from limpethollow_node.platform.membership import LISTING_DELAY_SECONDS, Membership
from limpethollow_policy.process.placements import Instance
from limpethollow_wire.exceptions import Unavailable

OWN = Instance("own", "1:1", "1:2", "a")


class FailingStore:
    """Refuses writes until it is back."""

    def __init__(self) -> None:
        self.away = True
        self.writes = 0

    async def replace(self, kind: str, name: str, spec) -> None:
        self.writes += 1
        if self.away:
            raise Unavailable("The store is away.")


def membership(store: FailingStore | None = None) -> Membership:
    store = store or FailingStore()
    return Membership(store, OWN, Random(1), first_start=False, store_is_away=lambda: store.away)


class TestLook:
    def test_a_new_instance_joins_at_once(self):
        assert membership().look(False, 1, 100.0)

    def test_a_listed_one_does_not_join(self):
        assert not membership().look(True, 1, 100.0)

    def test_one_whose_entry_went_joins_again_after_a_while(self):
        """Guards against writes while news of the own entry is only late."""
        own = membership()
        own.look(True, 1, 100.0)
        assert not own.look(False, 1, 101.0)
        assert not own.look(False, 1, 101.0 + LISTING_DELAY_SECONDS)
        assert own.look(False, 1, 101.1 + LISTING_DELAY_SECONDS)

    @pytest.mark.parametrize("era", [0, 1])
    def test_one_whose_entry_the_store_has_lost_joins_at_once(self, era):
        """Guards against an instance that nobody is told of for 3 s after the store's return."""
        own = membership()
        own.look(True, era, 100.0)
        assert own.look(False, era + 1, 101.0)

    def test_one_whose_entry_is_in_the_copy_does_not_join(self):
        own = membership()
        own.look(True, 1, 100.0)
        assert not own.look(True, 2, 101.0)


class TestJoin:
    def test_while_the_store_is_away_it_is_not_tried_again_and_then_at_once(self):
        """Guards against three failing writes of each instance in a second of an outage."""
        assert asyncio.run(self.play()) == (1, 2)

    async def play(self) -> tuple[int, int]:
        store = FailingStore()
        own = membership(store)
        task = asyncio.create_task(own.join())
        await asyncio.sleep(0.5)
        before = store.writes
        store.away = False
        own.on_store_back()
        await asyncio.wait_for(task, 0.2)
        return before, store.writes
