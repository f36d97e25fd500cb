"""Search over real processes while searchers fail, turn over, straggle and answer wrongly."""

import pytest

from limpethollow_wire.services import HedgePolicy, Objective
from tests.support.clusters import Cluster
from tests.system.search.loads import DEADLINE, Load, check_label

SHARDS = [0, 1, 2, 3]
COVERAGE = Objective(mode="coverage", deadline=DEADLINE, coverage_floor=0.5)


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(3)
        yield cluster


def start_service(cluster, name, replicas=3, **fields):
    """Start a service whose searchers all hold all shards."""
    searchers = cluster.start_searchers(name, [SHARDS] * replicas)
    cluster.put_service(name, searchers, objective=COVERAGE, **fields)
    return [cluster.searchers[searcher.id] for searcher in searchers]


def assert_within_limits(searchers):
    """Check, by the searchers' own counts, that no limit was passed."""
    for searcher in searchers:
        counts = searcher.stats()["counts"]
        assert not counts.get("connections_refused"), counts
        assert not counts.get("over_slots"), counts


class TestReplicaKilled:
    def test_every_answer_is_complete_while_a_replica_lives(self, cluster):
        """A searcher is killed under load; callers would see errors, or shards missing.

        Three searchers hold all shards. Calls that were on their way to the killed one break, the
        next ones are refused. Their work goes to the others, and nobody notices.
        """
        searchers = start_service(cluster, "killed")
        with Load(cluster, "killed") as load:
            load.wait_for(50)
            searchers[0].kill()
            load.wait_for(200)
        load.assert_all_complete()
        assert_within_limits(searchers[1:])


class TestTurnover:
    def test_no_answer_mixes_versions_while_they_turn_over(self, cluster):
        """Searchers get and drop index versions under load; answers would mix two of them.

        Each new version comes to one searcher after the other, and then the old one is dropped in
        the same way, so at no moment do all have the same versions.
        """
        searchers = start_service(cluster, "turnover")
        with Load(cluster, "turnover") as load:
            for version in range(2, 12):
                for searcher in searchers:
                    searcher.control(versions=[version - 1, version])
                    load.wait_for(5)
                for searcher in searchers:
                    searcher.control(versions=[version])
                    load.wait_for(5)
        load.assert_all_complete()
        assert len({answer.coverage.version for answer in load.answers}) > 5

    def test_disjoint_turnover_restarts_or_narrows_and_never_mixes(self, cluster):
        """Each shard has one searcher, and each turns over at its own moment with no overlap."""
        searchers = cluster.start_searchers("abrupt", [[0], [1], [2]])
        cluster.put_service("abrupt", searchers, objective=COVERAGE)
        with Load(cluster, "abrupt") as load:
            for version in range(2, 8):
                for searcher in searchers:
                    cluster.searchers[searcher.id].control(versions=[version])
                    load.wait_for(5)
        assert not load.false_labels
        assert {m.reason for a in load.answers for m in a.coverage.missing} <= {"version_gone"}
        assert {error.code for error in load.errors} <= {"coverage_too_low", "version_gone"}
        assert all(error.retry_after for error in load.errors)


class TestWrongReplies:
    @pytest.mark.parametrize("fault", ["cross_replies", "truncate_replies", "drop_replies"])
    def test_reply_that_is_not_the_whole_answer_to_its_call_is_never_used(self, cluster, fault):
        """Searchers give replies of other calls, half replies, or none; callers would see them."""
        name = fault.replace("_", "-")
        searchers = start_service(cluster, name)
        with Load(cluster, name) as load:
            load.wait_for(50)
            for _ in range(5):
                for searcher in searchers[:2]:
                    searcher.control(**{fault: 2})
                load.wait_for(40)
        load.assert_all_complete()


