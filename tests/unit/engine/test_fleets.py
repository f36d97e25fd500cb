"""Choice of a searcher, and what is forgotten when one starts anew."""

from random import Random

from limpethollow_policy.process.fleets import Fleet
from limpethollow_policy.process.removals import RemovalDelay
from limpethollow_policy.process.searchers import Searcher

USUAL = 0.02


def searcher(name: str, domain: str = "a", **fields) -> Searcher:
    return Searcher(name, "s", f"10.0.0.{len(name)}:80", domain, 2, **fields)


def fleet_of(*searchers: Searcher) -> Fleet:
    fleet = Fleet("a", Random(1))
    for each in searchers:
        fleet.put(each, 0.0)
    return fleet


class TestChoice:
    def test_the_own_failure_domain_is_preferred(self):
        fleet = fleet_of(searcher("far", "b"), searcher("near"))
        assert fleet.choose("s", 1.0, USUAL).searcher.id == "near"

    def test_a_busy_searcher_loses_to_an_idle_one_elsewhere(self):
        fleet = fleet_of(searcher("far", "b"), searcher("near"))
        fleet.get("near").in_flight = {1: 1.0, 2: 1.0}
        assert fleet.choose("s", 1.0, USUAL).searcher.id == "far"

    def test_a_slow_searcher_is_left_and_tried_again_later(self):
        fleet = fleet_of(searcher("far", "b"), searcher("near"))
        for at in range(8):
            fleet.get("near").observe(10.0, 1.0 + at / 100)
        assert fleet.choose("s", 1.1, USUAL).searcher.id == "far"
        assert fleet.choose("s", 25.0, USUAL).searcher.id == "near"

    def test_a_paused_searcher_is_seen_by_its_oldest_call(self):
        """Searches in a row lost one part to the same searcher.

        It paused for 120 ms with a call under way, and new calls kept going to it, since only
        calls that end tell how slow a searcher is.
        """
        fleet = fleet_of(searcher("far", "b"), searcher("near"))
        fleet.get("near").in_flight = {1: 1.0}
        assert fleet.choose("s", 1.0 + 3 * USUAL, USUAL).searcher.id == "far"

    def test_leaving_and_blocked_searchers_get_nothing(self):
        fleet = fleet_of(searcher("leaving", draining=True), searcher("dead"))
        fleet.unreachable(fleet.get("dead"), 1.0)
        assert fleet.choose("s", 1.1, USUAL) is None
        assert fleet.choose("s", 2.0, USUAL).searcher.id == "dead"

    def test_an_avoided_searcher_is_the_last_choice(self):
        fleet = fleet_of(searcher("one"), searcher("two"))
        assert fleet.choose("s", 1.0, USUAL, ["one"]).searcher.id == "two"
        assert fleet.choose("s", 1.0, USUAL, ["one", "two"]) is not None

    def test_a_failing_searcher_loses_to_a_sound_one_elsewhere(self):
        fleet = fleet_of(searcher("far", "b"), searcher("near"))
        fleet.get("near").failed(1.0)
        assert fleet.choose("s", 1.0, USUAL).searcher.id == "far"


class TestNewStart:
    def test_another_process_under_the_same_id_has_no_evidence(self):
        """A searcher that had been slow crashed and started again under its id.

        Its new process was fast, but went on being avoided for the old one's calls.
        """
        fleet = fleet_of(searcher("one", incarnation=1))
        fleet.get("one").observe(20.0, 0.5)
        replaced = fleet.put(searcher("one", incarnation=2), 1.0)
        assert replaced is not None
        assert fleet.get("one").slowness == 1.0

    def test_a_changed_entry_of_the_same_process_keeps_the_evidence(self):
        fleet = fleet_of(searcher("one", incarnation=1))
        fleet.get("one").observe(20.0, 0.5)
        assert fleet.put(searcher("one", incarnation=1, draining=True), 1.0) is None
        assert fleet.get("one").slowness > 1.0
        assert fleet.get("one").searcher.draining


class TestRemovalDelay:
    def test_an_entry_that_comes_back_is_not_removed(self):
        """All searchers lapsed while the store was away, and every request was refused.

        Their entries were back within two seconds. The instance had believed the empty list.
        """
        removals = RemovalDelay(2.2)
        removals.add("one", 1.0)
        removals.add("two", 1.0)
        removals.cancel("one")
        assert removals.due(3.1) == []
        assert removals.due(3.3) == ["two"]
        assert removals.due(9.0) == []

    def test_a_second_report_does_not_extend_the_delay(self):
        removals = RemovalDelay(2.2)
        removals.add("one", 1.0)
        removals.add("one", 3.0)
        assert removals.due(3.3) == ["one"]
