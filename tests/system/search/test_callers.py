"""Callers that hang up while their search runs."""

import json
import socket

import pytest

from tests.support.clusters import CALLER_KEY, Cluster
from tests.support.processes import wait_for

SLOW_SECONDS = 20.0


@pytest.fixture(scope="module")
def cluster():
    with Cluster() as cluster:
        cluster.start_instances(2)
        yield cluster


def request_bytes(service: str, query: dict) -> bytes:
    body = json.dumps({"query": query, "deadline": 30.0}).encode()
    head = f"POST /v1/services/{service}/search HTTP/1.1\r\nHost: x\r\n"
    head += f"Authorization: Bearer {CALLER_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def connect(cluster: Cluster, instance: str) -> socket.socket:
    host, _, port = cluster.listed[instance]["address"].rpartition(":")
    return socket.create_connection((host, int(port)), timeout=30)


class TestHangUps:
    """A driver's phone loses its connection while a slow search runs.

    Nobody waits for the answer any more, but its calls go on in the searchers' few slots until
    their deadline, and callers who still wait are served late.
    """

    @pytest.mark.parametrize("place", [0, 1])
    def test_calls_of_a_caller_that_left_are_cancelled(self, cluster, place):
        name = f"finder-{place}"
        searchers = cluster.start_searchers(name, [[0, 1]], service_time=SLOW_SECONDS)
        cluster.put_service(name, searchers)
        searcher = cluster.searchers[searchers[0].id]
        with cluster.session() as session:
            instance = session.route(name).instances[place].id
        with connect(cluster, instance) as caller:
            caller.sendall(request_bytes(name, {"place": place}))
            wait_for(lambda: searcher.stats()["running"] == 1, "the search at its searcher")
        wait_for(lambda: searcher.stats()["counts"].get("cancelled") == 1, "the cancelled call")
        assert searcher.stats()["running"] == 0
        assert cluster.metric(instance, "callers_gone_total") >= 1

    def test_next_request_that_comes_early_is_no_hang_up(self, cluster):
        """A caller sends its next request before it has the answer to the first.

        Bytes that arrive while a search runs make its connection readable just as its end does.
        """
        searchers = cluster.start_searchers("early", [[0, 1]], service_time=0.2)
        cluster.put_service("early", searchers)
        with connect(cluster, "n0") as caller:
            caller.sendall(request_bytes("early", {"n": 1}) + request_bytes("early", {"n": 2}))
            received = b""
            while received.count(b'"coverage"') < 2:
                chunk = caller.recv(65536)
                assert chunk, received
                received += chunk
        assert received.count(b"HTTP/1.1 200") == 2
