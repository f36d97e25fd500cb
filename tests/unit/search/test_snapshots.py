"""Choice of the snapshot, and what happens when it is lost."""

import msgspec
import pytest

from limpethollow_policy.request.events import Failure
from limpethollow_wire.exceptions import Unavailable, VersionGone
from limpethollow_wire.searches import CallError
from limpethollow_wire.services import Objective
from tests.unit.search.drivers import Driver, make_spec

LATENCY = Objective(mode="latency", latency=0.1, deadline=1.0, coverage_floor=0.5)
COVERAGE = Objective(mode="coverage", deadline=1.0, coverage_floor=0.5)


def pinned_driver(*held, objective=LATENCY, **fields):
    """Return a driver whose scheduler knows every searcher's versions."""
    driver = Driver(make_spec(*held, objective=objective, **fields))
    driver.search("warm-up", versions_only=True)
    driver.answer_inventories()
    return driver


class TestPin:
    @pytest.mark.parametrize(
        ("first", "second", "pinned"),
        [({1, 2}, {1, 2}, 2), ({1, 2}, {2, 3}, 2), ({1, 2, 3}, {1}, 1)],
    )
    def test_newest_version_that_every_shard_can_serve_is_pinned(self, first, second, pinned):
        driver = Driver(make_spec((0,), (1,)))
        driver.set_versions(first, "s0")
        driver.set_versions(second, "s1")
        driver.search()
        driver.answer_all()
        assert driver.coverage("q").version == pinned
        assert driver.coverage("q").complete

    def test_turnover_half_way_is_waited_for_a_little_and_then_answered_with_less(self):
        """A member would see courts of two index versions mixed, or no answer at all.

        One searcher has only the old version and the other only the new one. The search asks
        again, and once waiting has taken its share of the time it covers what one version can.
        """
        driver = pinned_driver((0, 1), (2,))
        driver.set_versions({1}, "s0")
        driver.set_versions({2}, "s1")
        driver.advance(1.5)
        driver.search()
        for _ in range(20):
            driver.answer_inventories()
            driver.advance(0.002)
        driver.answer_all()
        assert driver.coverage("q").covered == (0, 1)
        assert driver.missing("q") == {2: "version_gone"}

    def test_version_that_arrives_while_it_is_waited_for_completes_the_answer(self):
        """A search in the middle of a turnover would lack shards that come a moment later."""
        driver = pinned_driver((0, 1), (2,))
        driver.set_versions({1}, "s0")
        driver.set_versions({2}, "s1")
        driver.advance(1.5)
        driver.search()
        driver.answer_inventories()
        driver.set_versions({2}, "s0")
        driver.advance(0.006)
        driver.answer_all()
        assert driver.coverage("q").complete
        assert driver.coverage("q").version == 2

    def test_dead_replica_is_not_waited_for(self):
        """Each search would lose a quarter of its time while a shard's only replica is dead.

        The searcher refuses connections and pauses beyond the answer's due time, so waiting can't
        bring its shard; the search is answered at once with what the others cover.
        """
        driver = pinned_driver((0, 1), (2,))
        driver.advance(1.5)
        driver.search("first", within=1.0)
        for call in tuple(driver.calls.values()):
            if call.searcher_id == "s1":
                driver.fail(call.call_id, Failure.SHED, retry_after=5.0)
        driver.answer_all()
        driver.search("second")
        driver.answer_all()
        assert driver.missing("second") == {2: "no_replica"}


class TestMinVersion:
    def test_search_waits_for_the_version_of_a_booking(self):
        """A driver books a bay and searches; the answer would still show the bay as free.

        The booking's reply names the version that shows it. The searchers get that version a
        little later; the search keeps asking and answers with it.
        """
        driver = pinned_driver((0, 1), (0, 1), objective=COVERAGE)
        driver.search(min_version=2)
        driver.answer_inventories()
        driver.advance(0.3)
        assert "q" not in driver.finals
        driver.set_versions({1, 2})
        for _ in range(4):
            driver.answer_all()
            driver.advance(0.2)
        assert driver.coverage("q").version == 2

    def test_waiting_search_does_not_hold_up_others(self):
        """One search for a version that is not there would make all others ask for versions too."""
        driver = pinned_driver((0, 1), (0, 1), objective=COVERAGE)
        driver.search("waits", min_version=2)
        driver.search("plain")
        assert len(driver.search_calls()) == 1

    def test_version_that_never_comes_is_refused_with_when_to_come_back(self):
        driver = pinned_driver((0, 1), objective=COVERAGE)
        driver.search(min_version=9)
        for _ in range(30):
            driver.answer_inventories()
            driver.advance(0.05)
        assert isinstance(driver.error("q"), VersionGone)
        assert driver.error("q").retry_after > 0


