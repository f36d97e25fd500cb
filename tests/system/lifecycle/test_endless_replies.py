"""Replies to calls of the product's own interface that never end."""

import threading
import time
from contextlib import ExitStack

import pytest

from limpethollow_node.connection.searchers import CallFailed
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.platforms import PlatformClient
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import SearcherBooking
from limpethollow_wire.exceptions import Unavailable
from limpethollow_wire.services import SearcherSpec
from limpethollow_wire.settings import PlatformSettings
from tests.standins.endless import ENDLESS, EndlessServer
from tests.support.clusters import DOMAINS, Cluster
from tests.support.own_crowds import Watch
from tests.support.processes import wait_for
from tests.system.lifecycle.callers import Background, KeptConnection
from tests.system.lifecycle.test_connections import LIMIT, SERVICE, Instance, search

SECONDS = 0.4
SEARCHERS = 40
CALLERS = 30
CALLERS_SECONDS = 6.0
SEARCHERS_PEAK_BYTES = 128 * 1024 * 1024
PLATFORM_PEAK_BYTES = 160 * 1024 * 1024
ALMOST_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4100000\r\n\r\n" + b"x" * 4_000_000


@pytest.fixture
def instance():
    with Instance() as instance:
        yield instance


class TestSearches:
    """Guards against threads and connections that are never free again.

    Each byte of a head or trailer started the socket's timeout anew, and trailers and interim
    replies were read without end.
    """

    @pytest.mark.parametrize("pause", [0.0, 0.02])
    @pytest.mark.parametrize("name", ENDLESS)
    def test_the_call_ends_with_its_time_at_the_latest(self, instance, name, pause):
        with EndlessServer(*ENDLESS[name], pause=pause) as server:
            failures = []
            client = instance.client(server.address)
            call = threading.Thread(
                target=lambda: failures.append(search(client, SECONDS)), daemon=True
            )
            call.start()
            call.join(SECONDS + 2.0)
            assert failures in ([Failure.TIMEOUT], [Failure.BROKEN])
            assert instance.count("condemned") == 1


class TestBookings:
    @pytest.mark.parametrize("name", ["interim replies", "trailers"])
    @pytest.mark.parametrize("pause", [0.0, 0.02])
    def test_the_call_ends_with_its_time(self, instance, name, pause):
        began = time.monotonic()
        with EndlessServer(*ENDLESS[name], pause=pause) as server, pytest.raises(CallFailed):
            client = instance.client(server.address)
            client.book(SearcherBooking("token", SERVICE, 0, {}, timeout=SECONDS))
        assert time.monotonic() - began < SECONDS + 2.0


class TestMemoryOfSearchers:
    def test_bodies_of_many_searchers_that_never_end_are_bounded_together(self):
        """Guards against memory for the largest reply at each searcher at the same time."""
        with Cluster() as cluster, ExitStack() as servers:
            addresses = [
                servers.enter_context(EndlessServer(ALMOST_WHOLE, b"x", pause=0.05)).address
                for _ in range(SEARCHERS)
            ]
            cluster.start_instances(1)
            specs = [
                SearcherSpec(f"s{n}", address, (n,), failure_domain=DOMAINS[0], connections=LIMIT)
                for n, address in enumerate(addresses)
            ]
            cluster.put_service(SERVICE, specs)
            with Watch(cluster.instances["n0"].pid) as watch:
                callers = [Background(search_once, cluster) for _ in range(CALLERS)]
                for caller in callers:
                    caller.result()
                assert watch.peak_bytes <= SEARCHERS_PEAK_BYTES


def search_once(cluster: Cluster) -> None:
    with KeptConnection(cluster.listed["n0"]["address"]) as caller:
        assert caller.search(SERVICE, CALLERS_SECONDS)[0] != 200


class TestPlatform:
    @pytest.mark.parametrize("pause", [0.0, 0.02])
    @pytest.mark.parametrize("name", ENDLESS)
    def test_the_call_ends_with_its_time_at_the_latest(self, name, pause):
        """Guards against threads that read trailers and interim replies for ever."""
        failures = []
        with EndlessServer(*ENDLESS[name], pause=pause) as server:
            settings = PlatformSettings(server.address, timeout=SECONDS)
            with PlatformClient(settings, Metrics()) as client:
                call = threading.Thread(target=lambda: failures.append(read(client)), daemon=True)
                call.start()
                # One retry may follow.
                call.join(2 * SECONDS + 2.0)
        assert failures == ["unavailable"]

    @pytest.mark.parametrize("name", ["body without a length", "body with a length"])
    def test_bodies_that_never_end_are_bounded_together(self, name):
        """Guards against memory for several answers of the platform that never end."""
        with Cluster() as cluster, EndlessServer(*ENDLESS[name]) as server:
            process = cluster.start_instance("n0", DOMAINS[0], platform=server.address)
            with Watch(process.pid) as watch:
                failures = 'platform_failures_total{reason="list"}'
                wait_for(lambda: cluster.metric("n0", failures) >= 4, "the calls fail")
                assert watch.peak_bytes <= PLATFORM_PEAK_BYTES


def read(client: PlatformClient) -> str:
    try:
        client.read("service", SERVICE)
    except Unavailable as error:
        return error.code
    return "answered"
