"""The whole path, once through, with real processes."""

import pytest

from limpethollow import OutcomeState
from limpethollow.exceptions import Unauthorized, UnknownService
from tests.support.clusters import Cluster


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(4)
        searchers = cluster.start_searchers("driver-finder", [[0, 1, 2], [0, 1, 2]])
        confirmation = cluster.put_service("driver-finder", searchers)
        assert confirmation.lacking == ()
        yield cluster


class TestThinPath:
    def test_search_through_each_instance_covers_every_shard(self, cluster):
        for instance in cluster.listed.values():
            with cluster.session(instance["id"]) as session:
                answer = session.search("driver-finder", {"free": True}, deadline=5.0)
            assert answer.coverage.complete
            assert answer.coverage.covered == (0, 1, 2)
            versions = {row["version"] for part in answer.parts for row in part.rows}
            assert versions == {answer.coverage.version}

    def test_search_through_an_instance_that_is_not_the_owner_is_forwarded(self, cluster):
        with cluster.session() as session:
            owner, other = session.route("driver-finder").instances[:2]
            address = cluster.listed[other.id]["address"]
            answer = session._adapter.send(
                address,
                "POST",
                "/v1/services/driver-finder/search",
                "caller-key",
                type(session.search("driver-finder", {})),
                {"query": {}},
            )
        assert answer.coverage.complete
        assert cluster.metric(other.id, 'forwards_total{reason="group.search"}') >= 1

    def test_booking_runs_once_and_its_outcome_can_be_looked_up(self, cluster):
        with cluster.session() as session:
            outcome = session.book("driver-finder", shard=1, booking={"bay": 12})
            again = session.book("driver-finder", shard=1, booking={"bay": 12}, token=outcome.token)
            looked_up = session.look_up("driver-finder", outcome.token)
        assert outcome.state == OutcomeState.BOOKED
        assert again == outcome == looked_up
        executions = [s.stats()["executions"] for s in cluster.searchers.values()]
        assert sum(counts.get(outcome.token, 0) for counts in executions) == 1

    def test_wrong_key_and_unknown_service_get_typed_errors(self, cluster):
        with pytest.raises(Unauthorized):
            cluster.session(key="wrong").search("driver-finder", {})
        with pytest.raises(UnknownService):
            cluster.session().search("nothing", {})

    def test_confirmed_service_is_in_force_at_every_instance(self, cluster):
        versions = {cluster.status(i).versions["driver-finder"] for i in cluster.listed}
        assert len(versions) == 1
