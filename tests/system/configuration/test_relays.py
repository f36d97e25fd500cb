"""Relays hold the platform's watch, and others take over where they fall silent."""

import signal

import pytest

from limpethollow_policy.process.relays import relays_of
from limpethollow_wire.instances import InstanceInfo
from limpethollow_wire.plans import Intent
from tests.support.clusters import Cluster
from tests.support.processes import put_object, wait_for

SERVICE = "padron"
DOMAIN = "sala-rosario"
NAMES = [f"n{number}" for number in range(6)]


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        for name in NAMES:
            cluster.start_instance(name, DOMAIN)
        cluster.publish_list()
        wait_for(lambda: all(cluster._sees_everyone(i) for i in NAMES), "membership")
        cluster.specs = cluster.start_searchers(SERVICE, [[0], [0]])
        cluster.put_service(SERVICE, cluster.specs)
        cluster.relays = relays_of(DOMAIN, [InstanceInfo(**row) for row in cluster.listed.values()])
        cluster.plain = [name for name in NAMES if name not in cluster.relays]
        wait_for(lambda: not watching(cluster), "plain instances leave the platform alone")
        yield cluster


def watching(cluster: Cluster) -> list[str]:
    """Return the plain instances that started a watch since the last look."""
    line = 'platform_calls_total{reason="watch"}'
    counts = {name: cluster.metric(name, line) for name in cluster.plain}
    before, cluster.watches = getattr(cluster, "watches", {}), counts
    return [name for name, count in counts.items() if count != before.get(name)]


def in_force(cluster: Cluster, names: list[str], version: int) -> bool:
    return all(cluster.status(i).versions.get(SERVICE, 0) >= version for i in names)


class TestRelays:
    def test_only_relays_call_the_platform(self, cluster):
        """Each instance that watches the platform costs it a call at every change and time-out.

        At thousands of instances the platform's reads would be spent on watches alone.
        """
        line = 'platform_calls_total{reason="watch"}'
        before = cluster.metric(cluster.relays[0], line)
        watching(cluster)
        wait_for(lambda: cluster.metric(cluster.relays[0], line) > before, "a relay's next watch")
        assert watching(cluster) == []

    def test_a_change_written_by_an_instance_that_died_reaches_everybody(self, cluster):
        """An instance writes a confirmed change and is killed before it tells anybody.

        The platform holds the change; without the relays' watch nobody would hear of it.
        """
        spec = cluster.service_spec(SERVICE, cluster.specs, route_ttl=4.0)
        version = put_object(cluster.platform.address, "service", SERVICE, spec)
        wait_for(lambda: in_force(cluster, NAMES, version), "the change everywhere")

    def test_others_watch_where_both_relays_fall_silent(self, cluster):
        """Both relays of a failure domain freeze, and a change is written meanwhile.

        The others hear nothing and have no watch; without a take-over they would serve the old
        version until somebody replaces the relays.
        """
        for relay in cluster.relays:
            cluster.instances[relay].freeze()
        spec = cluster.service_spec(SERVICE, cluster.specs, route_ttl=5.0)
        version = put_object(cluster.platform.address, "service", SERVICE, spec)
        wait_for(lambda: in_force(cluster, cluster.plain, version), "the change at the others")
        for relay in cluster.relays:
            cluster.instances[relay].signal(signal.SIGCONT)
        wait_for(lambda: in_force(cluster, NAMES, version), "the change everywhere")
        wait_for(lambda: not watching(cluster), "plain instances leave the platform alone")


class TestPlans:
    def test_plans_that_nobody_confirms_are_bounded(self, cluster):
        """A dashboard asks for a plan every minute and never confirms one.

        Plans are kept in the platform; unbounded, they would fill it.
        """
        with cluster.operator("n0") as operator:
            for number in range(30):
                spec = cluster.service_spec(SERVICE, cluster.specs, route_ttl=1.0 + number)
                operator.plan(Intent(service=spec))
            last = operator.plan(Intent(service=spec))
            assert operator.confirm(last.id).lacking == ()
        writes = cluster.platform.stats()["writes"]
        assert len([name for name in writes if name.startswith("plan/")]) <= 8
