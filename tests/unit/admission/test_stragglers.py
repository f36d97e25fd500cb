"""What a lost hedge teaches about the searcher that lost it."""

from limpethollow_policy.request.events import Failure
from limpethollow_wire.services import Objective
from tests.unit.search.drivers import Driver, make_spec

COVERAGE = Objective(mode="coverage", latency=0.2, deadline=1.0)
USUAL_SECONDS = 0.03
HEDGED_SECONDS = 0.06


class TestCancelledCalls:
    def test_straggler_whose_calls_lose_to_hedges_is_avoided(self):
        """Every few searches take three times as long as the others, for as long as it straggles.

        A searcher is slow; its calls lose to their hedges and are cancelled before they are
        answered. The cause is taking only answered calls for evidence, so the next search goes
        there again.
        """
        driver = Driver(make_spec((0,), (0,), objective=COVERAGE))
        driver.search("first", versions_only=True)
        driver.answer_inventories()
        for number in range(60):
            driver.search(f"warm-{number}")
            driver.answer_all(after=USUAL_SECONDS)
        driver.search("slow")
        (slow,) = driver.search_calls()
        driver.advance(HEDGED_SECONDS)
        (hedge,) = [c for c in driver.search_calls() if c.call_id != slow.call_id]
        driver.answer(hedge.call_id, after=USUAL_SECONDS)
        assert slow.call_id in driver.cancelled
        driver.fail(slow.call_id, Failure.CANCELLED)
        replicas = driver.scheduler.replicas
        waits = {s.spec.id: s.expected_wait(driver.now) for s in replicas}
        assert waits[slow.searcher_id] > 2 * waits[hedge.searcher_id]
