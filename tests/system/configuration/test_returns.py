"""The platform comes back from an older copy and gives versions out again."""

import pytest

from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.platforms import PlatformClient
from limpethollow_wire.exceptions import Conflict, Unavailable
from limpethollow_wire.settings import PlatformSettings
from tests.standins.platform import PlatformStandIn
from tests.support.clusters import Cluster
from tests.support.processes import put_object, wait_for

SERVICE = "padron"
NAMES = ("n0", "n1", "n2")
FIRST_TTL, LOST_TTL, NEW_TTL = 1.0, 2.0, 3.0
# A plan and its confirm are a write each, so that two lost ones make the versions meet.
SAME_VERSION, HIGHER_VERSION = 2, 6


@pytest.fixture
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(len(NAMES))
        cluster.specs = cluster.start_searchers(SERVICE, [[0], [0]])
        cluster.put_service(SERVICE, cluster.specs, route_ttl=FIRST_TTL)
        yield cluster


def uses(cluster: Cluster, name: str, ttl: float) -> bool:
    """Return whether an instance has the version in force that names this lifetime of routes."""
    with cluster.session(name) as session:
        try:
            return session.route(SERVICE).ttl == ttl
        except Unavailable:
            # It has just started and knows no configuration yet.
            return False


def in_force(cluster: Cluster, ttl: float) -> bool:
    """Return whether all instances have it in force."""
    return all(uses(cluster, name, ttl) for name in NAMES)


def lose_changes(cluster: Cluster, count: int) -> None:
    """Make changes of the service, and go back to a copy without them."""
    cluster.platform.command("copy")
    spec = cluster.service_spec(SERVICE, cluster.specs, route_ttl=LOST_TTL)
    for _ in range(count):
        put_object(cluster.platform.address, "service", SERVICE, spec)
    wait_for(lambda: in_force(cluster, LOST_TTL), "the change everywhere")
    cluster.platform.command("restore")


class TestConfiguration:
    @pytest.mark.parametrize("lost", [SAME_VERSION, HIGHER_VERSION])
    def test_a_change_after_a_return_comes_into_force_everywhere(self, cluster, lost):
        """Guards against changes that are ignored while their versions are not the highest."""
        lose_changes(cluster, lost)
        cluster.put_service(SERVICE, cluster.specs, route_ttl=NEW_TTL)
        wait_for(lambda: in_force(cluster, NEW_TTL), "the new change everywhere", 10.0)

    def test_a_change_that_the_copy_lacks_stays_in_force_until_the_next(self, cluster):
        """Guards against instances that differ after a return, some at the change, some before."""
        lose_changes(cluster, HIGHER_VERSION)
        cluster.start_instance("n3", "lton-a")
        cluster.publish_list()
        wait_for(lambda: uses(cluster, "n3", LOST_TTL), "the change at the new one", 10.0)
        assert in_force(cluster, LOST_TTL)

    def test_an_instance_that_starts_after_a_return_takes_the_change_after_it(self, cluster):
        lose_changes(cluster, HIGHER_VERSION)
        cluster.put_service(SERVICE, cluster.specs, route_ttl=NEW_TTL)
        cluster.start_instance("n3", "lton-a")
        cluster.publish_list()
        wait_for(lambda: uses(cluster, "n3", NEW_TTL), "the change at the new one", 10.0)


class TestInstances:
    def test_the_list_of_a_new_era_is_taken_in(self, cluster):
        """Guards against instances that are left out of use, or in it, while revisions are low."""
        cluster.platform.command("copy")
        for _ in range(3):
            cluster.publish_list()
        cluster.platform.command("restore")
        cluster.listed["n2"]["state"] = "leaving"
        cluster.publish_list()
        for name in ("n0", "n1"):
            wait_for(
                lambda name=name: cluster.status(name).peers["n2"] == "leaving",
                f"{name} knows that n2 leaves",
                10.0,
            )


class TestConditionalWrites:
    def test_a_version_of_the_time_before_is_no_condition(self):
        """Guards against a write over another one that was given the same version."""
        with PlatformStandIn() as platform:
            client = PlatformClient(PlatformSettings(platform.address), Metrics())
            client.write("plan", "p", {"by": "first"})
            platform.copy({}, {})
            lost = client.write("plan", "p", {"by": "lost"})
            platform.restore({}, {})
            client.write("plan", "p", {"by": "second"})
            with pytest.raises(Conflict):
                client.write("plan", "p", {"by": "third"}, lost.version)
            assert client.read("plan", "p").value == {"by": "second"}
