"""Connections to a real searcher: silent, crossed, late, idle, cancelled, and their number."""

import itertools
import socket
import threading

import pytest

from limpethollow_node.connection.pools import ConnectionPools
from limpethollow_node.connection.searchers import CallFailed, SearcherClient
from limpethollow_node.process.metrics import Metrics
from limpethollow_node.process.timers import Timers
from limpethollow_policy.request.events import Failure
from limpethollow_wire.bookings import SearcherBooking
from limpethollow_wire.searches import CallQuery, SearcherCall
from limpethollow_wire.services import SearcherSpec
from tests.support.clusters import Cluster
from tests.support.processes import wait_for
from tests.system.lifecycle.callers import Background, new_query

SERVICE = "driver-finder"
LIMIT = 25
NUMBERS = itertools.count(1)


class Instance:
    """What one instance uses towards searchers, without the rest of it."""

    def __init__(self, idle_seconds: float = 60.0) -> None:
        self.metrics = Metrics()
        self.timers = Timers()
        self.pools = ConnectionPools(self.timers, self.metrics, idle_seconds)

    def __enter__(self) -> "Instance":
        self.timers.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self.pools.close()
        self.timers.__exit__()

    def client(self, address: str) -> SearcherClient:
        spec = SearcherSpec("s0", address, (0,), connections=LIMIT)
        return SearcherClient(self.pools, spec, self.timers, self.metrics)

    def count(self, reason: str) -> int:
        return self.metrics.value("searcher_connections", reason)


def call(timeout: float = 10.0, inventory: bool = False) -> SearcherCall:
    name = f"call-{next(NUMBERS)}"
    queries = () if inventory else (CallQuery(name, {}, (0,)),)
    return SearcherCall(name, SERVICE, 1, 1, timeout, queries)


def search(client: SearcherClient, timeout: float = 10.0) -> str:
    """Send one search; return `answered`, or how it failed."""
    wanted = call(timeout)
    try:
        reply = client.search(wanted)
    except CallFailed as error:
        return error.failure
    assert {part.id for part in reply.parts} <= {wanted.request_id}
    return "answered"


@pytest.fixture
def cluster():
    with Cluster() as cluster:
        yield cluster


@pytest.fixture
def instance():
    with Instance() as instance:
        yield instance


def searcher(cluster: Cluster, **options):
    cluster.start_searcher(SERVICE, "s0", [0], **{"slots": 8, "backlog": 50, **options})
    return cluster.searchers["s0"]


def warm_up(client: SearcherClient, connections: int) -> None:
    """Open several connections by searches that run at the same time."""
    searches = [Background(search, client) for _ in range(connections)]
    assert {s.result() for s in searches} == {"answered"}


class TestSilentConnection:
    def test_it_costs_its_own_call_only(self, cluster, instance):
        """Something between the two ends loses track of all open connections; new ones work.

        A pool that trusts its idle connections blindly loses one call on each of them.
        """
        stand_in = searcher(cluster, service_time=0.3)
        proxy = cluster.start_proxy("proxy", stand_in.address)
        with instance.client(proxy.ready["entry"]) as client:
            warm_up(client, 4)
            stand_in.control(service_time=0.001)
            proxy.control(freeze=True)
            results = [search(client, timeout=1.0) for _ in range(6)]
        assert results == [Failure.TIMEOUT] + ["answered"] * 5
        assert instance.count("condemned") == 1

    def test_cancelled_call_on_it_ends_at_once(self, cluster, instance):
        """A hedge answered first; the loser waits on a connection that is silent for good.

        Without a shutdown of its connection it holds its thread and its slot until the deadline.
        """
        stand_in = searcher(cluster)
        proxy = cluster.start_proxy("proxy", stand_in.address)
        with instance.client(proxy.ready["entry"]) as client:
            warm_up(client, 1)
            proxy.control(freeze=True)
            wanted = call(timeout=600.0)
            running = Background(client.search, wanted)
            wait_for(lambda: instance.count("reused"), "the call is sent")
            client.cancel(wanted.request_id)
            with pytest.raises(CallFailed) as failed:
                running.result()
            assert failed.value.failure == Failure.CANCELLED
            assert search(client) == "answered"

    def test_search_of_a_caller_is_rescued_by_another_replica(self, cluster):
        cluster.start_instances(2)
        specs = cluster.start_searchers(SERVICE, [[0], [0]])
        proxies = [cluster.start_proxy(f"p{n}", s.address) for n, s in enumerate(specs)]
        behind = [
            SearcherSpec(s.id, p.ready["entry"], s.shards)
            for s, p in zip(specs, proxies, strict=True)
        ]
        cluster.put_service(SERVICE, behind)
        with cluster.session() as session:
            for _ in range(50):
                assert session.search(SERVICE, new_query(), deadline=5.0).coverage.complete
            proxies[0].control(freeze=True)
            answers = [session.search(SERVICE, new_query(), deadline=5.0) for _ in range(20)]
        assert all(answer.coverage.complete for answer in answers)


