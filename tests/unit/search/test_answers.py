"""When an answer is given, and what its label says."""

import pytest

from limpethollow_policy.request.events import Failure
from limpethollow_wire.searches import CallPart
from limpethollow_wire.services import Objective
from tests.unit.search.drivers import Driver, make_spec

LATENCY = Objective(mode="latency", latency=0.1, deadline=1.0, coverage_floor=0.5)
COVERAGE = Objective(mode="coverage", deadline=1.0, coverage_floor=0.5)


def warm_driver(*held, objective=LATENCY, **fields):
    driver = Driver(make_spec(*held, objective=objective, **fields))
    driver.search("warm-up", versions_only=True)
    driver.answer_inventories()
    return driver


class TestObjective:
    def test_latency_mode_answers_at_the_objective_with_honest_coverage(self):
        """One shard straggles; the driver's rest break would run out before the answer."""
        driver = warm_driver((0,), (1,))
        driver.search()
        driver.answer(driver.calls_to("s0")[0].call_id)
        driver.advance(0.1)
        assert driver.coverage("q").covered == (0,)
        assert driver.missing("q") == {1: "objective"}

    def test_coverage_mode_waits_for_the_straggler(self):
        """One club's shard straggles; its courts would be missing though there was time."""
        driver = warm_driver((0,), (1,), objective=COVERAGE)
        driver.search()
        driver.answer(driver.calls_to("s0")[0].call_id)
        driver.advance(0.8)
        assert "q" not in driver.finals
        driver.answer(driver.calls_to("s1")[0].call_id)
        assert driver.coverage("q").complete

    def test_shard_that_no_slot_was_free_for_says_so(self):
        """The label would blame a searcher that was never asked."""
        driver = warm_driver((0,), (1,), objective=COVERAGE, slots=1)
        driver.book("b", shard=1)
        driver.search()
        driver.answer(driver.calls_to("s0")[0].call_id)
        driver.advance(1.0)
        assert driver.missing("q") == {1: "no_slot"}


class TestReplies:
    """Replies that come late, crossed, doubled, short, or after the answer left."""

    def test_late_reply_changes_nothing(self):
        driver = warm_driver((0,), (1,))
        driver.search()
        late = driver.calls_to("s1")[0].call_id
        driver.answer(driver.calls_to("s0")[0].call_id)
        driver.advance(0.1)
        driver.answer(late)
        driver.answer(late)
        assert driver.coverage("q").covered == (0,)

    def test_reply_with_another_calls_parts_covers_nothing_of_its_own(self):
        """A searcher mixes two calls up; a member would see the courts of another's query."""
        driver = warm_driver((0,), (0,), objective=COVERAGE)
        driver.search("mine")
        (mine,) = driver.search_calls()
        driver.search("other")
        other = next(c for c in driver.search_calls() if c.call_id != mine.call_id)
        driver.answer(mine.call_id, parts=driver.reply(other.call_id).parts)
        assert not {"mine", "other"} & driver.finals.keys()
        driver.answer_all()
        assert driver.coverage("mine").complete

    def test_part_of_another_version_is_refused(self):
        """A searcher answers with its newest version in place of the pinned one."""
        driver = warm_driver((0,), (1,), objective=COVERAGE)
        driver.search()
        (call,) = driver.calls_to("s0")
        (query,) = call.queries
        driver.answer(call.call_id, parts=(CallPart(query.id, 0, 2, []),))
        assert driver.counts["parts_refused", "snapshot"] == 1
        driver.answer_all()
        assert driver.coverage("q").version == 1

    def test_short_reply_is_asked_again_for_the_rest(self):
        """A reply lacks a shard that it was asked for; the answer would claim or lose it."""
        driver = warm_driver((0, 1), (0, 1), objective=COVERAGE)
        driver.search()
        (call,) = driver.search_calls()
        driver.answer(call.call_id, parts=driver.reply(call.call_id).parts[:1])
        (again,) = driver.search_calls()
        assert again.queries[0].shards == (1,)
        driver.answer(again.call_id)
        assert driver.coverage("q").complete

    def test_searcher_that_always_leaves_a_shard_out_is_not_asked_for_ever(self):
        """Replies of one searcher never hold shard 1; it would get call after call without end."""
        driver = warm_driver((0, 1), objective=COVERAGE)
        driver.search()
        for _ in range(20):
            for call in driver.search_calls():
                parts = driver.reply(call.call_id).parts
                driver.answer(call.call_id, parts=tuple(p for p in parts if p.shard == 0))
        assert driver.missing("q") == {1: "failed"}
        assert len([call for call in driver.started if call.queries]) <= 4


class TestRetries:
    @pytest.mark.parametrize("failure", [Failure.BROKEN, Failure.TIMEOUT, Failure.MISMATCHED])
    def test_shard_is_given_up_with_the_last_reason(self, failure):
        driver = warm_driver((0,), (1,), objective=COVERAGE)
        driver.search()
        driver.answer(driver.calls_to("s0")[0].call_id)
        for _ in range(8):
            for call in driver.calls_to("s1"):
                driver.fail(call.call_id, failure)
            driver.advance(0.05)
        assert driver.missing("q")[1] in (failure, "no_replica")
        assert driver.counts["retries", failure] <= 3

    def test_budget_ends_retries_when_everything_fails(self):
        """A brown-out would double its own load: every failed call is sent again and again."""
        driver = warm_driver((0,), (0,), objective=COVERAGE)
        failed = 0
        for number in range(200):
            driver.search(f"q{number}")
            while driver.search_calls():
                driver.fail(driver.search_calls()[0].call_id, Failure.MISMATCHED)
                failed += 1
            driver.advance(6.0)
            driver.answer_inventories()
        retries = sum(n for (name, _), n in driver.counts.items() if name == "retries")
        assert retries <= 20 + failed * 0.1
        assert driver.counts["retries_refused", "budget"] > 0


class TestAbandon:
    def test_call_of_a_caller_that_left_is_cancelled_and_its_slot_kept_until_it_ends(self):
        """Searchers would work on for callers that left, or get more calls than they have slots."""
        driver = warm_driver((0,), slots=1, objective=COVERAGE)
        driver.search("left")
        (call,) = driver.search_calls()
        driver.search("next")
        driver.abandon("left")
        assert driver.cancelled == {call.call_id}
        assert driver.search_calls() == [call]
        driver.answer(call.call_id, parts=(), errors=())
        driver.answer_all()
        assert "left" not in driver.finals
        assert driver.coverage("next").complete
