"""Hedges, attempt timeouts and replica choice."""

import pytest

from limpethollow_policy.process.repeatlimits import RepeatLimits
from limpethollow_policy.request.events import Failure
from limpethollow_wire.services import HedgePolicy, Objective
from tests.unit.search.test_answers import COVERAGE, warm_driver

HEDGE = HedgePolicy(quantile=0.95, budget=0.5, minimum_delay=0.005)


def busy_driver(*held, hedge=HEDGE, searches=40, **fields):
    """Return a driver with a history of calls of 2 ms."""
    driver = warm_driver(*held, hedge=hedge, **fields)
    for number in range(searches):
        driver.search(f"past{number}")
        for call in driver.search_calls():
            driver.answer(call.call_id, after=0.002)
    return driver


class TestHedge:
    def test_late_call_is_repeated_on_another_replica_and_the_loser_cancelled(self):
        """One replica straggles; the search would wait for it though another could answer."""
        driver = busy_driver((0,), (0,))
        driver.search()
        (late,) = driver.search_calls()
        driver.advance(0.006)
        (hedge,) = [c for c in driver.search_calls() if c.call_id != late.call_id]
        assert hedge.searcher_id != late.searcher_id
        driver.answer(hedge.call_id)
        assert driver.coverage("q").complete
        assert driver.cancelled == {late.call_id}

    def test_call_is_hedged_once(self):
        driver = busy_driver((0,), (0,), (0,))
        driver.search()
        driver.advance(0.05)
        assert len(driver.search_calls()) == 2

    def test_budget_bounds_hedges_as_a_share_of_calls(self):
        """Hedges would double the load just when all replicas are late."""
        driver = busy_driver((0,), (0,), hedge=HedgePolicy(budget=0.05, minimum_delay=0.005))
        for number in range(400):
            driver.search(f"late{number}")
            driver.advance(0.006)
            driver.answer_all()
        calls = len([call for call in driver.started if call.queries])
        assert 0 < driver.counts["hedges", ""] <= 5 + calls * 0.05

    def test_budget_shrinks_as_slots_fill(self):
        """Hedges of a busy group would lengthen the queue that made its calls late."""
        spent = {}
        for free_share in (1.0, 0.25, 0.0):
            repeats = RepeatLimits(HEDGE)
            while repeats.spend_hedge():
                pass
            spent[free_share] = 0
            for _ in range(100):
                repeats.call_started(free_share)
                spent[free_share] += repeats.spend_hedge()
        assert spent == {1.0: 50, 0.25: 12, 0.0: 0}

    def test_no_hedge_while_searches_wait(self):
        driver = busy_driver((0,), (0,), slots=1)
        for number in range(4):
            driver.search(f"q{number}")
        driver.advance(0.05)
        assert not driver.counts["hedges", ""]

    def test_every_shard_of_a_late_call_is_hedged(self):
        """No single replica holds all that a late call asked for; a part would stay late."""
        driver = busy_driver((0, 1), (0,), (1,))
        driver.search()
        (late,) = driver.search_calls()
        assert late.searcher_id == "s0"
        driver.advance(0.006)
        assert len(driver.search_calls()) == 3


class TestAttempt:
    def test_call_on_a_silent_connection_is_tried_again_while_there_is_time(self):
        """A connection went silent for good; the search on it would wait to its deadline.

        There is no other replica, so no hedge. The call may take a multiple of the slowest reply
        seen; then it counts as lost and goes out again on a new connection.
        """
        driver = busy_driver((0,), objective=COVERAGE)
        driver.search()
        (call,) = driver.search_calls()
        assert call.timeout < 0.1
        driver.now += call.timeout
        driver.fail(call.call_id, Failure.TIMEOUT)
        (again,) = driver.search_calls()
        driver.answer(again.call_id)
        assert driver.coverage("q").complete

    def test_slow_searcher_is_not_cut_off_again_and_again(self):
        """A service turns slow as a whole; every call would be given up before its reply.

        Each call that is given up raises the limit, until replies come within it.
        """
        driver = busy_driver((0,), objective=Objective(mode="coverage", deadline=10.0))
        driver.search(within=10.0)
        for _ in range(10):
            (call,) = driver.search_calls()
            if call.timeout >= 0.3:
                driver.answer(call.call_id, after=0.3)
                break
            driver.now += call.timeout
            driver.fail(call.call_id, Failure.TIMEOUT)
            driver.advance(0.2)
        assert driver.coverage("q").complete

    def test_deadline_bounds_the_first_calls_too(self):
        driver = warm_driver((0,))
        driver.search(within=0.3)
        (call,) = driver.search_calls()
        assert call.timeout == pytest.approx(0.3)


class TestChoice:
    def test_straggler_is_left_alone_while_others_answer(self):
        """A straggler's free slots would draw searches in, each of which then needs a hedge."""
        driver = busy_driver((0,), (0,), hedge=HedgePolicy(budget=0.0), slots=1)
        driver.search("slow")
        (call,) = driver.search_calls()
        straggler, fast = call.searcher_id, {"s0", "s1"} - {call.searcher_id}
        driver.answer(call.call_id, after=0.2)
        for number in range(20):
            driver.search(f"q{number}")
            driver.answer_all(0.002)
        later = [c.searcher_id for c in driver.started if c.queries][-20:]
        assert set(later) == fast, straggler

    def test_busy_fast_replica_is_waited_for_while_nobody_else_waits(self):
        """The fast replica is busy for 2 ms; the search would take a straggler's free slot."""
        driver = busy_driver((0,), (0,), hedge=HedgePolicy(budget=0.0), slots=1)
        driver.search("slow")
        (call,) = driver.search_calls()
        driver.answer(call.call_id, after=0.9)
        driver.search("first")
        (first,) = driver.search_calls()
        driver.search("second")
        assert driver.search_calls() == [first]
        driver.answer_all(0.002)
        assert not [c for c in driver.started[-2:] if c.searcher_id == call.searcher_id]

    def test_replica_that_failed_this_search_comes_last(self):
        driver = warm_driver((0,), (0,), (0,), objective=COVERAGE)
        driver.search()
        tried = []
        for _ in range(3):
            (call,) = driver.search_calls()
            tried.append(call.searcher_id)
            driver.fail(call.call_id, Failure.MISMATCHED)
        assert sorted(tried) == ["s0", "s1", "s2"]
