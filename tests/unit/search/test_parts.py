"""A group's part of a search, and the word that nobody waits for it any more."""

from concurrent.futures import Future

import pytest

from limpethollow_node.request.parts import GroupParts
from limpethollow_policy.version.groups import GroupCache
from limpethollow_wire.exceptions import Unavailable
from limpethollow_wire.searches import GroupSearch
from limpethollow_wire.services import ServiceRecord
from tests.unit.search.drivers import make_spec

RECORD = ServiceRecord("finder", 1, make_spec((0,)))


class FakeConfigs:
    def record(self, service: str) -> ServiceRecord:
        return RECORD


class FakeGroup:
    """A group whose searches never end by themselves.

    Args:
        on_search: Called while a search is being started.
    """

    def __init__(self, on_search) -> None:
        self._on_search = on_search
        self.abandoned: list[str] = []

    def get(self, record: ServiceRecord, index: int) -> "FakeGroup":
        return self

    def search(self, search) -> Future:
        self._on_search()
        return Future()

    def abandon(self, search_id: str) -> None:
        self.abandoned.append(search_id)


def part() -> GroupSearch:
    return GroupSearch(
        request_id="r", service="finder", spec_version=1, group=0, firm="f", query={},
        shards=(0,), budget=0.2, epoch=1,
    )  # fmt: skip


class TestAbandoned:
    def test_word_that_comes_while_the_part_is_being_started_ends_it(self):
        """A caller hung up just as its part was handed to the group; the searcher worked on.

        The part was noted as running only after that, so nobody found it, and it kept a slot of
        the searcher until its end.
        """
        group = FakeGroup(on_search=lambda: parts.abandon("r"))
        parts = GroupParts(FakeConfigs(), group, GroupCache())
        with pytest.raises(Unavailable):
            parts.search(part())
        assert len(group.abandoned) == 1

    def test_word_that_overtakes_the_part_ends_it(self):
        group = FakeGroup(on_search=lambda: None)
        parts = GroupParts(FakeConfigs(), group, GroupCache())
        parts.abandon("r")
        with pytest.raises(Unavailable):
            parts.search(part())
        assert len(group.abandoned) == 1
