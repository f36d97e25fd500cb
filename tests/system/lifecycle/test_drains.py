"""Searchers that leave and return, with real processes and several owners."""

import pytest

from limpethollow_wire.services import SearcherSpec
from tests.support.clusters import Cluster
from tests.support.processes import wait_for
from tests.system.lifecycle.callers import Background, KeptConnection, new_query

SERVICE = "driver-finder"
LEFT = 'searcher_drains_total{reason="left"}'
NOTICED = 'searcher_drain_notices_total{reason="peer"}'
LISTED = 'searcher_drain_notices_total{reason="list"}'


@pytest.fixture
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(3)
        yield cluster


def start(cluster: Cluster, **searcher) -> list[SearcherSpec]:
    specs = cluster.start_searchers(SERVICE, [[0], [0]], **searcher)
    cluster.put_service(SERVICE, specs)
    return specs


def work(cluster: Cluster, spec: SearcherSpec) -> int:
    """Return how much work a searcher got so far; asking for its inventory is none."""
    counts = cluster.searchers[spec.id].stats()["counts"]
    return counts.get("searches", 0) + counts.get("bookings", 0)


def search(cluster: Cluster, times: int = 1) -> None:
    with cluster.session() as session:
        for _ in range(times):
            assert session.search(SERVICE, new_query(), deadline=5.0).coverage.complete


def book_at_each(cluster: Cluster) -> None:
    """Book with tokens of every instance: each of them is an owner of the group by that."""
    for instance in cluster.listed:
        with cluster.session(instance) as session:
            route = session.route(SERVICE)
            prefix = next(i.token_prefix for i in route.instances if i.id == instance)
            token = f"{prefix}.0.{instance}-{session.new_token(SERVICE, 0).rsplit('.', 1)[1]}"
            assert session.book(SERVICE, 0, {}, token=token, deadline=5.0).state == "booked"


def total(cluster: Cluster, metric: str) -> float:
    return sum(cluster.metric(instance, metric) for instance in cluster.listed)


def open_connections(cluster: Cluster) -> float:
    """Return how many connections to searchers the instances hold open."""

    def count(reason: str) -> float:
        return total(cluster, f'searcher_connections_total{{reason="{reason}"}}')

    closed = ("idle_closed", "condemned", "condemned_sibling", "closed_by_searcher")
    return count("opened") - sum(count(reason) for reason in closed)


def check_no_new_work(cluster: Cluster, spec: SearcherSpec) -> None:
    before = work(cluster, spec)
    search(cluster, times=30)
    book_at_each(cluster)
    assert work(cluster, spec) == before


class TestLeavingSearcher:
    def test_no_owner_sends_it_new_work_and_work_in_flight_ends(self, cluster):
        """A searcher begins to drain while a search runs on it; its health still says well.

        The owner of the searches hears it from a reply. The other instances own the group for the
        bookings of their tokens and must hear of it too.
        """
        leaver, stayer = start(cluster)
        search(cluster)
        book_at_each(cluster)
        for searcher in cluster.searchers.values():
            searcher.control(service_time=2.0)
        with KeptConnection(cluster.listed["n0"]["address"]) as caller:
            running = Background(caller.search, SERVICE)
            wait_for(
                lambda: any(s.stats()["running"] for s in cluster.searchers.values()), "it runs"
            )
            leaver, stayer = sorted(
                (leaver, stayer), key=lambda s: -cluster.searchers[s.id].stats()["running"]
            )
            cluster.searchers[leaver.id].control(draining=True, service_time=0.001)
            cluster.searchers[stayer.id].control(service_time=0.001)
            assert running.result()[0] == 200
        wait_for(lambda: search(cluster) or total(cluster, LEFT), "an owner knows")
        wait_for(lambda: total(cluster, NOTICED), "the other owners are told")
        check_no_new_work(cluster, leaver)

    def test_it_gets_work_again_once_its_drain_is_called_off(self, cluster):
        leaver, _ = start(cluster)
        cluster.searchers[leaver.id].control(draining=True)
        wait_for(lambda: search(cluster) or total(cluster, LEFT), "an owner knows")
        before = work(cluster, leaver)
        cluster.searchers[leaver.id].control(draining=False)
        wait_for(lambda: search(cluster) or work(cluster, leaver) > before, "it gets work")

    def test_it_gets_work_again_once_it_is_restarted(self, cluster):
        leaver, _ = start(cluster)
        cluster.searchers[leaver.id].control(draining=True)
        wait_for(lambda: search(cluster) or total(cluster, LEFT), "an owner knows")
        cluster.searchers[leaver.id].kill()
        search(cluster, times=5)
        port = int(leaver.address.rpartition(":")[2])
        cluster.start_searcher(SERVICE, leaver.id, [0], port=port)
        wait_for(lambda: search(cluster) or work(cluster, leaver) > 0, "it gets work")

    def test_no_searcher_is_asked_without_traffic(self, cluster):
        leaver, stayer = start(cluster)
        cluster.searchers[leaver.id].control(draining=True)
        wait_for(lambda: search(cluster) or total(cluster, LEFT), "an owner knows")
        counts = [cluster.searchers[s.id].stats()["counts"] for s in (leaver, stayer)]
        calls = total(cluster, 'searcher_calls_total{reason="inventory"}')
        wait_for(lambda: open_connections(cluster) == 0, "idle connections are closed")
        assert [cluster.searchers[s.id].stats()["counts"] for s in (leaver, stayer)] == counts
        assert total(cluster, 'searcher_calls_total{reason="inventory"}') == calls


class TestOtherEvidence:
    def test_platforms_list_alone_stops_new_work(self, cluster):
        """The platform takes a searcher away and lists it so, before the searcher knows itself."""
        leaver, _ = start(cluster)
        search(cluster)
        book_at_each(cluster)
        cluster.platform.control(searchers=[{"address": leaver.address, "state": "leaving"}])
        cluster.publish_list()
        wait_for(
            lambda: all(cluster.metric(i, LISTED) for i in cluster.listed), "every owner knows"
        )
        check_no_new_work(cluster, leaver)

    def test_configuration_alone_stops_new_work(self, cluster):
        leaver, stayer = start(cluster)
        marked = SearcherSpec(leaver.id, leaver.address, leaver.shards, draining=True)
        assert cluster.put_service(SERVICE, [marked, stayer]).lacking == ()
        check_no_new_work(cluster, leaver)


class TestEvacuation:
    def test_an_evacuated_failure_domain_gets_no_new_work_until_it_is_restored(self, cluster):
        leaver, _ = start(cluster)
        search(cluster)
        set_evacuated(cluster, leaver.failure_domain, evacuated=True)
        check_no_new_work(cluster, leaver)
        set_evacuated(cluster, leaver.failure_domain, evacuated=False)
        before = work(cluster, leaver)
        wait_for(lambda: search(cluster) or work(cluster, leaver) > before, "it gets work")


def set_evacuated(cluster: Cluster, domain: str, *, evacuated: bool) -> None:
    """Plan and confirm that a failure domain gets no new work, or gets it again."""
    with cluster.operator() as operator:
        plan = operator.plan_evacuation(SERVICE, domain, evacuated=evacuated)
        assert operator.confirm(plan.id).lacking == ()