class TestRepliesOfOthers:
    def test_late_reply_is_never_taken_for_the_next_call(self, cluster, instance):
        stand_in = searcher(cluster, service_time=0.5)
        with instance.client(stand_in.address) as client:
            assert search(client, timeout=0.1) == Failure.TIMEOUT
            stand_in.control(service_time=0.001)
            assert [search(client) for _ in range(3)] == ["answered"] * 3
        assert instance.count("condemned") == 1

    def test_client_works_on_after_a_mismatched_reply(self, cluster, instance):
        """A searcher answers with another call's id; its connection is closed.

        The pool of the library refuses every later call once it was closed, so the searcher would
        be lost to this instance for good.
        """
        stand_in = searcher(cluster)
        with instance.client(stand_in.address) as client:
            stand_in.control(cross_replies=1)
            assert search(client) == Failure.MISMATCHED
            assert search(client) == "answered"

    def test_short_reply_is_a_failed_call(self, cluster, instance):
        stand_in = searcher(cluster)
        with instance.client(stand_in.address) as client:
            stand_in.control(truncate_replies=1)
            assert search(client) == Failure.BROKEN
            assert search(client) == "answered"

    def test_connection_that_ends_without_a_reply_is_a_lost_call(self, cluster, instance):
        """Guards against ends of searchers that look like replies that break off."""
        stand_in = searcher(cluster)
        with instance.client(stand_in.address) as client:
            stand_in.control(drop_replies=1)
            assert search(client) == Failure.LOST
            assert search(client) == "answered"

    def test_reply_that_comes_a_byte_at_a_time_ends_with_the_booking(self, instance):
        """A searcher sends its reply so slowly that no read ever times out."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            threading.Thread(target=_trickle, args=[server], daemon=True).start()
            address = f"127.0.0.1:{server.getsockname()[1]}"
            with instance.client(address) as client, pytest.raises(CallFailed) as failed:
                client.book(SearcherBooking("token", SERVICE, 0, {}, timeout=0.3))
        assert failed.value.failure in (Failure.TIMEOUT, Failure.BROKEN)


def _trickle(server: socket.socket) -> None:
    connection, _ = server.accept()
    connection.recv(65536)
    try:
        connection.sendall(b"HTTP/1.1 200 OK\r\nX-Slow: ")
        while True:
            connection.sendall(b"x")
            threading.Event().wait(0.02)
    except OSError:
        connection.close()


class TestBudget:
    def test_set_up_is_paid_once(self, cluster, instance):
        stand_in = searcher(cluster, connect_cost=0.006)
        with instance.client(stand_in.address) as client:
            assert {search(client) for _ in range(200)} == {"answered"}
        assert instance.count("opened") == 1

    def test_groups_of_two_versions_share_the_connections(self, cluster, instance):
        """A confirmed configuration starts new groups while the old ones finish their requests."""
        stand_in = searcher(cluster)
        with instance.client(stand_in.address) as old:
            assert search(old) == "answered"
            with instance.client(stand_in.address) as new:
                assert search(new) == "answered"
        assert instance.count("opened") == 1

    def test_idle_connections_are_closed_and_nothing_is_sent_meanwhile(self, cluster):
        stand_in = searcher(cluster)
        with Instance(idle_seconds=0.2) as instance, instance.client(stand_in.address) as client:
            warm_up(client, 3)
            wait_for(
                lambda: instance.count("idle_closed") == instance.count("opened"), "all are closed"
            )
            counts = stand_in.stats()["counts"]
            assert counts["searches"] == 3
            assert search(client) == "answered"

    def test_four_instances_never_exceed_the_searchers_limit(self, cluster):
        """Four instances believe that they own the group, and the searcher straggles.

        Calls time out and are cancelled, look-ups and inventories go out, connections are closed
        and opened anew. One connection too many and the searcher refuses whoever comes next.
        """
        stand_in = searcher(
            cluster,
            connection_limit=LIMIT,
            connect_cost=0.006,
            straggle_share=0.2,
            straggle_time=0.5,
        )
        instances = [Instance() for _ in range(4)]
        for instance in instances:
            instance.__enter__()
        runs = [
            Background(_mixed_calls, instance.client(stand_in.address), thread)
            for instance in instances
            for thread in range(8)
        ]
        for run in runs:
            run.result()
        stats = stand_in.stats()
        for instance in instances:
            instance.__exit__()
        assert stats["counts"].get("connections_refused", 0) == 0
        assert stats["peaks"]["connections"] <= LIMIT
        assert sum(instance.count("condemned") for instance in instances) > 0


def _mixed_calls(client: SearcherClient, thread: int) -> None:
    for number in range(40):
        if thread == 0 and number % 2:
            wanted = call(timeout=2.0)
            running = Background(search_ignoring_failure, client, wanted)
            client.cancel(wanted.request_id)
            running.result()
        elif thread == 1:
            search_ignoring_failure(client, call(timeout=0.5, inventory=True))
        elif thread == 2:
            try:
                client.look_up(f"token-{number}", void=False)
            except CallFailed:
                continue
        else:
            search(client, timeout=0.1)


def search_ignoring_failure(client: SearcherClient, wanted: SearcherCall) -> None:
    try:
        client.search(wanted)
    except CallFailed:
        return
