"""Search over several groups and instances: owners, configurations, connections."""

from contextlib import contextmanager

import msgspec
import pytest

from limpethollow_wire.searches import SearchAnswer
from limpethollow_wire.services import HedgePolicy, Objective
from tests.support.clusters import Cluster
from tests.support.processes import wait_for
from tests.system.search.loads import DEADLINE, Load, check_label
from tests.system.search.test_faults import COVERAGE, assert_within_limits

GROUPED = [[0, 1], [0, 1], [2, 3], [2, 3], [4, 5], [4, 5]]


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(4)
        yield cluster


@contextmanager
def frozen(process):
    """Freeze a process for the length of a block."""
    process.freeze()
    try:
        yield
    finally:
        process.resume()


class TestGroups:
    def test_answer_over_three_groups_is_of_one_snapshot_while_versions_turn_over(self, cluster):
        """Three owners each choose their newest version; the answer would mix three snapshots.

        The groups' searchers get and drop versions at different moments under load.
        """
        searchers = cluster.start_searchers("grouped", GROUPED)
        cluster.put_service("grouped", searchers, objective=COVERAGE, searchers_per_group=2)
        standins = [cluster.searchers[searcher.id] for searcher in searchers]
        with Load(cluster, "grouped") as load:
            load.wait_for(30)
            for version in range(2, 7):
                for standin in standins:
                    standin.control(versions=[version - 1, version])
                    load.wait_for(3)
                for standin in standins:
                    standin.control(versions=[version])
                    load.wait_for(3)
        load.assert_all_complete()
        assert all(answer.coverage.wanted == 6 for answer in load.answers)
        assert {answer.coverage.version for answer in load.answers} > {1}
        assert_within_limits(standins)

    def test_group_whose_searchers_are_gone_is_missing_and_says_why(self, cluster):
        """All searchers of one group die; the answer would claim its shards, or not come."""
        searchers = cluster.start_searchers("halved", GROUPED[:4])
        cluster.put_service("halved", searchers, objective=COVERAGE, searchers_per_group=2)
        with cluster.session() as session:
            assert session.search("halved", {"n": 0}, deadline=DEADLINE).coverage.complete
            for searcher in searchers[2:]:
                cluster.searchers[searcher.id].kill()
            answer = session.search("halved", {"n": 1}, deadline=1.0)
        check_label(answer)
        assert answer.coverage.covered == (0, 1)
        assert {m.shard for m in answer.coverage.missing} == {2, 3}


class TestOwners:
    @pytest.mark.parametrize("owners", [1, 2])
    def test_searchers_limits_hold_with_several_active_owners(self, cluster, owners):
        """Several owners each believe that all slots are theirs; searchers would shed calls."""
        name = f"owned-{owners}"
        searchers = cluster.start_searchers(name, [[0, 1]] * 2, slots=4)
        cluster.put_service(name, searchers, objective=COVERAGE, owners=owners)
        with Load(cluster, name, threads=12) as load:
            load.wait_for(400)
        load.assert_all_complete()
        assert_within_limits([cluster.searchers[searcher.id] for searcher in searchers])

    def test_frozen_owner_is_passed_over(self, cluster):
        """The owner's machine stops without closing a connection; searches through others hang.

        Their links to it look well. After a part of the time they ask the next owner besides,
        unless the instances' own comparisons have found the frozen one before.
        """
        searchers = cluster.start_searchers("frozen", [[0, 1]] * 2)
        cluster.put_service("frozen", searchers, objective=COVERAGE)
        with cluster.session() as session:
            session.search("frozen", {"n": 0}, deadline=DEADLINE)
            owner = session.route("frozen").instances[0].id
        others = [instance for instance in cluster.listed if instance != owner]
        with cluster.session(others[0]) as session:
            session.search("frozen", {"n": 1}, deadline=DEADLINE)
            address = cluster.listed[others[0]]["address"]
            with frozen(cluster.instances[owner]):
                answer = session._adapter.send(
                    address,
                    "POST",
                    "/v1/services/frozen/search",
                    "caller-key",
                    SearchAnswer,
                    {"query": {"n": 2}, "deadline": 5.0},
                    5.0,
                )
                found = cluster.status(others[0]).peers[owner] == "unreachable"
        check_label(answer)
        assert answer.coverage.complete
        hedged = cluster.metric(others[0], 'forwards_hedged_total{reason="silent_owner"}')
        assert hedged == 1 or found


class TestConfigurations:
    def test_changes_under_load_cut_nothing_off_and_stay_within_limits(self, cluster):
        """An operator confirms one change after the other; searches would fail or searchers shed.

        The changes reach the instances at different moments, some add and remove a searcher.
        """
        searchers = cluster.start_searchers("changed", [[0, 1]] * 3)
        cluster.put_service("changed", searchers, objective=COVERAGE)
        with Load(cluster, "changed", threads=8) as load:
            load.wait_for(50)
            for number in range(8):
                objective = msgspec.structs.replace(COVERAGE, deadline=DEADLINE - number / 10)
                kept = searchers[: 2 + number % 2]
                cluster.put_service("changed", kept, objective=objective)
                load.wait_for(30)
        load.assert_all_complete()
        assert_within_limits([cluster.searchers[searcher.id] for searcher in searchers])


class TestSilentConnections:
    def test_each_dead_connection_costs_one_late_answer_at_most(self, cluster):
        """Open connections go silent for good; every search that meets one would be late.

        All connections to one of two searchers are frozen in a proxy; new ones work. Answers at
        the objective that lack shards are counted against the connections that were frozen.
        """
        objective = Objective(mode="latency", latency=1.0, deadline=DEADLINE, coverage_floor=0.0)
        policy = HedgePolicy(quantile=0.95, budget=0.1, minimum_delay=0.01)
        first, second = cluster.start_searchers("silent", [[0, 1]] * 2)
        proxy = cluster.start_proxy("silent-proxy", first.address)
        first = msgspec.structs.replace(first, address=proxy.ready["entry"])
        cluster.put_service("silent", [first, second], objective=objective, hedge=policy)
        with Load(cluster, "silent", threads=3) as load:
            load.wait_for(100)
            dead = wait_for(lambda: proxy.stats()["pairs"], "connections through the proxy")
            proxy.control(freeze=True)
            load.wait_for(200)
        assert not load.false_labels
        assert not load.errors
        late = [answer for answer in load.answers if not answer.coverage.complete]
        assert len(late) <= dead
