"""What is told of searchers' entries that come and go."""

from limpethollow_node.engine.frames import SearcherNews
from limpethollow_node.engine.process import catalog
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_policy.process.fleets import Searcher
from tests.support.virtual import VirtualDispatch


class RecordingEvent:
    """Takes the place of an event and keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[dict] = []

    def log(self, **fields) -> None:
        self.lines.append(fields)


class FleetDispatch(VirtualDispatch):
    """A dispatch that takes searchers."""

    def put_searcher(self, searcher: Searcher) -> None:
        self.fleet.put(searcher, self.loop.time())

    def remove_searcher(self, searcher_id: str) -> None:
        self.fleet.remove(searcher_id)


class FakeRoster:
    def put(self, instance) -> None:
        """Take no notice."""

    def remove(self, name: str) -> None:
        """Take no notice."""


def searchers(count: int) -> list[Searcher]:
    return [Searcher(f"i-{n}", f"s-{n}", "10.0.0.1:80", "a", 2) for n in range(count)]


class TestLines:
    """An instance told of 444 searchers one by one before it was ready for callers.

    That took it 6.5 ms of a core, which are 54 ms on the weakest instances, at each start.
    """

    def play(self, monkeypatch, count: int) -> tuple[list[dict], list[dict]]:
        one, many = RecordingEvent(), RecordingEvent()
        monkeypatch.setattr(catalog.events, "SEARCHER_LISTED", one)
        monkeypatch.setattr(catalog.events, "SEARCHERS_LISTED", many)
        made = Catalog(FleetDispatch(), None, FakeRoster(), 0.0, lambda version: None)
        made.take_searchers(SearcherNews(None, 7, searchers(count), []))
        made.take_searchers(SearcherNews(7, 8, [], [f"i-{n}" for n in range(count)]))
        made.tick(200.0)
        return one.lines, many.lines

    def test_few_searchers_are_told_one_by_one(self, monkeypatch):
        one, many = self.play(monkeypatch, 2)
        assert [(line["searcher"], line["state"], line["revision"]) for line in one] == [
            ("i-0", "ready", 7),
            ("i-1", "ready", 7),
            ("i-0", "unlisted", 8),
            ("i-1", "unlisted", 8),
            ("i-0", "gone", 8),
            ("i-1", "gone", 8),
        ]
        assert many == []

    def test_many_that_come_together_are_told_in_one_line(self, monkeypatch):
        one, many = self.play(monkeypatch, 444)
        assert one == []
        assert [(line["count"], list(line["searchers"]), line["revision"]) for line in many] == [
            (444, ["ready"], 7),
            (444, ["unlisted"], 8),
            (444, ["gone"], 8),
        ]
        assert many[0]["searchers"]["ready"] == [f"i-{n}" for n in range(444)]
