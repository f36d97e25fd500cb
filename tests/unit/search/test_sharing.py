"""One call a searcher, queries joined, answers kept."""

from limpethollow_policy.process.resultcaches import ResultCache
from limpethollow_policy.request.gathers import Gather, Snapshot, query_key
from limpethollow_wire.services import Objective
from tests.unit.search.drivers import Driver, make_spec
from tests.unit.search.test_answers import COVERAGE, warm_driver


class TestOneCall:
    def test_search_takes_one_call_however_many_shards_a_searcher_holds(self):
        driver = warm_driver(tuple(range(20)), tuple(range(20)))
        driver.search()
        (call,) = driver.search_calls()
        assert call.queries[0].shards == tuple(range(20))

    def test_search_takes_one_call_for_each_searcher_that_it_needs(self):
        driver = warm_driver((0, 1, 2), (3, 4), (2, 3))
        driver.search()
        assert sorted(c.searcher_id for c in driver.search_calls()) == ["s0", "s1"]


class TestJoin:
    def test_identical_query_joins_the_call_on_its_way(self):
        """A flood of the same query would take a slot each though one answer serves them all."""
        driver = warm_driver((0,), slots=1)
        driver.search("first", {"free": True, "at": "ross"})
        driver.search("second", {"at": "ross", "free": True})
        (call,) = driver.search_calls()
        driver.answer(call.call_id)
        assert driver.coverage("first") == driver.coverage("second")
        assert driver.counts["shared_answers", "joined"] == 1

    def test_different_query_does_not_join(self):
        driver = warm_driver((0,))
        driver.search("first", {"at": "ross"})
        driver.search("second", {"at": "perth"})
        assert len(driver.search_calls()) == 2

    def test_joined_call_goes_on_when_the_first_caller_leaves(self):
        """The caller that began a call leaves; the one that joined it would lose its answer."""
        driver = warm_driver((0,), slots=1)
        driver.search("first", {"same": 1})
        driver.search("second", {"same": 1})
        driver.abandon("first")
        assert not driver.cancelled
        driver.answer_all()
        assert driver.coverage("second").complete

    def test_failure_of_a_joined_call_is_tried_again_once_for_all(self):
        driver = warm_driver((0,), (0,), slots=1)
        driver.search("first", {"same": 1})
        driver.search("second", {"same": 1})
        (call,) = driver.search_calls()
        driver.fail(call.call_id)
        (again,) = driver.search_calls()
        driver.answer(again.call_id)
        assert driver.coverage("first").complete
        assert driver.coverage("second").complete
        assert driver.counts["retries", "broken"] == 1

    def test_search_for_a_newer_version_does_not_join_an_older_snapshot(self):
        """A search after a booking would get the answer of one that began before it."""
        driver = warm_driver((0,), objective=COVERAGE)
        driver.search("before", {"same": 1})
        driver.search("after", {"same": 1}, min_version=2)
        driver.set_versions({1, 2})
        driver.advance(0.3)
        driver.answer_all()
        driver.advance(0.3)
        driver.answer_all()
        assert driver.coverage("after").version == 2


class TestKept:
    def test_answer_of_a_snapshot_is_kept_for_the_same_query(self):
        driver = warm_driver((0, 1))
        driver.search("first", {"same": 1})
        driver.answer_all()
        driver.search("second", {"same": 1})
        assert not driver.search_calls()
        assert driver.coverage("second").complete

    def test_answer_of_an_older_snapshot_is_not_used(self):
        """A freed court would stay hidden behind the kept answer of the version before."""
        driver = warm_driver((0, 1))
        driver.search("first", {"same": 1})
        driver.set_versions({1, 2})
        driver.answer_all()
        driver.search("second", {"same": 1})
        driver.answer_all()
        assert driver.coverage("second").version == 2

    def test_store_is_bounded_by_rows(self):
        kept = ResultCache(max_rows=10)
        for shard in range(100):
            kept.keep("key", Snapshot(1, 1), shard, [{}, {}])
        assert len(kept) == 3

    def test_query_names_do_not_depend_on_the_order_of_fields(self):
        assert query_key({"a": 1, "b": {"c": 2, "d": 3}}) == query_key(
            {"b": {"d": 3, "c": 2}, "a": 1}
        )
        assert query_key({"a": 1}) != query_key({"a": "1"})


class TestBatch:
    def test_waiting_queries_go_out_in_one_call(self):
        """With two slots each, searchers would run one query a slot while dozens wait."""
        driver = warm_driver((0, 1), slots=1, queries_per_call=8)
        for number in range(5):
            driver.search(f"q{number}")
        (call,) = driver.search_calls()
        driver.answer(call.call_id)
        (batch,) = driver.search_calls()
        assert len(batch.queries) == 4
        driver.answer(batch.call_id)
        assert all(driver.coverage(f"q{number}").complete for number in range(5))

    def test_batch_is_bounded(self):
        driver = warm_driver((0,), slots=1, queries_per_call=8)
        for number in range(40):
            driver.search(f"q{number}")
        driver.answer_all()
        assert max(len(call.queries) for call in driver.started) == 8
        assert all(driver.coverage(f"q{number}").complete for number in range(40))

    def test_searches_at_other_snapshots_are_left_out(self):
        driver = warm_driver((0,), slots=1, queries_per_call=8)
        driver.set_versions({1, 2})
        driver.search("q0")
        driver.search("old", pinned=1)
        driver.search("new", min_version=2)
        driver.answer_all()
        for call in driver.started:
            assert len({call.version}) == 1
        assert driver.coverage("old").version == 1
        assert driver.coverage("new").version == 2


class TestGather:
    def test_search_of_a_larger_one_may_answer_below_the_floor(self):
        """A group's few shards would be lost to the whole answer because its own share is low."""
        driver = Driver(make_spec((0,), (1,), (2,), objective=Objective(coverage_floor=1.0)))
        driver.search(floor=0.0, within=0.5)
        driver.answer_inventories()
        driver.answer(driver.calls_to("s0")[0].call_id)
        driver.advance(0.5)
        assert driver.coverage("q").covered == (0,)

    def test_accept_keeps_only_wanted_parts_of_the_pinned_snapshot(self):
        driver = warm_driver((0, 1))
        gather = Gather(driver.searches["warm-up"], Objective(), 0.0)
        gather.pin(Snapshot(1, 1))
        assert gather.accept(0, Snapshot(1, 1), [])
        assert not gather.accept(0, Snapshot(1, 1), ["again"])
        assert not gather.accept(1, Snapshot(1, 2), [])
        assert not gather.accept(1, Snapshot(2, 1), [])
        assert not gather.accept(7, Snapshot(1, 1), [])