class TestRepartition:
    def test_running_searches_end_at_one_epoch_or_the_other(self, cluster):
        """The shards are cut anew under load; answers would mix the old cut with the new one.

        New searchers hold six shards at epoch 2 in place of four at epoch 1. The confirm reaches
        the instances one by one while searches run; each answer is whole at its own epoch.
        """
        start_service(cluster, "recut")
        new = cluster.start_searchers("recut-next", [list(range(6))] * 2, epoch=2)
        for searcher in new:
            cluster.searchers[searcher.id].control(service="recut")
        with Load(cluster, "recut") as load:
            load.wait_for(50)
            cluster.put_service("recut", new, objective=COVERAGE, epoch=2)
            load.wait_for(100)
        load.assert_all_complete()
        sizes = {(a.coverage.epoch, a.coverage.wanted) for a in load.answers}
        assert sizes == {(1, 4), (2, 6)}

    def test_searchers_ahead_of_the_configuration_answer_once_it_follows(self, cluster):
        """Searchers take the new cut before the configuration does; searches would hang.

        Until the confirm, searches are refused at once with when to come back.
        """
        searchers = cluster.start_searchers("ahead", [SHARDS] * 2)
        cluster.put_service("ahead", searchers, objective=COVERAGE)
        with cluster.session() as session:
            assert session.search("ahead", {}, deadline=DEADLINE).coverage.complete
            for searcher in searchers:
                cluster.searchers[searcher.id].control(epoch=2)
            with Load(cluster, "ahead", threads=2, deadline=0.4) as load:
                load.wait_for(6)
            assert not load.false_labels
            assert {error.code for error in load.errors} <= {"version_gone", "coverage_too_low"}
            assert all(error.retry_after for error in load.errors)
            cluster.put_service("ahead", searchers, objective=COVERAGE, epoch=2)
            answer = session.search("ahead", {}, deadline=DEADLINE)
        check_label(answer)
        assert answer.coverage.epoch == 2


class TestMinVersion:
    def test_search_after_a_booking_shows_it(self, cluster):
        """A driver books a bay and looks again; an answer from before would show it as free.

        The version that shows the booking comes to the searchers only while the search waits.
        """
        searchers = start_service(cluster, "fresh", replicas=1)
        with cluster.session() as session:
            assert session.search("fresh", {}, deadline=DEADLINE).coverage.version == 1
            outcome = session.book("fresh", shard=1, booking={"bay": 7}, deadline=DEADLINE)
            visible = outcome.visible_version
            with Load(cluster, "fresh", threads=2) as load:
                load.wait_for(10)
                for searcher in searchers:
                    searcher.control(versions=[1, visible])
                answer = session.search("fresh", {}, deadline=DEADLINE, min_version=visible)
        assert outcome.token in {row.get("token") for part in answer.parts for row in part.rows}
        assert answer.coverage.version >= visible
        assert answer.coverage.complete
        load.assert_all_complete()

    def test_version_that_does_not_come_is_refused_with_when_to_come_back(self, cluster):
        start_service(cluster, "never", replicas=1)
        with cluster.session() as session, pytest.raises(Exception, match="version 99") as caught:
            session.search("never", {}, deadline=0.5, min_version=99)
        assert caught.value.code == "version_gone"
        assert caught.value.retry_after > 0


class TestStraggler:
    def test_straggler_gets_few_calls_and_late_ones_are_hedged(self, cluster):
        """One of three replicas is slow; a third of the searches would be slow with it."""
        policy = HedgePolicy(quantile=0.9, budget=0.1, minimum_delay=0.005)
        searchers = start_service(cluster, "straggler", hedge=policy)
        with Load(cluster, "straggler", threads=3) as load:
            load.wait_for(60)
            before = [s.stats()["counts"]["searches"] for s in searchers]
            searchers[0].control(straggle_share=1.0, straggle_time=1.0)
            load.wait_for(300)
        after = [s.stats()["counts"]["searches"] for s in searchers]
        got = [later - earlier for earlier, later in zip(before, after, strict=True)]
        load.assert_all_complete()
        assert got[0] < 0.2 * sum(got), got
        assert sum(cluster.metric(i, "hedges_total") for i in cluster.listed) > 0
