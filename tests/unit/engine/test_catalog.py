"""What is told of searchers' entries that come and go."""

from dataclasses import replace

from limpethollow_node.engine.frames import InstanceUpdate, SearcherUpdate
from limpethollow_node.engine.process import catalog
from limpethollow_node.engine.process.catalog import Catalog
from limpethollow_policy.process.placements import Instance
from limpethollow_policy.process.removals import REWRITE_GRACE_SECONDS
from limpethollow_policy.process.searchers import Searcher
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
        made.apply_searchers(SearcherUpdate(None, 7, searchers(count), []))
        made.apply_searchers(SearcherUpdate(7, 8, [], [f"i-{n}" for n in range(count)]))
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


def listed(era: int, revision: int, *found: Searcher) -> SearcherUpdate:
    return SearcherUpdate(None, revision, list(found), [], era)


class TestReturn:
    """What the store's older copy says of searchers, until they have written again."""

    def made(self) -> tuple[Catalog, FleetDispatch]:
        dispatch = FleetDispatch()
        return Catalog(dispatch, None, FakeRoster(), 2.2, lambda version: None), dispatch

    def takes_calls(self, dispatch: FleetDispatch, searcher_id: str) -> bool:
        replica = dispatch.fleet.get(searcher_id)
        return replica is not None and replica.takes_calls(dispatch.loop.time())

    def test_one_that_drained_is_not_used_as_the_copy_says(self):
        """Guards against requests to a searcher whose drain the store has lost."""
        made, dispatch = self.made()
        ready, other = searchers(2)
        drained = replace(ready, draining=True)
        made.apply_searchers(listed(1, 20, ready, other))
        made.apply_searchers(SearcherUpdate(20, 21, [drained], [], 1))
        made.apply_searchers(listed(2, 20, ready, other))
        assert not self.takes_calls(dispatch, "i-0")
        assert self.takes_calls(dispatch, "i-1")
        made.apply_searchers(SearcherUpdate(20, 21, [drained], [], 2))
        made.tick(dispatch.loop.time() + REWRITE_GRACE_SECONDS)
        assert not self.takes_calls(dispatch, "i-0")

    def test_one_that_does_not_say_so_again_is_used_after_a_while(self):
        made, dispatch = self.made()
        (ready,) = searchers(1)
        made.apply_searchers(listed(1, 20, replace(ready, draining=True)))
        made.apply_searchers(listed(2, 18, ready))
        made.tick(dispatch.loop.time() + REWRITE_GRACE_SECONDS)
        assert self.takes_calls(dispatch, "i-0")

    def test_one_that_started_anew_is_used_at_once(self):
        made, dispatch = self.made()
        (ready,) = searchers(1)
        made.apply_searchers(listed(1, 20, replace(ready, draining=True)))
        made.apply_searchers(listed(2, 18, replace(ready, incarnation=7)))
        assert self.takes_calls(dispatch, "i-0")

    def test_one_whose_entry_had_gone_is_a_last_choice(self):
        made, dispatch = self.made()
        found = searchers(2)
        made.apply_searchers(listed(1, 20, *found))
        made.apply_searchers(SearcherUpdate(20, 21, [], ["i-0"], 1))
        made.tick(dispatch.loop.time() + 10.0)
        assert dispatch.fleet.get("i-0") is None
        made.apply_searchers(listed(2, 20, *found))
        assert dispatch.fleet.get("i-0").unlisted
        assert not dispatch.fleet.get("i-1").unlisted
        made.tick(dispatch.loop.time() + REWRITE_GRACE_SECONDS)
        assert not dispatch.fleet.get("i-0").unlisted

    def test_one_that_the_copy_lacks_stays_a_last_choice(self):
        """Guards against a shard that is lost because its searchers' entries are."""
        made, dispatch = self.made()
        made.apply_searchers(listed(1, 20, *searchers(1)))
        made.apply_searchers(listed(2, 18))
        assert self.takes_calls(dispatch, "i-0")
        made.tick(dispatch.loop.time() + REWRITE_GRACE_SECONDS)
        assert dispatch.fleet.get("i-0") is None


class TestReturnOfOtherKinds:
    def test_instances_that_the_copy_lacks_stay_known_for_a_while(self):
        """Guards against callers that are told of one instance alone after a return."""
        roster = KeepingRoster()
        dispatch = FleetDispatch()
        made = Catalog(dispatch, None, roster, 2.2, lambda version: None)
        one, two = (Instance(name, "1:1", "1:2", "a") for name in ("one", "two"))
        made.apply_instances(InstanceUpdate(None, 20, [one, two], [], 1))
        made.apply_instances(InstanceUpdate(None, 18, [], [], 2))
        assert roster.names == {"one", "two"}
        made.apply_instances(InstanceUpdate(18, 19, [one], [], 2))
        made.tick(dispatch.loop.time() + REWRITE_GRACE_SECONDS)
        assert roster.names == {"one"}


class KeepingRoster:
    """Keeps the names of the instances."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def put(self, instance: Instance) -> None:
        self.names.add(instance.name)

    def remove(self, name: str) -> None:
        self.names.discard(name)
