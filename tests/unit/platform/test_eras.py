"""The era in the store's answers: that it came back from an older copy, and answers from before."""

import asyncio

import pytest

from limpethollow_node.engine.messages import Reply
from limpethollow_node.platform.store import Store
from limpethollow_node.process.metrics import Metrics
from limpethollow_policy.process.revisions import Revision
from limpethollow_wire.exceptions import NotFound, Unavailable

LIST = b'{"items": [], "currentRev": 5}'
FIRST_PAGE = b'{"items": [{"meta": {"name": "a"}}], "currentRev": 5, "more": true}'


class ScriptedAsker:
    """Gives replies with these statuses, eras and bodies, in turn."""

    def __init__(self, *replies: tuple[int, bytes | None, bytes]) -> None:
        self._replies = list(replies)

    async def ask(self, *args, **fields) -> Reply:
        status, era, body = self._replies.pop(0)
        headers = [] if era is None else [(b"Store-Era", era)]
        return Reply(status, headers, body)


def play(*replies: tuple[int, bytes | None, bytes]) -> tuple[list, list[int]]:
    """Return what lists brought, errors among it, and the eras at which a return was told."""
    told: list[int] = []

    async def lists() -> list:
        store = Store("10.0.0.1:80", Metrics(), lambda: told.append(store.era))
        store._client = ScriptedAsker(*replies)
        found = []
        for _ in replies:
            try:
                found.append((await store.list("servers", lambda stored: stored.name)).revision)
            except (Unavailable, NotFound) as error:
                found.append(type(error))
        return found

    return asyncio.run(lists()), told


class TestEra:
    def test_a_rising_era_is_told_once(self):
        found, told = play((200, b"1", LIST), (200, b"3", LIST), (200, b"3", LIST))
        assert found == [Revision(1, 5), Revision(3, 5), Revision(3, 5)]
        assert told == [3]

    @pytest.mark.parametrize("first", [None, b"0"])
    def test_the_first_rise_of_a_store_that_told_none_is_a_return_too(self, first):
        """Guards against watches that are kept across the first return of a store."""
        _, told = play((200, first, LIST), (200, b"1", LIST), (200, b"1", LIST))
        assert told == [1]

    def test_the_first_era_that_is_heard_is_no_return(self):
        _, told = play((200, b"5", LIST), (200, b"5", LIST))
        assert told == []

    def test_it_is_read_from_errors_too(self):
        found, told = play((200, b"1", LIST), (404, b"2", b""))
        assert found == [Revision(1, 5), NotFound]
        assert told == [2]

    def test_an_answer_of_an_older_era_is_no_answer(self):
        """Guards against an answer that was held back until after the store's return."""
        found, told = play((200, b"2", LIST), (200, b"1", LIST))
        assert found == [Revision(2, 5), Unavailable]
        assert told == []

    @pytest.mark.parametrize("value", [None, b"", b"soon", b"-1", b"9" * 30, b"9" * 5000])
    def test_an_answer_without_a_readable_era_tells_none(self, value):
        found, told = play((200, b"2", LIST), (200, value, LIST))
        assert found == [Revision(2, 5), Revision(0, 5)]
        assert told == []

    def test_pages_of_two_eras_are_no_list(self):
        """Guards against a list half of which the store doesn't hold any more."""

        async def lists() -> None:
            store = Store("10.0.0.1:80", Metrics())
            store._client = ScriptedAsker((200, b"1", FIRST_PAGE), (200, b"2", LIST))
            await store.list("servers", lambda stored: stored.name)

        with pytest.raises(Unavailable, match="between two pages"):
            asyncio.run(lists())