class TestVersionGone:
    def test_search_restarts_at_another_version_inside_its_deadline(self):
        """A version is dropped under a running search; its answer would mix two or lack a shard.

        One shard's rows of version 1 have come when the other searcher has dropped version 1 and
        both have version 2. All is dropped and collected anew at version 2.
        """
        driver = pinned_driver((0,), (1,))
        driver.search()
        first, second = driver.search_calls()
        driver.answer(first.call_id)
        driver.set_versions({2})
        driver.answer(second.call_id)
        driver.answer_all()
        assert driver.coverage("q").version == 2
        assert driver.coverage("q").complete
        assert driver.counts["search_restarts", "version_gone"] == 1

    def test_searcher_that_lists_what_it_says_is_gone_is_not_asked_for_ever(self):
        """One confused searcher would get the same call again and again as fast as it answers.

        It lists version 1 and answers every call for version 1 with `version_gone`.
        """
        driver = pinned_driver((0,))
        driver.search()
        for _ in range(20):
            for call in driver.search_calls():
                errors = tuple(CallError(q.id, 0, "version_gone") for q in call.queries)
                driver.answer(call.call_id, parts=(), errors=errors)
        assert driver.error("q").code == "coverage_too_low"
        assert len([call for call in driver.started if call.queries]) <= 4

    def test_restarts_are_bounded(self):
        """Versions that turn over faster than a search takes would restart it for ever."""
        driver = pinned_driver((0,), (1,), objective=COVERAGE)
        driver.search()
        for version in range(2, 30):
            driver.set_versions({version})
            for call in driver.search_calls():
                driver.answer(call.call_id)
        driver.answer_all()
        assert "q" in driver.finals
        assert driver.counts["search_restarts", "version_gone"] <= 4

    def test_pinned_part_of_a_larger_search_says_so_at_once(self):
        """A group that lost the pinned version would let the coordinator wait for nothing."""
        driver = pinned_driver((0, 1))
        driver.search(pinned=1, floor=0.0)
        driver.set_versions({2})
        driver.answer_all()
        assert isinstance(driver.error("q"), VersionGone)
        assert driver.error("q").retry_after is None


class TestRepartition:
    def test_searchers_at_another_epoch_get_an_answer_at_once_that_says_when_to_come_back(self):
        """Searchers cut their shards anew before the configuration follows; searches would hang."""
        driver = pinned_driver((0, 1))
        driver.epochs["s0"] = 2
        driver.advance(1.5)
        driver.search()
        for _ in range(20):
            driver.answer_inventories()
            driver.advance(0.002)
        assert isinstance(driver.error("q"), VersionGone)
        assert driver.error("q").retry_after > 0

    def test_new_epoch_sends_a_running_search_back_to_its_coordinator(self):
        """The shards are cut anew while a search runs; it would wait for shards that are no more.

        One call has come, the other searcher moved to the next epoch, and the configuration with
        the new epoch arrives. The rest can't be had at the old one, so the search starts over.
        """
        driver = pinned_driver((0,), (1,))
        driver.search()
        first, second = driver.search_calls()
        driver.answer(first.call_id)
        driver.reconfigure(msgspec.structs.replace(driver.spec, epoch=2))
        driver.epochs = {"s0": 2, "s1": 2}
        driver.answer(second.call_id)
        assert isinstance(driver.error("q"), VersionGone)
        assert driver.error("q").retry_after is None
        assert driver.counts["search_restarts", "repartition"] == 1

    def test_running_search_ends_at_its_old_epoch_where_that_is_still_served(self):
        driver = pinned_driver((0,), (1,))
        driver.search()
        driver.reconfigure(msgspec.structs.replace(driver.spec, epoch=2))
        for call in driver.search_calls():
            driver.answer(call.call_id)
        assert driver.coverage("q").complete
        assert driver.coverage("q").epoch == 1

    @pytest.mark.parametrize("versions_only", [False, True])
    def test_search_of_the_old_cut_that_comes_after_the_new_one_starts_over(self, versions_only):
        """A search is on its way to its group as the shards are cut anew from two to three.

        Its two shards exist in the new cut too, so it could be answered at the new epoch. The
        answer would be called complete and lack the third shard.
        """
        driver = pinned_driver((0,), (1,))
        driver.reconfigure(make_spec((0, 2), (1,), epoch=2))
        driver.epochs = {"s0": 2, "s1": 2}
        driver.search(shards=(0, 1), epoch=1, versions_only=versions_only)
        driver.answer_all()
        assert isinstance(driver.error("q"), VersionGone)
        assert driver.error("q").retry_after is None


class TestReplicaLoss:
    def test_failed_replica_is_replaced_at_once(self):
        """A searcher is killed under a search; the caller would wait or get half an answer."""
        driver = pinned_driver((0, 1), (0, 1))
        driver.search()
        (call,) = driver.search_calls()
        driver.fail(call.call_id, Failure.BROKEN)
        (again,) = driver.search_calls()
        assert again.searcher_id != call.searcher_id
        driver.answer(again.call_id)
        assert driver.coverage("q").complete

    def test_loss_of_too_many_shards_is_answered_at_once(self):
        """With one of three shards lost the floor is out of reach, yet the caller would wait.

        The other calls are still open; whatever they bring, there can be no answer. They are
        cancelled, and the error names what became of each shard.
        """
        objective = Objective(mode="coverage", deadline=1.0, coverage_floor=0.9)
        driver = pinned_driver((0,), (1,), (2,), objective=objective)
        driver.search()
        lost, *others = driver.search_calls()
        driver.fail(lost.call_id, Failure.SHED, retry_after=9.0)
        error = driver.error("q")
        assert error.code == "coverage_too_low"
        assert error.retry_after > 0
        reasons = {str(shard): "floor_missed" for shard in range(3)}
        reasons[str(lost.queries[0].shards[0])] = "no_replica"
        assert error.details["missing"] == reasons
        assert driver.cancelled == {call.call_id for call in others}

    def test_no_usable_searcher_is_said_at_once(self):
        driver = pinned_driver((0,))
        driver.search("first")
        (call,) = driver.search_calls()
        driver.fail(call.call_id, Failure.SHED, retry_after=9.0)
        driver.search("second")
        assert isinstance(driver.error("second"), Unavailable)
        assert driver.error("second").retry_after > 1.0
