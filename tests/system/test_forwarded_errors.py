"""Typed errors keep their kind on the way from the owner through another instance."""

import pytest

from limpethollow import SearchAnswer
from limpethollow.adapters import HttpAdapter
from limpethollow.exceptions import CoverageTooLow, LimpethollowError, Unavailable
from tests.support.clusters import CALLER_KEY, Cluster


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(2)
        yield cluster


def error_through(cluster: Cluster, instance_id: str, service: str) -> LimpethollowError:
    """Return the error that a search through one instance gets."""
    path = f"/v1/services/{service}/search"
    body = {"query": {}, "deadline": 20.0}
    address = cluster.listed[instance_id]["address"]
    with pytest.raises(LimpethollowError) as caught:
        HttpAdapter().send(address, "POST", path, CALLER_KEY, SearchAnswer, body, 30.0)
    return caught.value


class TestForwardedErrors:
    """A refusal is taken for a lost link.

    All searchers of a service are gone, and a caller asks through an instance that is not the
    owner. The owner refuses with a typed error that is also a built-in ConnectionError or
    TimeoutError. Taken for a lost link, it would reach the caller as another kind, cost the link,
    and make the owner count as unreachable.
    """

    @pytest.mark.parametrize(
        ("service", "fates", "kind"),
        [
            ("no-searcher-left", ("kill", "kill"), Unavailable),
            ("one-of-three-left", ("keep", "kill", "kill"), CoverageTooLow),
        ],
    )
    def test_kind_is_the_same_through_every_instance_and_links_stay(
        self, cluster, service, fates, kind
    ):
        held = [[shard] for shard in range(len(fates))]
        searchers = cluster.start_searchers(service, held)
        cluster.put_service(service, searchers, searchers_per_group=len(fates))
        for searcher, fate in zip(searchers, fates, strict=True):
            if fate == "kill":
                cluster.searchers[searcher.id].kill()
        errors = [error_through(cluster, instance, service) for instance in cluster.listed]
        assert [type(error) for error in errors] == [kind, kind]
        assert all(error.retry_after is not None for error in errors)
        for instance in cluster.listed:
            assert set(cluster.status(instance).peers.values()) == {"live"}
