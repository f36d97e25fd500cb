"""Instances that start, wake or are cut off while the configuration changes."""

import signal
import time

import pytest

from limpethollow.exceptions import LimpethollowError, Unavailable
from limpethollow_wire.plans import Intent
from tests.support.clusters import Cluster
from tests.support.processes import wait_for

SERVICE = "depot-board"
# Longer than the bound after which an instance that hears nobody refuses new work.
_FREEZE_SECONDS = 5.5


@pytest.fixture
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(4)
        cluster.specs = cluster.start_searchers(SERVICE, [[0], [0]])
        cluster.put_service(SERVICE, cluster.specs, route_ttl=1.0)
        yield cluster


def search(cluster: Cluster, instance: str):
    """Return the answer of one instance alone, or its typed error."""
    with cluster.session(instance) as session:
        try:
            return session.search(SERVICE, {}, deadline=5.0)
        except LimpethollowError as error:
            return error


def state(cluster: Cluster, instance: str) -> str:
    return cluster.status(instance).state


class TestFreshInstance:
    def test_starts_from_its_peers_while_the_platform_is_down(self, cluster):
        """The platform is down; an instance is replaced by a fresh one.

        It has no disk and can't read the platform. Without its peers it would refuse work until
        the outage ends, and an outage longer than the fleet's turnover would end the service.
        """
        cluster.platform.control(down=True)
        seeds = [cluster.listed[i]["peer_address"] for i in ("n1", "n2")]
        cluster.start_instance("n9", "lton-a", f"\n[peers]\nseeds = {seeds}\n")
        wait_for(lambda: state(cluster, "n9") == "serving", "n9 serves")
        assert cluster.status("n9").versions == cluster.status("n0").versions
        assert search(cluster, "n9").coverage.complete
        wait_for(lambda: "n9" in cluster.status("n1").peers, "the unlisted n9 is known to n1")

    def test_refuses_at_once_with_neither_peers_nor_platform(self, cluster):
        """A fresh instance reaches nobody. Callers must not wait for it, nor be told a lie.

        Answering "unknown service" would make a caller give up on a service that exists.
        """
        cluster.platform.control(down=True)
        dead = cluster.listed["n3"]["peer_address"]
        cluster.instances["n3"].kill()
        cluster.start_instance("n9", "lton-a", f'\n[peers]\nseeds = ["{dead}"]\n')
        error = search(cluster, "n9")
        assert type(error) is Unavailable
        assert error.retry_after > 0
        assert cluster.metric("n9", 'work_refused_total{reason="not_loaded"}') >= 1
        cluster.platform.control(down=False)
        wait_for(lambda: state(cluster, "n9") == "serving", "n9 serves")


class TestFrozenInstance:
    def test_refuses_new_work_until_it_knows_what_is_in_force(self, cluster):
        """An instance is frozen while an operator confirms a change, then goes on.

        Its memory says the old version, and its sockets hold what was sent before. It must not
        serve the old version as current, and must be current soon.
        """
        frozen = cluster.instances["n2"]
        frozen.freeze()
        with cluster.operator("n0") as operator:
            spec = cluster.service_spec(SERVICE, cluster.specs, route_ttl=2.0)
            confirmation = operator.confirm(operator.plan(Intent(service=spec)).id, wait=1.0)
        assert confirmation.lacking == ("n2",)
        time.sleep(_FREEZE_SECONDS)
        frozen.signal(signal.SIGCONT)
        first = cluster.status("n2")
        assert first.state == "refusing" or first.versions[SERVICE] == confirmation.version
        wait_for(lambda: state(cluster, "n2") == "serving", "n2 serves")
        assert cluster.status("n2").versions[SERVICE] == confirmation.version
        versions = {cluster.status(i).versions[SERVICE] for i in cluster.listed}
        assert versions == {confirmation.version}


class TestCutOffInstance:
    def test_refuses_without_peers_and_platform_and_serves_with_either(self, cluster):
        """All peers of an instance are killed, then the platform goes down too.

        With the platform alone it knows what is in force; with nobody it can't, and says so.
        """
        for name in ("n1", "n2", "n3"):
            cluster.instances[name].kill()
        time.sleep(_FREEZE_SECONDS)
        assert state(cluster, "n0") == "serving"
        cluster.platform.control(down=True)
        wait_for(lambda: state(cluster, "n0") == "refusing", "n0 refuses")
        error = search(cluster, "n0")
        assert type(error) is Unavailable
        assert error.retry_after > 0
        cluster.platform.control(down=False)
        wait_for(lambda: state(cluster, "n0") == "serving", "n0 serves again")

    def test_a_deletion_made_meanwhile_stays(self, cluster):
        """A service is deleted while an instance is frozen; the instance brings its record along.

        Without the tombstone the service would answer again, from everybody.
        """
        cluster.instances["n3"].freeze()
        with cluster.operator("n0") as operator:
            deleted = operator.confirm(operator.plan(Intent(delete=SERVICE)).id, wait=0.5)
        cluster.instances["n3"].signal(signal.SIGCONT)
        wait_for(
            lambda: all(
                cluster.status(i).versions[SERVICE] == deleted.version for i in cluster.listed
            ),
            "the deletion in force everywhere",
        )
        assert search(cluster, "n3").code == "unknown_service"


class TestWrongList:
    def test_an_instance_dropped_by_the_list_gets_changes_all_the_same(self, cluster):
        """The platform's list loses a healthy instance; its relays feed it no more.

        Without its own comparisons and watch it would stay at the old version for good.
        """
        kept = dict(cluster.listed)
        dropped = cluster.listed.pop("n3")
        cluster.publish_list()
        with cluster.operator("n0") as operator:
            spec = cluster.service_spec(SERVICE, cluster.specs, route_ttl=3.0)
            confirmation = operator.confirm(operator.plan(Intent(service=spec)).id)
        cluster.listed.update(kept)
        wait_for(
            lambda: cluster.status("n3").versions[SERVICE] == confirmation.version,
            f"the change at {dropped['id']}",
        )
